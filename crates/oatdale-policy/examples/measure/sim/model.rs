//! What a run is given and what became of its requests.

use crate::engine::Work;
use crate::world::Site;
use oatdale_config::{CustomerKey, ServiceKey};
use oatdale_policy::{Ticket, Tuning};

/// How a node decides.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Policy {
    /// The real router.
    Oatdale,
    /// Any endpoint; never refuses.
    Random,
    /// The next endpoint; never refuses.
    RoundRobin,
    /// The least loaded by the last report; never refuses.
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

/// Requests of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    pub(crate) service: ServiceKey,
    /// Requests a second.
    pub(crate) rate: f64,
    /// From and to which second the rate is multiplied, and by what.
    pub(crate) surge: Option<(f64, f64, f64)>,
    pub(crate) input: f64,
    pub(crate) output: f64,
    /// How many different prompt beginnings there are.
    pub(crate) prefixes: usize,
    /// Seconds that callers wait.
    pub(crate) deadline: f64,
    /// The only customer, or `None` for all.
    pub(crate) customer: Option<CustomerKey>,
    /// Requests of one session that follow one another; 0 for requests outside sessions.
    pub(crate) steps: u32,
    /// When the flow stops, if before the run's end.
    pub(crate) until: Option<f64>,
}

/// What a run is given.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) site: Site,
    pub(crate) flows: Vec<Flow>,
    pub(crate) policy: Policy,
    pub(crate) nodes: usize,
    /// Seconds until a load report arrives.
    pub(crate) lag: f64,
    /// Seconds in which requests arrive.
    pub(crate) length: f64,
    /// Slowness and share of failures by endpoint.
    pub(crate) faults: Vec<(usize, f64, f64)>,
    pub(crate) tuning: Tuning,
    /// Attempts of one request by the simple policies.
    pub(crate) baseline_attempts: u32,
    /// When a refused session's caller comes back: as told, or after this many seconds.
    pub(crate) fixed_retry_delay: Option<f64>,
    pub(crate) seed: u64,
}

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) flow: usize,
    pub(crate) customer: CustomerKey,
    pub(crate) arrived_at: f64,
    pub(crate) deadline: f64,
    pub(crate) work: Work,
    pub(crate) attempts: u32,
    /// When the first byte of the answer came.
    pub(crate) first_byte_at: Option<f64>,
    /// When the whole answer had come.
    pub(crate) done_at: Option<f64>,
    pub(crate) refused_at: Option<f64>,
    /// The session and how many of its requests went before.
    pub(crate) session: Option<(usize, u32)>,
    pub(super) node: usize,
    pub(super) ticket: Option<Ticket>,
}

impl Job {
    /// Whether the whole answer came in time.
    pub(crate) fn met_deadline(&self) -> bool {
        self.done_at.is_some_and(|at| at <= self.deadline)
    }

    /// Seconds to the first byte.
    pub(crate) fn time_to_first_byte(&self) -> Option<f64> {
        self.first_byte_at.map(|at| at - self.arrived_at)
    }
}
