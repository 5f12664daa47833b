//! Compaction: writes a shard's state and final bills to pages, so that the ring's slots can be
//! reused.
//!
//! Only the pages that the manifest lists are valid; the manifest is replaced by compare-and-swap.
//! A page's name contains the first generation that may list the page. So a page that a manifest
//! of this or a later generation does not list will never be listed again, and may be deleted.

use crate::error::{JournalError, Result};
use crate::log::{Log, with_timeout};
use crate::meta::{manifest_key, page_key};
use crate::page::{delta_items, pack_pages, state_items};
use crate::wire::{Manifest, WireItem, encode};
use log::{debug, info, warn};
use oatdale_platform::{Condition, Kv, KvError, Put};

/// Maximum number of bill pages in a manifest, so that the manifest stays below one megabyte.
pub const MAX_BILL_PAGES: usize = 8_000;

/// Number of incremental compactions before the complete state is written again. Writing it each
/// time would make the written bytes grow with the retained state; never writing it would make a
/// new reader load ever more pages.
const MAX_INCREMENTAL_COMPACTIONS: u64 = 64;

/// Size of uncompacted segments at which a compaction is due, in bytes.
const MAX_UNCOMPACTED_BYTES: usize = 4_000_000;

/// Number of attempts to write a page or a manifest when the response is lost.
const MAX_WRITE_ATTEMPTS: usize = 3;

impl<K: Kv> Log<K> {
    /// Whether a compaction is due.
    pub(crate) fn needs_compaction(&self) -> bool {
        let segments = self.next_seq - self.manifest.next_seq;
        segments >= self.meta.slots / 2 || self.uncompacted_bytes >= MAX_UNCOMPACTED_BYTES
    }

    /// Compacts the log up to where this process has read it. Returns false if another compactor
    /// was faster.
    pub(crate) async fn compact(&mut self) -> Result<bool> {
        // Reading the manifest first avoids writing pages in vain when another compactor has
        // already finished.
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

    /// Tries to replace the manifest by one of the next generation, and keeps the one that won.
    /// Returns whether `manifest` won.
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
                // The swap may have taken effect: reload the log before the next use.
                self.manifest = previous;
                self.invalidate();
                Err(error)
            }
        }
    }

    /// Replaces the known manifest by `manifest`. Returns false if another writer replaced it
    /// first.
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
                    debug!(
                        "journal shard {}: write of the manifest not confirmed: {message}",
                        self.shard.0
                    );
                }
                Err(error) => return Err(error.into()),
            }
        }
        Err(JournalError::Unavailable {
            retry_after: crate::error::RETRY_AFTER,
            message: "no response to the write of the manifest".to_owned(),
        })
    }

    /// Whether the stored manifest is `manifest`. After a conflict this tells whether an earlier
    /// attempt succeeded whose response was lost.
    async fn is_stored(&mut self, manifest: &Manifest) -> Result<bool> {
        let (stored, revision) = self.read_manifest().await?;
        let is_same = stored == *manifest;
        if is_same {
            self.manifest_revision = revision;
        }
        Ok(is_same)
    }

    /// Reads the manifest again and drops the entries and keys that its pages cover.
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
        // Updated even after `invalidate`, since it decides which pages may be deleted.
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

    /// Writes one page. Its name is unique, so a conflict means that an earlier attempt succeeded
    /// whose response was lost.
    async fn write_page(&self, key: &str, page: bytes::Bytes) -> Result<()> {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let put = self.kv.put(key, page.clone(), Condition::Absent, None);
            match with_timeout(self.call_timeout, put).await {
                Ok(Put::Stored(_)) => return Ok(()),
                Ok(Put::Conflict(_)) => return self.verify_page(key, &page).await,
                Err(KvError::Unknown { message }) => debug!("journal: writing {key}: {message}"),
                Err(error) => return Err(error.into()),
            }
        }
        Err(JournalError::Unavailable {
            retry_after: crate::error::RETRY_AFTER,
            message: format!("no response to the write of {key}"),
        })
    }

    /// Checks that a page that already exists has this content. Otherwise two processes with the
    /// same writer number would silently lose each other's bills.
    async fn verify_page(&self, key: &str, page: &[u8]) -> Result<()> {
        let stored = with_timeout(self.call_timeout, self.kv.get(key)).await?;
        match stored.is_some_and(|entry| *entry.value == *page) {
            true => Ok(()),
            false => Err(JournalError::Corrupt {
                key: key.to_owned(),
                message:
                    "the page exists with other content: another process has the same writer number"
                        .to_owned(),
            }),
        }
    }

    /// Deletes those of `pages` that the manifest does not list. A page may be listed although this
    /// process saw its own manifest lose: its manifest was stored, the response was lost, and the
    /// manifest of another compactor kept the bill pages. A reader that finds a page missing starts
    /// again from the new manifest.
    async fn delete_unlisted_pages(&self, pages: &[String]) {
        let manifest = &self.manifest;
        for key in pages
            .iter()
            .filter(|key| manifest.is_obsolete(self.shard, key))
        {
            if let Err(error) = self.delete_page(key).await {
                warn!("journal: page {key} not deleted, the next export will delete it: {error}");
            }
        }
    }

    /// Deletes a page that no manifest lists any more, if it exists.
    pub(crate) async fn delete_page(&self, key: &str) -> Result<()> {
        let stored = with_timeout(self.call_timeout, self.kv.get(key)).await?;
        if let Some(entry) = stored {
            let delete = self.kv.delete(key, entry.revision);
            with_timeout(self.call_timeout, delete).await?;
        }
        Ok(())
    }
}
