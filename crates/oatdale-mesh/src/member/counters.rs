//! Evidence about versions: monotonic counters, merged by maximum for each process.

use crate::types::{HostId, VersionCounters};
use crate::wire::HostCounters;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of counters per version.
const MAX_COUNTERS_PER_VERSION: usize = 16;
/// Maximum number of versions per process.
const MAX_VERSIONS: usize = 256;
/// Maximum number of processes of this failure domain that are kept.
const MAX_PROCESSES: usize = 512;

type Counts = BTreeMap<u32, Vec<u64>>;

/// Counters of each process in this failure domain, and sums over each other domain.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    processes: BTreeMap<(HostId, u64), (Duration, Counts)>,
    domains: BTreeMap<u32, Counts>,
    /// Counters of this process that were sent to peers in this failure domain.
    sent_to_domain: Counts,
    reported_totals: Counts,
}

impl Counters {
    /// Sets the counters of this process.
    pub(crate) fn set_local_counters(
        &mut self,
        id: (HostId, u64),
        list: &[VersionCounters],
        now: Duration,
    ) {
        let counts = list.iter().map(|v| (v.version, v.counts.clone())).collect();
        let own = HostCounters {
            host: id.0,
            incarnation: id.1,
            counts,
        };
        self.merge(std::slice::from_ref(&own), now);
    }

    pub(crate) fn merge(&mut self, list: &[HostCounters], now: Duration) {
        for process in list {
            let key = (process.host, process.incarnation);
            let entry = self.processes.entry(key).or_default();
            entry.0 = now;
            merge_max(&mut entry.1, &process.counts);
        }
        while self.processes.len() > MAX_PROCESSES {
            let oldest = self
                .processes
                .iter()
                .min_by_key(|(_, (at, _))| *at)
                .map(|(key, _)| *key);
            let Some(oldest) = oldest else { break };
            self.processes.remove(&oldest);
        }
    }

    /// Merges the sums of another failure domain; sums from different reporters merge by maximum.
    pub(crate) fn merge_domain(&mut self, domain: u32, counts: &[(u32, Vec<u64>)]) {
        merge_max(self.domains.entry(domain).or_default(), counts);
    }

    pub(crate) fn domain_counts(&self, domain: u32) -> Vec<(u32, Vec<u64>)> {
        self.domains.get(&domain).map(to_pairs).unwrap_or_default()
    }

    /// Returns the counters of this process that changed since the last call.
    pub(crate) fn take_local_changes(&mut self, id: (HostId, u64)) -> Option<HostCounters> {
        let (_, own) = self.processes.get(&id)?;
        let counts = changed_counts(own, &self.sent_to_domain);
        merge_max(&mut self.sent_to_domain, &counts);
        (!counts.is_empty()).then_some(HostCounters {
            host: id.0,
            incarnation: id.1,
            counts,
        })
    }

    /// Counters of all processes in this failure domain, for a peer in it.
    pub(crate) fn process_counters(&self) -> Vec<HostCounters> {
        self.processes
            .iter()
            .map(|((host, incarnation), (_, counts))| HostCounters {
                host: *host,
                incarnation: *incarnation,
                counts: to_pairs(counts),
            })
            .collect()
    }

    /// Returns sums over this failure domain that differ from `sent`, and adds them to `sent`.
    pub(crate) fn take_domain_changes(&self, sent: &mut Counts) -> Vec<(u32, Vec<u64>)> {
        let sums = sum_by_version(self.processes.values().map(|(_, counts)| counts));
        let counts = changed_counts(&sums, sent);
        merge_max(sent, &counts);
        counts
    }

    /// Returns sums over all other processes if they changed since the last call.
    pub(crate) fn take_totals(
        &mut self,
        local_process: (HostId, u64),
    ) -> Option<Vec<VersionCounters>> {
        let others = self
            .processes
            .iter()
            .filter(|(id, _)| **id != local_process)
            .map(|(_, (_, c))| c);
        let sums = sum_by_version(others.chain(self.domains.values()));
        if changed_counts(&sums, &self.reported_totals).is_empty() {
            return None;
        }
        merge_max(&mut self.reported_totals, &to_pairs(&sums));
        let version = |(version, counts): (&u32, &Vec<u64>)| VersionCounters {
            version: *version,
            counts: counts.clone(),
        };
        Some(self.reported_totals.iter().map(version).collect())
    }
}

fn to_pairs(counts: &Counts) -> Vec<(u32, Vec<u64>)> {
    counts
        .iter()
        .map(|(version, counts)| (*version, counts.clone()))
        .collect()
}

fn merge_max(into: &mut Counts, from: &[(u32, Vec<u64>)]) {
    for (version, counts) in from {
        if into.len() >= MAX_VERSIONS && !into.contains_key(version) {
            continue;
        }
        let entry = into.entry(*version).or_default();
        combine(entry, counts, u64::max);
    }
}

fn sum_by_version<'a>(all: impl Iterator<Item = &'a Counts>) -> Counts {
    let mut sums = Counts::new();
    for (version, counts) in all.flatten() {
        combine(
            sums.entry(*version).or_default(),
            counts,
            u64::saturating_add,
        );
    }
    sums
}

fn combine(into: &mut Vec<u64>, from: &[u64], join: impl Fn(u64, u64) -> u64) {
    let len = from.len().min(MAX_COUNTERS_PER_VERSION);
    if into.len() < len {
        into.resize(len, 0);
    }
    for (a, b) in into.iter_mut().zip(&from[..len]) {
        *a = join(*a, *b);
    }
}

fn changed_counts(current: &Counts, previous: &Counts) -> Vec<(u32, Vec<u64>)> {
    current
        .iter()
        .filter(|(version, counts)| previous.get(version) != Some(counts))
        .map(|(version, counts)| (*version, counts.clone()))
        .collect()
}
