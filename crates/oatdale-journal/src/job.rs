//! A record queued for the log, and its resolution from the fold.

use crate::error::{JournalError, Result};
use crate::fold::{BillState, Fold};
use crate::handle::Claim;
use crate::record::{Pin, Record};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Channel that receives a job's result.
pub(crate) enum Reply {
    Claim(oneshot::Sender<Result<Claim>>),
    Pin(oneshot::Sender<Result<Pin>>),
    Done(oneshot::Sender<Result<()>>),
    /// No caller waits; the job stays queued until its record is in the log.
    None,
}

/// A record queued for the log.
pub(crate) struct Job {
    pub(crate) record: Record,
    pub(crate) bytes: usize,
    pub(crate) queued_at: Instant,
    /// Whether the log was read to its end since the job was submitted.
    pub(crate) log_end_read: bool,
    reply: Reply,
}

/// How a job can be resolved with the state of the fold.
pub(crate) enum Resolution {
    /// The record must be written.
    Write,
    /// The log must be read to its end before the job can be answered.
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

    /// Whether a request is blocked until the job is answered. Bills are not urgent, since they
    /// only have to become durable.
    pub(crate) fn is_urgent(&self) -> bool {
        !matches!(self.record, Record::Bill(_))
    }

    /// Whether a caller waits for the result. Only such a job may be failed with an error.
    pub(crate) fn has_caller(&self) -> bool {
        !matches!(self.reply, Reply::None)
    }

    /// Returns how long the job may wait, given the limit for claims. Bills may wait longer: only
    /// a node that holds the bill waits for them, and after a failure it writes them again.
    pub(crate) fn max_wait(&self, claim_max_wait: Duration) -> Duration {
        match self.record {
            Record::Bill(_) => claim_max_wait * 5,
            _ => claim_max_wait,
        }
    }

    /// Resolves the job with the state of a fold.
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
            // The holder may have released the key since this process last read the log.
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

    /// Returns a won claim. Its dispatch deadline is a quarter of the claim retention after the job
    /// was submitted, which precedes the record's write.
    fn won_claim(&self, fold: &Fold) -> Claim {
        let usable = Duration::from_millis(fold.retention.claims / 4);
        let dispatch_by = self.queued_at + usable;
        Claim::Won { dispatch_by }
    }

    /// Sends the result to the caller, if one still waits.
    pub(crate) fn answer(self, resolution: Resolution) {
        // A failed send means that the caller no longer waits; its record is in the log anyway.
        let _ = match (self.reply, resolution) {
            (Reply::Claim(tx), Resolution::Claim(result)) => tx.send(result).is_ok(),
            (Reply::Pin(tx), Resolution::Pin(pin)) => tx.send(Ok(pin)).is_ok(),
            (Reply::Done(tx), Resolution::Done(result)) => tx.send(result).is_ok(),
            _ => false,
        };
    }

    /// Sends an error to the caller, if one still waits.
    pub(crate) fn fail(self, error: JournalError) {
        let _ = match self.reply {
            Reply::Claim(tx) => tx.send(Err(error)).is_ok(),
            Reply::Pin(tx) => tx.send(Err(error)).is_ok(),
            Reply::Done(tx) => tx.send(Err(error)).is_ok(),
            Reply::None => false,
        };
    }
}
