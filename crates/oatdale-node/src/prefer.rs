//! Which node appends to which shard of the journal.

use oatdale_journal::{Preferred, ShardId};
use sha2::{Digest, Sha256};

/// The shards for which `own` has the highest rank among `hosts`.
///
/// Nodes with different views may prefer none or two for a shard; the journal is then slower for a
/// moment and still right.
pub(crate) fn preferred_shards<'a>(
    hosts: &(impl Iterator<Item = &'a str> + Clone),
    own: &str,
    shards: u16,
) -> Preferred {
    let mine = (0..shards)
        .filter(|shard| hosts.clone().max_by_key(|host| rank(host, *shard)) == Some(own))
        .map(ShardId)
        .collect();
    Preferred(mine)
}

fn rank(host: &str, shard: u16) -> [u8; 32] {
    Sha256::new()
        .chain_update(shard.to_be_bytes())
        .chain_update(host.as_bytes())
        .finalize()
        .into()
}
