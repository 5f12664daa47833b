//! Every peer that `reachable` returns has a link, so forwarded payloads arrive.

#[path = "support/in_memory.rs"]
mod support;

use oatdale_mesh::{HostId, reachable};
use std::collections::BTreeSet;
use std::time::Duration;
use support::fleet::Fleet;

/// Simulated time within which the fleet must converge.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the lowest number of reachable peers of any node, and asserts that each node has a link
/// to every peer that it considers reachable.
fn fewest_reachable_peers(domains: usize, hosts_per_domain: usize) -> usize {
    let mut fleet = Fleet::new(3, domains, hosts_per_domain);
    fleet.start_all();
    fleet
        .run_until(TIMEOUT, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.run(Duration::from_secs(30));
    let mut fewest_peers = usize::MAX;
    for node in &fleet.nodes {
        let member = node.member.as_ref().expect("up");
        let linked_hosts: BTreeSet<HostId> = member.linked_hosts().collect();
        let peers = reachable(&node.app.peers, &format!("hall-{}", node.domain));
        for peer in &peers {
            assert!(
                linked_hosts.contains(&HostId::of(&peer.host)),
                "{} has no link to {}",
                node.name,
                peer.host
            );
        }
        fewest_peers = fewest_peers.min(peers.len());
    }
    fewest_peers
}

#[test]
fn all_peers_are_reachable_in_a_small_fleet() {
    assert_eq!(fewest_reachable_peers(3, 3), 8);
}

/// A fleet has grown beyond a full mesh. If journal records were still distributed over all nodes,
/// most would go to nodes without a link, and each node would append for itself: at 64 nodes the
/// key-value service then throttles, and confirmations are refused.
#[test]
fn only_peers_of_the_same_domain_are_reachable_in_a_large_fleet() {
    assert_eq!(fewest_reachable_peers(4, 8), 7);
}
