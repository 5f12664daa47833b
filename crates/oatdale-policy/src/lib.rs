//! Every routing decision as pure functions over arenas.
//!
//! Times are [`Duration`](std::time::Duration)s since the node's start and come in as arguments,
//! as does randomness by a seed, so that the same calls give the same decisions.

mod request;

pub use crate::request::{
    Ask, AttemptResult, Dispatch, EndpointReason, LoadReport, Next, Offer, Outcome, Refusal,
    RefusalReason, Session, Ticket, VersionReason,
};
