//! Clients for the platform's services, engines and plain services.

mod cache_events;
mod call;
pub mod chat;
mod config_store;
mod engine;
mod hosts;
mod http_kv;
mod kv;
mod plain;
mod pool;
mod rating;
pub mod sse;
mod weights;
pub mod wire;

pub use crate::cache_events::{CacheEvents, Seen};
pub use crate::call::{Answer, Call, CallError};
pub use crate::config_store::{
    Applied, CURRENT_KEY, ConfigStore, Proposal, StoreError, StoreResult, Stored,
};
pub use crate::engine::{ChatStream, EngineClient};
pub use crate::hosts::HostListClient;
pub use crate::http_kv::{HttpKv, HttpKvConfig};
pub use crate::kv::{Condition, Entry, Kv, KvError, LeaseId, ModRevision, Put, Result};
pub use crate::plain::{PlainClient, strip};
pub use crate::pool::{Pool, PoolConfig, Reuse, SendError};
pub use crate::rating::RatingClient;
pub use crate::weights::WeightStoreClient;
