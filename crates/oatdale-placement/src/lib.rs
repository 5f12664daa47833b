//! Sends orders to engines under a lease with a fencing number.
//!
//! A few nodes are candidates for each pool. The one that holds the lease `placer/<pool>` reads the
//! state of the pool's engines every few seconds and sends orders where it differs from the
//! configuration. An order contains the complete desired state, so an order that arrives twice, or
//! after another placer's order, does no lasting harm. docs/PLACEMENT.md describes what can't be
//! guaranteed if engines ignore fencing numbers.
//!
//! ```
//! use oatdale_config::Revision;
//! use oatdale_placement::{Step, plan};
//!
//! assert_eq!(plan(&[], 7, Revision(3), 2), Vec::<Step>::new());
//! ```

mod engine_control;
mod lease;
mod placer;
mod plan;

pub use crate::engine_control::EngineControl;
pub use crate::placer::{LiveConfig, Placer, Settings, run};
pub use crate::plan::{DesiredState, OrderReason, Step, desired_states, plan};

/// Reads a clock that keeps running while the process is paused, as the time since a fixed instant.
pub type PauseClock = std::sync::Arc<dyn Fn() -> std::time::Duration + Send + Sync>;
