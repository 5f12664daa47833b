//! Handle through which callers use the journal.

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

/// Maximum size of a record in bytes of CBOR; a segment holds many records.
pub const MAX_RECORD_BYTES: usize = 64_000;

/// Result of a claim.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Claim {
    /// The request won the key. Only it may be dispatched, once, and only before `dispatch_by`:
    /// after that the claim may have expired and another request may have won the key.
    Won {
        /// Deadline of the dispatch; check it immediately before dispatching.
        dispatch_by: Instant,
    },
    /// Another request has the key.
    Lost {
        /// The request that has the key.
        by: RequestId,
        /// How that request ended, if its node recorded it.
        finished: Option<Outcome>,
    },
}

/// A handle to the journal's background task, cheap to clone.
#[derive(Clone)]
pub struct JournalHandle {
    pub(crate) jobs: mpsc::Sender<Job>,
    pub(crate) meta: watch::Receiver<Option<Meta>>,
}

impl JournalHandle {
    /// Claims a key for a request that must be dispatched at most once.
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

    /// Releases the claim of a request that was not and will not be dispatched, so that the
    /// caller's retry need not wait until the claim expires. Returns immediately; the background
    /// task keeps the record until it is stored.
    ///
    /// # Errors
    ///
    /// [`Overloaded`](JournalError::Overloaded) if the queue is full; the claim then stays until
    /// it expires.
    pub fn release(&self, key: ClaimKey, by: RequestId) -> Result<()> {
        self.submit(Record::Release { key, by }, Reply::None)
    }

    /// Records how the request that holds a claim ended, for callers that retry it.
    ///
    /// # Errors
    ///
    /// [`Overloaded`](JournalError::Overloaded) if the queue is full.
    pub fn finish(&self, key: ClaimKey, by: RequestId, outcome: Outcome) -> Result<()> {
        self.submit(Record::Finish { key, by, outcome }, Reply::None)
    }

    /// Pins a session to versions unless it is already pinned. Returns the pin in effect.
    ///
    /// # Errors
    ///
    /// After an error the pin may or may not be in effect; a retry is safe.
    pub async fn pin(&self, session: SessionKey, pin: Pin) -> Result<Pin> {
        let (tx, rx) = oneshot::channel();
        self.submit(Record::Pin { session, pin }, Reply::Pin(tx))?;
        rx.await.unwrap_or(Err(JournalError::Stopped))
    }

    /// Writes bill records. Returns once all of them are durable.
    ///
    /// # Errors
    ///
    /// The error of the first record that failed. Some records may be durable; writing them again
    /// is safe. [`TooLate`](JournalError::TooLate) is permanent.
    pub async fn bill(&self, records: Vec<BillRecord>) -> Result<()> {
        let writes: Vec<_> = records.into_iter().map(|r| self.bill_one(r)).collect();
        let results = join_all(writes).await;
        results.into_iter().collect()
    }

    /// Returns the shard of a claim's key, or `None` until the journal's shared settings are known.
    /// The node that is preferred for the shard answers fastest.
    pub fn shard_of_claim(&self, key: ClaimKey) -> Option<ShardId> {
        let by = RequestId(0);
        self.shard_of(&Record::Claim { key, by })
    }

    /// Returns the shard of a session's pin, or `None` until the shared settings are known.
    pub fn shard_of_pin(&self, session: SessionKey) -> Option<ShardId> {
        let pin = Pin {
            versions: Vec::new(),
            opened_at: Millis(0),
        };
        self.shard_of(&Record::Pin { session, pin })
    }

    /// Returns the shard of a bill record, or `None` until the shared settings are known.
    pub fn shard_of_bill(&self, record: &BillRecord) -> Option<ShardId> {
        self.shard_of(&Record::Bill(record.clone()))
    }

    /// Returns the journal's shared settings, or `None` until they have been read.
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
        if bytes > MAX_RECORD_BYTES {
            let limit = MAX_RECORD_BYTES;
            return Err(JournalError::TooLarge { bytes, limit });
        }
        let job = Job::new(record, reply, bytes);
        self.jobs.try_send(job).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => JournalError::overloaded(),
            mpsc::error::TrySendError::Closed(_) => JournalError::Stopped,
        })
    }
}
