//! Clients for the platform's services, engines and plain services.

mod kv;

pub use crate::kv::{Condition, Entry, Kv, KvError, LeaseId, ModRevision, Put, Result};
