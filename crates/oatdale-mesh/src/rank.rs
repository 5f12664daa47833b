//! Rendezvous hashing: every node that knows the same hosts picks the same ones without a word.

use crate::types::HostId;

/// A well mixed function of a number (the finaliser of SplitMix64).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The place of a host in the order that belongs to `salt`; the lowest is first.
pub(crate) fn score(host: HostId, salt: u64) -> u64 {
    mix(host.0 ^ mix(salt))
}

/// The first `count` hosts in the order of `salt`.
pub(crate) fn first(hosts: impl Iterator<Item = HostId>, salt: u64, count: usize) -> Vec<HostId> {
    let mut ranked: Vec<(u64, HostId)> = hosts.map(|h| (score(h, salt), h)).collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, host)| host).collect()
}

/// The order in which nodes of the failure domain `of` report to the failure domain `to`.
pub(crate) fn report_salt(of: u32, to: u32) -> u64 {
    (u64::from(of) << 32) | u64::from(to)
}

/// The order in which nodes of a failure domain watch the configuration's key.
pub(crate) fn watch_salt(domain: u32) -> u64 {
    mix(u64::from(domain))
}
