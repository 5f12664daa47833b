//! Communication between nodes: membership, configuration deltas, load, shares of limits, and
//! counters of versions.
//!
//! [`run`] is the mesh task of one node. It receives [`Command`]s from the node's other tasks,
//! sends them [`Event`]s, and communicates with other nodes over authenticated WebSockets. It keeps
//! only soft state: the views of different nodes may differ at any time, which affects performance
//! but not correctness. Decisions are made by [`Member`], a state machine without I/O and without
//! a clock.
//!
//! ```
//! use oatdale_mesh::{Command, Event, Intervals, Listen, MeshConfig, new_incarnation, run};
//! use std::net::TcpListener;
//! use tokio::sync::mpsc;
//!
//! # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
//! let socket = TcpListener::bind("127.0.0.1:0")?;
//! let address = socket.local_addr()?;
//! let cfg = MeshConfig {
//!     host: "entry-1".to_owned(),
//!     domain: "hall-1".to_owned(),
//!     region: "south".to_owned(),
//!     incarnation: new_incarnation(),
//!     listen: Listen::Bound(socket),
//!     advertise: address,
//!     caller_address: "127.0.0.1:8080".parse()?,
//!     seeds: Vec::new(),
//!     key: vec![7; 32],
//!     holder_count: 2,
//!     intervals: Intervals::default(),
//! };
//! let (tx, commands) = mpsc::channel(64);
//! let (events, mut rx) = mpsc::channel(64);
//! let task = tokio::spawn(run(cfg, commands, events));
//!
//! let document = "services: []\n".into();
//! tx.send(Command::ConfigInForce { revision: 1, document }).await?;
//! while rx.recv().await != Some(Event::Joined { answers: 0 }) {}
//!
//! tx.send(Command::Leave).await?;
//! while rx.recv().await != Some(Event::LeaveDone) {}
//! task.await??;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! # })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod addresses;
mod auth;
mod cfg;
mod delta;
mod driver;
mod error;
mod link;
mod member;
mod rank;
mod reach;
mod types;
mod wire;

pub use crate::addresses::{Address, addresses};
pub use crate::cfg::{Intervals, Listen, MIN_KEY_BYTES, MeshConfig};
pub use crate::driver::run;
pub use crate::error::{Error, Result};
pub use crate::member::{ConnId, Input, Member, MemberConfig, Output, enough_answers, supersedes};
pub use crate::reach::reachable;
pub use crate::types::{
    Command, Event, HoldAck, HostId, ListedHost, LocalState, PeerState, PeerView, Share, Stop,
    VersionCounters, name_hash, new_incarnation,
};
pub use crate::wire::{Card, Frame, MAX_FRAME_BYTES, MAX_RECORD_BYTES};
