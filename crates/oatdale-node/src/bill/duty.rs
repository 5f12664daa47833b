//! What the bill duty does with records: holders first, then the journal, in batches.

use super::{Duty, Job, MAX_BACKLOG, Place};
use crate::append::AppendHandle;
use crate::metrics::Metrics;
use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use futures::stream::{FuturesUnordered, StreamExt};
use log::{info, warn};
use oatdale_journal::{BillRecord, Closing, JournalError, Opening, RequestId};
use oatdale_mesh::{Command, HoldAck};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, interval, sleep};

/// Time in which closing records gather before they are written together.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Records in one call to the journal.
const MAX_BATCH: usize = 4096;

/// Batches that are written at once, and records from which on another is started. One alone would
/// wait for the slowest shard, and a busy node's backlog would fill meanwhile.
const MAX_WRITING: usize = 4;
const FULL_BATCH: usize = 1024;

/// The journal takes a closing record only while it remembers the request, or for so long after its
/// dispatch that an opening record can't be missing. Requests that run on for this long are
/// therefore opened in the journal too, well before that time is over.
const LONG_REQUEST: Duration = Duration::from_secs(300);

/// How often long requests are looked for.
const LONG_CHECK: Duration = Duration::from_secs(30);

/// Pause after the journal failed.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// A closing record that waits for the journal.
struct Waiting {
    record: Closing,
    place: Option<Place>,
    durable: Option<oneshot::Sender<()>>,
}

/// A batch that was given to the journal.
type Writing = BoxFuture<'static, (Vec<Waiting>, Result<(), JournalError>)>;

struct State {
    mesh: mpsc::Sender<Command>,
    journal: AppendHandle,
    metrics: Metrics,
    places: Arc<Semaphore>,
    waiting: Vec<Waiting>,
    /// Records of a batch with one that the journal refused, each to be written by itself. This
    /// never waits within the duty: answers wait for the duty in turn.
    alone: Vec<Waiting>,
    /// Requests under way whose opening the journal does not have.
    under_way: HashMap<RequestId, (Instant, Opening)>,
    /// Orphans that are waiting or being written; their holders tell them again until then.
    orphans: HashMap<RequestId, ()>,
}

/// Runs the duty.
pub(crate) async fn run(mut duty: Duty) {
    let mut state = State {
        mesh: duty.mesh,
        journal: duty.journal,
        metrics: duty.metrics,
        places: duty.places,
        waiting: Vec::new(),
        alone: Vec::new(),
        under_way: HashMap::new(),
        orphans: HashMap::new(),
    };
    let mut long_check = interval(LONG_CHECK);
    let mut writing: FuturesUnordered<Writing> = FuturesUnordered::new();
    loop {
        state.metrics.bills_open.set(state.open());
        for waiting in std::mem::take(&mut state.alone) {
            writing.push(state.write_batch(vec![waiting]));
        }
        if state.may_write(writing.len()) {
            writing.push(state.write());
        }
        tokio::select! {
            job = duty.jobs.recv() => match job {
                Some(job) => state.job(job).await,
                None => return,
            },
            Some((batch, result)) = writing.next() => state.written(batch, result).await,
            _ = long_check.tick() => state.open_long(),
            _ = duty.stop.wait_for(|stop| *stop) => return,
        }
    }
}

impl State {
    /// Opens requests in the journal that run long.
    fn open_long(&mut self) {
        let long = self
            .under_way
            .extract_if(|_, (since, _)| since.elapsed() >= LONG_REQUEST);
        let records: Vec<BillRecord> = long.map(|(_, (_, open))| BillRecord::Open(open)).collect();
        if records.is_empty() {
            return;
        }
        let journal = self.journal.clone();
        tokio::spawn(async move {
            while let Err(err) = journal.bill(records.clone()).await {
                if err.retry_after().is_none() {
                    warn!(target: "bill", "event=opening_refused error={:?}", err.to_string());
                    return;
                }
                sleep(RETRY_DELAY).await;
            }
        });
    }

    async fn job(&mut self, job: Job) {
        match job {
            Job::Open { record, reply } => {
                let id = record.request;
                self.under_way.insert(id, (Instant::now(), record.clone()));
                self.hold(id, &BillRecord::Open(record), reply).await;
            }
            Job::Close {
                record,
                place,
                durable,
                held,
            } => {
                let id = record.request;
                self.under_way.remove(&id);
                self.hold(id, &BillRecord::Close(record.clone()), held)
                    .await;
                self.waiting.push(Waiting {
                    record,
                    place: Some(place),
                    durable: Some(durable),
                });
            }
            Job::Forget(id) => {
                self.under_way.remove(&id);
                self.release(vec![id]).await;
            }
            Job::Orphan(record) if !self.orphans.contains_key(&record.request) => {
                info!(target: "bill", "event=orphan request={}", record.request);
                self.orphans.insert(record.request, ());
                self.waiting.push(Waiting {
                    record,
                    place: None,
                    durable: None,
                });
            }
            Job::Orphan(_) => {}
        }
    }

    async fn hold(&self, id: RequestId, record: &BillRecord, reply: oneshot::Sender<HoldAck>) {
        let command = Command::Hold {
            id: id.0,
            record: Bytes::from(record.to_vec()),
            reply,
        };
        // If the mesh has ended the reply is dropped, and the request waits for the journal.
        let _ = self.mesh.send(command).await;
    }

    async fn release(&self, ids: Vec<RequestId>) {
        let ids = ids.into_iter().map(|id| id.0).collect();
        let _ = self.mesh.send(Command::Release(ids)).await;
    }

    fn open(&self) -> i64 {
        let open = MAX_BACKLOG - self.places.available_permits();
        i64::try_from(open).unwrap_or(i64::MAX)
    }

    /// Whether to start another batch beside those that are being written.
    fn may_write(&self, writing: usize) -> bool {
        match writing {
            0 => !self.waiting.is_empty(),
            1..MAX_WRITING => self.waiting.len() >= FULL_BATCH,
            _ => false,
        }
    }

    /// Starts to write the oldest records that wait.
    fn write(&mut self) -> Writing {
        let rest = self.waiting.split_off(self.waiting.len().min(MAX_BATCH));
        let batch = std::mem::replace(&mut self.waiting, rest);
        self.write_batch(batch)
    }

    fn write_batch(&self, batch: Vec<Waiting>) -> Writing {
        let journal = self.journal.clone();
        let records = batch
            .iter()
            .map(|waiting| BillRecord::Close(waiting.record.clone()))
            .collect();
        async move {
            sleep(BATCH_DELAY).await;
            let result = journal.bill(records).await;
            if result
                .as_ref()
                .is_err_and(|err| err.retry_after().is_some())
            {
                sleep(RETRY_DELAY).await;
            }
            (batch, result)
        }
        .boxed()
    }

    async fn written(&mut self, batch: Vec<Waiting>, result: Result<(), JournalError>) {
        match result {
            Ok(()) => self.settle(batch).await,
            Err(err) if err.retry_after().is_some() => {
                self.metrics.kv_errors.inc();
                warn!(target: "bill", "event=journal_failed records={} error={:?}", batch.len(), err.to_string());
                let newer = std::mem::replace(&mut self.waiting, batch);
                self.waiting.extend(newer);
            }
            Err(err) if batch.len() == 1 => self.refused(batch, &err).await,
            // One record that the journal refuses for good must not hold up the others.
            Err(_) => self.alone.extend(batch),
        }
    }

    async fn settle(&mut self, batch: Vec<Waiting>) {
        let mut ids = Vec::with_capacity(batch.len());
        for waiting in batch {
            ids.push(waiting.record.request);
            self.orphans.remove(&waiting.record.request);
            if let Some(durable) = waiting.durable {
                // The answer may have ended already, held by other nodes.
                let _ = durable.send(());
            }
            drop(waiting.place);
        }
        self.release(ids).await;
    }

    /// Gives up on a record, with all that is needed to bill it by hand in the log.
    async fn refused(&mut self, batch: Vec<Waiting>, err: &JournalError) {
        for Waiting { record, .. } in &batch {
            warn!(
                target: "bill",
                "event=bill_refused request={} customer={:?} price={} error={:?}",
                record.request,
                record.customer,
                record.price.0,
                err.to_string()
            );
        }
        self.settle(batch).await;
    }
}
