//! One shard's log as seen by one writer or reader.
//!
//! The latest segments are stored in a ring of slots. Appending segment `n` replaces segment
//! `n - slots` in its slot, on condition that the slot still has that segment's revision (or does
//! not exist yet, in the first round). Of several concurrent writers one wins, and a write that
//! arrives late fails however long it was delayed, since a slot never returns to an earlier
//! revision. Deleting old segments and creating new keys if absent would not guarantee this: a
//! delayed create would succeed once the key has been deleted.

use crate::error::{JournalError, RETRY_AFTER, Result};
use crate::fold::{FinalEntry, Fold};
use crate::meta::{Meta, manifest_key, slot_key, slot_prefix};
use crate::page::{StateKey, apply_state_page};
use crate::record::{Millis, Record, ShardId};
use crate::wire::{Manifest, WireRecord, WireSegment, decode, encode};
use log::debug;
use oatdale_platform::{Condition, Entry as KvEntry, Kv, KvError, ModRevision, Put};
use std::time::Duration;
use tokio::time::timeout;

/// Number of slots to list at the log's end when no further segments are expected.
const SHORT_READ_SLOTS: usize = 2;

/// Number of slots to list when more segments follow, or when this process wrote the last segment:
/// a process that appends repeatedly needs the revisions of the slots ahead.
const LONG_READ_SLOTS: usize = 16;

/// Maximum number of times that a read restarts from the pages because a compactor was faster.
const MAX_RESTARTS: usize = 16;

/// What this process knows about a slot.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Slot {
    /// The state is unknown, so no append may use the slot.
    Unknown,
    /// The slot has never been written.
    Absent,
    /// The slot holds a segment with this revision.
    Occupied(ModRevision),
}

/// Result of an append.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum AppendOutcome {
    /// The segment is stored in the log.
    Stored,
    /// Another segment has the number, or the response was lost: read the log to find out.
    Unconfirmed,
}

/// A shard's log and state as far as this process has read them.
pub(crate) struct Log<K> {
    pub(crate) kv: K,
    pub(crate) shard: ShardId,
    pub(crate) meta: Meta,
    pub(crate) writer: u64,
    /// Timeout of a single call to the key-value service.
    pub(crate) call_timeout: Duration,
    pub(crate) fold: Fold,
    /// Number of the next segment.
    pub(crate) next_seq: u64,
    pub(crate) manifest: Manifest,
    pub(crate) manifest_revision: Option<ModRevision>,
    /// Final bills and late closings that the manifest does not cover, with their segment numbers.
    pub(crate) entries: Vec<(u64, FinalEntry)>,
    /// Keys that may have changed since the manifest, with their segment numbers.
    pub(crate) changed_keys: Vec<(u64, StateKey)>,
    /// Size of the segments that the manifest does not cover.
    pub(crate) uncompacted_bytes: usize,
    /// Number of compactions that this process started, including failed ones.
    pub(crate) compaction_attempts: u64,
    slots: Vec<Slot>,
    loaded: bool,
    /// Whether this process wrote the last segment.
    wrote_last_segment: bool,
}

impl<K: Kv> Log<K> {
    pub(crate) fn new(
        kv: K,
        shard: ShardId,
        meta: Meta,
        writer: u64,
        call_timeout: Duration,
    ) -> Self {
        Log {
            kv,
            shard,
            meta,
            writer,
            call_timeout,
            fold: Fold::new(meta.retention),
            next_seq: 0,
            manifest: Manifest::default(),
            manifest_revision: None,
            entries: Vec::new(),
            changed_keys: Vec::new(),
            uncompacted_bytes: 0,
            compaction_attempts: 0,
            slots: vec![Slot::Unknown; meta.slots as usize],
            loaded: false,
            wrote_last_segment: false,
        }
    }

    /// Reads the log up to its end.
    pub(crate) async fn catch_up(&mut self) -> Result<()> {
        for _ in 0..MAX_RESTARTS {
            if !self.loaded && !self.load().await? {
                continue;
            }
            let mut slot_count = match self.wrote_last_segment {
                true => LONG_READ_SLOTS,
                false => SHORT_READ_SLOTS,
            };
            while !self.read_slots(slot_count).await? {
                slot_count = LONG_READ_SLOTS;
            }
            if self.loaded {
                return Ok(());
            }
        }
        Err(JournalError::Unavailable {
            retry_after: RETRY_AFTER,
            message: "other writers append faster than this process reads the log".to_owned(),
        })
    }

    /// Whether the log can be appended to without reading first.
    pub(crate) fn is_at_end(&self) -> bool {
        self.loaded && self.slots[self.next_slot()] != Slot::Unknown
    }

    /// Whether the ring is full: no page covers any of its segments, so none may be replaced.
    pub(crate) fn is_full(&self) -> bool {
        self.next_seq >= self.manifest.next_seq + self.meta.slots
    }

    /// Tries to write the next segment. Requires that the log was read to its end and that the
    /// ring is not full.
    pub(crate) async fn append(&mut self, at: Millis, records: &[Record]) -> Result<AppendOutcome> {
        let slot = self.next_slot();
        let cond = match self.slots[slot] {
            Slot::Unknown => return Ok(AppendOutcome::Unconfirmed),
            Slot::Absent => Condition::Absent,
            Slot::Occupied(revision) => Condition::Is(revision),
        };
        let segment = WireSegment {
            seq: self.next_seq,
            writer: self.writer,
            at: at.0,
            records: records.iter().map(WireRecord::from).collect(),
        };
        let value = encode(&segment);
        let bytes = value.len();
        let key = slot_key(self.shard, slot as u64);
        // The slot's state is unknown until a response arrives: even a cancelled call may have
        // taken effect.
        self.slots[slot] = Slot::Unknown;
        let put = self.kv.put(&key, value.into(), cond, None);
        match with_timeout(self.call_timeout, put).await {
            Ok(Put::Stored(revision)) => {
                self.apply_segment(slot, revision, at, records, bytes);
                self.wrote_last_segment = true;
                Ok(AppendOutcome::Stored)
            }
            Ok(Put::Conflict(_)) => Ok(AppendOutcome::Unconfirmed),
            Err(KvError::Unknown { message }) => {
                debug!(
                    "journal shard {}: append of segment {} not confirmed: {message}",
                    self.shard.0, self.next_seq
                );
                Ok(AppendOutcome::Unconfirmed)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Loads the manifest and its state pages. Returns false if a compactor deleted one of them
    /// meanwhile.
    async fn load(&mut self) -> Result<bool> {
        let (manifest, revision) = self.read_manifest().await?;
        let mut fold = Fold::new(self.meta.retention);
        for key in &manifest.state {
            let page = with_timeout(self.call_timeout, self.kv.get(key)).await?;
            let Some(page) = page else { return Ok(false) };
            apply_state_page(&mut fold, key, &page.value)?;
        }
        self.fold = fold;
        self.next_seq = manifest.next_seq;
        self.manifest = manifest;
        self.manifest_revision = revision;
        self.entries.clear();
        self.changed_keys.clear();
        self.uncompacted_bytes = 0;
        self.slots.fill(Slot::Unknown);
        self.loaded = true;
        Ok(true)
    }

    pub(crate) async fn read_manifest(&self) -> Result<(Manifest, Option<ModRevision>)> {
        let key = manifest_key(self.shard);
        match with_timeout(self.call_timeout, self.kv.get(&key)).await? {
            Some(entry) => Ok((decode(&key, &entry.value)?, Some(entry.revision))),
            None => Ok((Manifest::default(), None)),
        }
    }

    /// Reads up to `slot_count` slots from the next one on. Returns true once the log's end is
    /// reached.
    async fn read_slots(&mut self, slot_count: usize) -> Result<bool> {
        let first_slot = self.next_slot();
        let prefix = slot_prefix(self.shard);
        let after = first_slot
            .checked_sub(1)
            .map(|slot| slot_key(self.shard, slot as u64));
        let list = self.kv.list(&prefix, after.as_deref(), slot_count);
        let listed = with_timeout(self.call_timeout, list).await?;
        let mut listed = listed.into_iter().peekable();
        let mut at_end = false;
        for slot in first_slot..(first_slot + slot_count).min(self.slots.len()) {
            let expected_key = slot_key(self.shard, slot as u64);
            let entry = listed.next_if(|entry| entry.key == expected_key);
            match entry {
                // Slots past the end still hold segments of the previous round, which the next
                // appends replace.
                Some(entry) if at_end => self.slots[slot] = Slot::Occupied(entry.revision),
                Some(entry) => at_end = self.apply_slot(slot, &entry)?,
                None => {
                    self.slots[slot] = Slot::Absent;
                    at_end = true;
                }
            }
        }
        Ok(at_end)
    }

    /// Applies one slot's segment. Returns true if the log ends before it.
    fn apply_slot(&mut self, slot: usize, entry: &KvEntry) -> Result<bool> {
        let segment: WireSegment = decode(&entry.key, &entry.value)?;
        match segment.seq {
            seq if seq == self.next_seq => {
                let records: Vec<Record> = segment.records.into_iter().map(Record::from).collect();
                let at = Millis(segment.at);
                self.apply_segment(slot, entry.revision, at, &records, entry.value.len());
                self.wrote_last_segment = segment.writer == self.writer;
                Ok(false)
            }
            seq if seq < self.next_seq => {
                self.slots[slot] = Slot::Occupied(entry.revision);
                Ok(true)
            }
            _ => {
                // Other writers went once around the ring meanwhile; the pages cover the
                // overwritten segments.
                self.invalidate();
                Ok(true)
            }
        }
    }

    fn apply_segment(
        &mut self,
        slot: usize,
        revision: ModRevision,
        at: Millis,
        records: &[Record],
        bytes: usize,
    ) {
        let seq = self.next_seq;
        let entries = self.fold.apply(at, records);
        let record_changes = records.iter().flat_map(StateKey::of_record);
        let entry_changes = entries.iter().map(StateKey::of_entry);
        let changes = record_changes.chain(entry_changes);
        self.changed_keys.extend(changes.map(|t| (seq, t)));
        self.entries.extend(entries.into_iter().map(|e| (seq, e)));
        self.uncompacted_bytes += bytes;
        self.slots[slot] = Slot::Occupied(revision);
        self.next_seq += 1;
    }

    fn next_slot(&self) -> usize {
        self.meta.slot_of(self.next_seq) as usize
    }

    /// Makes the next [`catch_up`](Log::catch_up) reload the manifest and the pages.
    pub(crate) fn invalidate(&mut self) {
        self.loaded = false;
    }
}

/// Limits a call's duration. A call that times out may have taken effect.
pub(crate) async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = oatdale_platform::Result<T>>,
) -> oatdale_platform::Result<T> {
    let timed_out = |_| KvError::Unknown {
        message: format!("no response within {} ms", limit.as_millis()),
    };
    timeout(limit, call).await.map_err(timed_out)?
}
