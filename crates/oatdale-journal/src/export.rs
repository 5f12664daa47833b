//! Export of final bills from the journal.

use crate::error::{JournalError, Result};
use crate::fold::FinalEntry;
use crate::log::{Log, with_timeout};
use crate::meta::{Meta, page_prefix};
use crate::page::decode_bill_page;
use crate::record::{Closing, Millis, ShardId};
use crate::wire::Manifest;
use log::info;
use oatdale_platform::Kv;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Maximum number of bill pages in one ledger.
const PAGES_PER_LEDGER: usize = 16;

/// Number of pages that one listing returns in the search for orphaned pages.
const ORPHAN_SCAN_PAGES: usize = 8;

/// Maximum number of conflicts with concurrent compactions or exports before giving up.
const MAX_CONFLICTS: usize = 20;

/// Number of low bits for one log's count of compactions; a log makes fewer than 2^16.
const COMPACTION_COUNT_BITS: u32 = 16;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The oldest final bills of a shard, in journal order.
#[derive(Clone, PartialEq, Debug)]
pub struct Ledger {
    /// The shard.
    pub shard: ShardId,
    /// Bills, one for each request.
    pub bills: Vec<Closing>,
    /// Closings that arrived after their requests' retention period. Operators have to judge them,
    /// since each request may or may not have a bill.
    pub late_closings: Vec<Closing>,
    /// Time of the shard's last segment on the journal's clock.
    pub last_segment_at: Millis,
    /// Whether the shard has more bills than this ledger.
    pub has_more: bool,
    /// Keys of the pages that were read.
    pages: Vec<String>,
}

/// Exports a journal's bills shard by shard.
pub struct Exporter<K> {
    kv: K,
    meta: Meta,
    writer: u64,
    /// Number of logs created. It is part of page names, which must never be reused.
    logs_created: AtomicU64,
}

impl<K: Kv> Exporter<K> {
    /// Creates an exporter from the journal's shared settings, which it stores if there are none.
    /// `writer` must be a random number, different for each exporter.
    ///
    /// # Errors
    ///
    /// [`Unavailable`](JournalError::Unavailable) if the service does not respond.
    pub async fn new(kv: K, writer: u64) -> Result<Self> {
        let meta = Meta::default().read_or_init(&kv).await?;
        Ok(Exporter {
            kv,
            meta,
            writer,
            logs_created: AtomicU64::new(0),
        })
    }

    /// Returns the shards to export.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> + use<K> {
        (0..self.meta.shards).map(ShardId)
    }

    /// Reads the oldest bills of a shard, out of all that are durable. Nothing is removed: another
    /// call returns the same bills first, until they are [truncated](Self::truncate).
    ///
    /// # Errors
    ///
    /// Any [`JournalError`]; nothing is lost.
    pub async fn read_oldest(&self, shard: ShardId) -> Result<Ledger> {
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

    /// Removes exactly the bills of a ledger. Call it once the ledger is stored durably elsewhere.
    ///
    /// # Errors
    ///
    /// Any [`JournalError`]; a retry is safe.
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

    /// Reads the oldest bill pages. Returns `None` if another export truncated one meanwhile.
    async fn read_ledger(&self, log: &Log<K>) -> Result<Option<Ledger>> {
        let bill_pages = &log.manifest.bills;
        let pages = bill_pages[..bill_pages.len().min(PAGES_PER_LEDGER)].to_vec();
        let mut ledger = Ledger {
            shard: log.shard,
            bills: Vec::new(),
            late_closings: Vec::new(),
            last_segment_at: log.fold.clock(),
            has_more: bill_pages.len() > pages.len(),
            pages: Vec::new(),
        };
        for key in &pages {
            let stored = with_timeout(CALL_TIMEOUT, self.kv.get(key)).await?;
            let Some(stored) = stored else {
                return Ok(None);
            };
            for entry in decode_bill_page(key, &stored.value)? {
                match entry {
                    FinalEntry::Bill(closing) => ledger.bills.push(closing),
                    FinalEntry::Late(closing) => ledger.late_closings.push(closing),
                }
            }
        }
        ledger.pages = pages;
        Ok(Some(ledger))
    }

    /// Deletes pages that no manifest lists: truncated ones, and those of compactors that failed.
    /// Pages of a later generation than the manifest's are kept, since a manifest that lists them
    /// may still be written.
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
        message: "too many conflicts with concurrent compactions or exports".to_owned(),
    }
}
