//! What callers of the journal hold.

use crate::error::{JournalError, Result};
use crate::job::{Job, Reply};
use crate::meta::Meta;
use crate::record::{
    BillRecord, ClaimKey, Millis, Outcome, Pin, Record, RequestId, SessionKey, ShardId,
};
use crate::wire::{WireRecord, encode};
use futures::future::join_all;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// The largest record, in bytes of CBOR; a segment holds many.
pub const MAX_RECORD: usize = 64_000;

/// What became of a claim.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Claim {
    /// The request alone may be dispatched, once, and only before `dispatch_by`: after that the
    /// key may have expired and been won again.
    Won {
        /// The last moment to dispatch; check it right before.
        dispatch_by: Instant,
    },
    /// Another request has the key.
    Lost {
        /// That request.
        by: RequestId,
        /// How it ended, if its node said so.
        finished: Option<Outcome>,
    },
}

/// A cheap handle of the journal's duty.
#[derive(Clone)]
pub struct JournalHandle {
    pub(crate) jobs: mpsc::Sender<Job>,
    pub(crate) meta: watch::Receiver<Option<Meta>>,
}

impl JournalHandle {
    /// Claims a key for a request that must run at most once.
    ///
    /// # Errors
    ///
    /// After any error the request must not be dispatched and should be [released](Self::release),
    /// since its record may still arrive.
    pub async fn claim(&self, key: ClaimKey, by: RequestId) -> Result<Claim> {
        let (tx, rx) = oneshot::channel();
        self.submit(Record::Claim { key, by }, Reply::Claim(tx))?;
        rx.await.unwrap_or(Err(JournalError::Stopped))
    }

    /// Gives a claim back whose request was never dispatched and never will be, so that the
    /// caller's next try need not wait until the claim expires. Returns at once; the duty keeps
    /// it until the service has it.
    ///
    /// # Errors
    ///
    /// [`Overloaded`](JournalError::Overloaded) if too much waits already; the claim then goes
    /// when it expires.
    pub fn release(&self, key: ClaimKey, by: RequestId) -> Result<()> {
        self.submit(Record::Release { key, by }, Reply::None)
    }

    /// Says how the request that holds a claim ended, for callers that ask again.
    ///
    /// # Errors
    ///
    /// [`Overloaded`](JournalError::Overloaded) if too much waits already.
    pub fn finish(&self, key: ClaimKey, by: RequestId, outcome: Outcome) -> Result<()> {
        self.submit(Record::Finish { key, by, outcome }, Reply::None)
    }

    /// Pins a session to versions, unless it is pinned already; returns what holds.
    ///
    /// # Errors
    ///
    /// After an error the pin may or may not hold; asking again is safe.
    pub async fn pin(&self, session: SessionKey, pin: Pin) -> Result<Pin> {
        let (tx, rx) = oneshot::channel();
        self.submit(Record::Pin { session, pin }, Reply::Pin(tx))?;
        rx.await.unwrap_or(Err(JournalError::Stopped))
    }

    /// Writes bill records and returns once all are durable.
    ///
    /// # Errors
    ///
    /// The first error of any record. Some records may be durable; writing them again is safe.
    /// [`TooLate`](JournalError::TooLate) is final.
    pub async fn bill(&self, records: Vec<BillRecord>) -> Result<()> {
        let writes: Vec<_> = records.into_iter().map(|r| self.bill_one(r)).collect();
        let results = join_all(writes).await;
        results.into_iter().collect()
    }

    /// The shard of a claim's key, once the journal's settings are known; the node that is
    /// preferred for it answers fastest.
    pub fn shard_of_claim(&self, key: ClaimKey) -> Option<ShardId> {
        let by = RequestId(0);
        self.shard_of(&Record::Claim { key, by })
    }

    /// The shard of a session's pin.
    pub fn shard_of_pin(&self, session: SessionKey) -> Option<ShardId> {
        let pin = Pin {
            versions: Vec::new(),
            opened_at: Millis(0),
        };
        self.shard_of(&Record::Pin { session, pin })
    }

    /// The shard of a bill record.
    pub fn shard_of_bill(&self, record: &BillRecord) -> Option<ShardId> {
        self.shard_of(&Record::Bill(record.clone()))
    }

    /// What all nodes agreed on, once the service has told.
    pub fn meta(&self) -> Option<Meta> {
        *self.meta.borrow()
    }

    async fn bill_one(&self, record: BillRecord) -> Result<()> {
        let (tx, rx) = oneshot::channel();
        self.submit(Record::Bill(record), Reply::Done(tx))?;
        rx.await.unwrap_or(Err(JournalError::Stopped))
    }

    fn shard_of(&self, record: &Record) -> Option<ShardId> {
        self.meta().map(|meta| record.shard(meta.shards))
    }

    fn submit(&self, record: Record, reply: Reply) -> Result<()> {
        let bytes = encode(&WireRecord::from(&record)).len();
        if bytes > MAX_RECORD {
            let limit = MAX_RECORD;
            return Err(JournalError::TooLarge { bytes, limit });
        }
        let job = Job::new(record, reply, bytes);
        self.jobs.try_send(job).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => JournalError::overloaded(),
            mpsc::error::TrySendError::Closed(_) => JournalError::Stopped,
        })
    }
}
