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
    pub(crate) since: Instant,
    /// Whether the log's end was looked at since the job came.
    pub(crate) checked: bool,
    reply: Reply,
}

/// What the fold says of a job.
pub(crate) enum Verdict {
    /// It must be written.
    Write,
    /// The end of the log must be read before it can be answered.
    Look,
    Claim(Result<Claim>),
    Pin(Pin),
    Done(Result<()>),
}

impl Job {
    pub(crate) fn new(record: Record, reply: Reply, bytes: usize) -> Self {
        Job {
            record,
            bytes,
            since: Instant::now(),
            checked: false,
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
    pub(crate) fn patience(&self, claim: Duration) -> Duration {
        match self.record {
            Record::Bill(_) => claim * 5,
            _ => claim,
        }
    }

    /// Looks the answer up in a fold.
    pub(crate) fn verdict(&self, fold: &Fold) -> Verdict {
        match &self.record {
            Record::Claim { key, by } => self.claim_verdict(fold.claim(*key), fold, *by),
            Record::Release { by, .. } if fold.is_released(*by) => Verdict::Done(Ok(())),
            Record::Release { .. } => Verdict::Write,
            Record::Finish { key, by, .. } => match fold.claim(*key) {
                Some(held) if held.by == *by && held.finished.is_none() => Verdict::Write,
                _ => Verdict::Done(Ok(())),
            },
            Record::Pin { session, .. } => match fold.pin(*session) {
                Some(pin) => Verdict::Pin(pin.clone()),
                None => Verdict::Write,
            },
            Record::Bill(bill) => match fold.bill_state(bill) {
                BillState::New => Verdict::Write,
                BillState::Known => Verdict::Done(Ok(())),
                BillState::TooLate => {
                    let request = bill.request();
                    Verdict::Done(Err(JournalError::TooLate { request }))
                }
            },
        }
    }

    fn claim_verdict(
        &self,
        held: Option<crate::fold::Held>,
        fold: &Fold,
        by: crate::record::RequestId,
    ) -> Verdict {
        match held {
            Some(held) if held.by == by => Verdict::Claim(Ok(self.won(fold))),
            // The holder may have given the key back since this process last read the log.
            Some(_) if !self.checked => Verdict::Look,
            Some(held) => Verdict::Claim(Ok(Claim::Lost {
                by: held.by,
                finished: held.finished,
            })),
            None if fold.is_released(by) => {
                Verdict::Claim(Err(JournalError::Released { request: by }))
            }
            None => Verdict::Write,
        }
    }

    /// A claim may be used for a quarter of its retention, counted from before it was written.
    fn won(&self, fold: &Fold) -> Claim {
        let usable = Duration::from_millis(fold.retention.claims / 4);
        let dispatch_by = self.since + usable;
        Claim::Won { dispatch_by }
    }

    /// Answers the caller, if there is one and it still waits.
    pub(crate) fn answer(self, verdict: Verdict) {
        // A caller that has gone needs no answer; its record is in the log all the same.
        let _ = match (self.reply, verdict) {
            (Reply::Claim(tx), Verdict::Claim(result)) => tx.send(result).is_ok(),
            (Reply::Pin(tx), Verdict::Pin(pin)) => tx.send(Ok(pin)).is_ok(),
            (Reply::Done(tx), Verdict::Done(result)) => tx.send(result).is_ok(),
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
