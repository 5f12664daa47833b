//! The operators' text in the key-value service: one document in one key, changed by
//! compare-and-swap, with its history beside it.
//!
//! # Keys
//!
//! - `config/current` holds the [`Document`] in force.
//! - `config/history/<revision>` holds how each revision came about. Before a document is
//!   overwritten its entry is there, so a crash at any point loses no accepted text; and an entry
//!   is only ever made of a document that was accepted.

mod apply;
mod call;
mod history;

pub use crate::config_store::apply::{Applied, Proposal};

use crate::config_store::call::read;
use crate::kv::{Entry, Kv, KvError, ModRevision};
use oatdale_config::{Document, DocumentError, Revision};
use snafu::Snafu;
use std::time::Duration;
use tokio::time::Instant;

/// The key of the document in force.
pub const CURRENT_KEY: &str = "config/current";

/// Result of a call to the store.
pub type StoreResult<T, E = StoreError> = std::result::Result<T, E>;

/// Client of the stored configuration.
#[derive(Clone, Debug)]
pub struct ConfigStore<K> {
    kv: K,
}

/// A document with the revision that the service gave to its key.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Stored {
    /// The document.
    pub document: Document,
    /// What a compare-and-swap or a watch names.
    pub key_revision: ModRevision,
}

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// Another text was accepted since the revision that the operator saw. Nothing was changed.
    #[snafu(display(
        "revision {} by {} is in force, and your change started from revision {seen}",
        theirs.head.revision, theirs.head.operator
    ))]
    Conflict {
        /// The revision that the operator saw; 0 for none.
        seen: Revision,
        /// The document in force.
        theirs: Box<Document>,
    },
    /// The operator saw a revision that the service does not have. Nothing was changed.
    #[snafu(display("there is no revision {seen}; the newest is {newest}"))]
    NotYet {
        /// The revision that the operator saw.
        seen: Revision,
        /// The newest there is; 0 for none.
        newest: Revision,
    },
    /// A change was sent and no answer said whether it holds; it may still take effect.
    #[snafu(display(
        "the key-value service did not say whether the change was accepted: {message}"
    ))]
    Unknown {
        /// What was seen last.
        message: String,
    },
    /// The service gave no answer in time. Nothing was changed.
    #[snafu(display("nothing was changed: {source}"))]
    Service {
        /// What the service said last.
        source: KvError,
    },
    /// What the service holds is no sound document.
    #[snafu(display("the key-value service holds a damaged configuration: {source}"))]
    Damaged {
        /// What is wrong.
        source: DocumentError,
    },
}

impl<K: Kv> ConfigStore<K> {
    /// A client over the key-value service.
    pub fn new(kv: K) -> Self {
        ConfigStore { kv }
    }

    /// The document in force, if there is one.
    ///
    /// # Errors
    ///
    /// [`StoreError::Service`] when no answer came before `deadline`, [`StoreError::Damaged`] for
    /// a value that is no document.
    pub async fn current(&self, deadline: Instant) -> StoreResult<Option<Stored>> {
        let entry = read(deadline, || self.kv.get(CURRENT_KEY)).await?;
        entry.as_ref().map(stored).transpose()
    }

    /// Waits up to `wait` for a document newer than `seen`; one call to the service.
    ///
    /// # Errors
    ///
    /// Whatever the service says; the caller decides when to ask again.
    pub async fn watch(&self, seen: ModRevision, wait: Duration) -> StoreResult<Option<Stored>> {
        let watch = self.kv.watch(CURRENT_KEY, seen, wait);
        let entry = watch
            .await
            .map_err(|source| StoreError::Service { source })?;
        entry.as_ref().map(stored).transpose()
    }
}

fn stored(entry: &Entry) -> StoreResult<Stored> {
    Ok(Stored {
        document: Document::decode(&entry.value)
            .map_err(|source| StoreError::Damaged { source })?,
        key_revision: entry.revision,
    })
}
