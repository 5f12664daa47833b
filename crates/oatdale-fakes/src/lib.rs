//! Small stand-ins for the platform and the endpoints, with failure switches.
//!
//! Each is started on the runtime at hand, listens on a loopback port and is switched through its
//! handle. Dropping a handle kills the stand-in; `stop` lets it finish what is under way.

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
