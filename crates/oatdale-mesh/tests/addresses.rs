//! Selection and order of the addresses that callers get.

use oatdale_mesh::{PeerState, PeerView, addresses};
use std::net::SocketAddr;
use std::time::Duration;

fn peer_view(n: u8, domain: &str, region: &str, load: f32) -> PeerView {
    PeerView {
        host: format!("host-{n}"),
        domain: domain.to_owned(),
        region: region.to_owned(),
        incarnation: 1,
        caller_address: SocketAddr::from(([10, 0, 0, n], 80)),
        accepting: true,
        load,
        revision: 1,
        revision_age: Duration::ZERO,
        state: PeerState::Alive,
    }
}

fn host_number(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(a) => a.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    }
}

fn ranked_hosts(peers: &[PeerView], domain: &str, seed: u64) -> Vec<u8> {
    addresses(peers, domain, 10, seed)
        .iter()
        .map(|a| host_number(a.address))
        .collect()
}

#[test]
fn nearer_nodes_come_first() {
    let peers = [
        peer_view(1, "c", "north", 0.0),
        peer_view(2, "b", "south", 0.0),
        peer_view(3, "a", "south", 0.5),
    ];
    for seed in 0..50 {
        assert_eq!(ranked_hosts(&peers, "a", seed), [3, 2, 1]);
    }
}

/// One node is leaving, one is suspected and one has stopped accepting. A caller that caches its
/// answer would connect to a node that refuses it.
#[test]
fn leaving_suspected_and_non_accepting_nodes_are_excluded() {
    let mut peers = vec![peer_view(1, "a", "south", 0.0); 4];
    for (n, peer) in peers.iter_mut().enumerate() {
        *peer = peer_view(n as u8 + 1, "a", "south", 0.0);
    }
    peers[1].state = PeerState::Left;
    peers[2].state = PeerState::Suspect;
    peers[3].accepting = false;
    assert_eq!(ranked_hosts(&peers, "a", 7), [1]);
}

#[test]
fn callers_spread_by_spare_capacity() {
    let peers = [
        peer_view(1, "a", "south", 0.75),
        peer_view(2, "a", "south", 0.25),
    ];
    let ranked_first = (0..4000)
        .filter(|seed| ranked_hosts(&peers, "a", *seed)[0] == 2)
        .count();
    let share = ranked_first as f64 / 4000.0;
    assert!((share - 0.75).abs() < 0.03, "{share}");
}

/// All nodes of the caller's failure domain are full while another domain in its region is idle.
/// Keeping callers in their own domain would only grow its queues.
#[test]
fn an_overloaded_failure_domain_spills_over() {
    let peers = [
        peer_view(1, "a", "south", 0.95),
        peer_view(2, "b", "south", 0.05),
    ];
    let ranked_first = (0..1000)
        .filter(|seed| ranked_hosts(&peers, "a", *seed)[0] == 2)
        .count();
    assert!(ranked_first > 900, "{ranked_first}");
}

#[test]
fn a_caller_in_an_unknown_failure_domain_gets_addresses() {
    let peers = [
        peer_view(1, "a", "south", 0.0),
        peer_view(2, "b", "north", 0.0),
    ];
    assert_eq!(ranked_hosts(&peers, "elsewhere", 3).len(), 2);
    assert_eq!(addresses(&peers, "a", 1, 3).len(), 1);
    assert!(addresses(&[], "a", 5, 3).is_empty());
}
