//! What the node and the mesh tell each other.

use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Names a host by the first eight bytes of the SHA-256 of its name.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, serde::Serialize, serde::Deserialize,
)]
pub struct HostId(pub u64);

impl HostId {
    /// The id of a host's name.
    pub fn of(name: &str) -> Self {
        HostId(digest64(name.as_bytes()))
    }

    /// The form that summaries use; a collision mixes up two hosts' load and nothing else.
    pub(crate) fn short(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

/// The number under which customers, versions and domains travel: a hash of the name.
pub fn name_hash(name: &str) -> u32 {
    (digest64(name.as_bytes()) >> 32) as u32
}

/// The first eight bytes of a SHA-256.
pub(crate) fn digest64(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(prefix)
}

/// An incarnation for a process that starts now: wall clock in milliseconds above, chance below.
///
/// A later start of the same host has the higher number. Should the wall clock have gone back, the
/// peers tell the joiner and it picks a higher one.
pub fn new_incarnation() -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    ((now.as_millis() as u64) << 16) | u64::from(rand::random::<u16>())
}

/// What the node tells the mesh.
#[derive(Debug)]
pub enum Command {
    /// The node has a configuration in force, from the key-value service or from
    /// [`Event::Document`]; the mesh offers it to others.
    Adopted {
        /// Its revision, above 0.
        revision: u64,
        /// The whole text.
        document: Bytes,
    },
    /// What this node does at the moment; replaces what was told before.
    Local(LocalState),
    /// The platform's list of hosts, late as it is.
    Hosts(Vec<ListedHost>),
    /// Keep a bill record at other nodes until it is released. Another `Hold` of the same id
    /// replaces the record.
    Hold {
        /// The request.
        id: u128,
        /// What to keep, at most [`MAX_RECORD`](crate::MAX_RECORD) bytes.
        record: Bytes,
        /// Told once when enough nodes have it, or after the timeout. Dropped if another hold of
        /// the same id comes before that.
        reply: oneshot::Sender<HoldAck>,
    },
    /// The journal has these; whoever holds them may forget them.
    Release(Vec<u128>),
    /// Send a payload to a node that this one has a link to, at most once.
    Forward {
        /// The host's name.
        to: String,
        /// At most [`MAX_RECORD`](crate::MAX_RECORD) bytes.
        payload: Bytes,
        /// Whether it was handed to a link.
        reply: oneshot::Sender<bool>,
    },
    /// A planned stop: tell everyone, hand over what is held, then end.
    Leave,
}

/// What a node does at the moment.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct LocalState {
    /// Whether callers may be sent here.
    pub accepting: bool,
    /// From 0 (idle) to 1 (full).
    pub load: f32,
    /// Whether the key-value service answers this node; `None` when it was not asked lately.
    pub service_up: Option<bool>,
    /// What each customer asks of this node lately, admitted or not, by [`name_hash`], as a
    /// fraction of the customer's whole limit. Lists every customer, idle ones with 0.
    pub demand: Vec<(u32, f32)>,
    /// Counters since this process started, by version.
    pub evidence: Vec<VersionCounters>,
    /// Versions that were stopped, by this node or as heard.
    pub stops: Vec<Stop>,
}

/// Counters of one version that only rise.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct VersionCounters {
    /// [`name_hash`] of the version's full name.
    pub version: u32,
    /// At most 16 counters; their meaning is the node's affair.
    pub counts: Vec<u64>,
}

/// A version that gets no new session until a newer revision speaks of it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, serde::Serialize, serde::Deserialize)]
pub struct Stop {
    /// The version's full name.
    pub version: String,
    /// The revision in force when it was stopped.
    pub revision: u64,
    /// Why, for operators.
    pub reason: String,
}

/// A line of the platform's list of hosts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ListedHost {
    /// Where its mesh listens.
    pub address: SocketAddr,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// How a [`Command::Hold`] ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HoldAck {
    /// Nodes that confirmed to have the record in memory, without this one.
    pub copies: u8,
    /// Nodes that were wanted.
    pub wanted: u8,
}

/// What the mesh tells the node.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// Enough peers were asked for the newest configuration, or the wait for them is over.
    /// A node that could not read the key-value service serves only after this.
    Joined {
        /// How many peers answered.
        asked: usize,
    },
    /// A newer configuration; revisions only rise. One that the node has read from the service in
    /// the meantime may be higher still, so the node takes the higher of the two.
    Document {
        /// Its revision.
        revision: u64,
        /// The whole text, checked by digest.
        document: Bytes,
    },
    /// All other nodes known, by name.
    Peers(Vec<PeerView>),
    /// Each customer's demand and this node's share of its limit.
    Demand(Vec<Share>),
    /// Sums over all other nodes and former incarnations; each counter only rises.
    Evidence(Vec<VersionCounters>),
    /// All stops known.
    Stops(Vec<Stop>),
    /// Records whose owner is gone, to be journalled and released by this node. Told again until
    /// they are released.
    Orphans(Vec<(u128, Bytes)>),
    /// Whether this node should watch the configuration's key.
    WatchKey(bool),
    /// A payload sent by [`Command::Forward`].
    Forwarded {
        /// The sending host's name.
        from: String,
        /// What it sent.
        payload: Bytes,
    },
    /// Another process runs under this host's name and started later; this one must stop, and the
    /// duty ends.
    Superseded {
        /// The other's incarnation.
        by: u64,
    },
    /// The planned stop is complete; nothing is left to hand over.
    LeaveDone,
}

/// One customer's demand as this node sees it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Share {
    /// [`name_hash`] of the customer.
    pub customer: u32,
    /// Demand over all nodes heard of lately, as a fraction of the limit.
    pub total: f32,
    /// The part of the customer's limit that this node may use, from 0 to 1.
    pub share: f32,
}

/// Another node as this one sees it.
#[derive(Clone, PartialEq, Debug)]
pub struct PeerView {
    /// Its name.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Whether it takes callers.
    pub accepting: bool,
    /// From 0 to 1.
    pub load: f32,
    /// The revision in force there, as last heard.
    pub revision: u64,
    /// How long ago that was heard.
    pub revision_age: Duration,
    /// Whether it is there.
    pub state: PeerState,
}

/// Whether another node is there.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PeerState {
    /// Heard of lately.
    Alive,
    /// Not heard of for a while; it may be dead, paused or cut off.
    Suspect,
    /// It said goodbye, or the platform says that it is leaving.
    Left,
}
