//! Commands from the node to the mesh, events from the mesh to the node, and their data types.

use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Identifies a host by the first eight bytes of the SHA-256 of its name.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, serde::Serialize, serde::Deserialize,
)]
pub struct HostId(pub u64);

impl HostId {
    /// Returns the id of the host with the given name.
    pub fn of(name: &str) -> Self {
        HostId(digest64(name.as_bytes()))
    }

    /// Returns the short form used in summaries. A collision can only mix up the reported load,
    /// flags and revision of two hosts.
    pub(crate) fn short_id(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

/// Returns the hash of a name that identifies a customer, version or domain in messages.
pub fn name_hash(name: &str) -> u32 {
    (digest64(name.as_bytes()) >> 32) as u32
}

/// Returns the first eight bytes of the SHA-256 of `bytes`.
pub(crate) fn digest64(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(prefix)
}

/// Returns an incarnation for a process that starts now: wall-clock milliseconds in the upper 48
/// bits, random lower 16 bits.
///
/// A later start of the same host has a higher incarnation. If the wall clock has gone back, peers
/// report the higher incarnation to the joining node, which then picks one above it.
pub fn new_incarnation() -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    ((now.as_millis() as u64) << 16) | u64::from(rand::random::<u16>())
}

/// A command from the node to the mesh.
#[derive(Debug)]
pub enum Command {
    /// The node has put a configuration in force that it got from the key-value service or from
    /// [`Event::Document`]; the mesh offers it to other nodes.
    ConfigInForce {
        /// Revision of the configuration, above 0.
        revision: u64,
        /// Full text of the configuration.
        document: Bytes,
    },
    /// The current state of this node; replaces the previous one.
    Local(LocalState),
    /// The platform's list of hosts, which may be out of date.
    Hosts(Vec<ListedHost>),
    /// Holds a bill record at other nodes until it is released. Another `Hold` with the same id
    /// replaces the record.
    Hold {
        /// Id of the request.
        id: u128,
        /// The record, at most [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES) bytes.
        record: Bytes,
        /// Receives one reply when enough nodes hold the record, or after the timeout. Dropped if
        /// another `Hold` with the same id comes first.
        reply: oneshot::Sender<HoldAck>,
    },
    /// The journal has stored these records; their holders may discard them.
    Release(Vec<u128>),
    /// Sends a payload to a node that this one has a link to, at most once.
    Forward {
        /// Name of the receiving host.
        to: String,
        /// The payload, at most [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES) bytes.
        payload: Bytes,
        /// Receives whether the payload was handed to a link.
        reply: oneshot::Sender<bool>,
    },
    /// Starts a planned stop: notifies all peers, hands over the records held, then ends.
    Leave,
}

/// The current state of a node.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct LocalState {
    /// Whether callers may be sent here.
    pub accepting: bool,
    /// Load from 0 (idle) to 1 (full).
    pub load: f32,
    /// Whether the key-value service responds to this node; `None` if there was no recent request.
    pub service_up: Option<bool>,
    /// Each customer's recent demand on this node, admitted or not, by [`name_hash`], as a fraction
    /// of the customer's total limit. Lists every customer, idle ones with 0.
    pub demand: Vec<(u32, f32)>,
    /// Counters since the start of this process, by version.
    pub evidence: Vec<VersionCounters>,
    /// Stopped versions, whether stopped by this node or by another one.
    pub stops: Vec<Stop>,
}

/// Monotonic counters of one version.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct VersionCounters {
    /// [`name_hash`] of the full name of the version.
    pub version: u32,
    /// At most 16 counters; the node defines their meaning.
    pub counts: Vec<u64>,
}

/// A version that gets no new sessions until a newer revision of the configuration decides on it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, serde::Serialize, serde::Deserialize)]
pub struct Stop {
    /// Full name of the version.
    pub version: String,
    /// Revision in force when the version was stopped.
    pub revision: u64,
    /// Reason, for operators.
    pub reason: String,
}

/// An entry of the platform's list of hosts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ListedHost {
    /// Address on which its mesh listens.
    pub address: SocketAddr,
    /// Whether the platform lists the host as leaving.
    pub leaving: bool,
}

/// The result of a [`Command::Hold`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HoldAck {
    /// Number of other nodes that confirmed to hold the record in memory.
    pub copies: u8,
    /// Number of nodes that should hold the record.
    pub requested: u8,
}

/// An event that the mesh reports to the node.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// Enough peers have offered their configuration, or the wait for them timed out.
    /// A node that could not read the key-value service serves requests only after this event.
    Joined {
        /// Number of peers that responded.
        answers: usize,
    },
    /// A newer configuration; revisions only rise. The node may have read an even higher revision
    /// from the key-value service in the meantime and must keep the higher of the two.
    Document {
        /// Revision of the configuration.
        revision: u64,
        /// Full text of the configuration, verified by its digest.
        document: Bytes,
    },
    /// All other known nodes, in the order of their host ids.
    Peers(Vec<PeerView>),
    /// Demand of each customer and this node's share of the customer's limit.
    Demand(Vec<Share>),
    /// Counter sums over all other nodes and former incarnations; each counter only rises.
    Evidence(Vec<VersionCounters>),
    /// All known stops.
    Stops(Vec<Stop>),
    /// Records whose owner is gone, to be journalled and released by this node. Reported again
    /// until they are released.
    Orphans(Vec<(u128, Bytes)>),
    /// Whether this node should watch the configuration key.
    WatchKey(bool),
    /// A payload sent by [`Command::Forward`].
    Forwarded {
        /// Name of the sending host.
        from: String,
        /// The payload.
        payload: Bytes,
    },
    /// Another process with this host's name started later; this one must stop, and the mesh task
    /// ends.
    Superseded {
        /// Incarnation of the other process.
        by: u64,
    },
    /// The planned stop is complete; no records remain to be handed over.
    LeaveDone,
}

/// Demand of one customer as this node knows it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Share {
    /// [`name_hash`] of the customer.
    pub customer: u32,
    /// Demand on all nodes with recent reports, as a fraction of the limit.
    pub total: f32,
    /// Part of the customer's limit that this node may use, from 0 to 1.
    pub share: f32,
}

/// Another node as this one knows it.
#[derive(Clone, PartialEq, Debug)]
pub struct PeerView {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Region of the host.
    pub region: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether it accepts callers.
    pub accepting: bool,
    /// Load from 0 to 1.
    pub load: f32,
    /// Last reported revision in force at the node.
    pub revision: u64,
    /// Time since the revision was reported.
    pub revision_age: Duration,
    /// State of the node.
    pub state: PeerState,
}

/// State of another node.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PeerState {
    /// Recently heard from, directly or by a summary.
    Alive,
    /// No recent heartbeat or report; the node may be dead, paused or partitioned.
    Suspect,
    /// The node announced that it leaves, or the platform lists it as leaving.
    Left,
}
