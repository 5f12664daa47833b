//! The bill duty: every request that was dispatched gets its bill into the journal, once.
//!
//! Hosts keep nothing. So other nodes hold a request's opening record before its answer begins and
//! its closing record before its answer ends; the journal gets the closing records in batches a
//! little later. Whichever of these nodes survives writes the bill, and the journal's fold keeps
//! one for each request.

use crate::append::AppendHandle;
use crate::metrics::Metrics;
use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use futures::stream::{FuturesUnordered, StreamExt};
use log::{info, warn};
use oatdale_journal::{BillRecord, Closing, JournalError, Opening, Outcome, RequestId};
use oatdale_mesh::{Command, HoldAck};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, interval, sleep, timeout};

/// Requests that may have a bill under way. With 3,400 requests a second over 360 nodes this is
/// more than half an hour of an outage of the key-value service; a full backlog refuses requests,
/// since a request whose bill has no place would go unbilled.
const MAX_BACKLOG: usize = 20_000;

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

/// How long an answer waits for a bill that nobody else holds to become durable.
const DURABLE_WAIT: Duration = Duration::from_millis(500);

/// How long the first byte of an answer waits until its opening record is held.
const OPENING_WAIT: Duration = Duration::from_millis(500);

/// A place in the backlog; a request gets one before it is dispatched.
pub(crate) struct Place {
    _permit: OwnedSemaphorePermit,
}

enum Job {
    Open {
        record: Opening,
        reply: oneshot::Sender<HoldAck>,
    },
    Close {
        record: Closing,
        place: Place,
        durable: oneshot::Sender<()>,
        held: oneshot::Sender<HoldAck>,
    },
    Forget(RequestId),
    Orphan(Closing),
}

/// A handle to the bill duty.
#[derive(Clone)]
pub(crate) struct BillHandle {
    // Unbounded, yet bounded in fact by the places of the backlog: a request sends at most an
    // opening and a closing, and records of other nodes come in bounded lists.
    jobs: mpsc::UnboundedSender<Job>,
    places: Arc<Semaphore>,
    metrics: Metrics,
}

/// An opening record on its way to other nodes.
pub(crate) struct OpeningHeld {
    held: oneshot::Receiver<HoldAck>,
}

impl OpeningHeld {
    /// Waits until other nodes hold the record, or a little while: a caller must not be kept from
    /// its answer because a peer just failed.
    pub(crate) async fn wait(&mut self) {
        let _ = timeout(OPENING_WAIT, &mut self.held).await;
    }
}

impl BillHandle {
    /// Takes a place in the backlog, or none if too many bills wait for the journal.
    pub(crate) fn place(&self) -> Option<Place> {
        let permit = self.places.clone().try_acquire_owned().ok()?;
        Some(Place { _permit: permit })
    }

    /// Has other nodes hold a request's opening record.
    pub(crate) fn open(&self, record: Opening) -> OpeningHeld {
        let (reply, held) = oneshot::channel();
        // The duty outlives the requests; should it have failed, the node is stopping.
        let _ = self.jobs.send(Job::Open { record, reply });
        OpeningHeld { held }
    }

    /// Closes a request's bill and returns when the bill survives this node: other nodes hold it,
    /// or the journal has it.
    pub(crate) async fn close(&self, record: Closing, place: Place) {
        let (durable, written) = oneshot::channel();
        let (held, holders) = oneshot::channel();
        let job = Job::Close {
            record,
            place,
            durable,
            held,
        };
        if self.jobs.send(job).is_err() {
            return;
        }
        let ack = holders.await.unwrap_or(HoldAck {
            copies: 0,
            wanted: 1,
        });
        match ack.copies {
            0 if timeout(DURABLE_WAIT, written).await.is_err() => {
                self.metrics.bills_unprotected.inc();
            }
            _ => {}
        }
    }

    /// Drops a request that nothing ran for, so that it gets no bill.
    pub(crate) fn forget(&self, request: RequestId) {
        let _ = self.jobs.send(Job::Forget(request));
    }

    /// Bills requests whose node is gone.
    pub(crate) fn orphans(&self, records: impl IntoIterator<Item = Closing>) {
        for record in records {
            let _ = self.jobs.send(Job::Orphan(record));
        }
    }

    /// Waits until no bill is open, for a planned stop.
    pub(crate) async fn drained(&self) {
        let all = u32::try_from(MAX_BACKLOG).unwrap_or(u32::MAX);
        let _ = self.places.acquire_many(all).await;
    }

    /// Bills that are under way.
    pub(crate) fn open_count(&self) -> usize {
        MAX_BACKLOG - self.places.available_permits()
    }
}

/// What the bill duty reads and writes.
pub(crate) struct Duty {
    jobs: mpsc::UnboundedReceiver<Job>,
    journal: AppendHandle,
    mesh: mpsc::Sender<Command>,
    metrics: Metrics,
    places: Arc<Semaphore>,
    stop: watch::Receiver<bool>,
}

/// Makes the duty and a handle to it; the duty ends once `stop` is true.
pub(crate) fn channel(
    journal: AppendHandle,
    mesh: mpsc::Sender<Command>,
    metrics: Metrics,
    stop: watch::Receiver<bool>,
) -> (BillHandle, Duty) {
    let (tx, jobs) = mpsc::unbounded_channel();
    let places = Arc::new(Semaphore::new(MAX_BACKLOG));
    let handle = BillHandle {
        jobs: tx,
        places: places.clone(),
        metrics: metrics.clone(),
    };
    let duty = Duty {
        jobs,
        journal,
        mesh,
        metrics,
        places,
        stop,
    };
    (handle, duty)
}

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
        under_way: HashMap::new(),
        orphans: HashMap::new(),
    };
    let mut long_check = interval(LONG_CHECK);
    let mut writing: FuturesUnordered<Writing> = FuturesUnordered::new();
    loop {
        state.metrics.bills_open.set(state.open());
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
        let journal = self.journal.clone();
        let rest = self.waiting.split_off(self.waiting.len().min(MAX_BATCH));
        let batch = std::mem::replace(&mut self.waiting, rest);
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
            Err(err) => self.settle_singly(batch, &err).await,
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

    /// A batch with a record that the journal refuses for good must not hold up the others.
    async fn settle_singly(&mut self, batch: Vec<Waiting>, err: &JournalError) {
        for waiting in batch {
            let record = BillRecord::Close(waiting.record.clone());
            match self.journal.bill(vec![record]).await {
                Err(err) if err.retry_after().is_some() => self.waiting.push(waiting),
                Err(_) => {
                    warn!(
                        target: "bill",
                        "event=bill_refused request={} customer={:?} price={} error={:?}",
                        waiting.record.request,
                        waiting.record.customer,
                        waiting.record.price.0,
                        err.to_string()
                    );
                    self.settle(vec![waiting]).await;
                }
                Ok(()) => self.settle(vec![waiting]).await,
            }
        }
    }
}

/// The bill of a request whose node vanished: its closing record if it had one, else the news that
/// it was interrupted, free of charge since nobody knows what it used.
pub(crate) fn closing_of(record: BillRecord, now: oatdale_journal::Millis) -> Closing {
    match record {
        BillRecord::Close(closing) => closing,
        BillRecord::Open(opening) => Closing {
            request: opening.request,
            customer: opening.customer,
            service: opening.service,
            version: None,
            input_tokens: 0,
            output_tokens: 0,
            price: oatdale_journal::MicroUnits(0),
            outcome: Outcome::Interrupted,
            opened_at: opening.opened_at,
            closed_at: now,
        },
    }
}
