//! The bill duty: every request that was dispatched gets its bill into the journal, once.
//!
//! Hosts keep nothing. So other nodes hold a request's opening record before its answer begins and
//! its closing record before its answer ends; the journal gets the closing records in batches a
//! little later. Whichever of these nodes survives writes the bill, and the journal's fold keeps
//! one for each request.

mod duty;

use crate::append::AppendHandle;
use crate::metrics::Metrics;
use oatdale_journal::{BillRecord, Closing, Opening, Outcome, RequestId};
use oatdale_mesh::{Command, HoldAck};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::time::timeout;

pub(crate) use crate::bill::duty::run;

/// Requests that may have a bill under way. With 3,400 requests a second over 360 nodes this is
/// more than half an hour of an outage of the key-value service; a full backlog refuses requests,
/// since a request whose bill has no place would go unbilled.
const MAX_BACKLOG: usize = 20_000;

/// How long an answer waits for a bill that nobody else holds to become durable.
const DURABLE_WAIT: Duration = Duration::from_millis(500);

/// How long the end of an answer waits for its holders. The mesh answers within half a second; a
/// request must get its end even if this node's own duties are held up.
const HOLD_WAIT: Duration = Duration::from_secs(2);

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
        let copies = match timeout(HOLD_WAIT, holders).await {
            Ok(Ok(ack)) => ack.copies,
            Ok(Err(_)) | Err(_) => 0,
        };
        match copies {
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
