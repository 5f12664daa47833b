//! Rendezvous hashing: every node that knows the same hosts picks the same ones without a word.

use crate::types::HostId;
use std::collections::{BTreeMap, BTreeSet};

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

/// The hosts of the failure domain `of` that talk to the domain `to`: one that passes on what it
/// hears and, where there are several hosts, one that stands by.
///
/// The domains of `others` get theirs in turn, and nobody gets a further one while somebody has
/// fewer. Left to chance, one node of 360 would pass on four times what the mean does.
pub(crate) fn reporters(hosts: &[HostId], others: &BTreeSet<u32>, of: u32, to: u32) -> Vec<HostId> {
    let mut assigned: BTreeMap<HostId, (usize, usize)> =
        hosts.iter().map(|h| (*h, (0, 0))).collect();
    for domain in others {
        let salt = report_salt(of, *domain);
        let primary = assigned
            .iter()
            .min_by_key(|(h, d)| (d.0, d.1, score(**h, salt)));
        let primary = primary.map(|(h, _)| *h);
        let remaining = assigned.iter().filter(|(h, _)| Some(**h) != primary);
        let standby = remaining
            .min_by_key(|(h, d)| (d.1, d.0, score(**h, salt)))
            .map(|(h, _)| *h);
        if *domain == to {
            return primary.into_iter().chain(standby).collect();
        }
        for (host, is_primary) in [(primary, true), (standby, false)] {
            if let Some(counts) = host.and_then(|h| assigned.get_mut(&h)) {
                counts.0 += usize::from(is_primary);
                counts.1 += 1;
            }
        }
    }
    Vec::new()
}

/// The order in which nodes of the failure domain `of` report to the failure domain `to`.
pub(crate) fn report_salt(of: u32, to: u32) -> u64 {
    (u64::from(of) << 32) | u64::from(to)
}

/// The order in which nodes of a failure domain watch the configuration's key.
pub(crate) fn watch_salt(domain: u32) -> u64 {
    mix(u64::from(domain))
}
