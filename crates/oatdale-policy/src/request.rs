//! Inputs and decisions of the router.

use oatdale_config::{CustomerKey, DomainKey, EndpointKey, PoolKey, ServiceKey, VersionKey};
use std::time::Duration;

/// Description of a request for routing.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RequestInfo {
    /// The customer that sends it.
    pub customer: CustomerKey,
    /// The service that is called.
    pub service: ServiceKey,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The request's relation to a session.
    pub session: Session,
    /// When the caller gives up, as time since the node's start.
    pub deadline: Duration,
    /// Prompt tokens, or an estimate; 0 for plain services.
    pub input_tokens: u32,
    /// Maximum number of answer tokens; 0 for plain services.
    pub output_tokens: u32,
    /// Hash of the prompt's prefix; requests with equal values benefit from the same endpoint's
    /// cache.
    pub prefix: u64,
    /// Uniform hash of the session or request, which determines its position in a canary's share.
    pub rollout_hash: u64,
    /// Whether the answer is streamed to the caller while it is generated.
    pub stream: bool,
    /// Class of the request, such as a bucket of the prompt's length; ratings are learned per
    /// class.
    pub class: u8,
}

/// Relation of a request to a session.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Session {
    /// The request belongs to no session.
    None,
    /// The request opens a session, which keeps the version that is chosen now.
    Open,
    /// The request continues a session, which is pinned to this version; `step` counts from 1.
    Pinned {
        /// The session's version.
        version: VersionKey,
        /// Number of earlier requests of the session.
        step: u32,
    },
}

/// Handle of a queued or running request; a stale ticket never refers to a newer request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Ticket {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
}

/// An attempt to be sent to an endpoint.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Dispatch {
    /// The request.
    pub ticket: Ticket,
    /// Number of the attempt, from 1.
    pub attempt: u16,
    /// The endpoint to send it to.
    pub endpoint: EndpointKey,
    /// The version to request; `None` for plain services.
    pub version: Option<VersionKey>,
    /// Whether the answer must be buffered and rated, since a better version may follow.
    pub needs_rating: bool,
    /// Reason for the version.
    pub version_reason: VersionReason,
    /// Reason for the endpoint.
    pub endpoint_reason: EndpointReason,
    /// Number of endpoints that had room.
    pub considered: u16,
}

/// Reason for the choice of a version, logged with the decision.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum VersionReason {
    /// The service is plain.
    Plain,
    /// The session is pinned to it.
    Pinned,
    /// The request falls into a canary's share.
    Canary,
    /// Lowest expected cost that meets the quality target.
    Cheapest,
    /// The service weighs latency above cost, and the version meets the target by itself.
    Fastest,
    /// The quality target can't be met; the version has the best quality.
    Best,
    /// Tried to learn its quality.
    Explore,
    /// The answer of the previous step was rated too low.
    Escalated,
}

/// Reason for the choice of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointReason {
    /// Its cache probably holds the prompt's prefix.
    Prefix,
    /// The better of two random endpoints in the node's own failure domain.
    OwnDomain,
    /// The node's own failure domain has no room, or no endpoint has and the one with the best
    /// score is used.
    Spill,
    /// A retry, in another failure domain than the failed attempt if one has room.
    Retry,
    /// The only endpoint that has room.
    Only,
}

/// Decision on a new request.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AdmissionDecision {
    /// Send it now.
    Run(Dispatch),
    /// Keep it until `Router::poll_queue` returns it.
    Wait(Ticket),
    /// Return the refusal to the caller now.
    Refuse(Refusal),
}

/// Decision at the end of an attempt.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptDecision {
    /// The request has ended; its answer is being or was sent to the caller.
    Done,
    /// Send another attempt now.
    Run(Dispatch),
    /// Return the failure to the caller now.
    Refuse(Refusal),
}

/// A final refusal.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed; `None` if it can't.
    pub retry_after: Option<Duration>,
}

/// Reason for a refusal.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RefusalReason {
    /// The customer's rate limit is exhausted.
    CustomerRate,
    /// The customer has reached its limit of in-flight requests.
    CustomerConcurrency,
    /// The service has no capacity before the deadline.
    Overload,
    /// A service that this one depends on has no capacity.
    Dependency,
    /// The deadline has passed, or a queued request can no longer meet it.
    Deadline,
    /// No version that the customer may use admits new work.
    NoVersion,
    /// The session's version has been withdrawn.
    SessionVersionWithdrawn,
    /// No endpoint that has loaded the version is available.
    NoEndpoint,
    /// Attempts failed and no further one is allowed.
    Failed,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Outcome {
    /// The result.
    pub result: AttemptResult,
    /// Whether bytes of the answer were sent to the caller, so that no other attempt may answer.
    pub forwarded: bool,
    /// Time from sending to the first byte of the answer, if any.
    pub first_byte: Option<Duration>,
    /// Time from sending to the end.
    pub total: Duration,
}

/// Result of an attempt.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptResult {
    /// A complete answer was received.
    Complete {
        /// Rating by the rating service, from 0 to 1, if it was requested and arrived in time.
        rating: Option<f64>,
        /// Tokens of the answer.
        output_tokens: u32,
    },
    /// Nothing was sent: the connection failed.
    NotSent,
    /// The endpoint refused before starting and may say when to retry.
    NotStarted {
        /// The delay that the endpoint asked for.
        retry_after: Option<Duration>,
    },
    /// The endpoint returned a server error or an incomplete answer; the call may have run.
    Broken,
    /// The attempt timed out; the call may have run.
    TimedOut,
    /// The caller disconnected.
    Cancelled,
}

/// Load reported by an engine.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Age of the report when it arrived.
    pub age: Duration,
}

/// Decision on a queued request.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum QueueDecision {
    /// Send it now.
    Run(Dispatch),
    /// Return the refusal to the caller now.
    Refuse(Refusal),
}

/// Location and random seed of a node.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct NodeIdentity {
    /// The node's own failure domain, if the configuration names it.
    pub domain: Option<DomainKey>,
    /// Seed of all random choices and of the subsets of endpoints; each node has its own.
    pub seed: u64,
}

/// Gauges for the metrics.
#[derive(Clone, PartialEq, Debug)]
pub struct Snapshot {
    /// One entry for each service, in the order of the configuration.
    pub services: Vec<ServiceGauges>,
    /// One entry for each pool, in the order of the configuration.
    pub pools: Vec<PoolGauges>,
}

/// Gauges of a service.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ServiceGauges {
    /// The service.
    pub service: ServiceKey,
    /// Queued requests.
    pub waiting: usize,
    /// Attempts in flight.
    pub running: u32,
}

/// Gauges of a pool.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PoolGauges {
    /// The pool.
    pub pool: PoolKey,
    /// Attempts in flight.
    pub running: u32,
    /// Limit on the attempts in flight.
    pub limit: f64,
}
