//! Every routing decision as pure functions over arenas.
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
//! use oatdale_policy::{Ask, AttemptResult, Next, Offer, Outcome, Place, Router, Session};
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! # let text = include_str!("../../../examples/skyward.yaml");
//! let cfg = Arc::new(oatdale_config::from_str(text)?);
//! let mut router = Router::new(cfg.clone(), Place { domain: None, seed: 1 });
//!
//! let now = Duration::from_secs(1);
//! let ask = Ask {
//!     customer: cfg.customer_of(Digest::of("dev-mail-desk")).expect("a known key"),
//!     service: cfg.service("tag-mail").expect("a known service"),
//!     idempotent: true,
//!     session: Session::None,
//!     deadline: now + Duration::from_secs(10),
//!     input_tokens: 200,
//!     output_tokens: 20,
//!     prefix: 17,
//!     draw: 42,
//!     stream: false,
//!     class: 0,
//! };
//! let Offer::Run(dispatch) = router.offer(now, &ask) else {
//!     panic!("an idle site runs requests at once");
//! };
//! assert!(cfg.allows(ask.customer, dispatch.version.expect("a model service")));
//!
//! // The endpoint answers, and the rating service accepts the answer.
//! let outcome = Outcome {
//!     result: AttemptResult::Complete { rating: Some(1.0), output_tokens: 18 },
//!     forwarded: false,
//!     first_byte: Some(Duration::from_millis(80)),
//!     total: Duration::from_millis(400),
//! };
//! assert_eq!(router.finish(now + outcome.total, dispatch.ticket, &outcome), Next::Done);
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
mod limit;
mod queue;
mod rekey;
pub mod relay;
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
