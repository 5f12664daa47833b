//! Counts of errors, ratings and slow answers by version, shared between nodes.

use oatdale_config::{Key, VersionKey};
use std::collections::BTreeMap;

/// Counters of one node for one version since the node's start; they never decrease.
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
    /// Answers whose first byte took several times as long as usual.
    pub slow: u64,
}

impl VersionCounters {
    /// Creates counters at zero.
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

    /// Returns the larger of each count.
    fn max(&self, other: &VersionCounters) -> VersionCounters {
        self.zip(other, u64::max)
    }

    /// Returns the sum of each count.
    pub(crate) fn plus(&self, other: &VersionCounters) -> VersionCounters {
        self.zip(other, |a, b| a + b)
    }

    /// Returns what was counted since `earlier`.
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

/// Counters of this node, the latest of the other nodes, and the sums.
pub(crate) struct Evidence {
    own: Vec<VersionCounters>,
    /// Latest counters of the other nodes, by incarnation.
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

    /// Updates this node's counters of a version.
    pub(crate) fn record(&mut self, version: VersionKey, f: impl Fn(&mut VersionCounters)) {
        let index = version.index();
        if let (Some(own), Some(total)) = (self.own.get_mut(index), self.totals.get_mut(index)) {
            f(own);
            f(total);
        }
    }

    /// Merges another node's counters; duplicate or outdated reports change nothing.
    pub(crate) fn merge(&mut self, incarnation: u64, counters: &[VersionCounters]) {
        let reported = self.remote.entry(incarnation).or_default();
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

    /// Returns the sum over all nodes.
    pub(crate) fn total(&self, version: VersionKey) -> VersionCounters {
        self.totals[version.index()]
    }

    /// Moves the counters to the keys of a new configuration.
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
        for (incarnation, counters) in old.remote {
            let moved: Vec<_> = counters
                .iter()
                .filter_map(|c| {
                    let version = map(c.version)?;
                    Some(VersionCounters { version, ..*c })
                })
                .collect();
            self.merge(incarnation, &moved);
        }
    }
}
