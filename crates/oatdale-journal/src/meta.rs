//! Shared settings of the journal, and the keys of its values.

use crate::error::Result;
use crate::fold::Retention;
use crate::record::ShardId;
use crate::wire::{Manifest, WireMeta, decode, encode};
use oatdale_platform::{Condition, Kv, KvError};

/// Key of the settings shared by all nodes.
const META_KEY: &str = "journal/meta";

/// Settings shared by all nodes. The first node stores them; later nodes use the stored ones and
/// ignore their own.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Meta {
    /// Number of shards; each is an independent log.
    pub shards: u16,
    /// Number of slots in a shard's ring of segments.
    pub slots: u64,
    /// Retention periods of the journal's state.
    pub retention: Retention,
}

impl Default for Meta {
    fn default() -> Self {
        Meta {
            shards: 8,
            slots: 256,
            retention: Retention::default(),
        }
    }
}

impl Meta {
    /// Returns the stored settings, or stores `self` if there are none. Makes one call if settings
    /// are stored, else three; each node does this once.
    ///
    /// # Errors
    ///
    /// [`Unavailable`](crate::JournalError::Unavailable) if the service does not respond.
    pub async fn read_or_init(self, kv: &impl Kv) -> Result<Meta> {
        if let Some(entry) = kv.get(META_KEY).await? {
            return Ok(decode::<WireMeta>(META_KEY, &entry.value)?.into());
        }
        let value = encode(&WireMeta::from(self)).into();
        // Whether the write succeeded, conflicted or lost its response, the stored value counts.
        match kv.put(META_KEY, value, Condition::Absent, None).await {
            Ok(_) | Err(KvError::Unknown { .. }) => {}
            Err(error) => return Err(error.into()),
        }
        match kv.get(META_KEY).await? {
            Some(entry) => Ok(decode::<WireMeta>(META_KEY, &entry.value)?.into()),
            None => Err(KvError::Unavailable {
                message: "no journal settings stored at journal/meta yet".to_owned(),
            }
            .into()),
        }
    }

    /// Returns the slot of the segment with number `seq`; the ring holds the log's last segments.
    pub(crate) fn slot_of(&self, seq: u64) -> u64 {
        seq % self.slots
    }
}

pub(crate) fn manifest_key(shard: ShardId) -> String {
    format!("journal/{:04}/manifest", shard.0)
}

pub(crate) fn slot_prefix(shard: ShardId) -> String {
    format!("journal/{:04}/slot/", shard.0)
}

pub(crate) fn slot_key(shard: ShardId, slot: u64) -> String {
    format!("journal/{:04}/slot/{slot:06}", shard.0)
}

pub(crate) fn page_prefix(shard: ShardId) -> String {
    format!("journal/{:04}/page/", shard.0)
}

/// Returns a page's key: the generation of the manifest that first lists it, its writer and the
/// writer's number of compaction attempts. No key is ever written with different content, since a
/// delayed write of a manifest might still list it.
pub(crate) fn page_key(
    shard: ShardId,
    generation: u64,
    (writer, attempt): (u64, u64),
    index: usize,
) -> String {
    let prefix = page_prefix(shard);
    format!("{prefix}{generation:016x}-{writer:016x}-{attempt}-{index:04}")
}

/// Returns the generation in a page's key.
fn page_generation(shard: ShardId, key: &str) -> Option<u64> {
    let name = key.strip_prefix(&page_prefix(shard))?;
    let (generation, _) = name.split_once('-')?;
    u64::from_str_radix(generation, 16).ok()
}

impl Manifest {
    /// Whether a page is not listed and never will be again, so that it may be deleted. A page of a
    /// later generation is not obsolete, since a manifest that lists it may still be written.
    pub(crate) fn is_obsolete(&self, shard: ShardId, page: &str) -> bool {
        let not_newer = page_generation(shard, page).is_some_and(|g| g <= self.generation);
        let mut listed = self.state.iter().chain(&self.bills);
        not_newer && !listed.any(|key| key == page)
    }
}

impl From<Meta> for WireMeta {
    fn from(meta: Meta) -> Self {
        WireMeta {
            shards: meta.shards.max(1),
            slots: meta.slots.max(2),
            claims: meta.retention.claims,
            pins: meta.retention.pins,
            bills: meta.retention.bills,
            open: meta.retention.open,
        }
    }
}

impl From<WireMeta> for Meta {
    fn from(wire: WireMeta) -> Self {
        Meta {
            shards: wire.shards,
            slots: wire.slots,
            retention: Retention {
                claims: wire.claims,
                pins: wire.pins,
                bills: wire.bills,
                open: wire.open,
            },
        }
    }
}
