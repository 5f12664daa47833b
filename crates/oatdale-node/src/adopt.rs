//! The configuration duty: takes newer documents from the key-value service and from other nodes,
//! and never an older one.

use crate::cx::wall_clock;
use crate::live::Live;
use crate::metrics::Metrics;
use bytes::Bytes;
use log::{error, info, warn};
use oatdale_config::{Document, Revision};
use oatdale_platform::{ConfigStore, Stored};
use oatdale_platform::{HttpKv, ModRevision};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

/// How long one watch waits at the service.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Between two reads by a node that does not watch; with 360 nodes this is 12 reads a second.
const READ_INTERVAL: Duration = Duration::from_secs(30);

/// How long a read may take.
const READ_LIMIT: Duration = Duration::from_secs(3);

/// Pause after the service failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What the configuration duty reads and writes.
pub(crate) struct Duty {
    /// The key-value service.
    pub(crate) store: ConfigStore<HttpKv>,
    /// Documents that other nodes sent.
    pub(crate) documents: mpsc::Receiver<Bytes>,
    /// Whether this node should watch the service.
    pub(crate) watches: watch::Receiver<bool>,
    /// The configuration in force.
    pub(crate) live: watch::Sender<Arc<Live>>,
    /// When the configuration was last known to be the newest.
    pub(crate) heard: watch::Sender<Instant>,
    /// Whether the service answered last time.
    pub(crate) service_up: watch::Sender<Option<bool>>,
    /// The node's metrics.
    pub(crate) metrics: Metrics,
    /// Ends the duty.
    pub(crate) stop: watch::Receiver<bool>,
}

/// Runs the duty until `stop`.
pub(crate) async fn run(mut duty: Duty) {
    let mut seen = ModRevision(0);
    let mut stop = duty.stop.clone();
    loop {
        let asked = ask(&duty.store, seen, duty.waits());
        tokio::select! {
            answer = asked => match answer {
                Ok(stored) => seen = duty.answered(stored, seen),
                Err(message) => duty.failed(&message).await,
            },
            Some(bytes) = duty.documents.recv() => duty.adopt(&bytes),
            Ok(()) = duty.watches.changed() => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

/// How to ask the service.
#[derive(Clone, Copy)]
enum Ask {
    /// Read at once.
    Read,
    /// Wait for a newer one.
    Watch,
    /// Read after a while.
    ReadLater,
}

async fn ask(
    store: &ConfigStore<HttpKv>,
    seen: ModRevision,
    how: Ask,
) -> Result<Option<Stored>, String> {
    let answer = match how {
        Ask::Watch => store.watch(seen, WATCH_WAIT).await,
        Ask::Read => store.current(Instant::now() + READ_LIMIT).await,
        Ask::ReadLater => {
            sleep(READ_INTERVAL).await;
            store.current(Instant::now() + READ_LIMIT).await
        }
    };
    answer.map_err(|err| err.to_string())
}

impl Duty {
    fn waits(&self) -> Ask {
        match (self.live.borrow().revision, *self.watches.borrow()) {
            (Revision(0), _) => Ask::Read,
            (_, true) => Ask::Watch,
            (_, false) => Ask::ReadLater,
        }
    }

    fn answered(&mut self, stored: Option<Stored>, seen: ModRevision) -> ModRevision {
        self.heard.send_replace(Instant::now());
        self.service_up.send_replace(Some(true));
        match stored {
            Some(stored) => {
                self.take(&stored.document);
                stored.key_revision
            }
            None => seen,
        }
    }

    async fn failed(&mut self, message: &str) {
        self.service_up.send_replace(Some(false));
        self.metrics.kv_errors.inc();
        warn!(target: "config", "event=service_failed error={message:?}");
        sleep(RETRY_DELAY).await;
    }

    fn adopt(&self, bytes: &[u8]) {
        match Document::decode(bytes) {
            Ok(document) => self.take(&document),
            Err(err) => {
                error!(target: "config", "event=bad_document error={:?}", err.to_string());
            }
        }
    }

    /// Puts a document in force if it is newer than the one that is.
    ///
    /// Documents come by several ways and out of order. One that is not newer is dropped, so that
    /// a node never goes back: otherwise a withdrawn version would get work again.
    fn take(&self, document: &Document) {
        let current = self.live.borrow().revision;
        let revision = document.head.revision;
        if revision <= current {
            return;
        }
        match Live::of(document) {
            Ok(live) => {
                self.live.send_replace(live);
                self.metrics
                    .revision
                    .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
                info!(
                    target: "config",
                    "event=in_force revision={} operator={:?} change={:x} at_ms={}",
                    revision.0,
                    document.head.operator,
                    document.head.change.0,
                    wall_clock().0
                );
            }
            // Only checked texts are stored, so this one was written by a newer release.
            Err(err) => {
                error!(target: "config", "event=unreadable revision={} error={:?}", revision.0, err.to_string());
            }
        }
    }
}
