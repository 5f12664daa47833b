//! The configuration that a relay follows: routes, services, customers and limits on callers.

use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// One version of the configuration.
#[derive(Clone, PartialEq, Debug)]
pub struct Site {
    /// Rises with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// What is known of services that have model engines, by name.
    pub services: HashMap<String, ServiceFacts>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Customers; `None` if requests need no key.
    pub customers: Option<Customers>,
    /// Places in `routes` by host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
}

/// Where requests to one host and path prefix go.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The beginning of the path, from slash to slash.
    pub prefix: String,
    /// What may be repeated, and whether the answer is a stream.
    pub kind: RouteKind,
    /// The longest time a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that callers are content with.
    pub target_latency: Option<Duration>,
    /// The longest pause between events that callers are content with.
    pub target_gap: Option<Duration>,
    /// Endpoints that one request may be sent to.
    pub attempts: u32,
    /// Rank from 0, the most urgent.
    pub urgency: u8,
    /// Whether it is open to callers without a key.
    pub public: bool,
    /// Services that take its requests, with their weights.
    pub services: Vec<(String, u32)>,
    /// Names of the models that may answer, smallest first; empty if the caller names the model.
    pub ladder: Vec<String>,
}

/// What may be done with a route's requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another endpoint can go on with.
    ResumableStream,
}

/// What the configuration tells of a service's engines.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct ServiceFacts {
    /// Connections that one endpoint accepts from all nodes together.
    pub connections: u32,
    /// How long an endpoint is cold after its start.
    #[serde(default)]
    pub cold_time: Duration,
    /// Requests a second that a cold endpoint bears, from all nodes together; 0 if there is no bound.
    #[serde(default)]
    pub cold_rate: f64,
    /// What each model costs for the same work; only the ratios count.
    pub model_costs: HashMap<String, f64>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time from a head's first byte to its last.
    pub header_timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
}

/// Customers by their keys.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Customers {
    customers: Vec<Customer>,
    by_key: HashMap<String, usize>,
}

/// One customer.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Customer {
    /// Its name, as endpoints are told.
    pub name: String,
    /// Its rank, which goes before a route's.
    pub urgency: Option<u8>,
}

impl RouteKind {
    /// Whether a request may run again.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

impl Route {
    /// Picks the service for a request, by weight.
    pub(crate) fn pick_service(&self) -> Option<&str> {
        let sum: u64 = self.services.iter().map(|s| u64::from(s.1)).sum();
        let mut draw = rand::rng().random_range(0..sum.max(1));
        for (name, weight) in &self.services {
            match draw.checked_sub(u64::from(*weight)) {
                Some(rest) => draw = rest,
                None => return Some(name),
            }
        }
        self.services.first().map(|s| s.0.as_str())
    }
}

impl Customers {
    /// Adds a customer and its keys.
    pub fn add(&mut self, customer: Customer, keys: impl IntoIterator<Item = String>) {
        let at = self.customers.len();
        self.customers.push(customer);
        self.by_key.extend(keys.into_iter().map(|key| (key, at)));
    }

    /// The customer that holds a key.
    pub fn of_key(&self, key: &str) -> Option<&Customer> {
        self.by_key.get(key).map(|&at| &self.customers[at])
    }
}

impl ServiceFacts {
    /// How much work a model makes of a request, from 0 to 1, the dearest of the service being 1.
    /// Prices follow the time that engines take.
    pub fn relative_cost(&self, model: &str) -> f64 {
        let most = self.model_costs.values().copied().fold(0.0, f64::max);
        match self.model_costs.get(model) {
            Some(cost) if most > 0.0 => cost / most,
            _ => 1.0,
        }
    }
}

impl Site {
    /// Puts a configuration together.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<String, ServiceFacts>,
        limits: CallerLimits,
        customers: Option<Customers>,
    ) -> Site {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(at);
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|&at| std::cmp::Reverse(routes[at].prefix.len()));
        }
        Site {
            version,
            routes,
            services,
            limits,
            customers,
            by_host,
        }
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let list = self.by_host.get(host)?;
        list.iter()
            .copied()
            .find(|&at| path.starts_with(&self.routes[at].prefix))
    }
}
