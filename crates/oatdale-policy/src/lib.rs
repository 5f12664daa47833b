//! Routing decisions as deterministic code without I/O, over arenas with typed keys.
//!
//! A [`Router`] receives requests, answers, load reports, ratings and configurations, and returns
//! what to do. Times are [`Duration`](std::time::Duration)s since the node's start. They are
//! arguments, as is the seed of all random choices, so that the same calls give the same decisions.
//! `docs/POLICY.md` gives the reasons for each decision.
//!
//! # Examples
//!
//! ```
//! use oatdale_config::Digest;
//! use oatdale_policy::{
//!     AdmissionDecision, AttemptDecision, AttemptResult, NodeIdentity, Outcome, RequestInfo,
//!     Router, Session,
//! };
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! # let text = include_str!("../../../examples/skyward.yaml");
//! let cfg = Arc::new(oatdale_config::from_str(text)?);
//! let mut router = Router::new(cfg.clone(), NodeIdentity { domain: None, seed: 1 });
//!
//! let now = Duration::from_secs(1);
//! let request_info = RequestInfo {
//!     customer: cfg.customer_of(Digest::of("dev-mail-desk")).expect("a known key"),
//!     service: cfg.service("tag-mail").expect("a known service"),
//!     idempotent: true,
//!     session: Session::None,
//!     deadline: now + Duration::from_secs(10),
//!     input_tokens: 200,
//!     output_tokens: 20,
//!     prefix: 17,
//!     rollout_hash: 42,
//!     stream: false,
//!     class: 0,
//! };
//! let AdmissionDecision::Run(dispatch) = router.offer(now, &request_info) else {
//!     panic!("an idle site runs requests at once");
//! };
//! assert!(cfg.allows(request_info.customer, dispatch.version.expect("a model service")));
//!
//! // The endpoint answers, and the rating service accepts the answer.
//! let outcome = Outcome {
//!     result: AttemptResult::Complete { rating: Some(1.0), output_tokens: 18 },
//!     forwarded: false,
//!     first_byte: Some(Duration::from_millis(80)),
//!     total: Duration::from_millis(400),
//! };
//! let decision = router.finish(now + outcome.total, dispatch.ticket, &outcome);
//! assert_eq!(decision, AttemptDecision::Done);
//! # Ok::<(), oatdale_config::Error>(())
//! ```

mod average;
mod bucket;
mod budget;
mod cascade;
mod choice;
mod endpoint;
mod endpoints;
mod estimate;
mod evidence;
mod key_map;
mod limit;
mod queue;
pub mod relay;
mod request;
mod request_slab;
mod router;
mod state;
mod trial;
mod tuning;
mod version_rule;

pub use crate::evidence::VersionCounters;
pub use crate::request::{
    AdmissionDecision, AttemptDecision, AttemptResult, Dispatch, EndpointReason, LoadReport,
    NodeIdentity, Outcome, PoolGauges, QueueDecision, Refusal, RefusalReason, RequestInfo,
    ServiceGauges, Session, Snapshot, Ticket, VersionReason,
};
pub use crate::router::Router;
pub use crate::trial::{Fault, StopDecision};
pub use crate::tuning::{Order, Retries, Tuning};
pub use crate::version_rule::{Work, admits, stop_holds};
