//! Selects the node addresses that a caller should use.

use crate::rank;
use crate::types::{PeerState, PeerView};
use std::net::SocketAddr;

/// Load at or above which a node is ranked one tier farther away.
const HIGH_LOAD: f32 = 0.9;
/// Minimum spare capacity that a weight is computed from, so that a full node still gets some
/// requests.
const MIN_SPARE: f32 = 0.05;

/// A node address offered to a caller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Address {
    /// Address that the caller connects to.
    pub address: SocketAddr,
    /// Relative share of the caller's requests, from 1 to 100, among addresses of the same tier.
    pub weight: u32,
}

/// Selects at most `count` addresses for a caller in failure domain `domain`, best first.
///
/// Nodes of the caller's failure domain come first, then those of its region, then the rest.
/// Within a tier the order is random, weighted by spare capacity, so that callers spread over the
/// nodes; `seed` should differ between callers. Nodes that are leaving, suspected or not accepting
/// are never returned. The calling node must include a view of itself in `peers`.
///
/// # Examples
///
/// ```
/// use oatdale_mesh::{addresses, PeerState, PeerView};
/// use std::time::Duration;
///
/// let view = |host: &str, domain: &str, load, state| PeerView {
///     host: host.to_owned(),
///     domain: domain.to_owned(),
///     region: "south".to_owned(),
///     incarnation: 1,
///     caller_address: "10.0.0.1:80".parse().unwrap(),
///     accepting: true,
///     load,
///     revision: 7,
///     revision_age: Duration::ZERO,
///     state,
/// };
/// let peers = [
///     view("a", "hall-1", 0.5, PeerState::Alive),
///     view("b", "hall-2", 0.1, PeerState::Alive),
///     view("c", "hall-1", 0.0, PeerState::Suspect),
/// ];
/// let list = addresses(&peers, "hall-1", 3, 42);
/// assert_eq!(list.len(), 2);
/// assert_eq!(list[0].weight, 50);
/// ```
pub fn addresses(peers: &[PeerView], domain: &str, count: usize, seed: u64) -> Vec<Address> {
    let region = peers
        .iter()
        .find(|p| p.domain == domain)
        .map(|p| p.region.as_str());
    let mut ranked: Vec<(u8, f64, Address)> = peers
        .iter()
        .filter(|p| p.accepting && p.state == PeerState::Alive)
        .map(|p| (tier(p, domain, region), sort_key(p, seed), to_address(p)))
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, _, address)| address).collect()
}

fn tier(peer: &PeerView, domain: &str, region: Option<&str>) -> u8 {
    let distance = match peer {
        p if p.domain == domain => 0,
        p if Some(p.region.as_str()) == region => 1,
        _ => 2,
    };
    distance + u8::from(peer.load >= HIGH_LOAD)
}

fn spare_capacity(peer: &PeerView) -> f32 {
    (1.0 - peer.load).clamp(MIN_SPARE, 1.0)
}

/// Returns the key for weighted sampling without replacement: the lowest `-ln(u) / weight` comes
/// first.
fn sort_key(peer: &PeerView, seed: u64) -> f64 {
    let host = crate::types::HostId::of(&peer.host);
    let uniform = (rank::score(host, seed) >> 11) as f64 / (1u64 << 53) as f64;
    -uniform.max(f64::MIN_POSITIVE).ln() / f64::from(spare_capacity(peer))
}

fn to_address(peer: &PeerView) -> Address {
    let weight = (spare_capacity(peer) * 100.0).round() as u32;
    Address {
        address: peer.caller_address,
        weight,
    }
}
