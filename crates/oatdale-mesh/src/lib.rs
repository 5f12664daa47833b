//! Node to node: membership, configuration deltas, load, limits, evidence.

mod addresses;
mod auth;
mod cfg;
mod delta;
mod duty;
mod error;
mod link;
mod member;
mod rank;
mod types;
mod wire;

pub use crate::addresses::{Address, addresses};
pub use crate::cfg::{Intervals, Listen, MIN_KEY, MeshConfig};
pub use crate::duty::run;
pub use crate::error::{Error, Result};
pub use crate::member::{Conn, Input, Member, MemberConfig, Output, newer, settled};
pub use crate::types::{
    Command, Event, HoldAck, HostId, ListedHost, LocalState, PeerState, PeerView, Share, Stop,
    VersionCounters, name_hash, new_incarnation,
};
pub use crate::wire::{Card, Frame, MAX_FRAME, MAX_RECORD};
