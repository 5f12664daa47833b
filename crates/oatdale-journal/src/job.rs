//! A record that waits for the log, and the answer it gets from the fold.

use crate::error::{JournalError, Result};
use crate::fold::{BillState, Fold};
use crate::handle::Claim;
use crate::record::{Pin, Record};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Whom to tell.
pub(crate) enum Reply {
    Claim(oneshot::Sender<Result<Claim>>),
    Pin(oneshot::Sender<Result<Pin>>),
    Done(oneshot::Sender<Result<()>>),
    /// Nobody; the job stays until the log has it.
    None,
}

/// A record that waits for the log.
pub(crate) struct Job {
    pub(crate) record: Record,
    pub(crate) bytes: usize,
    pub(crate) queued_at: Instant,
    /// Whether the log's end was looked at since the job came.
    pub(crate) log_end_read: bool,
    reply: Reply,
}

/// What the fold says of a job.
pub(crate) enum Resolution {
    /// It must be written.
    Write,
    /// The end of the log must be read before it can be answered.
    ReadLog,
    Claim(Result<Claim>),
    Pin(Pin),
    Done(Result<()>),
}

impl Job {
    pub(crate) fn new(record: Record, reply: Reply, bytes: usize) -> Self {
        Job {
            record,
            bytes,
            queued_at: Instant::now(),
            log_end_read: false,
            reply,
        }
    }

    /// Whether a caller waits for the job before it can go on; bills only wait to be kept.
    pub(crate) fn is_urgent(&self) -> bool {
        !matches!(self.record, Record::Bill(_))
    }

    /// Whether the job may be given up with an error; one that nobody waits for may not.
    pub(crate) fn has_caller(&self) -> bool {
        !matches!(self.reply, Reply::None)
    }

    /// How long the job waits where a claim waits for `claim`. Nobody but a holder waits for a
    /// bill, and giving one up only means that it is written again.
    pub(crate) fn max_wait(&self, claim_max_wait: Duration) -> Duration {
        match self.record {
            Record::Bill(_) => claim_max_wait * 5,
            _ => claim_max_wait,
        }
    }

    /// Looks the answer up in a fold.
    pub(crate) fn resolve(&self, fold: &Fold) -> Resolution {
        match &self.record {
            Record::Claim { key, by } => self.resolve_claim(fold.claim(*key), fold, *by),
            Record::Release { by, .. } if fold.is_released(*by) => Resolution::Done(Ok(())),
            Record::Release { .. } => Resolution::Write,
            Record::Finish { key, by, .. } => match fold.claim(*key) {
                Some(held) if held.by == *by && held.finished.is_none() => Resolution::Write,
                _ => Resolution::Done(Ok(())),
            },
            Record::Pin { session, .. } => match fold.pin(*session) {
                Some(pin) => Resolution::Pin(pin.clone()),
                None => Resolution::Write,
            },
            Record::Bill(bill) => match fold.bill_state(bill) {
                BillState::New => Resolution::Write,
                BillState::Known => Resolution::Done(Ok(())),
                BillState::TooLate => {
                    let request = bill.request();
                    Resolution::Done(Err(JournalError::TooLate { request }))
                }
            },
        }
    }

    fn resolve_claim(
        &self,
        held: Option<crate::fold::HeldClaim>,
        fold: &Fold,
        by: crate::record::RequestId,
    ) -> Resolution {
        match held {
            Some(held) if held.by == by => Resolution::Claim(Ok(self.won_claim(fold))),
            // The holder may have given the key back since this process last read the log.
            Some(_) if !self.log_end_read => Resolution::ReadLog,
            Some(held) => Resolution::Claim(Ok(Claim::Lost {
                by: held.by,
                finished: held.finished,
            })),
            None if fold.is_released(by) => {
                Resolution::Claim(Err(JournalError::Released { request: by }))
            }
            None => Resolution::Write,
        }
    }

    /// A claim may be used for a quarter of its retention, counted from before it was written.
    fn won_claim(&self, fold: &Fold) -> Claim {
        let usable = Duration::from_millis(fold.retention.claims / 4);
        let dispatch_by = self.queued_at + usable;
        Claim::Won { dispatch_by }
    }

    /// Answers the caller, if there is one and it still waits.
    pub(crate) fn answer(self, resolution: Resolution) {
        // A caller that has gone needs no answer; its record is in the log all the same.
        let _ = match (self.reply, resolution) {
            (Reply::Claim(tx), Resolution::Claim(result)) => tx.send(result).is_ok(),
            (Reply::Pin(tx), Resolution::Pin(pin)) => tx.send(Ok(pin)).is_ok(),
            (Reply::Done(tx), Resolution::Done(result)) => tx.send(result).is_ok(),
            _ => false,
        };
    }

    /// Answers the caller with an error.
    pub(crate) fn fail(self, error: JournalError) {
        let _ = match self.reply {
            Reply::Claim(tx) => tx.send(Err(error)).is_ok(),
            Reply::Pin(tx) => tx.send(Err(error)).is_ok(),
            Reply::Done(tx) => tx.send(Err(error)).is_ok(),
            Reply::None => false,
        };
    }
}
