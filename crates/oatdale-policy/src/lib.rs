//! Every routing decision as pure functions over arenas.
//!
//! Times are [`Duration`](std::time::Duration)s since the node's start and come in as arguments,
//! as does randomness by a seed, so that the same calls give the same decisions.

mod average;
mod bucket;
mod budget;
mod cascade;
mod choice;
mod endpoint;
mod endpoints;
mod estimate;
mod evidence;
mod limit;
mod queue;
mod rekey;
mod request;
mod router;
mod state;
mod tickets;
mod trial;
mod tuning;
mod version_rule;

pub use crate::evidence::VersionCounters;
pub use crate::request::{
    Ask, AttemptResult, Dispatch, EndpointReason, LoadReport, Next, Offer, Outcome, Place,
    PoolGauges, Refusal, RefusalReason, ServiceGauges, Session, Snapshot, Ticket, Turn,
    VersionReason,
};
pub use crate::router::Router;
pub use crate::trial::{Fault, StopDecision};
pub use crate::tuning::{Order, Retries, Tuning};
pub use crate::version_rule::{Work, admits, stop_holds};
