//! Which nodes do what only a few need to do.

use oatdale_journal::{Preferred, ShardId};
use sha2::{Digest, Sha256};

/// The shards that a table of [`appenders`] leaves to this node.
///
/// Nodes with different views may prefer none or two for a shard; the journal is then slower for a
/// moment and still right.
pub(crate) fn preferred_shards(appenders: &[Option<String>]) -> Preferred {
    let mine = (0_u16..)
        .zip(appenders)
        .filter(|(_, host)| host.is_none())
        .map(|(shard, _)| ShardId(shard))
        .collect();
    Preferred(mine)
}

/// The preferred host of each shard; `None` where it is `own`.
pub(crate) fn appenders(hosts: &[&str], own: &str, shards: u16) -> Vec<Option<String>> {
    let first = |shard: u16| {
        let key = shard.to_be_bytes();
        let all = hosts.iter().copied().chain([own]);
        all.max_by_key(|host| rank(host, &key))
    };
    (0..shards)
        .map(|shard| first(shard).filter(|host| *host != own))
        .map(|host| host.map(str::to_owned))
        .collect()
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
