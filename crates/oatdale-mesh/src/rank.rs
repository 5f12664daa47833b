//! Rendezvous hashing: nodes that know the same hosts select the same ones without communicating.

use crate::types::HostId;
use std::collections::{BTreeMap, BTreeSet};

/// Hashes a number with the finalizer of SplitMix64.
pub(crate) fn mix64(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the score of a host in the ranking of `salt`; the lowest score ranks first.
pub(crate) fn score(host: HostId, salt: u64) -> u64 {
    mix64(host.0 ^ mix64(salt))
}

/// Returns the first `count` hosts in the ranking of `salt`.
pub(crate) fn top_ranked(
    hosts: impl Iterator<Item = HostId>,
    salt: u64,
    count: usize,
) -> Vec<HostId> {
    let mut ranked: Vec<(u64, HostId)> = hosts.map(|h| (score(h, salt), h)).collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, host)| host).collect()
}

/// Returns the reporters of the failure domain `of` for the domain `to`: a primary that relays the
/// summaries it receives and, if there are several hosts, a standby.
///
/// The domains of `others` are assigned one after another, each to the hosts with the fewest
/// assignments so far. With a random assignment, one node of 360 would relay four times the mean.
pub(crate) fn reporters(hosts: &[HostId], others: &BTreeSet<u32>, of: u32, to: u32) -> Vec<HostId> {
    let mut assigned: BTreeMap<HostId, (usize, usize)> =
        hosts.iter().map(|h| (*h, (0, 0))).collect();
    for domain in others {
        let salt = reporter_salt(of, *domain);
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

/// Returns the salt of the ranking of reporters from the failure domain `of` to `to`.
pub(crate) fn reporter_salt(of: u32, to: u32) -> u64 {
    (u64::from(of) << 32) | u64::from(to)
}

/// Returns the salt of the ranking of nodes that watch the configuration key for a failure domain.
pub(crate) fn watcher_salt(domain: u32) -> u64 {
    mix64(u64::from(domain))
}
