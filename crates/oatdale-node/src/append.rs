//! Appends to the journal through the node that is preferred for a record's shard.
//!
//! One node that writes for all needs fewer calls to the key-value service and its claims wait for
//! no races. It is only the faster way: a call that gets no answer is repeated at this node's own
//! journal, and the fold takes a repeated record for one. So a preferred node that dies, is paused
//! or exists twice costs time and nothing else.

mod calls;
mod serve;
mod wire;

use crate::append::calls::Calls;
use crate::append::wire::Message;
use crate::metrics::Metrics;
use bytes::Bytes;
use futures::stream::{self, StreamExt};
use log::{debug, warn};
use oatdale_journal::{
    BillRecord, Claim, ClaimKey, JournalError, JournalHandle, Outcome, Pin, RequestId, SessionKey,
    ShardId,
};
use oatdale_mesh::{Command, MAX_RECORD_BYTES};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout};

pub(crate) use crate::append::serve::{Duty, run};

/// How long a claim or pin waits for another node's answer. Its journal needs a tenth of a second,
/// and under strain up to eight.
const WAIT: Duration = Duration::from_secs(1);

/// The same for bills, which wait behind claims and pins.
const BILL_WAIT: Duration = Duration::from_secs(3);

/// Messages and notes that may wait for the duty; those beyond are dropped.
const MAX_WAITING: usize = 4096;

/// Bytes of bill records in one message; the rest is for what stands around them.
const MAX_BILLS: usize = MAX_RECORD_BYTES - 256;

/// Parts of a batch of bills that are under way at once. After an outage thousands of bills wait;
/// the mesh closes a link with too many messages, since its peer seems not to read.
const MAX_PARTS: usize = 16;

/// Messages for one host in one batch; a node with more bills writes them itself, which takes one
/// call where messages would wait for one another.
const MAX_CHUNKS: usize = 4;

/// Bytes around each bill record in a message.
const BILL_FRAME: usize = 3;

/// The preferred hosts by shard; `None` stands for this node.
pub(crate) type Appenders = Arc<Vec<Option<String>>>;

/// What a node asks of another.
#[derive(Debug)]
enum Ask {
    Claim {
        key: ClaimKey,
        by: RequestId,
    },
    Finish {
        key: ClaimKey,
        by: RequestId,
        outcome: Outcome,
    },
    Pin {
        session: SessionKey,
        pin: Pin,
    },
    Bill(Vec<BillRecord>),
}

/// What the other node answers.
#[derive(Debug)]
enum Answer {
    Won,
    Lost {
        by: RequestId,
        finished: Option<Outcome>,
    },
    Pinned(Pin),
    Done,
    Refused(JournalError),
}

enum Job {
    Heard {
        from: String,
        payload: Bytes,
    },
    Finish {
        key: ClaimKey,
        by: RequestId,
        outcome: Outcome,
    },
}

/// A cheap handle with the journal's calls.
#[derive(Clone)]
pub(crate) struct AppendHandle {
    journal: JournalHandle,
    mesh: mpsc::Sender<Command>,
    appenders: watch::Receiver<Appenders>,
    calls: Arc<Calls>,
    jobs: mpsc::Sender<Job>,
    metrics: Metrics,
}

/// Makes the duty and a handle to it; the duty ends once `stop` is true.
pub(crate) fn channel(
    journal: JournalHandle,
    mesh: mpsc::Sender<Command>,
    appenders: watch::Receiver<Appenders>,
    metrics: Metrics,
    stop: watch::Receiver<bool>,
) -> (AppendHandle, Duty) {
    let (tx, jobs) = mpsc::channel(MAX_WAITING);
    let handle = AppendHandle {
        journal,
        mesh,
        appenders,
        calls: Arc::new(Calls::new()),
        jobs: tx,
        metrics,
    };
    let duty = Duty {
        handle: handle.clone(),
        jobs,
        stop,
    };
    (handle, duty)
}

impl AppendHandle {
    /// Claims a key for a request that must run at most once.
    ///
    /// # Errors
    ///
    /// As [`JournalHandle::claim`]: release it, and do not dispatch.
    pub(crate) async fn claim(&self, key: ClaimKey, by: RequestId) -> Result<Claim, JournalError> {
        let asked = Instant::now();
        let shard = self.journal.shard_of_claim(key);
        match self.ask_for(shard, Ask::Claim { key, by }, WAIT).await {
            Some(Answer::Won) => Ok(self.won(asked)),
            Some(Answer::Lost { by, finished }) => Ok(Claim::Lost { by, finished }),
            Some(Answer::Refused(err)) => Err(err),
            _ => Ok(self.no_later(asked, self.journal.claim(key, by).await?)),
        }
    }

    /// Gives a claim back, always through this node's own journal: the key stays taken for a day
    /// if the release is lost, and nobody waits for its answer.
    ///
    /// # Errors
    ///
    /// As [`JournalHandle::release`].
    pub(crate) fn release(&self, key: ClaimKey, by: RequestId) -> Result<(), JournalError> {
        self.journal.release(key, by)
    }

    /// Says how the request that holds a claim ended; returns at once.
    ///
    /// # Errors
    ///
    /// As [`JournalHandle::finish`].
    pub(crate) fn finish(
        &self,
        key: ClaimKey,
        by: RequestId,
        outcome: Outcome,
    ) -> Result<(), JournalError> {
        let job = Job::Finish { key, by, outcome };
        match self.jobs.try_send(job) {
            Ok(()) => Ok(()),
            Err(_) => self.journal.finish(key, by, outcome),
        }
    }

    /// Pins a session to versions, unless it is pinned already; returns what holds.
    ///
    /// # Errors
    ///
    /// As [`JournalHandle::pin`].
    pub(crate) async fn pin(&self, session: SessionKey, pin: Pin) -> Result<Pin, JournalError> {
        let shard = self.journal.shard_of_pin(session);
        let ask = Ask::Pin {
            session,
            pin: pin.clone(),
        };
        match self.ask_for(shard, ask, WAIT).await {
            Some(Answer::Pinned(held)) => Ok(held),
            Some(Answer::Refused(err)) => Err(err),
            _ => self.journal.pin(session, pin).await,
        }
    }

    /// Writes bill records and returns once all are durable.
    ///
    /// # Errors
    ///
    /// As [`JournalHandle::bill`].
    pub(crate) async fn bill(&self, records: Vec<BillRecord>) -> Result<(), JournalError> {
        let parts = stream::iter(self.by_host(records));
        let calls = parts.map(|(host, part)| self.bill_at(host, part));
        let results: Vec<_> = calls.buffer_unordered(MAX_PARTS).collect().await;
        results.into_iter().collect()
    }

    /// Takes a payload that another node sent.
    pub(crate) fn heard(&self, from: String, payload: Bytes) {
        if let Err(err) = self.jobs.try_send(Job::Heard { from, payload }) {
            warn!(target: "append", "event=message_dropped error={:?}", err.to_string());
        }
    }

    async fn finish_now(&self, key: ClaimKey, by: RequestId, outcome: Outcome) {
        let shard = self.journal.shard_of_claim(key);
        let ask = Ask::Finish { key, by, outcome };
        let answer = self.ask_for(shard, ask, WAIT).await;
        if !matches!(answer, Some(Answer::Done)) {
            // Only a hint for callers that ask again; without it they learn no outcome.
            drop(self.journal.finish(key, by, outcome));
        }
    }

    /// Splits records by the host that is preferred for them, and so that each part fits a message.
    fn by_host(&self, records: Vec<BillRecord>) -> Vec<(Option<String>, Vec<BillRecord>)> {
        let mut hosts: BTreeMap<Option<String>, Vec<BillRecord>> = BTreeMap::new();
        for record in records {
            let host = self.appender(self.journal.shard_of_bill(&record));
            hosts.entry(host).or_default().push(record);
        }
        let mut parts = Vec::new();
        for (host, records) in hosts {
            let chunks = match host {
                Some(_) => chunks(&records),
                None => Vec::new(),
            };
            match host {
                Some(host) if chunks.len() <= MAX_CHUNKS => {
                    parts.extend(chunks.into_iter().map(|chunk| (Some(host.clone()), chunk)));
                }
                _ => parts.push((None, records)),
            }
        }
        parts
    }

    async fn bill_at(
        &self,
        host: Option<String>,
        records: Vec<BillRecord>,
    ) -> Result<(), JournalError> {
        let Some(host) = host else {
            return self.journal.bill(records).await;
        };
        match self.ask(&host, Ask::Bill(records.clone()), BILL_WAIT).await {
            Some(Answer::Done) => Ok(()),
            Some(Answer::Refused(err)) => Err(err),
            _ => self.journal.bill(records).await,
        }
    }

    fn appender(&self, shard: Option<ShardId>) -> Option<String> {
        let appenders = self.appenders.borrow();
        appenders.get(usize::from(shard?.0)).cloned().flatten()
    }

    async fn ask_for(&self, shard: Option<ShardId>, ask: Ask, wait: Duration) -> Option<Answer> {
        let host = self.appender(shard)?;
        self.ask(&host, ask, wait).await
    }

    /// Asks another node; `None` if this one must do it itself.
    async fn ask(&self, host: &str, ask: Ask, wait: Duration) -> Option<Answer> {
        let mut call = self.calls.begin(host)?;
        let payload = wire::to_vec(call.number, &Message::Ask(ask));
        if !self.send(host, payload).await {
            self.metrics.forwarded("unlinked");
            return None;
        }
        match timeout(wait, &mut call.answer).await {
            Ok(Ok(Answer::Refused(JournalError::Stopped))) => self.failed(host, "failed"),
            Ok(Ok(answer)) => {
                self.metrics.forwarded("answered");
                Some(answer)
            }
            Ok(Err(_)) | Err(_) => self.failed(host, "unanswered"),
        }
    }

    /// Whether the mesh has a link for the message.
    async fn send(&self, host: &str, payload: Vec<u8>) -> bool {
        let (reply, sent) = oneshot::channel();
        let command = Command::Forward {
            to: host.to_owned(),
            payload: payload.into(),
            reply,
        };
        self.mesh.send(command).await.is_ok() && sent.await.unwrap_or(false)
    }

    fn failed(&self, host: &str, why: &str) -> Option<Answer> {
        debug!(target: "append", "event=no_answer host={host:?} why={why}");
        self.metrics.forwarded(why);
        self.calls.avoid(host);
        None
    }

    /// A claim that another node won for this one, counted from before it was asked: the record is
    /// no older than that, and no other request can have the key sooner than its retention after.
    fn won(&self, asked: Instant) -> Claim {
        let claims = self.journal.meta().map_or(0, |meta| meta.retention.claims);
        let dispatch_by = asked + Duration::from_millis(claims / 4);
        Claim::Won { dispatch_by }
    }

    /// The record that counts may be the one that another node wrote without answering.
    fn no_later(&self, asked: Instant, claim: Claim) -> Claim {
        match (claim, self.won(asked)) {
            (Claim::Won { dispatch_by: own }, Claim::Won { dispatch_by }) => Claim::Won {
                dispatch_by: own.min(dispatch_by),
            },
            (claim, _) => claim,
        }
    }
}

/// Splits records into messages.
fn chunks(records: &[BillRecord]) -> Vec<Vec<BillRecord>> {
    let mut chunks: Vec<Vec<BillRecord>> = Vec::new();
    let mut left = 0;
    for record in records {
        let bytes = record.to_vec().len() + BILL_FRAME;
        match chunks.last_mut() {
            Some(chunk) if bytes <= left => chunk.push(record.clone()),
            _ => {
                chunks.push(vec![record.clone()]);
                left = MAX_BILLS;
            }
        }
        left = left.saturating_sub(bytes);
    }
    chunks
}
