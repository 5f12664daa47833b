//! Takes final bills out of the journal.

use crate::error::{JournalError, Result};
use crate::fold::Entry;
use crate::log::{Log, bounded};
use crate::meta::{Meta, page_prefix};
use crate::page::unpack_bills;
use crate::record::{Closing, Millis, ShardId};
use crate::wire::Manifest;
use log::info;
use oatdale_platform::Kv;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How many pages one step of an export reads.
const PAGES: usize = 16;

/// How many stored pages one look for leftovers reads.
const LEFTOVERS: usize = 8;

/// How often a racing compactor may get ahead.
const MAX_ATTEMPTS: usize = 20;

/// One log makes fewer compactions than this many bits count.
const ATTEMPT_BITS: u32 = 16;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Some of a shard's bills, final and in journal order.
#[derive(Clone, PartialEq, Debug)]
pub struct Ledger {
    /// The shard.
    pub shard: ShardId,
    /// Bills, one for each request.
    pub bills: Vec<Closing>,
    /// Closings that came after the journal forgot their requests: for the operators to judge,
    /// since each may have a bill or not.
    pub late: Vec<Closing>,
    /// When the shard's last segment was written, on the journal's clock.
    pub until: Millis,
    /// Whether the shard has more bills.
    pub more: bool,
    /// The pages that were read.
    pages: Vec<String>,
}

/// Exports from a journal, shard by shard.
pub struct Exporter<K> {
    kv: K,
    meta: Meta,
    writer: u64,
    /// How often a log was begun; names of pages hold it, since a name must never come again.
    begun: AtomicU64,
}

impl<K: Kv> Exporter<K> {
    /// Reads the journal's settings; `writer` is drawn at random for each exporter.
    ///
    /// # Errors
    ///
    /// [`Unavailable`](JournalError::Unavailable) if the service gives no answer.
    pub async fn new(kv: K, writer: u64) -> Result<Self> {
        let meta = Meta::default().agree(&kv).await?;
        Ok(Exporter {
            kv,
            meta,
            writer,
            begun: AtomicU64::new(0),
        })
    }

    /// The shards to export.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> + use<K> {
        (0..self.meta.shards).map(ShardId)
    }

    /// Reads the oldest bills of a shard, everything durable included. Nothing is removed: asking
    /// again gives the same lines first, until they are [truncated](Self::truncate).
    ///
    /// # Errors
    ///
    /// Any [`JournalError`]; nothing is lost.
    pub async fn take(&self, shard: ShardId) -> Result<Ledger> {
        let mut log = self.log(shard);
        for _ in 0..MAX_ATTEMPTS {
            log.catch_up().await?;
            if !log.entries.is_empty() && !log.compact().await? {
                continue;
            }
            if let Some(ledger) = self.read(&log).await? {
                return Ok(ledger);
            }
            log.forget();
        }
        Err(raced())
    }

    /// Removes just what a ledger holds. Call it once the ledger is safely kept elsewhere.
    ///
    /// # Errors
    ///
    /// Any [`JournalError`]; calling it again is safe.
    pub async fn truncate(&self, ledger: &Ledger) -> Result<()> {
        let mut log = self.log(ledger.shard);
        for _ in 0..MAX_ATTEMPTS {
            let (manifest, revision) = log.read_manifest().await?;
            let rest = without(&manifest, &ledger.pages, self.writer);
            log.manifest_revision = revision;
            if manifest.bills == rest.bills || log.swap_manifest(&rest).await? {
                info!(
                    "journal shard {}: {} bill pages truncated",
                    ledger.shard.0,
                    ledger.pages.len()
                );
                return self.delete_leftovers(&log).await;
            }
        }
        Err(raced())
    }

    fn log(&self, shard: ShardId) -> Log<K> {
        let kv = self.kv.clone();
        let mut log = Log::new(kv, shard, self.meta, self.writer, CALL_TIMEOUT);
        log.attempts = self.begun.fetch_add(1, Ordering::Relaxed) << ATTEMPT_BITS;
        log
    }

    /// Reads the oldest pages of bills; `None` if another export truncated one meanwhile.
    async fn read(&self, log: &Log<K>) -> Result<Option<Ledger>> {
        let listed = &log.manifest.bills;
        let pages = listed[..listed.len().min(PAGES)].to_vec();
        let mut ledger = Ledger {
            shard: log.shard,
            bills: Vec::new(),
            late: Vec::new(),
            until: log.fold.clock(),
            more: listed.len() > pages.len(),
            pages: Vec::new(),
        };
        for key in &pages {
            let stored = bounded(CALL_TIMEOUT, self.kv.get(key)).await?;
            let Some(stored) = stored else {
                return Ok(None);
            };
            for entry in unpack_bills(key, &stored.value)? {
                match entry {
                    Entry::Bill(closing) => ledger.bills.push(closing),
                    Entry::Late(closing) => ledger.late.push(closing),
                }
            }
        }
        ledger.pages = pages;
        Ok(Some(ledger))
    }

    /// Deletes pages that no manifest lists: truncated ones, and those of compactors that died.
    /// A page of a later generation than the manifest's may still be on its way to be listed.
    async fn delete_leftovers(&self, log: &Log<K>) -> Result<()> {
        let prefix = page_prefix(log.shard);
        let mut after: Option<String> = None;
        loop {
            let list = self.kv.list(&prefix, after.as_deref(), LEFTOVERS);
            let found = bounded(CALL_TIMEOUT, list).await?;
            let (manifest, _) = log.read_manifest().await?;
            for page in &found {
                if manifest.is_over(log.shard, &page.key) {
                    let delete = self.kv.delete(&page.key, page.revision);
                    bounded(CALL_TIMEOUT, delete).await?;
                }
            }
            after = found.last().map(|page| page.key.clone());
            if found.len() < LEFTOVERS {
                return Ok(());
            }
        }
    }
}

fn without(manifest: &Manifest, taken: &[String], writer: u64) -> Manifest {
    let mut rest = manifest.clone();
    rest.bills.retain(|key| !taken.contains(key));
    rest.generation += 1;
    rest.writer = writer;
    rest
}

fn raced() -> JournalError {
    JournalError::Unavailable {
        retry_after: crate::error::RETRY_AFTER,
        message: "other writers kept getting ahead".to_owned(),
    }
}
