//! Takes final bills out of the journal.

use crate::error::{JournalError, Result};
use crate::fold::Entry;
use crate::log::{Log, with_timeout};
use crate::meta::{Meta, page_prefix};
use crate::page::decode_bill_page;
use crate::record::{Closing, Millis, ShardId};
use crate::wire::Manifest;
use log::info;
use oatdale_platform::Kv;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How many pages one step of an export reads.
const PAGES_PER_LEDGER: usize = 16;

/// How many stored pages one look for leftovers reads.
const ORPHAN_SCAN_PAGES: usize = 8;

/// How often a racing compactor may get ahead.
const MAX_CONFLICTS: usize = 20;

/// One log makes fewer compactions than this many bits count.
const COMPACTION_COUNT_BITS: u32 = 16;

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
    logs_created: AtomicU64,
}

impl<K: Kv> Exporter<K> {
    /// Reads the journal's settings; `writer` is drawn at random for each exporter.
    ///
    /// # Errors
    ///
    /// [`Unavailable`](JournalError::Unavailable) if the service gives no answer.
    pub async fn new(kv: K, writer: u64) -> Result<Self> {
        let meta = Meta::default().read_or_init(&kv).await?;
        Ok(Exporter {
            kv,
            meta,
            writer,
            logs_created: AtomicU64::new(0),
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
        let mut log = self.new_log(shard);
        for _ in 0..MAX_CONFLICTS {
            log.catch_up().await?;
            if !log.entries.is_empty() && !log.compact().await? {
                continue;
            }
            if let Some(ledger) = self.read_ledger(&log).await? {
                return Ok(ledger);
            }
            log.invalidate();
        }
        Err(too_many_conflicts())
    }

    /// Removes just what a ledger holds. Call it once the ledger is safely kept elsewhere.
    ///
    /// # Errors
    ///
    /// Any [`JournalError`]; calling it again is safe.
    pub async fn truncate(&self, ledger: &Ledger) -> Result<()> {
        let mut log = self.new_log(ledger.shard);
        for _ in 0..MAX_CONFLICTS {
            let (manifest, revision) = log.read_manifest().await?;
            let remaining = without_bill_pages(&manifest, &ledger.pages, self.writer);
            log.manifest_revision = revision;
            if manifest.bills == remaining.bills || log.swap_manifest(&remaining).await? {
                info!(
                    "journal shard {}: {} bill pages truncated",
                    ledger.shard.0,
                    ledger.pages.len()
                );
                return self.delete_orphan_pages(&log).await;
            }
        }
        Err(too_many_conflicts())
    }

    fn new_log(&self, shard: ShardId) -> Log<K> {
        let kv = self.kv.clone();
        let mut log = Log::new(kv, shard, self.meta, self.writer, CALL_TIMEOUT);
        log.compaction_attempts =
            self.logs_created.fetch_add(1, Ordering::Relaxed) << COMPACTION_COUNT_BITS;
        log
    }

    /// Reads the oldest pages of bills; `None` if another export truncated one meanwhile.
    async fn read_ledger(&self, log: &Log<K>) -> Result<Option<Ledger>> {
        let bill_pages = &log.manifest.bills;
        let pages = bill_pages[..bill_pages.len().min(PAGES_PER_LEDGER)].to_vec();
        let mut ledger = Ledger {
            shard: log.shard,
            bills: Vec::new(),
            late: Vec::new(),
            until: log.fold.clock(),
            more: bill_pages.len() > pages.len(),
            pages: Vec::new(),
        };
        for key in &pages {
            let stored = with_timeout(CALL_TIMEOUT, self.kv.get(key)).await?;
            let Some(stored) = stored else {
                return Ok(None);
            };
            for entry in decode_bill_page(key, &stored.value)? {
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
    async fn delete_orphan_pages(&self, log: &Log<K>) -> Result<()> {
        let prefix = page_prefix(log.shard);
        let mut after: Option<String> = None;
        loop {
            let list = self.kv.list(&prefix, after.as_deref(), ORPHAN_SCAN_PAGES);
            let scanned = with_timeout(CALL_TIMEOUT, list).await?;
            let (manifest, _) = log.read_manifest().await?;
            for page in &scanned {
                if manifest.is_obsolete(log.shard, &page.key) {
                    let delete = self.kv.delete(&page.key, page.revision);
                    with_timeout(CALL_TIMEOUT, delete).await?;
                }
            }
            after = scanned.last().map(|page| page.key.clone());
            if scanned.len() < ORPHAN_SCAN_PAGES {
                return Ok(());
            }
        }
    }
}

fn without_bill_pages(manifest: &Manifest, exported: &[String], writer: u64) -> Manifest {
    let mut remaining = manifest.clone();
    remaining.bills.retain(|key| !exported.contains(key));
    remaining.generation += 1;
    remaining.writer = writer;
    remaining
}

fn too_many_conflicts() -> JournalError {
    JournalError::Unavailable {
        retry_after: crate::error::RETRY_AFTER,
        message: "other writers kept getting ahead".to_owned(),
    }
}
