//! Records of requests that crash endpoints, as far as they are still to be written to the platform.

use crate::update::QuarantineState;
use oatdale_policy::relay::{Fingerprint, SUSPECT_TIME};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between writes of one record until it is read back.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long after an unanswered write it may still be executed.
const LATE_WRITE_WINDOW: Duration = Duration::from_secs(10);

/// Records that this node is responsible for writing and has not read back from the platform yet.
#[derive(Debug, Default)]
pub(crate) struct PendingRecords(BTreeMap<Fingerprint, PendingRecord>);

#[derive(Debug)]
struct PendingRecord {
    state: QuarantineState,
    added_at: Duration,
    /// Time of the next write; unset once the record has been read back.
    due: Option<Duration>,
}

impl PendingRecords {
    /// Adds a record that this node writes at once.
    pub(crate) fn add(&mut self, now: Duration, request: Fingerprint, state: QuarantineState) {
        self.add_ranked(now, request, state, 0);
    }

    /// Adds a request that another node has quarantined and is expected to record; `rank` is this
    /// node's position among those that write the record if that node does not.
    pub(crate) fn add_fallback(&mut self, now: Duration, request: Fingerprint, rank: usize) {
        self.add_ranked(now, request, QuarantineState::Held, rank + 1);
    }

    /// Adds a record that several nodes are to write: that of rank 0 at once, and the others one after
    /// the other until the record has been read.
    pub(crate) fn add_ranked(
        &mut self,
        now: Duration,
        request: Fingerprint,
        state: QuarantineState,
        rank: usize,
    ) {
        let delay = WRITE_INTERVAL * u32::try_from(rank).unwrap_or(u32::MAX);
        let record = PendingRecord {
            state,
            added_at: now,
            due: Some(now + delay),
        };
        self.0.insert(request, record);
    }

    /// Removes a superseded record.
    pub(crate) fn remove(&mut self, request: Fingerprint) {
        self.0.remove(&request);
    }

    /// Handles a record that was read, and returns whether it is to be applied. After this node has
    /// released a request, a record that says otherwise was written late; it is ignored and overwritten.
    pub(crate) fn handle_record(
        &mut self,
        now: Duration,
        request: Fingerprint,
        recorded: &QuarantineState,
    ) -> bool {
        let Some(pending) = self.0.get_mut(&request) else {
            return true;
        };
        match (&pending.state, recorded) {
            (QuarantineState::Released, QuarantineState::Released) => {
                pending.due = None;
                true
            }
            (QuarantineState::Released, _) => {
                pending.due = Some(now);
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

    /// Returns the records to write now.
    pub(crate) fn due_writes(&mut self, now: Duration) -> Vec<(Fingerprint, QuarantineState)> {
        self.0.retain(|_, record| record.is_pending(now));
        let due = self.0.iter_mut();
        due.filter(|(_, record)| record.due.is_some_and(|due| due <= now))
            .map(|(request, record)| {
                record.due = Some(now + WRITE_INTERVAL);
                (*request, record.state.clone())
            })
            .collect()
    }
}

impl PendingRecord {
    fn is_pending(&self, now: Duration) -> bool {
        let is_outdated = matches!(self.state, QuarantineState::Suspected(_))
            && now >= self.added_at + SUSPECT_TIME;
        !is_outdated && (self.due.is_some() || now < self.added_at + LATE_WRITE_WINDOW)
    }
}
