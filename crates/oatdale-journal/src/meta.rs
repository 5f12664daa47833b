//! What all nodes agree on, and where the journal's values lie.

use crate::error::Result;
use crate::fold::Retention;
use crate::record::ShardId;
use crate::wire::{Manifest, WireMeta, decode, encode};
use oatdale_platform::{Condition, Kv, KvError};

/// The key of what all nodes agree on.
const META_KEY: &str = "journal/meta";

/// What the first node fixes for all; later nodes take what is stored, whatever their settings.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Meta {
    /// How many independent logs there are.
    pub shards: u16,
    /// How many segments a shard holds beside its pages.
    pub slots: u64,
    /// How long the journal remembers.
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
    /// Reads what is stored, or stores `self` if nothing is. Two calls at most, once for a node.
    ///
    /// # Errors
    ///
    /// [`Unavailable`](crate::JournalError::Unavailable) if the service gives no answer.
    pub async fn read_or_init(self, kv: &impl Kv) -> Result<Meta> {
        if let Some(entry) = kv.get(META_KEY).await? {
            return Ok(decode::<WireMeta>(META_KEY, &entry.value)?.into());
        }
        let value = encode(&WireMeta::from(self)).into();
        // A lost race and a lost answer look alike here: the stored value is the truth.
        match kv.put(META_KEY, value, Condition::Absent, None).await {
            Ok(_) | Err(KvError::Unknown { .. }) => {}
            Err(error) => return Err(error.into()),
        }
        match kv.get(META_KEY).await? {
            Some(entry) => Ok(decode::<WireMeta>(META_KEY, &entry.value)?.into()),
            None => Err(KvError::Unavailable {
                message: "the journal's settings are not stored yet".to_owned(),
            }
            .into()),
        }
    }

    /// The slot of a segment's number; the ring is the log's last segments.
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

/// Pages are named by the manifest's generation that first lists them, by their writer and by its
/// count of attempts, so that no page is ever written with a second content: a manifest that was
/// on its way for long might list it.
pub(crate) fn page_key(
    shard: ShardId,
    generation: u64,
    (writer, attempt): (u64, u64),
    index: usize,
) -> String {
    let prefix = page_prefix(shard);
    format!("{prefix}{generation:016x}-{writer:016x}-{attempt}-{index:04}")
}

/// The generation in a page's name.
fn page_generation(shard: ShardId, key: &str) -> Option<u64> {
    let name = key.strip_prefix(&page_prefix(shard))?;
    let (generation, _) = name.split_once('-')?;
    u64::from_str_radix(generation, 16).ok()
}

impl Manifest {
    /// Whether a page is not listed now and never will be again, so that it may be deleted. A
    /// page of a later generation may be on its way to be listed.
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
