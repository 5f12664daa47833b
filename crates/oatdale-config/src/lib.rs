//! The operators' text and a node's settings: parse, check, digest, difference.
//!
//! [`from_str`] turns the text into a [`Config`], whose items are reached by small `Copy` keys, or
//! into an [`Error`] that names every problem with its place. An accepted text is kept as a
//! [`Document`]; nodes tell each other a [`Delta`] of its bytes. [`changes`] and [`unified`] show people
//! what differs, and [`set_state`] changes one version's state while comments and layout stay.
//! [`node_settings_from_str`] reads a node's own settings.
//!
//! # Examples
//!
//! ```
//! use oatdale_config::{Digest, VersionState};
//!
//! # let text = include_str!("../../../examples/skyward.yaml");
//! let cfg = oatdale_config::from_str(text)?;
//! let customer = cfg.customer_of(Digest::of("dev-mail-desk")).expect("a known key");
//! let service = cfg.service("tag-mail").expect("a known service");
//! let version = cfg.version("orbit-mini/2026-11").expect("a known version");
//! assert!(cfg.may_call(customer, service) && cfg.allows(customer, version));
//! assert_eq!(cfg.versions[version].state, VersionState::Canary { share: 0.05 });
//! # Ok::<(), oatdale_config::Error>(())
//! ```
//!
//! No function of this crate does I/O or asks a clock.

mod check;
mod config;
mod de;
mod delta;
mod diff;
mod digest;
mod document;
mod edit;
mod error;
mod key;
mod node;
mod ratio;
mod suggest;
mod wire;

pub use crate::check::unserved;
pub use crate::config::{
    CallPattern, Config, Customer, Digest, Domain, Endpoint, Limits, Model, Pool, PoolKind, Price,
    Revision, Service, ServiceKind, Version, VersionState,
};
pub use crate::de::{MAX_TEXT, from_str};
pub use crate::delta::{Delta, DeltaError, Edit, apply_delta, delta};
pub use crate::diff::{Change, changes, unified};
pub use crate::digest::ParseDigestError;
pub use crate::document::{ChangeId, Document, DocumentDelta, DocumentError, Head};
pub use crate::edit::{EditError, set_state};
pub use crate::error::{Category, Error, Problem, Result};
pub use crate::key::{
    Arena, CustomerKey, DomainKey, EndpointKey, Key, ModelKey, PoolKey, ServiceKey, VersionKey,
};
pub use crate::node::{
    Addresses, LogLevel, MeshKey, NodeLimits, NodeSettings, PlatformAddresses, Secret,
    node_settings_from_str,
};
pub use crate::ratio::{ParseRatioError, Ratio};
