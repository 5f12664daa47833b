//! The right to place a pool: a key at the service under a lease.
//!
//! The key's revision is the fencing number: it rises with every new holder. The holder counts its
//! lease from before it asked, on a clock that counts pauses, so its own count never ends later
//! than the service's.

use crate::PauseClock;
use bytes::Bytes;
use oatdale_platform::{Condition, Kv, KvError, LeaseId, ModRevision, Put};
use std::time::Duration;

/// A lease as its holder knows it.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    id: LeaseId,
    /// The fencing number.
    pub(crate) fencing: u64,
    ttl: Duration,
    /// When it ends at the latest, on the holder's clock.
    until: Duration,
}

/// What became of an attempt to take the lease.
#[derive(Debug)]
pub(crate) enum Taken {
    /// This process holds it.
    Held(Lease),
    /// Another one does; its key has this revision.
    Other(ModRevision),
}

impl Lease {
    /// Tries to become the holder of `key`. `token` must never have been used before.
    pub(crate) async fn take(
        kv: &impl Kv,
        key: &str,
        token: &str,
        ttl: Duration,
        clock: &PauseClock,
    ) -> oatdale_platform::Result<Taken> {
        if let Some(entry) = kv.get(key).await? {
            return Ok(Taken::Other(entry.revision));
        }
        let until = clock() + ttl;
        let id = kv.grant(ttl).await?;
        let value = Bytes::copy_from_slice(token.as_bytes());
        let lease = |fencing: ModRevision| Lease {
            id,
            fencing: fencing.0,
            ttl,
            until,
        };
        match kv.put(key, value, Condition::Absent, Some(id)).await {
            Ok(Put::Stored(revision)) => Ok(Taken::Held(lease(revision))),
            Ok(Put::Conflict(revision)) => {
                // Nobody uses the grant; it lapses by itself if this fails.
                let _ = kv.revoke(id).await;
                Ok(Taken::Other(revision.unwrap_or_default()))
            }
            // The key may be this process's: its token tells. If it is not there yet it may still
            // come, and then it lapses with its lease, since nobody renews it.
            Err(KvError::Unknown { message }) => match kv.get(key).await? {
                Some(entry) if entry.value == token.as_bytes() => {
                    Ok(Taken::Held(lease(entry.revision)))
                }
                Some(entry) => Ok(Taken::Other(entry.revision)),
                None => Err(KvError::Unavailable { message }),
            },
            Err(error) => Err(error),
        }
    }

    /// Renews the lease; an error leaves it as it was.
    pub(crate) async fn renew(
        &mut self,
        kv: &impl Kv,
        clock: &PauseClock,
    ) -> oatdale_platform::Result<()> {
        let asked = clock();
        kv.renew(self.id).await?;
        self.until = asked + self.ttl;
        Ok(())
    }

    /// How much is left for certain.
    pub(crate) fn left(&self, clock: &PauseClock) -> Duration {
        self.until.saturating_sub(clock())
    }

    /// Gives the lease back, so that another node need not wait until it lapses.
    pub(crate) async fn give_back(self, kv: &impl Kv) -> oatdale_platform::Result<()> {
        kv.revoke(self.id).await
    }
}
