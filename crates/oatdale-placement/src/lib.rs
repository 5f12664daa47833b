//! Orders to engines under a lease with a fencing number.
//!
//! A few nodes stand for each pool; the one that holds the lease `placer/<pool>` reads the pool's
//! engines back every few seconds and orders what differs from the text. An order names the whole
//! wanted state, so sending one twice, or after another placer's, does no lasting harm.
//! docs/PLACEMENT.md tells what can't be promised where engines ignore fencing numbers.
//!
//! ```
//! use oatdale_config::Revision;
//! use oatdale_placement::{Step, plan};
//!
//! assert_eq!(plan(&[], 7, Revision(3), 2), Vec::<Step>::new());
//! ```

mod lease;
mod orders;
mod placer;
mod plan;

pub use crate::orders::EngineControl;
pub use crate::placer::{Live, Placer, Settings, run};
pub use crate::plan::{DesiredState, OrderReason, Step, desired_states, plan};

/// Reads a clock that goes on while the process is paused, as a time since any fixed moment.
pub type PauseClock = std::sync::Arc<dyn Fn() -> std::time::Duration + Send + Sync>;
