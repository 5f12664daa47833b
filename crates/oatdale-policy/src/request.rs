//! What the router is told of a request and what it answers.

use oatdale_config::{CustomerKey, DomainKey, EndpointKey, PoolKey, ServiceKey, VersionKey};
use std::time::Duration;

/// A request as the router sees it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Ask {
    /// Who asks.
    pub customer: CustomerKey,
    /// The service that is asked.
    pub service: ServiceKey,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Where the request stands in a session.
    pub session: Session,
    /// The time since the node's start by which the caller gives up.
    pub deadline: Duration,
    /// Tokens of prompt, or an estimate; 0 for plain services.
    pub input_tokens: u32,
    /// Tokens that the answer may have at most; 0 for plain services.
    pub output_tokens: u32,
    /// A hash of the prompt's beginning; equal values profit from the same endpoint's cache.
    pub prefix: u64,
    /// A uniform hash of the session or request, which decides its place in a roll-out's share.
    pub draw: u64,
    /// Whether the caller reads the answer as it is generated.
    pub stream: bool,
    /// What sort of request it is, such as a bucket of the prompt's length; ratings are learned
    /// for each.
    pub class: u8,
}

/// Where a request stands in a session.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Session {
    /// It belongs to none.
    None,
    /// It opens one, which keeps the version that is chosen now.
    Opens,
    /// It goes on with one, which was pinned to this version; `step` counts from 1.
    Pinned {
        /// The session's version.
        version: VersionKey,
        /// How many requests of the session went before.
        step: u32,
    },
}

/// Names a request that the router knows; a stale ticket is never mistaken for a newer one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Ticket {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
}

/// One attempt to be sent to one endpoint.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Dispatch {
    /// The request.
    pub ticket: Ticket,
    /// Counts the request's attempts from 1.
    pub attempt: u16,
    /// Where to send it.
    pub endpoint: EndpointKey,
    /// The version to name; `None` for plain services.
    pub version: Option<VersionKey>,
    /// Whether the answer must be kept back and rated, since a better version may follow.
    pub judge: bool,
    /// Why this version.
    pub why_version: VersionReason,
    /// Why this endpoint.
    pub why_endpoint: EndpointReason,
    /// How many endpoints were fit.
    pub considered: u16,
}

/// Why a version was chosen; the log line of the decision says it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum VersionReason {
    /// The service is plain.
    Plain,
    /// The session is pinned to it.
    Pinned,
    /// The request falls into a canary's share.
    Canary,
    /// Least expected cost that meets the quality target.
    Cheapest,
    /// The customer weighs latency first and it meets the target at once.
    Fastest,
    /// The target can't be met; it is the best there is.
    Best,
    /// Tried to learn its quality.
    Explore,
    /// The step before it was rated too low.
    Escalated,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointReason {
    /// Its cache probably holds the prompt's beginning.
    Prefix,
    /// The less loaded of two drawn in the node's own failure domain.
    OwnDomain,
    /// The node's own failure domain has no room.
    Spill,
    /// Another failure domain than the failed attempt's.
    Retry,
    /// The only one that is fit.
    Only,
}

/// The router's answer to a new request.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Offer {
    /// Send it now.
    Run(Dispatch),
    /// Keep it until `Router::next_turn` names it.
    Wait(Ticket),
    /// Give the caller its final answer now.
    Refuse(Refusal),
}

/// The router's answer to the end of an attempt.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Next {
    /// The request is over; its answer goes, or went, to the caller.
    Done,
    /// Send another attempt now.
    Run(Dispatch),
    /// Give the caller the failure as its final answer now.
    Refuse(Refusal),
}

/// A final refusal.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When asking again may help; `None` when it can't.
    pub retry_after: Option<Duration>,
}

/// Why a request is refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RefusalReason {
    /// The customer's rate is used up.
    CustomerRate,
    /// The customer has as many requests under way as it may.
    CustomerConcurrency,
    /// The service has no room before the deadline.
    Overload,
    /// A service that this one depends on has no room.
    Dependency,
    /// The deadline has passed, or passed while waiting.
    Deadline,
    /// No version that the customer may use takes new work.
    NoVersion,
    /// The session's version has been withdrawn.
    SessionVersionWithdrawn,
    /// No endpoint that holds the version is reachable.
    NoEndpoint,
    /// Attempts failed and no further one is allowed.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Outcome {
    /// What happened.
    pub result: AttemptResult,
    /// Whether bytes of the answer have gone to the caller, so that no other attempt may answer.
    pub forwarded: bool,
    /// Time from sending to the first byte of the answer, if one came.
    pub first_byte: Option<Duration>,
    /// Time from sending to the end.
    pub total: Duration,
}

/// What happened to an attempt.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptResult {
    /// A whole answer came.
    Complete {
        /// The rating service's verdict, 0 to 1, if one was asked for and came in time.
        rating: Option<f64>,
        /// Tokens of the answer.
        output_tokens: u32,
    },
    /// Nothing was sent: the connection failed.
    NotSent,
    /// The endpoint refused before starting and may say when to come back.
    NotStarted {
        /// What the endpoint asked for.
        retry_after: Option<Duration>,
    },
    /// The endpoint answered with a server error or broke off; the call may have run.
    Broken,
    /// No answer came in time; the call may have run.
    TimedOut,
    /// The caller went away.
    Cancelled,
}

/// An engine's report of its load, as old as `age` when it arrived.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct LoadReport {
    /// Requests it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// How old the report was when it arrived.
    pub age: Duration,
}

/// What became of a waiting request.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Turn {
    /// Send it now.
    Run(Dispatch),
    /// Give the caller its final answer now.
    Refuse(Refusal),
}

/// Where the node stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Place {
    /// The node's own failure domain, if the text names it.
    pub domain: Option<DomainKey>,
    /// Decides every random draw and which endpoints the node uses; each node has its own.
    pub seed: u64,
}

/// Gauges for the metrics.
#[derive(Clone, PartialEq, Debug)]
pub struct Snapshot {
    /// One entry for each service, in the order of the text.
    pub services: Vec<ServiceGauges>,
    /// One entry for each pool, in the order of the text.
    pub pools: Vec<PoolGauges>,
}

/// What a service does at the moment.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ServiceGauges {
    /// The service.
    pub service: ServiceKey,
    /// Requests that wait for their turn.
    pub waiting: usize,
    /// Attempts under way.
    pub running: u32,
}

/// What a pool does at the moment.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PoolGauges {
    /// The pool.
    pub pool: PoolKey,
    /// Attempts under way.
    pub running: u32,
    /// Attempts that may be under way at once.
    pub limit: f64,
}
