//! Parameters of a simulation and the results of its requests.

use crate::engine::Work;
use crate::site::Site;
use oatdale_config::{CustomerKey, ServiceKey};
use oatdale_policy::{Ticket, Tuning};

/// Policy by which nodes choose endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Policy {
    /// The router of `oatdale-policy`.
    Oatdale,
    /// A random endpoint; never refuses.
    Random,
    /// The next endpoint in turn; never refuses.
    RoundRobin,
    /// The least loaded endpoint according to the last reports; never refuses.
    LeastReported,
}

impl Policy {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Policy::Oatdale => "oatdale",
            Policy::Random => "random",
            Policy::RoundRobin => "round robin",
            Policy::LeastReported => "least loaded by report",
        }
    }
}

/// Stream of similar requests.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    pub(crate) service: ServiceKey,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Start and end in seconds of a time in which the rate is multiplied, and the factor.
    pub(crate) surge: Option<(f64, f64, f64)>,
    /// Median of the prompt tokens; 0 for plain services.
    pub(crate) input: f64,
    /// Median of the output tokens.
    pub(crate) output: f64,
    /// Number of distinct prompt prefixes.
    pub(crate) prefixes: usize,
    /// Seconds after which callers give up.
    pub(crate) deadline: f64,
    /// The only customer that sends requests, or `None` for all customers.
    pub(crate) customer: Option<CustomerKey>,
    /// Sequential requests of a session; 0 for requests outside sessions.
    pub(crate) steps: u32,
    /// Time in seconds at which the flow stops, if before the end of the run.
    pub(crate) until: Option<f64>,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) site: Site,
    pub(crate) flows: Vec<Flow>,
    pub(crate) policy: Policy,
    pub(crate) nodes: usize,
    /// Seconds from a load report's measurement to its arrival at the nodes.
    pub(crate) lag: f64,
    /// Seconds during which requests arrive.
    pub(crate) length: f64,
    /// Faulty endpoints: index, factor of all times, and share of attempts that fail.
    pub(crate) faults: Vec<(usize, f64, f64)>,
    pub(crate) tuning: Tuning,
    /// Maximum number of attempts per request under the policies other than [`Policy::Oatdale`].
    pub(crate) baseline_attempts: u32,
    /// Seconds after which a caller restarts a session whose request was refused or late; `None`
    /// for the advised retry delay, or 1 s without advice.
    pub(crate) fixed_retry_delay: Option<f64>,
    pub(crate) seed: u64,
}

/// State and result of a request. Times are simulated seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) flow: usize,
    pub(crate) customer: CustomerKey,
    pub(crate) arrived_at: f64,
    pub(crate) deadline: f64,
    pub(crate) work: Work,
    pub(crate) attempts: u32,
    /// Time of the response's first byte.
    pub(crate) first_byte_at: Option<f64>,
    /// Time at which the response was complete.
    pub(crate) done_at: Option<f64>,
    pub(crate) refused_at: Option<f64>,
    /// Index of the session, and the number of its preceding requests.
    pub(crate) session: Option<(usize, u32)>,
    pub(super) node: usize,
    pub(super) ticket: Option<Ticket>,
}

impl Job {
    /// Whether the response was complete by the deadline.
    pub(crate) fn met_deadline(&self) -> bool {
        self.done_at.is_some_and(|at| at <= self.deadline)
    }

    /// Returns the seconds from arrival to the first byte.
    pub(crate) fn time_to_first_byte(&self) -> Option<f64> {
        self.first_byte_at.map(|at| at - self.arrived_at)
    }
}
