//! Clients for the platform's services, engines and plain services.
//!
//! Each client says of a failure whether the endpoint can have run the call: only
//! [`CallError::NotSent`] and a certain [`CallError::NotStarted`] ever become "not run" towards a caller.
//! `docs/PLATFORM.md` tells what each interface is expected to speak.
//!
//! ```
//! use oatdale_fakes::{Engine, EngineConfig, EngineVersion};
//! use oatdale_platform::chat::{ChatRequest, ChatResponse};
//! use oatdale_platform::{Call, EngineClient};
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let engine = Engine::start(EngineConfig {
//!     versions: vec![EngineVersion::held("orbit-mini/2026-09", 1.0)],
//!     ..EngineConfig::default()
//! })
//! .await?;
//!
//! let call = Call {
//!     request: "0f6c2a".to_owned(),
//!     attempt: 1,
//!     urgency: 3,
//!     deadline: Instant::now() + Duration::from_secs(10),
//! };
//! let ask = ChatRequest::new("orbit-mini/2026-09", "Tag this mail: please confirm H-20461.");
//! let body = serde_json::to_vec(&ask)?;
//! let answer = EngineClient::default().chat(engine.addr(), &call, body.into()).await?;
//! let whole = answer.collect(1 << 20, call.deadline).await?;
//! let response: ChatResponse = serde_json::from_slice(&whole)?;
//! assert_eq!(response.usage.unwrap().completion_tokens, 32);
//! # Ok(())
//! # }
//! ```

mod body;
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

pub use crate::body::{BodyError, read_body};
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
pub use crate::pool::{
    ByteStream, Connect, Connector, Pool, PoolConfig, ResponseConnection, Reuse, SendError,
    discard_connection,
};
pub use crate::rating::RatingClient;
pub use crate::weights::WeightStoreClient;
