//! A running node: how it starts, and how it stops in order.

mod parts;
mod sockets;

use crate::bill::BillHandle;
use crate::error::{KeySnafu, ReadSnafu, Result};
use crate::front::Phase;
use crate::logging::Dropped;
use crate::node::parts::Parts;
use crate::node::sockets::bind;
use log::{info, warn};
use oatdale_config::{MeshKey, NodeSettings, Secret};
use oatdale_mesh::{Command, Intervals};
use snafu::ResultExt;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

pub use crate::node::sockets::Bound;

/// Beyond an address's lifetime: an answer that named this node may have been on its way to its
/// caller when the stop began, and lifetimes are told in whole seconds.
const KEEP_GRACE: Duration = Duration::from_secs(1);

/// How long a planned stop waits for bills to reach the journal before other nodes, which hold
/// them, take over.
const BILL_WAIT: Duration = Duration::from_secs(10);

/// How long a planned stop waits for the mesh to hand over what this node holds.
const LEAVE_WAIT: Duration = Duration::from_secs(5);

/// A running node.
pub struct Node {
    settings: Arc<NodeSettings>,
    addresses: Bound,
    phase: watch::Sender<Phase>,
    stop: watch::Sender<bool>,
    superseded: watch::Receiver<bool>,
    listening: watch::Receiver<usize>,
    bills: BillHandle,
    mesh: mpsc::Sender<Command>,
    fronts: Vec<JoinHandle<()>>,
    member: JoinHandle<()>,
}

impl Node {
    /// Starts a node. It takes callers once it has a configuration.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken, the shared key can't be read or a thread can't be started.
    pub fn start(settings: NodeSettings, dropped: Dropped) -> Result<Node> {
        Node::start_with(settings, dropped, Intervals::default())
    }

    /// Starts a node whose mesh has other timers than the usual ones.
    ///
    /// # Errors
    ///
    /// As [`Node::start`].
    pub fn start_with(
        settings: NodeSettings,
        dropped: Dropped,
        intervals: Intervals,
    ) -> Result<Node> {
        let key = mesh_key(&settings)?;
        let sockets = bind(&settings)?;
        let mut parts = Parts::new(settings, key, sockets.bound, dropped);
        parts.intervals = intervals;
        parts.start(sockets)
    }

    /// The addresses that the node got.
    pub fn addresses(&self) -> Bound {
        self.addresses
    }

    /// Waits until the node has a configuration and takes callers, or until `limit`; tells whether
    /// it does.
    pub async fn ready(&self, limit: Duration) -> bool {
        let mut listening = self.listening.clone();
        let fronts = self.fronts.len();
        let ready = listening.wait_for(|count| *count == fronts);
        matches!(timeout(limit, ready).await, Ok(Ok(_)))
    }

    /// Returns once another process runs under this node's name and started later.
    pub async fn superseded(&self) {
        let mut superseded = self.superseded.clone();
        let _ = superseded.wait_for(|by| *by).await;
    }

    /// Stops in order: out of the addresses first, then no new connections, then the last bills.
    ///
    /// Callers may keep an address for its lifetime, so the node goes on accepting for that long.
    /// Cutting this short would refuse callers who did nothing wrong.
    pub async fn stop(self) {
        let keep = self.settings.address_lifetime + KEEP_GRACE;
        info!(target: "node", "event=leaving keep_accepting_ms={}", keep.as_millis());
        self.phase.send_replace(Phase::Leaving);
        sleep(keep).await;
        self.close().await;
    }

    /// Stops without the time for callers' kept addresses, for a node that another one replaced.
    pub async fn close(self) {
        self.phase.send_replace(Phase::Closing);
        join(self.fronts).await;
        if timeout(BILL_WAIT, self.bills.drained()).await.is_err() {
            let open = self.bills.open_count();
            warn!(target: "node", "event=bills_left open={open}");
        }
        // If the mesh has ended there is nobody to tell.
        let _ = self.mesh.send(Command::Leave).await;
        if timeout(LEAVE_WAIT, join(vec![self.member])).await.is_err() {
            warn!(target: "node", "event=leave_unfinished");
        }
        self.stop.send_replace(true);
        info!(target: "node", "event=stopped");
    }
}

/// Waits for threads without holding up the runtime.
async fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        // A duty that panics ends the process before this.
        let _ = tokio::task::spawn_blocking(move || thread.join()).await;
    }
}

fn mesh_key(settings: &NodeSettings) -> Result<Secret> {
    let path = match &settings.mesh_key {
        MeshKey::Inline(secret) => return Ok(secret.clone()),
        MeshKey::File(path) => path,
    };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: name.clone() })?;
    match Secret::from_hex(&text) {
        Some(secret) => Ok(secret),
        None => KeySnafu { path: name }.fail(),
    }
}
