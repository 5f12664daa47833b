//! The checked form of the operators' text that every other crate reads.

use crate::key::{
    Arena, CustomerKey, DomainKey, EndpointKey, ModelKey, PoolKey, ServiceKey, VersionKey,
};
use std::net::SocketAddr;
use std::time::Duration;

/// The number of an accepted text; it strictly rises and 0 stands for "none yet".
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Debug,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Revision(pub u64);

/// A SHA-256 digest, of a caller's key or of a text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Digest(pub [u8; 32]);

/// One whole checked configuration.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Config {
    /// Failure domains that the text names.
    pub domains: Arena<DomainKey, Domain>,
    /// Models, each with its versions.
    pub models: Arena<ModelKey, Model>,
    /// Versions of all models.
    pub versions: Arena<VersionKey, Version>,
    /// Pools of like endpoints.
    pub pools: Arena<PoolKey, Pool>,
    /// Endpoints of all pools.
    pub endpoints: Arena<EndpointKey, Endpoint>,
    /// Services that callers may name.
    pub services: Arena<ServiceKey, Service>,
    /// Customers with their keys and limits.
    pub customers: Arena<CustomerKey, Customer>,
}

/// A failure domain.
#[derive(Clone, PartialEq, Debug)]
pub struct Domain {
    /// Its name in the text.
    pub name: String,
    /// The region it lies in.
    pub region: String,
}

/// A model with all its versions.
#[derive(Clone, PartialEq, Debug)]
pub struct Model {
    /// Its name in the text.
    pub name: String,
    /// Its versions, in the order of the text.
    pub versions: Vec<VersionKey>,
}

/// One version of a model.
#[derive(Clone, PartialEq, Debug)]
pub struct Version {
    /// Its name in the text, unique within its model.
    pub name: String,
    /// The model it belongs to.
    pub model: ModelKey,
    /// What new work it may get.
    pub state: VersionState,
    /// What it costs.
    pub price: Price,
}

/// What new work a version may get.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum VersionState {
    /// Takes `share` (above 0, at most 1) of its model's new sessions and lone requests.
    Canary {
        /// The share of the model's new sessions.
        share: f64,
    },
    /// Takes new sessions and lone requests.
    Serving,
    /// Takes no new session or lone request; pinned sessions go on.
    Draining,
    /// Takes nothing at all.
    Withdrawn,
}

/// Price in currency units for a million tokens.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Price {
    /// For a million tokens of prompt.
    pub input: f64,
    /// For a million generated tokens.
    pub output: f64,
}

/// A pool of like endpoints.
#[derive(Clone, PartialEq, Debug)]
pub struct Pool {
    /// Its name in the text.
    pub name: String,
    /// What its endpoints speak.
    pub kind: PoolKind,
    /// Its endpoints.
    pub endpoints: Vec<EndpointKey>,
}

/// What the endpoints of a pool speak.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PoolKind {
    /// Model engines; `fencing` says whether they refuse orders with an old fencing number.
    Engines {
        /// Whether orders with an old fencing number are refused.
        fencing: bool,
    },
    /// Plain HTTP services.
    Plain,
}

/// One endpoint.
#[derive(Clone, PartialEq, Debug)]
pub struct Endpoint {
    /// Its name in the text.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub domain: DomainKey,
    /// The pool it belongs to.
    pub pool: PoolKey,
    /// Versions that it should hold; empty for plain services.
    pub versions: Vec<VersionKey>,
    /// How many requests it runs at once before it queues.
    pub concurrency: u32,
}

/// A service that callers may name.
#[derive(Clone, PartialEq, Debug)]
pub struct Service {
    /// Its name in the text; callers put it into `model` or the path.
    pub name: String,
    /// Model or plain.
    pub kind: ServiceKind,
    /// The pool that serves it.
    pub pool: PoolKey,
    /// Services that must have room for this one to be of use.
    pub depends_on: Vec<ServiceKey>,
    /// Time a request may take unless its caller asks for less.
    pub deadline: Duration,
    /// Calls that run at most once.
    pub non_idempotent: Vec<CallPattern>,
}

/// What kind of service it is.
#[derive(Clone, PartialEq, Debug)]
pub enum ServiceKind {
    /// Answers come from a model.
    Model {
        /// Models that may answer, in the order of the text.
        models: Vec<ModelKey>,
        /// The share of answers, from 0 to 1, that the rating service must accept.
        quality: f64,
        /// From 0 (only cost counts) to 1 (only latency counts).
        latency_weight: f64,
    },
    /// Answers come from a plain HTTP service.
    Plain,
}

/// A call that may not be repeated: a method and a path where `*` stands for one segment.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CallPattern {
    /// The HTTP method in upper case, or `*` for every method.
    pub method: String,
    /// The path below the service, such as `/slots/*/confirm`; `**` at the end takes the rest.
    pub path: String,
}

/// A customer.
#[derive(Clone, PartialEq, Debug)]
pub struct Customer {
    /// Its name in the text.
    pub name: String,
    /// SHA-256 digests of its callers' keys.
    pub keys: Vec<Digest>,
    /// Services it may call, sorted.
    pub services: Vec<ServiceKey>,
    /// Versions it may be served by, sorted, whatever their state.
    pub versions: Vec<VersionKey>,
    /// What it may use at most.
    pub limits: Limits,
    /// Its weight when services are short; 1 is usual.
    pub weight: f64,
}

/// What a customer may use at most, over all nodes together.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Limits {
    /// Requests a second.
    pub requests_per_second: f64,
    /// Requests under way at once.
    pub concurrent: u32,
}

impl Config {
    /// Whether `customer` may be served by `version`, apart from the version's state.
    pub fn allows(&self, customer: CustomerKey, version: VersionKey) -> bool {
        self.customers[customer]
            .versions
            .binary_search(&version)
            .is_ok()
    }

    /// Whether `customer` may call `service`.
    pub fn may_call(&self, customer: CustomerKey, service: ServiceKey) -> bool {
        self.customers[customer]
            .services
            .binary_search(&service)
            .is_ok()
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.services.find(|s| s.name == name)
    }

    /// The version of a name such as `planner/2026-11`.
    pub fn version(&self, name: &str) -> Option<VersionKey> {
        let (model, version) = name.split_once('/')?;
        self.versions
            .find(|v| v.name == version && self.models[v.model].name == model)
    }

    /// The full name of a version, such as `planner/2026-11`.
    pub fn version_name(&self, key: VersionKey) -> String {
        let version = &self.versions[key];
        format!("{}/{}", self.models[version.model].name, version.name)
    }

    /// The customer that holds the caller's key with this digest.
    pub fn customer_of(&self, digest: Digest) -> Option<CustomerKey> {
        self.customers.find(|c| c.keys.contains(&digest))
    }
}

impl CallPattern {
    /// Whether a call matches.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method == "*" || self.method.eq_ignore_ascii_case(method);
        method_fits && path_fits(&self.path, path)
    }
}

fn path_fits(pattern: &str, path: &str) -> bool {
    let mut want = pattern.trim_matches('/').split('/');
    let mut have = path.trim_matches('/').split('/');
    loop {
        match (want.next(), have.next()) {
            (Some("**"), _) | (None, None) => return true,
            (Some("*"), Some(_)) => {}
            (Some(a), Some(b)) if a == b => {}
            _ => return false,
        }
    }
}
