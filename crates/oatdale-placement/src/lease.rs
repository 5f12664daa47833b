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
    expires_at: Duration,
}

/// What became of an attempt to take the lease.
#[derive(Debug)]
pub(crate) enum Acquisition {
    /// This process holds it.
    Acquired(Lease),
    /// Another one does; its key has this revision.
    HeldByOther(ModRevision),
}

impl Lease {
    /// Tries to become the holder of `key`. `token` must never have been used before.
    pub(crate) async fn acquire(
        kv: &impl Kv,
        key: &str,
        token: &str,
        ttl: Duration,
        clock: &PauseClock,
    ) -> oatdale_platform::Result<Acquisition> {
        if let Some(entry) = kv.get(key).await? {
            return Ok(Acquisition::HeldByOther(entry.revision));
        }
        let expires_at = clock() + ttl;
        let id = kv.grant(ttl).await?;
        let value = Bytes::copy_from_slice(token.as_bytes());
        let lease = |fencing: ModRevision| Lease {
            id,
            fencing: fencing.0,
            ttl,
            expires_at,
        };
        match kv.put(key, value, Condition::Absent, Some(id)).await {
            Ok(Put::Stored(revision)) => Ok(Acquisition::Acquired(lease(revision))),
            Ok(Put::Conflict(revision)) => {
                // Nobody uses the grant; it lapses by itself if this fails.
                let _ = kv.revoke(id).await;
                Ok(Acquisition::HeldByOther(revision.unwrap_or_default()))
            }
            // The key may be this process's: its token tells. If it is not there yet it may still
            // come, and then it lapses with its lease, since nobody renews it.
            Err(KvError::Unknown { message }) => match kv.get(key).await? {
                Some(entry) if entry.value == token.as_bytes() => {
                    Ok(Acquisition::Acquired(lease(entry.revision)))
                }
                Some(entry) => Ok(Acquisition::HeldByOther(entry.revision)),
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
        let requested_at = clock();
        kv.renew(self.id).await?;
        self.expires_at = requested_at + self.ttl;
        Ok(())
    }

    /// How much is left for certain.
    pub(crate) fn remaining(&self, clock: &PauseClock) -> Duration {
        self.expires_at.saturating_sub(clock())
    }

    /// Gives the lease back, so that another node need not wait until it lapses.
    pub(crate) async fn release(self, kv: &impl Kv) -> oatdale_platform::Result<()> {
        kv.revoke(self.id).await
    }
}
