//! Decisions about requests that are still to be recorded at the platform.

use oatdale_policy::relay::Fingerprint;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two writes of one decision until the record is read.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long a write that was not answered may still be executed.
const LATE_WRITE_TIME: Duration = Duration::from_secs(10);

/// Decisions that this node sees to, and has not read from the platform yet.
#[derive(Debug, Default)]
pub(crate) struct Unrecorded(BTreeMap<Fingerprint, Decision>);

#[derive(Debug)]
struct Decision {
    is_held: bool,
    since: Duration,
    /// When it is written next; unset once its record was read.
    due: Option<Duration>,
}

impl Unrecorded {
    /// Adds a decision of this node.
    pub(crate) fn add(&mut self, now: Duration, request: Fingerprint, is_held: bool) {
        let decision = Decision {
            is_held,
            since: now,
            due: Some(now),
        };
        self.0.insert(request, decision);
    }

    /// Adds a request that another node has held and records; `rank` is this node's place among those that do so if
    /// that node does not.
    pub(crate) fn add_fallback(&mut self, now: Duration, request: Fingerprint, rank: usize) {
        let wait = WRITE_INTERVAL * u32::try_from(rank + 1).unwrap_or(u32::MAX);
        let decision = Decision {
            is_held: true,
            since: now,
            due: Some(now + wait),
        };
        self.0.insert(request, decision);
    }

    /// Drops a decision that was overtaken.
    pub(crate) fn remove(&mut self, request: Fingerprint) {
        self.0.remove(&request);
    }

    /// Notes what a record says, and says whether it counts: a write of a decision that this node has overtaken may be
    /// executed late, and is then written over.
    pub(crate) fn note_record(
        &mut self,
        now: Duration,
        request: Fingerprint,
        is_held: bool,
    ) -> bool {
        match self.0.get_mut(&request) {
            Some(decision) if !decision.is_held && is_held => {
                decision.due = Some(now);
                false
            }
            Some(decision) if !decision.is_held => {
                decision.due = None;
                true
            }
            _ => {
                self.0.remove(&request);
                true
            }
        }
    }

    /// The decisions that are to be written now.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<(Fingerprint, bool)> {
        let is_open = |d: &Decision| d.due.is_some() || now < d.since + LATE_WRITE_TIME;
        self.0.retain(|_, d| is_open(d));
        let due = self.0.iter_mut();
        due.filter(|(_, d)| d.due.is_some_and(|due| due <= now))
            .map(|(request, decision)| {
                decision.due = Some(now + WRITE_INTERVAL);
                (*request, decision.is_held)
            })
            .collect()
    }
}
