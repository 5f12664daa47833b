//! CBOR encoding of the state that a node sends to a peer.

use crate::roll_outs::{Report, VersionOutcome};
use crate::site::{CallerLimits, Customers, Route, ServiceFacts, SiteConfig};
use crate::update::{Endpoint, Node, RollOut};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::io;

/// State of the site as known to a node.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Snapshot {
    /// Whether the key-value service answers the sending node.
    pub(super) is_current: bool,
    /// The configuration in force, if it is newer than the receiver's.
    pub(super) site: Option<SiteWire>,
    /// All endpoints.
    pub(super) endpoints: Vec<Endpoint>,
    /// Evacuated failure domains, if known; nodes of an earlier version do not send them.
    #[serde(default)]
    pub(super) evacuated: Option<BTreeSet<String>>,
    /// All nodes.
    pub(super) nodes: Vec<Node>,
    /// Rollouts that have ended.
    pub(super) ended: Vec<RollOut>,
    /// Rollouts under way, with the sender's counts.
    pub(super) under_way: Vec<Report>,
    /// Outcomes of earlier orders, by service; nodes of an earlier version do not send them.
    #[serde(default)]
    pub(super) outcomes: Vec<(String, Vec<VersionOutcome>)>,
    /// Requests refused because they crash endpoints; nodes of an earlier version do not send them.
    #[serde(default)]
    pub(super) quarantined: Vec<u128>,
}

/// Configuration without the values derived from it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SiteWire {
    pub(super) version: u64,
    routes: Vec<Route>,
    services: HashMap<String, ServiceFacts>,
    limits: CallerLimits,
    customers: Option<Customers>,
}

impl Snapshot {
    pub(super) fn encode(&self) -> Result<Bytes, ciborium::ser::Error<io::Error>> {
        let mut body = Vec::new();
        ciborium::into_writer(self, &mut body)?;
        Ok(body.into())
    }

    pub(super) fn decode(body: &[u8]) -> Result<Snapshot, ciborium::de::Error<io::Error>> {
        ciborium::from_reader(body)
    }
}

impl From<&SiteConfig> for SiteWire {
    fn from(site: &SiteConfig) -> Self {
        SiteWire {
            version: site.version,
            routes: site.routes.clone(),
            services: site.services.clone(),
            limits: site.limits,
            customers: site.customers.clone(),
        }
    }
}

impl From<SiteWire> for SiteConfig {
    fn from(wire: SiteWire) -> Self {
        SiteConfig::new(
            wire.version,
            wire.routes,
            wire.services,
            wire.limits,
            wire.customers,
        )
    }
}
