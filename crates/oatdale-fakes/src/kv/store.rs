//! Keys, values and leases; no faults.

use crate::kv::MAX_VALUE;
use bytes::Bytes;
use oatdale_platform::{Condition, Entry, KvError, LeaseId, ModRevision, Put, Result};
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::time::Duration;
use tokio::time::Instant;

struct Value {
    bytes: Bytes,
    revision: ModRevision,
    lease: Option<LeaseId>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
pub(crate) struct Store {
    keys: BTreeMap<String, Value>,
    leases: HashMap<LeaseId, Lease>,
    /// One count for all keys, so that a key's revision rises across its deletion.
    revision: u64,
    last_lease: u64,
    /// Leases that ran out.
    pub(crate) lapsed: u64,
}

impl Store {
    pub(crate) fn get(&mut self, key: &str, now: Instant) -> Option<Entry> {
        self.lapse(now);
        self.keys.get(key).map(|value| entry(key, value))
    }

    pub(crate) fn list(
        &mut self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
        now: Instant,
    ) -> Vec<Entry> {
        self.lapse(now);
        let from = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        self.keys
            .range::<str, _>((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, value)| entry(key, value))
            .collect()
    }

    pub(crate) fn put(
        &mut self,
        key: &str,
        bytes: Bytes,
        cond: Condition,
        lease: Option<LeaseId>,
        now: Instant,
    ) -> Result<Put> {
        self.lapse(now);
        if bytes.len() > MAX_VALUE {
            return rejected("the value is over a megabyte");
        }
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return rejected("the lease has lapsed");
        }
        let have = self.keys.get(key).map(|value| value.revision);
        let holds = match cond {
            Condition::Absent => have.is_none(),
            Condition::Is(want) => have == Some(want),
        };
        if !holds {
            return Ok(Put::Conflict(have));
        }
        let revision = self.next_revision();
        let value = Value {
            bytes,
            revision,
            lease,
        };
        self.keys.insert(key.to_owned(), value);
        Ok(Put::Stored(revision))
    }

    pub(crate) fn delete(&mut self, key: &str, revision: ModRevision, now: Instant) -> Put {
        self.lapse(now);
        let have = self.keys.get(key).map(|value| value.revision);
        if have != Some(revision) {
            return Put::Conflict(have);
        }
        self.keys.remove(key);
        Put::Stored(self.next_revision())
    }

    pub(crate) fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.lapse(now);
        self.last_lease += 1;
        let id = LeaseId(self.last_lease);
        let until = now + ttl;
        self.leases.insert(id, Lease { ttl, until });
        id
    }

    pub(crate) fn renew(&mut self, id: LeaseId, now: Instant) -> Result<()> {
        self.lapse(now);
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.until = now + lease.ttl;
                Ok(())
            }
            None => rejected("the lease has lapsed"),
        }
    }

    pub(crate) fn revoke(&mut self, id: LeaseId, now: Instant) {
        self.lapse(now);
        self.drop_lease(id);
    }

    /// When the next lease runs out, if nobody renews it.
    pub(crate) fn next_lapse(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.until).min()
    }

    fn lapse(&mut self, now: Instant) {
        let over: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.drop_lease(id);
            self.lapsed += 1;
        }
    }

    fn drop_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id);
        self.keys.retain(|_, value| value.lease != Some(id));
    }

    fn next_revision(&mut self) -> ModRevision {
        self.revision += 1;
        ModRevision(self.revision)
    }
}

fn entry(key: &str, value: &Value) -> Entry {
    Entry {
        key: key.to_owned(),
        value: value.bytes.clone(),
        revision: value.revision,
    }
}

fn rejected<T>(message: &str) -> Result<T> {
    Err(KvError::Rejected {
        message: message.to_owned(),
    })
}
