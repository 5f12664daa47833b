//! What a platform adapter and the relay tell each other.

use crate::replica::Replica;
use crate::revision::Revision;
use crate::settings::Settings;
use crate::site::Site;
use crate::state::hash;
use oatdale_policy::relay::{Fingerprint, ReaderCandidate};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A relay's connection to a platform's adapter.
#[derive(Debug)]
pub struct Link {
    /// What the platform tells.
    pub updates: mpsc::Receiver<Update>,
    /// What the relay asks for.
    pub commands: mpsc::Sender<Command>,
    /// The records that the adapter reads, for other nodes that ask this one.
    pub records: Arc<Replica>,
}

/// News from the platform.
#[derive(Clone, Debug)]
pub enum Update {
    /// A configuration; older ones than the one in force are ignored.
    Site(Arc<Site>),
    /// All endpoints there are; those that are missing are gone.
    Endpoints(Vec<Endpoint>),
    /// An endpoint is new or has changed.
    Endpoint(Endpoint),
    /// The endpoint with this id is gone.
    EndpointGone(String),
    /// The failure domains whose endpoints are to get nothing new.
    Evacuated(BTreeSet<String>),
    /// A roll-out as it stands.
    RollOut(RollOut),
    /// The record of how this service's roll-out ended is lost.
    RollOutEndLost(String),
    /// The key-value service came back from an older copy of itself.
    Restored {
        /// Records that the node keeps against the copy.
        kept: usize,
    },
    /// All other nodes there are.
    Nodes(Vec<Node>),
    /// What a node recorded of a request that crashes endpoints.
    Quarantine {
        /// The request.
        request: Fingerprint,
        /// Whether it is to be refused.
        is_held: bool,
    },
    /// Whether this node reads the records for itself only: then it tells all others what it reads. Others are
    /// told by readers, or would all tell the same at once.
    ReadsAlone(bool),
    /// The platform's key-value service does not answer this node.
    StoreLost,
    /// It answers again, and all that was read since is news of after its return.
    StoreBack,
}

/// What the relay asks of the adapter.
#[derive(Clone, Debug)]
pub enum Command {
    /// Write how a roll-out ended, unless it has another state by now.
    EndRollOut {
        /// The service.
        service: String,
        /// The version that was rolled out.
        target: String,
        /// How it ended.
        end: RollOutEnd,
    },
    /// Record for all nodes whether a request is to be refused since it crashes endpoints.
    RecordQuarantine {
        /// The request.
        request: Fingerprint,
        /// Whether it is.
        is_held: bool,
    },
    /// Take this node off the list that callers are told.
    Leave,
}

/// One start of one endpoint.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id; one that starts again may have the id that it had.
    pub id: String,
    /// When it started, in Unix milliseconds by its own clock, if it says so: a later start under the
    /// same id has a later one.
    #[serde(default)]
    pub born: Option<u64>,
    /// The service it serves.
    pub service: String,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// The version of its software.
    pub version: String,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it announced that it leaves: it gets no new work.
    pub leaving: bool,
    /// How much longer it was cold when it wrote its record, if it says so.
    #[serde(default)]
    pub cold_left: Option<Duration>,
    /// Counts the records that it wrote.
    #[serde(default)]
    pub serial: u64,
}

/// An order to move a service's traffic to a software version, and what became of it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RollOut {
    /// The service.
    pub service: String,
    /// The version to move to.
    pub target: String,
    /// Time that the order gives.
    pub duration: Duration,
    /// Rises with each order.
    pub order: Revision,
    /// How it ended.
    pub end: Option<RollOutEnd>,
}

impl RollOut {
    /// Whether both are records of one order.
    ///
    /// A copy of the key-value service shows an order in a later era under its number, and an order that the copy lacks
    /// is written again under another one.
    pub(crate) fn is_same_order(&self, other: &RollOut) -> bool {
        let (own, other_order) = (self.order, other.order);
        let is_again = own.number == other_order.number || own.era != other_order.era;
        let is_like = self.target == other.target && self.duration == other.duration;
        own == other_order || is_again && is_like
    }

    /// Whether another node's order is a later one.
    ///
    /// One of a later era may stem from an older copy, which that node cannot tell if it has just started. Then the
    /// records decide.
    pub(crate) fn is_overtaken_by(&self, other: &RollOut) -> bool {
        self.order < other.order && self.order.era == other.order.era
    }
}

/// How a roll-out ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RollOutEnd {
    /// All traffic is on the new version; the old one stops.
    Completed,
    /// The new version is not to be used.
    RolledBack,
}

/// Another node.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Node {
    /// Its host's name.
    pub host: String,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Where it takes other nodes' datagrams.
    pub nodes: SocketAddr,
    /// Where it tells other nodes what it knows of the site; nodes of an earlier version do not.
    pub state: Option<SocketAddr>,
    /// Its failure domain; nodes of an earlier version do not tell it.
    #[serde(default)]
    pub domain: Option<String>,
    /// The speed of its link in Mbit/s; 0 if it does not tell it.
    #[serde(default)]
    pub link_mbps: u32,
}

impl From<&Settings> for Node {
    fn from(settings: &Settings) -> Self {
        Node {
            host: settings.host.clone(),
            callers: settings.listen.callers,
            nodes: settings.listen.nodes,
            state: Some(settings.listen.state),
            domain: Some(settings.failure_domain.clone()),
            link_mbps: settings.link_mbps.round() as u32,
        }
    }
}

impl From<&Node> for ReaderCandidate {
    fn from(node: &Node) -> Self {
        ReaderCandidate {
            link_mbps: node.link_mbps,
            hash: hash(&node.host),
        }
    }
}
