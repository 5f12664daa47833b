//! Which nodes do what only a few need to do.

use oatdale_journal::{Preferred, ShardId};
use sha2::{Digest, Sha256};

/// The shards for which `own` has the highest rank among `hosts`.
///
/// Nodes with different views may prefer none or two for a shard; the journal is then slower for a
/// moment and still right.
pub(crate) fn preferred_shards(hosts: &[&str], own: &str, shards: u16) -> Preferred {
    let mine = (0..shards)
        .filter(|shard| is_among_first(hosts, own, &shard.to_be_bytes(), 1))
        .map(ShardId)
        .collect();
    Preferred(mine)
}

/// Whether `own` is among the `count` hosts of the highest rank for `key`.
pub(crate) fn is_among_first(hosts: &[&str], own: &str, key: &[u8], count: usize) -> bool {
    let mine = rank(own, key);
    let higher = hosts.iter().filter(|host| rank(host, key) > mine).count();
    higher < count
}

fn rank(host: &str, key: &[u8]) -> [u8; 32] {
    Sha256::new()
        .chain_update(key)
        .chain_update(host.as_bytes())
        .finalize()
        .into()
}
