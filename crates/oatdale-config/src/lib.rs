//! The operators' text and a node's settings: parse, check, digest, difference.

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
mod suggest;
mod wire;

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
