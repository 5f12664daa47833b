//! A reverse proxy that forwards requests to endpoints that a platform announces.
//!
//! A [`Relay`] finds a request's route by HTTP host and path, picks an endpoint, and passes the
//! response back as it arrives. Request bodies are forwarded without being parsed. The relay
//! retries requests where that is safe, resumes broken streams at another endpoint, repeats a
//! request with a larger model where a small one has low confidence, and rolls services out to new
//! software versions. The platform's own names and formats are behind [`Wire`], [`Update`] and
//! [`Command`].
//!
//! # Examples
//!
//! ```
//! use oatdale_relay::{CallerLimits, Route, RouteKind, SiteConfig};
//! use std::collections::HashMap;
//! use std::time::Duration;
//!
//! let route = |prefix: &str| Route {
//!     name: prefix.to_owned(),
//!     host: "desk.example".to_owned(),
//!     prefix: prefix.to_owned(),
//!     kind: RouteKind::Idempotent,
//!     timeout: Duration::from_secs(1),
//!     target_latency: None,
//!     target_gap: None,
//!     attempts: 2,
//!     urgency: 1,
//!     public: true,
//!     services: vec![("desk".to_owned(), 1)],
//!     ladder: Vec::new(),
//! };
//! let limits = CallerLimits {
//!     header_bytes: 16_384,
//!     body_bytes: 65_536,
//!     header_timeout: Duration::from_secs(3),
//!     idle_timeout: Duration::from_secs(15),
//! };
//! let routes = vec![route("/"), route("/slots/")];
//! let site = SiteConfig::new(7, routes, HashMap::new(), limits, None);
//! assert_eq!(site.route("desk.example", "/slots/41"), Some(1));
//! assert_eq!(site.route("other.example", "/slots/41"), None);
//! ```

mod admission;
mod attempt;
mod body;
mod clock;
mod conn_tracker;
mod crashes;
mod cx;
mod directory;
mod endpoint_response;
mod error;
mod escalation;
mod events;
mod forwarding;
mod front;
mod gossip;
mod headers;
mod in_flight;
mod line_limit;
mod loads;
mod local;
mod metrics;
mod node;
mod nodes;
mod peers;
mod permits;
mod probe;
mod reachability;
mod replica;
mod reply;
mod request_context;
mod request_log;
mod revision;
mod roll_outs;
mod serve;
mod settings;
mod site;
mod speeds;
mod start_up;
mod state;
mod stream;
mod traffic;
mod update;
mod versions;
mod wire;

pub use crate::directory::{Directory, EndpointKey, Entry, RecordChange};
pub use crate::error::{Error, Result};
pub use crate::events::EventReassembler;
pub use crate::line_limit::LineLimit;
pub use crate::loads::{
    AggregationScheme, GroupReport, GroupSums, Load, LoadAggregator, LoadSums,
    MAX_LOADS_PER_DATAGRAM,
};
pub use crate::node::Relay;
pub use crate::replica::{
    Content, EncodedUpdate, FetchError, FetchRequest, Members, Record, RecordUpdate, Replica,
    ReplicaClient, ReplicaUpdate, Topic,
};
pub use crate::revision::Revision;
pub use crate::roll_outs::{
    AllowedVersions, LatencyClass, OldSessions, Outcome, Report, ResponseSource, RollOuts, Trial,
    VersionOutcome,
};
pub use crate::settings::{Bounds, Ladder, Listen, LoadControl, Platform, Settings, SettingsError};
pub use crate::site::{
    CallerLimits, Customer, Customers, Route, RouteKind, ServiceFacts, SiteConfig,
};
pub use crate::speeds::{EndpointSpeed, MAX_SPEEDS_PER_DATAGRAM};
pub use crate::traffic::Traffic;
pub use crate::update::{
    Command, Endpoint, EndpointChange, Link, Node, QuarantineState, RollOut, RollOutEnd, Update,
};
pub use crate::versions::{KeptVersion, KnownVersions, RetentionPolicy, VersionTracker};
pub use crate::wire::{
    Forward, Prompt, RequestMetadata, ResponseId, ResponseMetadata, StatedLimit, Wire,
};
pub use oatdale_policy::relay::EngineReport;
