//! The operators' text and a node's settings: parse, check, digest, difference.

mod config;
mod key;

pub use crate::config::{
    CallPattern, Config, Customer, Digest, Domain, Endpoint, Limits, Model, Pool, PoolKind, Price,
    Revision, Service, ServiceKind, Version, VersionState,
};
pub use crate::key::{
    Arena, CustomerKey, DomainKey, EndpointKey, Key, ModelKey, PoolKey, ServiceKey, VersionKey,
};
