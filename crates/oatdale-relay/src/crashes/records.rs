//! What is to be recorded on the platform of requests that crash endpoints.

use crate::update::QuarantineState;
use oatdale_policy::relay::{Fingerprint, SUSPECT_TIME};
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
    state: QuarantineState,
    decided_at: Duration,
    /// Time of the next write; unset once the record has been read back.
    due: Option<Duration>,
}

impl PendingRecords {
    /// Adds a decision made by this node.
    pub(crate) fn add(&mut self, now: Duration, request: Fingerprint, state: QuarantineState) {
        let decision = Decision {
            state,
            decided_at: now,
            due: Some(now),
        };
        self.0.insert(request, decision);
    }

    /// Adds a request that another node has quarantined and is expected to record; `rank` is this
    /// node's position among those that write the record if that node does not.
    pub(crate) fn add_fallback(&mut self, now: Duration, request: Fingerprint, rank: usize) {
        self.add_ranked(now, request, QuarantineState::Held, rank + 1);
    }

    /// Adds a decision that several nodes make; the one of rank 0 writes it at once, and the others
    /// one after the other until its record has been read.
    pub(crate) fn add_ranked(
        &mut self,
        now: Duration,
        request: Fingerprint,
        state: QuarantineState,
        rank: usize,
    ) {
        let delay = WRITE_INTERVAL * u32::try_from(rank).unwrap_or(u32::MAX);
        let decision = Decision {
            state,
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
        recorded: &QuarantineState,
    ) -> bool {
        let Some(decision) = self.0.get_mut(&request) else {
            return true;
        };
        match (&decision.state, recorded) {
            (QuarantineState::Released, QuarantineState::Released) => {
                decision.due = None;
                true
            }
            (QuarantineState::Released, _) => {
                decision.due = Some(now);
                false
            }
            // Of the crashes that several nodes record, the last write may lack some.
            (QuarantineState::Suspected(own), QuarantineState::Suspected(crashed))
                if !own.iter().all(|endpoint| crashed.contains(endpoint)) =>
            {
                true
            }
            (QuarantineState::Held, QuarantineState::Suspected(_)) => true,
            _ => {
                self.0.remove(&request);
                true
            }
        }
    }

    /// Returns the decisions to write now.
    pub(crate) fn due_writes(&mut self, now: Duration) -> Vec<(Fingerprint, QuarantineState)> {
        self.0.retain(|_, d| d.is_pending(now));
        let due = self.0.iter_mut();
        due.filter(|(_, d)| d.due.is_some_and(|due| due <= now))
            .map(|(request, decision)| {
                decision.due = Some(now + WRITE_INTERVAL);
                (*request, decision.state.clone())
            })
            .collect()
    }
}

impl Decision {
    fn is_pending(&self, now: Duration) -> bool {
        let is_outdated = matches!(self.state, QuarantineState::Suspected(_))
            && now >= self.decided_at + SUSPECT_TIME;
        !is_outdated && (self.due.is_some() || now < self.decided_at + LATE_WRITE_WINDOW)
    }
}
