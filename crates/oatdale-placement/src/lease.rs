//! The lease that entitles a node to place a pool: a key in the key-value service with a TTL.
//!
//! The revision of the key is the fencing number; it rises with every new holder. The holder counts
//! the TTL from before it sent its request, on a clock that includes pauses of the process, so that
//! the lease never expires later for the holder than for the service.

use crate::PauseClock;
use bytes::Bytes;
use oatdale_platform::{Condition, Kv, KvError, LeaseId, ModRevision, Put};
use std::time::Duration;

/// A lease from the view of its holder.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    id: LeaseId,
    /// Fencing number.
    pub(crate) fencing: u64,
    ttl: Duration,
    /// Latest time at which the lease expires, on the holder's clock.
    expires_at: Duration,
}

/// The result of an attempt to acquire the lease.
#[derive(Debug)]
pub(crate) enum Acquisition {
    /// This process holds the lease.
    Acquired(Lease),
    /// Another process holds the lease; the key has this revision.
    HeldByOther(ModRevision),
}

impl Lease {
    /// Tries to acquire the lease on `key`. `token` must never have been used before.
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
                // The granted lease is unused; it expires by itself if this fails.
                let _ = kv.revoke(id).await;
                Ok(Acquisition::HeldByOther(revision.unwrap_or_default()))
            }
            // The write may have succeeded, which the token in the key shows. If the key does not
            // exist yet it may still appear; it then expires with its lease, which nobody renews.
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

    /// Renews the lease. On an error the expiry time stays unchanged.
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

    /// Returns the time for which the lease is certainly still valid.
    pub(crate) fn remaining(&self, clock: &PauseClock) -> Duration {
        self.expires_at.saturating_sub(clock())
    }

    /// Revokes the lease, so that another node need not wait until it expires.
    pub(crate) async fn release(self, kv: &impl Kv) -> oatdale_platform::Result<()> {
        kv.revoke(self.id).await
    }
}
