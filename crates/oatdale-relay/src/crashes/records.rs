//! Quarantine decisions not yet recorded on the platform.

use oatdale_policy::relay::Fingerprint;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between writes of one decision until its record is read back.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long after an unanswered write it may still be executed.
const LATE_WRITE_WINDOW: Duration = Duration::from_secs(10);

/// Decisions that this node is responsible for writing and has not read back from the platform yet.
#[derive(Debug, Default)]
pub(crate) struct PendingRecords(BTreeMap<Fingerprint, Decision>);

#[derive(Debug)]
struct Decision {
    is_quarantined: bool,
    decided_at: Duration,
    /// Time of the next write; unset once the record has been read back.
    due: Option<Duration>,
}

impl PendingRecords {
    /// Adds a decision made by this node.
    pub(crate) fn add(&mut self, now: Duration, request: Fingerprint, is_quarantined: bool) {
        let decision = Decision {
            is_quarantined,
            decided_at: now,
            due: Some(now),
        };
        self.0.insert(request, decision);
    }

    /// Adds a request that another node has quarantined and is expected to record; `rank` is this
    /// node's position among those that write the record if that node does not.
    pub(crate) fn add_fallback(&mut self, now: Duration, request: Fingerprint, rank: usize) {
        let delay = WRITE_INTERVAL * u32::try_from(rank + 1).unwrap_or(u32::MAX);
        let decision = Decision {
            is_quarantined: true,
            decided_at: now,
            due: Some(now + delay),
        };
        self.0.insert(request, decision);
    }

    /// Removes a superseded decision.
    pub(crate) fn remove(&mut self, request: Fingerprint) {
        self.0.remove(&request);
    }

    /// Handles a record, and returns whether it is to be applied. The write of a decision that this
    /// node has since reversed may be executed late; that record is ignored and overwritten.
    pub(crate) fn handle_record(
        &mut self,
        now: Duration,
        request: Fingerprint,
        is_quarantined: bool,
    ) -> bool {
        match self.0.get_mut(&request) {
            Some(decision) if !decision.is_quarantined && is_quarantined => {
                decision.due = Some(now);
                false
            }
            Some(decision) if !decision.is_quarantined => {
                decision.due = None;
                true
            }
            _ => {
                self.0.remove(&request);
                true
            }
        }
    }

    /// Returns the decisions to write now.
    pub(crate) fn due_writes(&mut self, now: Duration) -> Vec<(Fingerprint, bool)> {
        let is_pending = |d: &Decision| d.due.is_some() || now < d.decided_at + LATE_WRITE_WINDOW;
        self.0.retain(|_, d| is_pending(d));
        let due = self.0.iter_mut();
        due.filter(|(_, d)| d.due.is_some_and(|due| due <= now))
            .map(|(request, decision)| {
                decision.due = Some(now + WRITE_INTERVAL);
                (*request, decision.is_quarantined)
            })
            .collect()
    }
}
