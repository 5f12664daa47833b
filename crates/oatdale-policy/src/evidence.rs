//! Counts of how versions behave, shared between nodes.

use oatdale_config::{Key, VersionKey};
use std::collections::BTreeMap;

/// One node's counts for one version since the node's start; none ever falls.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct VersionCounters {
    /// The version.
    pub version: VersionKey,
    /// Attempts that ended in an answer or an error.
    pub requests: u64,
    /// Of these, how many ended in an error or timeout.
    pub errors: u64,
    /// Answers that were rated.
    pub rated: u64,
    /// Of these, how many were rated too low.
    pub low: u64,
    /// Answers whose first byte took longer than is usual for the service.
    pub slow: u64,
}

impl VersionCounters {
    /// Counters that have seen nothing.
    pub fn zero(version: VersionKey) -> Self {
        VersionCounters {
            version,
            requests: 0,
            errors: 0,
            rated: 0,
            low: 0,
            slow: 0,
        }
    }

    /// The larger of each count.
    fn max(&self, other: &VersionCounters) -> VersionCounters {
        self.zip(other, u64::max)
    }

    /// The sum of each count.
    pub(crate) fn plus(&self, other: &VersionCounters) -> VersionCounters {
        self.zip(other, |a, b| a + b)
    }

    /// What was counted since `earlier`.
    pub(crate) fn since(&self, earlier: &VersionCounters) -> VersionCounters {
        self.zip(earlier, u64::saturating_sub)
    }

    fn zip(&self, other: &VersionCounters, f: impl Fn(u64, u64) -> u64) -> VersionCounters {
        VersionCounters {
            version: self.version,
            requests: f(self.requests, other.requests),
            errors: f(self.errors, other.errors),
            rated: f(self.rated, other.rated),
            low: f(self.low, other.low),
            slow: f(self.slow, other.slow),
        }
    }
}

/// This node's counts, the newest that other nodes reported, and the sums.
pub(crate) struct Evidence {
    own: Vec<VersionCounters>,
    remote: BTreeMap<u64, Vec<VersionCounters>>,
    totals: Vec<VersionCounters>,
}

impl Evidence {
    pub(crate) fn new(versions: impl Iterator<Item = VersionKey>) -> Self {
        let own: Vec<_> = versions.map(VersionCounters::zero).collect();
        Evidence {
            totals: own.clone(),
            own,
            remote: BTreeMap::new(),
        }
    }

    pub(crate) fn own(&self) -> &[VersionCounters] {
        &self.own
    }

    /// Counts something at this node.
    pub(crate) fn record(&mut self, version: VersionKey, f: impl Fn(&mut VersionCounters)) {
        let index = version.index();
        if let (Some(own), Some(total)) = (self.own.get_mut(index), self.totals.get_mut(index)) {
            f(own);
            f(total);
        }
    }

    /// Takes in another node's counts; a report that comes twice or late changes nothing.
    pub(crate) fn merge(&mut self, node: u64, counters: &[VersionCounters]) {
        let reported = self.remote.entry(node).or_default();
        for new in counters {
            let Some(total) = self.totals.get_mut(new.version.index()) else {
                continue;
            };
            let index = match reported.iter().position(|c| c.version == new.version) {
                Some(index) => index,
                None => {
                    reported.push(VersionCounters::zero(new.version));
                    reported.len() - 1
                }
            };
            let merged = reported[index].max(new);
            *total = total.plus(&merged.since(&reported[index]));
            reported[index] = merged;
        }
    }

    /// The sum over all nodes.
    pub(crate) fn total(&self, version: VersionKey) -> VersionCounters {
        self.totals[version.index()]
    }

    /// Moves the counts to a new configuration's keys.
    pub(crate) fn rekey(
        &mut self,
        versions: impl Iterator<Item = VersionKey>,
        map: impl Fn(VersionKey) -> Option<VersionKey>,
    ) {
        let old = std::mem::replace(self, Evidence::new(versions));
        for counters in old.own {
            if let Some(version) = map(counters.version) {
                let moved = VersionCounters {
                    version,
                    ..counters
                };
                self.record(version, |c| *c = c.plus(&moved));
            }
        }
        for (node, counters) in old.remote {
            let moved: Vec<_> = counters
                .iter()
                .filter_map(|c| {
                    let version = map(c.version)?;
                    Some(VersionCounters { version, ..*c })
                })
                .collect();
            self.merge(node, &moved);
        }
    }
}
