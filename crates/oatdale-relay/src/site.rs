//! Relay configuration: routes, services, customers and limits on callers' requests.

use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// One version of the relay configuration.
#[derive(Clone, PartialEq, Debug)]
pub struct SiteConfig {
    /// Version number; increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Facts about services with model engines, by service name.
    pub services: HashMap<String, ServiceFacts>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Customers; `None` if requests need no API key.
    pub customers: Option<Customers>,
    /// Indices into `routes` by host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
}

/// Where requests to one host and path prefix go.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Path prefix that begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried, and whether the response is a stream.
    pub kind: RouteKind,
    /// Maximum time until the complete response.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Option<Duration>,
    /// Target for the longest pause between events.
    pub target_gap: Option<Duration>,
    /// Maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// Priority; 0 is the most urgent.
    pub urgency: u8,
    /// Whether callers without an API key may use the route.
    pub public: bool,
    /// Services that receive the requests, with their weights.
    pub services: Vec<(String, u32)>,
    /// Names of the models that may respond, smallest first; empty if the caller names the model.
    pub ladder: Vec<String>,
}

/// How a route's requests may be retried, and how it responds.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that run at most once.
    NonIdempotent,
    /// Requests that run at most once and respond with a stream of events.
    Stream,
    /// Requests that respond with a stream of events that another endpoint can resume.
    ResumableStream,
}

/// Configured facts about a service's engines.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct ServiceFacts {
    /// Maximum number of connections that one endpoint accepts from all nodes together.
    pub connections: u32,
    /// How long an endpoint is cold after its start, that is, handles fewer requests than later.
    #[serde(default)]
    pub cold_time: Duration,
    /// Requests per second that a cold endpoint can handle, from all nodes together; 0 means no
    /// limit.
    #[serde(default)]
    pub cold_rate: f64,
    /// Cost of each model for the same work; only the ratios matter.
    pub model_costs: HashMap<String, f64>,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first to the last byte of a request head.
    pub header_timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
}

/// Customers by API key.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Customers {
    customers: Vec<Customer>,
    by_key: HashMap<String, usize>,
}

/// One customer.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Customer {
    /// Name, as passed to endpoints.
    pub name: String,
    /// Priority, which overrides that of the route.
    pub urgency: Option<u8>,
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

impl Route {
    /// Picks a service at random, by weight.
    pub(crate) fn pick_service(&self) -> Option<&str> {
        let total_weight: u64 = self.services.iter().map(|s| u64::from(s.1)).sum();
        let mut draw = rand::rng().random_range(0..total_weight.max(1));
        for (name, weight) in &self.services {
            match draw.checked_sub(u64::from(*weight)) {
                Some(remaining) => draw = remaining,
                None => return Some(name),
            }
        }
        self.services.first().map(|s| s.0.as_str())
    }
}

impl Customers {
    /// Adds a customer and its API keys.
    pub fn add(&mut self, customer: Customer, keys: impl IntoIterator<Item = String>) {
        let index = self.customers.len();
        self.customers.push(customer);
        self.by_key.extend(keys.into_iter().map(|key| (key, index)));
    }

    /// Returns the customer that owns an API key.
    pub fn find_by_key(&self, key: &str) -> Option<&Customer> {
        self.by_key.get(key).map(|&index| &self.customers[index])
    }
}

impl ServiceFacts {
    /// Returns a model's cost per request relative to the most expensive model of the service, from
    /// 0 to 1. Costs are proportional to the time that engines take.
    pub fn relative_cost(&self, model: &str) -> f64 {
        let max_cost = self.model_costs.values().copied().fold(0.0, f64::max);
        match self.model_costs.get(model) {
            Some(cost) if max_cost > 0.0 => cost / max_cost,
            _ => 1.0,
        }
    }
}

impl SiteConfig {
    /// Creates a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<String, ServiceFacts>,
        limits: CallerLimits,
        customers: Option<Customers>,
    ) -> SiteConfig {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(routes[index].prefix.len()));
        }
        SiteConfig {
            version,
            routes,
            services,
            limits,
            customers,
            by_host,
        }
    }

    /// Returns the index of the host's route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let indices = self.by_host.get(host)?;
        indices
            .iter()
            .copied()
            .find(|&index| path.starts_with(&self.routes[index].prefix))
    }
}
