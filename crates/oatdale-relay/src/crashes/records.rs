//! Decisions about requests that are still to be recorded at the platform.

use oatdale_policy::relay::Fingerprint;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two writes of one decision until the record is read.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Decisions that this node sees to, and has not read from the platform yet.
#[derive(Debug, Default)]
pub(crate) struct Unrecorded(BTreeMap<Fingerprint, Decision>);

#[derive(Debug)]
struct Decision {
    is_held: bool,
    /// When it is written next.
    due: Duration,
}

impl Unrecorded {
    /// Adds a decision of this node.
    pub(crate) fn add(&mut self, now: Duration, request: Fingerprint, is_held: bool) {
        self.0.insert(request, Decision { is_held, due: now });
    }

    /// Adds a request that another node has held and records; `rank` is this node's place among those that do so if
    /// that node does not.
    pub(crate) fn add_fallback(&mut self, now: Duration, request: Fingerprint, rank: usize) {
        let wait = WRITE_INTERVAL * u32::try_from(rank + 1).unwrap_or(u32::MAX);
        let decision = Decision {
            is_held: true,
            due: now + wait,
        };
        self.0.insert(request, decision);
    }

    /// Notes what a record says.
    pub(crate) fn note_record(&mut self, request: Fingerprint, is_held: bool) {
        let is_same = self.0.get(&request).is_some_and(|d| d.is_held == is_held);
        if is_same {
            self.0.remove(&request);
        }
    }

    /// The decisions that are to be written now.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<(Fingerprint, bool)> {
        let due = self.0.iter_mut().filter(|(_, d)| d.due <= now);
        due.map(|(request, decision)| {
            decision.due = now + WRITE_INTERVAL;
            (*request, decision.is_held)
        })
        .collect()
    }
}
