//! One oatdale node and its binary `oatdaled`.
//!
//! A node stands between callers and endpoints. Each of its duties runs on a thread of its own and
//! they are joined by bounded channels:
//!
//! | duty | its job |
//! |---|---|
//! | front (several) | callers' connections and their requests |
//! | route | every routing decision; owns the router |
//! | bill | bills into the journal, held by other nodes meanwhile |
//! | append | journal records from and for other nodes |
//! | journal | claims, pins and bills in the key-value service |
//! | rate | ratings of answers |
//! | config | the operators' text, never an older one |
//! | stops | versions that were stopped as bad |
//! | hosts | leaving endpoints, engines' loads |
//! | place | which engines hold which versions |
//! | mesh, member | other nodes |
//! | admin | health, metrics, status |
//! | log | writes log lines |
//!
//! ```no_run
//! use oatdale_node::{Dropped, Node};
//!
//! let text = std::fs::read_to_string("node.yaml").unwrap();
//! let settings = oatdale_config::node_settings_from_str(&text).unwrap();
//! let node = Node::start(settings, Dropped::default()).unwrap();
//! println!("callers may come to {}", node.addresses().callers);
//! ```

mod admin;
mod adopt;
mod api;
mod append;
mod auth;
mod bill;
mod call;
mod cx;
mod duty;
mod error;
mod front;
mod hosts;
mod latest;
mod live;
mod logging;
mod member;
mod metrics;
mod node;
mod pins;
mod place;
mod prefer;
mod problem;
mod rate;
mod reply;
mod route;
mod session;
mod stops;

pub use crate::error::{Error, Result};
pub use crate::latest::Latest;
pub use crate::logging::{
    Dropped, LogTarget, start as start_logging, start_to as start_logging_to,
};
pub use crate::node::{Bound, Node};
