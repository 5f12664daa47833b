//! Small stand-ins for the platform and the endpoints, with failure switches.
//!
//! Each is started on the runtime at hand, listens on a loopback port and is switched through its
//! handle. Dropping a handle kills the stand-in; `stop` lets it finish what is under way. Times are
//! on the runtime's clock, so a test that pauses the clock runs through minutes at once, and faults
//! are drawn from seeds.
//!
//! ```
//! use oatdale_fakes::{Plain, PlainFault};
//! use std::net::Ipv4Addr;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let desk = Plain::start((Ipv4Addr::LOCALHOST, 0).into()).await?;
//! // From now on calls run, but their answers are lost.
//! desk.set_fault(Some(PlainFault::LostAnswer));
//! println!("the booking desk listens at {}", desk.addr());
//! assert_eq!(desk.runs("0f6c2a"), 0);
//! # Ok(())
//! # }
//! ```
//!
//! `examples/stand-ins.rs` runs a whole set as a process of its own.

mod command;
mod engine;
mod hosts;
mod kv;
mod kv_server;
mod plain;
mod rating;
mod reply;
mod server;
mod stand_ins;
pub mod text;
mod weights;

pub use crate::command::{
    Command, EngineCommand, HELP, HostCommand, KvCommand, NoCommand, PlainCommand, RatingCommand,
    Switch,
};
pub use crate::engine::{
    CacheConfig, Engine, EngineCall, EngineConfig, EngineHandle, EngineVersion, Fault, Speed,
};
pub use crate::hosts::Hosts;
pub use crate::kv::{
    Counters as KvCounters, Fault as KvFault, Faults as KvFaults, Limits as KvLimits, MAX_VALUE,
    MemKv,
};
pub use crate::kv_server::KvServer;
pub use crate::plain::{Plain, PlainCall, PlainFault};
pub use crate::rating::{RatingConfig, Ratings};
pub use crate::server::{Body, CloseConnection, Reply, Server};
pub use crate::stand_ins::{CallCounts, Listening, StandIns, StandInsConfig};
pub use crate::weights::WeightStore;
