//! Moves a shard's state and final bills to pages, so that the ring's slots can be used again.
//!
//! The manifest alone says which pages count, and it is replaced by compare-and-swap. A page is
//! listed first by the generation in its name. So a page that no longer is, or never was, listed
//! by a manifest of its own or a later generation will never be again, and may be deleted.

use crate::error::{JournalError, Result};
use crate::log::{Log, with_timeout};
use crate::meta::{manifest_key, page_key};
use crate::page::{delta_items, pack_pages, state_items};
use crate::wire::{Manifest, WireItem, encode};
use log::{debug, info, warn};
use oatdale_platform::{Condition, Kv, KvError, Put};

/// How many pages of bills a manifest may list; more would not fit below a megabyte.
pub const MAX_BILL_PAGES: usize = 8_000;

/// How many compactions may only add to the state before it is written as a whole again. Writing
/// all of it each time would make bytes grow with what is remembered; never doing so would leave
/// a fresh reader with ever more pages.
const MAX_INCREMENTAL_COMPACTIONS: u64 = 64;

/// Segments hold at most this many bytes before they go to pages.
const MAX_UNCOMPACTED_BYTES: usize = 4_000_000;

/// How often a lost answer to the manifest's write is asked after.
const MAX_WRITE_ATTEMPTS: usize = 3;

impl<K: Kv> Log<K> {
    /// Whether it is time to compact.
    pub(crate) fn needs_compaction(&self) -> bool {
        let segments = self.next_seq - self.manifest.next_seq;
        segments >= self.meta.slots / 2 || self.uncompacted_bytes >= MAX_UNCOMPACTED_BYTES
    }

    /// Compacts up to where this process has read; false if another compactor was faster.
    pub(crate) async fn compact(&mut self) -> Result<bool> {
        // One call here saves writing pages for nothing when another compactor is done already.
        let known_generation = self.manifest.generation;
        self.refresh_manifest().await?;
        if self.manifest.generation != known_generation {
            return Ok(false);
        }
        if self.manifest.bills.len() >= MAX_BILL_PAGES {
            let pages = self.manifest.bills.len();
            return Err(JournalError::Full { pages });
        }
        self.fold.purge();
        let generation = self.manifest.generation + 1;
        let rewrite_state = self.manifest.next_seq == 0
            || self.manifest.incremental_compactions >= MAX_INCREMENTAL_COMPACTIONS;
        let state = match rewrite_state {
            true => pack_pages(state_items(&self.fold)),
            false => {
                let changed_keys = self.changed_keys.iter().map(|(_, changed)| *changed);
                pack_pages(delta_items(&self.fold, changed_keys))
            }
        };
        let bills = pack_pages(self.entries.iter().map(|(_, entry)| WireItem::from(entry)));
        let state_page_count = state.len();
        let written_pages = self
            .write_pages(generation, state.into_iter().chain(bills))
            .await?;
        let mut bill_pages = self.manifest.bills.clone();
        bill_pages.extend_from_slice(&written_pages[state_page_count..]);
        let (mut state, incremental_compactions) = match rewrite_state {
            true => (Vec::new(), 0),
            false => (
                self.manifest.state.clone(),
                self.manifest.incremental_compactions + 1,
            ),
        };
        state.extend_from_slice(&written_pages[..state_page_count]);
        let manifest = Manifest {
            generation,
            writer: self.writer,
            next_seq: self.next_seq,
            state,
            incremental_compactions,
            bills: bill_pages,
        };
        self.publish(manifest, &written_pages).await
    }

    /// Replaces the manifest by one of the next generation and takes note of whichever won.
    async fn publish(&mut self, manifest: Manifest, written_pages: &[String]) -> Result<bool> {
        let previous = std::mem::take(&mut self.manifest);
        match self.swap_manifest(&manifest).await {
            Ok(true) => {
                info!(
                    "journal shard {}: compacted up to segment {}: {} state pages, {} bill pages",
                    self.shard.0,
                    manifest.next_seq,
                    manifest.state.len(),
                    manifest.bills.len()
                );
                self.manifest = manifest;
                self.entries.clear();
                self.changed_keys.clear();
                self.uncompacted_bytes = 0;
                self.delete_unlisted_pages(&previous.state).await;
                Ok(true)
            }
            Ok(false) => {
                self.manifest = previous;
                self.refresh_manifest().await?;
                self.delete_unlisted_pages(written_pages).await;
                Ok(false)
            }
            Err(error) => {
                // Whether the swap took effect is open: read everything again before going on.
                self.manifest = previous;
                self.invalidate();
                Err(error)
            }
        }
    }

    /// Writes a manifest over the known one; false if somebody else did before.
    pub(crate) async fn swap_manifest(&mut self, manifest: &Manifest) -> Result<bool> {
        let key = manifest_key(self.shard);
        let value = bytes::Bytes::from(encode(manifest));
        let cond = match self.manifest_revision {
            Some(revision) => Condition::Is(revision),
            None => Condition::Absent,
        };
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let put = self.kv.put(&key, value.clone(), cond, None);
            match with_timeout(self.call_timeout, put).await {
                Ok(Put::Stored(revision)) => {
                    self.manifest_revision = Some(revision);
                    return Ok(true);
                }
                Ok(Put::Conflict(_)) => return self.is_stored(manifest).await,
                Err(KvError::Unknown { message }) => {
                    debug!("journal shard {}: manifest: {message}", self.shard.0);
                }
                Err(error) => return Err(error.into()),
            }
        }
        Err(JournalError::Unavailable {
            retry_after: crate::error::RETRY_AFTER,
            message: "no answer to the manifest's write".to_owned(),
        })
    }

    /// After a conflict: whether the write that won was this one, whose answer had been lost.
    async fn is_stored(&mut self, manifest: &Manifest) -> Result<bool> {
        let (stored, revision) = self.read_manifest().await?;
        let is_same = stored == *manifest;
        if is_same {
            self.manifest_revision = revision;
        }
        Ok(is_same)
    }

    /// Reads the manifest again and drops what its pages cover.
    pub(crate) async fn refresh_manifest(&mut self) -> Result<()> {
        let (manifest, revision) = self.read_manifest().await?;
        if manifest.next_seq > self.next_seq {
            self.invalidate();
        }
        if manifest.next_seq != self.manifest.next_seq {
            self.uncompacted_bytes = 0;
        }
        self.entries.retain(|(seq, _)| *seq >= manifest.next_seq);
        self.changed_keys
            .retain(|(seq, _)| *seq >= manifest.next_seq);
        // Also where all else is forgotten: which pages may be deleted is judged by it.
        self.manifest = manifest;
        self.manifest_revision = revision;
        Ok(())
    }

    async fn write_pages(
        &mut self,
        generation: u64,
        pages: impl Iterator<Item = Vec<u8>>,
    ) -> Result<Vec<String>> {
        self.compaction_attempts += 1;
        let mut written_pages = Vec::new();
        for (index, page) in pages.enumerate() {
            let attempt_id = (self.writer, self.compaction_attempts);
            let key = page_key(self.shard, generation, attempt_id, index);
            self.write_page(&key, page.into()).await?;
            written_pages.push(key);
        }
        Ok(written_pages)
    }

    /// Writes one page. Nobody else uses its name, so a conflict means that an earlier try took
    /// effect whose answer was lost.
    async fn write_page(&self, key: &str, page: bytes::Bytes) -> Result<()> {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let put = self.kv.put(key, page.clone(), Condition::Absent, None);
            match with_timeout(self.call_timeout, put).await {
                Ok(Put::Stored(_)) => return Ok(()),
                Ok(Put::Conflict(_)) => return self.verify_page(key, &page).await,
                Err(KvError::Unknown { message }) => debug!("journal: page {key}: {message}"),
                Err(error) => return Err(error.into()),
            }
        }
        Err(JournalError::Unavailable {
            retry_after: crate::error::RETRY_AFTER,
            message: format!("no answer to the write of {key}"),
        })
    }

    /// Makes sure that a page which was there already is this one. Two writers with one number
    /// would otherwise lose each other's bills without a sign.
    async fn verify_page(&self, key: &str, page: &[u8]) -> Result<()> {
        let stored = with_timeout(self.call_timeout, self.kv.get(key)).await?;
        match stored.is_some_and(|entry| *entry.value == *page) {
            true => Ok(()),
            false => Err(JournalError::Corrupt {
                key: key.to_owned(),
                message: "another writer has the same number".to_owned(),
            }),
        }
    }

    /// Deletes those of some pages that the manifest does not list. A page may be listed although
    /// this process saw its own manifest lose: the manifest won, its answer was lost, and another
    /// compactor took its bills over. Whoever is reading a deleted page finds it missing and
    /// starts again from the new manifest.
    async fn delete_unlisted_pages(&self, pages: &[String]) {
        let manifest = &self.manifest;
        for key in pages
            .iter()
            .filter(|key| manifest.is_obsolete(self.shard, key))
        {
            if let Err(error) = self.delete_page(key).await {
                warn!("journal: page {key} is left for the export: {error}");
            }
        }
    }

    /// Deletes a page that no manifest lists any more.
    pub(crate) async fn delete_page(&self, key: &str) -> Result<()> {
        let stored = with_timeout(self.call_timeout, self.kv.get(key)).await?;
        if let Some(entry) = stored {
            let delete = self.kv.delete(key, entry.revision);
            with_timeout(self.call_timeout, delete).await?;
        }
        Ok(())
    }
}
