//! Clients for the platform's services, engines and plain services.

pub mod chat;
mod config_store;
mod http_kv;
mod kv;
mod pool;
pub mod wire;

pub use crate::config_store::{
    Applied, CURRENT_KEY, ConfigStore, Proposal, StoreError, StoreResult, Stored,
};
pub use crate::http_kv::{HttpKv, HttpKvConfig};
pub use crate::kv::{Condition, Entry, Kv, KvError, LeaseId, ModRevision, Put, Result};
pub use crate::pool::{Pool, PoolConfig, Reuse, SendError};
