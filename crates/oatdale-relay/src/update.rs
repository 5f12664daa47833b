//! Messages between a platform adapter and the relay.

use crate::replica::Replica;
use crate::revision::Revision;
use crate::roll_outs::VersionOutcome;
use crate::settings::Settings;
use crate::site::SiteConfig;
use crate::state::hash;
use crate::traffic::Traffic;
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
    /// Updates from the platform.
    pub updates: mpsc::Receiver<Update>,
    /// Commands to the adapter.
    pub commands: mpsc::Sender<Command>,
    /// The records that the adapter reads, to be served to other nodes.
    pub records: Arc<Replica>,
    /// Counters of messages, to which the adapter adds its calls.
    pub traffic: Traffic,
}

/// An update from the platform.
#[derive(Clone, Debug)]
pub enum Update {
    /// A configuration; one that is older than the one in force is ignored.
    Site(Arc<SiteConfig>),
    /// All endpoints; any other known endpoint is gone.
    Endpoints(Vec<Endpoint>),
    /// Changes of single endpoints, in the order in which they were read.
    EndpointChanges(Vec<EndpointChange>),
    /// The failure domains whose endpoints are to get no new requests.
    Evacuated(BTreeSet<String>),
    /// The current state of a rollout.
    RollOut(RollOut),
    /// The outcome of a service's rollout, possibly of an order before the current one.
    VersionOutcome {
        /// The service.
        service: String,
        /// The outcome.
        outcome: VersionOutcome,
    },
    /// The record of how this service's rollout ended was lost.
    RollOutEndLost(String),
    /// The key-value service was restored from an older backup.
    Restored {
        /// Number of records that the node keeps although the restored service differs.
        kept: usize,
    },
    /// All other nodes.
    Nodes(Vec<Node>),
    /// A node's quarantine record for a request that crashes endpoints.
    Quarantine {
        /// The request.
        request: Fingerprint,
        /// What it states of the request.
        state: QuarantineState,
    },
    /// Whether this node reads the records for itself only, and so sends what it reads to all other
    /// nodes. Nodes that have a reader do not, since all of them would send the same at once.
    ReadsOnlyForItself(bool),
    /// The platform's key-value service does not answer this node.
    StoreUnavailable,
    /// The key-value service answers again, and all records read since then were read after its
    /// return.
    StoreAvailable,
}

/// A change of one endpoint's record.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum EndpointChange {
    /// The endpoint is new or has changed.
    Written(Endpoint),
    /// The endpoint with this id is gone.
    Gone(String),
}

/// What is recorded of a request that crashes endpoints.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum QuarantineState {
    /// Endpoints crashed under it, too few to refuse it. Each number stands for one start of an endpoint.
    Suspected(Vec<u32>),
    /// Copies of it are refused.
    Held,
    /// It is no longer suspected or refused because a copy of it completed.
    Released,
}

/// A command from the relay to the adapter.
#[derive(Clone, Debug)]
pub enum Command {
    /// Writes how a rollout ended, unless its state has changed since.
    EndRollOut {
        /// The service.
        service: String,
        /// The version that was rolled out.
        target: String,
        /// How the rollout ended.
        end: RollOutEnd,
    },
    /// Records for all nodes whether a request is to be refused because it crashes endpoints.
    RecordQuarantine {
        /// The request.
        request: Fingerprint,
        /// What to record of the request.
        state: QuarantineState,
    },
    /// Removes this node from the list of nodes that callers get.
    Deregister,
}

/// One incarnation of an endpoint: its process from one start to the next.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Endpoint {
    /// The id; a restarted endpoint may keep its id.
    pub id: String,
    /// Start time in Unix milliseconds by the endpoint's own clock, if it reports one. A later
    /// incarnation under the same id has a later start time.
    #[serde(default)]
    pub born: Option<u64>,
    /// The service that the endpoint belongs to.
    pub service: String,
    /// The address at which the endpoint accepts requests.
    pub addr: SocketAddr,
    /// The failure domain.
    pub domain: String,
    /// The software version.
    pub version: String,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint announced that it is leaving and so gets no new requests.
    pub leaving: bool,
    /// Remaining cold time when the endpoint wrote its record, if it reports one.
    #[serde(default)]
    pub cold_left: Option<Duration>,
    /// Sequence number of the endpoint's record.
    #[serde(default)]
    pub serial: u64,
}

impl Endpoint {
    /// Number that identifies this incarnation in messages between nodes.
    pub(crate) fn number(&self) -> u32 {
        hash(&(&self.id, self.born)) as u32
    }
}

/// An order to move a service's traffic to a software version, and its outcome.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RollOut {
    /// The service.
    pub service: String,
    /// The version to which traffic moves.
    pub target: String,
    /// Duration of the rollout as ordered.
    pub duration: Duration,
    /// Revision of the order; increases with each order.
    pub order: Revision,
    /// How the rollout ended, if it has.
    pub end: Option<RollOutEnd>,
}

impl RollOut {
    /// Whether both are records of the same order.
    ///
    /// A restored key-value service shows an order in a later era under the same number, and an
    /// order that the backup lacks is written again under another number.
    pub(crate) fn is_same_order(&self, other: &RollOut) -> bool {
        let (own_order, other_order) = (self.order, other.order);
        let may_be_rewritten =
            own_order.number == other_order.number || own_order.era != other_order.era;
        let has_same_content = self.target == other.target && self.duration == other.duration;
        own_order == other_order || may_be_rewritten && has_same_content
    }

    /// Whether another node's order is later than this one.
    ///
    /// An order of a later era may come from an older backup, which that node cannot detect if it
    /// has just started. Then the service's records decide which order applies.
    pub(crate) fn is_superseded_by(&self, other: &RollOut) -> bool {
        self.order < other.order && self.order.era == other.order.era
    }
}

/// How a rollout ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RollOutEnd {
    /// All traffic is on the new version; the old version stops.
    Completed,
    /// The new version must not be used.
    RolledBack,
}

/// Another node.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Node {
    /// The host name.
    pub host: String,
    /// The address for callers' requests.
    pub callers: SocketAddr,
    /// The address for other nodes' datagrams.
    pub nodes: SocketAddr,
    /// The address at which other nodes fetch its site state and records; unset for nodes of an
    /// earlier version.
    pub state: Option<SocketAddr>,
    /// The failure domain; unset for nodes of an earlier version.
    #[serde(default)]
    pub domain: Option<String>,
    /// The link speed in Mbit/s; 0 if unknown.
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
