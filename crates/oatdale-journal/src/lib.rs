//! Claims, pins and bills, stored in the platform's key-value service as a log without a leader.
//!
//! Each shard is a log of numbered segments. A segment is appended by compare-and-swap, and the
//! first writer of a number wins. A deterministic [`Fold`] of the records gives the same state at
//! every reader. docs/JOURNAL.md has the design rationale and the operation guide.
//!
//! ```
//! use oatdale_fakes::MemKv;
//! use oatdale_journal::{Claim, ClaimKey, Millis, Preferred, RequestId, Settings, journal, run};
//! use std::sync::Arc;
//! use tokio::sync::watch;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let (_tx, preferred) = watch::channel(Preferred::default());
//! let clock = Arc::new(|| Millis(1_000));
//! let (handle, duty) = journal(MemKv::new(1), Settings::new(7), clock, preferred);
//! let duty = tokio::spawn(run(duty));
//!
//! let key = ClaimKey([1; 32]);
//! let first = handle.claim(key, RequestId(1)).await.unwrap();
//! assert!(matches!(first, Claim::Won { .. }));
//! let second = handle.claim(key, RequestId(2)).await.unwrap();
//! assert!(matches!(second, Claim::Lost { by: RequestId(1), .. }));
//!
//! drop(handle);
//! duty.await.unwrap();
//! # }
//! ```

mod compact;
mod duty;
mod error;
mod export;
mod fold;
mod handle;
mod job;
mod log;
mod meta;
mod page;
mod record;
mod shard;
mod wire;

pub use crate::compact::MAX_BILL_PAGES;
pub use crate::duty::{Duty, Preferred, Settings, WallClock, journal, run};
pub use crate::error::{JournalError, Result};
pub use crate::export::{Exporter, Ledger};
pub use crate::fold::{BillState, FinalEntry, Fold, HeldClaim, MAX_CLOCK_STEP_MS, Retention};
pub use crate::handle::{Claim, JournalHandle, MAX_RECORD_BYTES};
pub use crate::meta::Meta;
pub use crate::record::{
    BillRecord, ClaimKey, Closing, MicroUnits, Millis, Opening, Outcome, Pin, Record, RequestId,
    SessionKey, ShardId,
};
