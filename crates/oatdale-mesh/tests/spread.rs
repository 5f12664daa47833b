//! The configuration comes into force everywhere and never goes back.

#[path = "support/in_memory.rs"]
mod support;

use std::time::Duration;
use support::fleet::{Fleet, ms};

const LONG: Duration = Duration::from_secs(60);

fn text(n: u64) -> String {
    let services: String = (0..40)
        .map(|i| format!("  - name: service-{i}\n"))
        .collect();
    format!("services:\n{services}change: {n}\n")
}

fn settled(seed: u64, domains: usize, each: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, domains, each);
    fleet.start_all();
    fleet
        .run_until(LONG, Fleet::views_agree)
        .expect("all are seen");
    fleet.run(Duration::from_secs(5));
    fleet.write(text(0));
    fleet
        .run_until(LONG, |f| f.all_hold(1))
        .expect("all hold it");
    fleet
}

fn check(fleet: &Fleet) {
    assert!(
        fleet.platform.broken.is_empty(),
        "{:?}",
        fleet.platform.broken
    );
    for node in &fleet.nodes {
        assert!(
            node.app.revisions.is_sorted_by(|a, b| a < b),
            "{:?}",
            node.app.revisions
        );
    }
}

#[test]
fn a_change_is_in_force_within_a_second_on_nine_nodes() {
    let mut fleet = settled(1, 3, 3);
    for n in 1..20 {
        let revision = fleet.write(text(n));
        let took = fleet
            .run_until(LONG, |f| f.all_hold(revision))
            .expect("all hold it");
        assert!(took < Duration::from_secs(1), "{took:?}");
        fleet.run(ms(300));
    }
    check(&fleet);
    assert!(fleet.nodes.iter().all(|n| n.app.document == text(19)));
}

#[test]
fn two_nodes_of_each_domain_watch() {
    let fleet = settled(2, 3, 3);
    for domain in 0..3 {
        let watchers = fleet
            .nodes
            .iter()
            .filter(|n| n.domain == domain && n.app.watches);
        assert_eq!(watchers.count(), 2);
    }
}

#[test]
fn deltas_cost_less_than_the_text() {
    let mut fleet = settled(3, 3, 3);
    fleet.run(Duration::from_secs(5));
    let quiet = fleet.tally.bytes;
    fleet.run(Duration::from_secs(5));
    let idle = fleet.tally.bytes - quiet;
    let before = fleet.tally.bytes;
    let revision = fleet.write(text(1));
    fleet.run(Duration::from_secs(5));
    assert!(fleet.all_hold(revision));
    let cost = (fleet.tally.bytes - before).saturating_sub(idle);
    assert!(
        cost < 9 * text(1).len(),
        "{cost} bytes for {} of text",
        text(1).len()
    );
}

/// The service can't be reached from any node but one that was not watching. Operators would see
/// their change accepted and in force nowhere.
#[test]
fn one_node_that_reaches_the_service_is_enough() {
    let mut fleet = settled(4, 3, 3);
    let only = (0..9)
        .find(|i| !fleet.nodes[*i].app.watches)
        .expect("one does not watch");
    fleet.service_for(|i| i == only);
    let revision = fleet.write(text(1));
    fleet
        .run_until(LONG, |f| f.all_hold(revision))
        .expect("all hold it");
    check(&fleet);
}

/// A joiner starts during an outage of the service, and the first peer that it meets was cut off
/// and holds an old text. If it believed that peer, it would serve a version that was withdrawn.
#[test]
fn a_joiner_that_meets_a_stale_peer_first_takes_the_highest() {
    let mut fleet = settled(5, 3, 3);
    fleet.kill(8, false);
    fleet.cut(|a, _| a.name == "host-0");
    fleet.service_for(|i| i != 0);
    let revision = fleet.write(text(1));
    fleet
        .run_until(LONG, |f| (1..8).all(|i| f.nodes[i].revision() == revision))
        .expect("hold");
    fleet.service_for(|_| false);
    fleet.heal();
    assert_eq!(fleet.nodes[0].revision(), 1);
    // The stale peer answers at once, the others are slower.
    fleet.restart(8);
    fleet
        .run_until(LONG, |f| !f.nodes[8].app.revisions.is_empty())
        .expect("it joins");
    assert_eq!(fleet.nodes[8].app.revisions, [revision]);
    check(&fleet);
}

/// A node is killed and comes back while the service is down. It must find the newest text at its
/// peers or refuse to serve; it must not serve an older one.
#[test]
fn a_restart_in_an_outage_finds_the_newest_text() {
    let mut fleet = settled(6, 3, 3);
    for n in 1..5 {
        fleet.write(text(n));
        fleet.run(ms(500));
    }
    fleet.service_for(|_| false);
    fleet.kill(3, true);
    fleet.run(Duration::from_secs(3));
    fleet.restart(3);
    fleet
        .run_until(LONG, |f| f.nodes[3].revision() == 5)
        .expect("it finds it");
    assert_eq!(fleet.nodes[3].app.revisions, [5]);
}

/// One half of the fleet can't see the other while texts change. After the cut heals, nodes must
/// go forward to the newest and never back to what the other half still has.
#[test]
fn halves_converge_on_the_newest_after_a_cut() {
    let mut fleet = settled(7, 4, 4);
    fleet.cut(|a, b| a.domain < 2 && b.domain >= 2);
    fleet.service_for(|i| i % 4 < 2);
    for n in 1..30 {
        fleet.write(text(n));
        fleet.run(ms(400));
    }
    assert!(fleet.nodes.iter().any(|n| n.revision() == 1));
    fleet.heal();
    fleet
        .run_until(LONG, |f| f.all_hold(30))
        .expect("all hold it");
    check(&fleet);
}

/// A large text travels in pieces and the peer that serves it dies halfway. The joiner must go on
/// with another peer, and not wait for the dead one.
#[test]
fn a_snapshot_survives_the_loss_of_its_server() {
    let mut fleet = settled(8, 3, 3);
    let large: String = (0..20_000)
        .map(|i| format!("- line {i}, all unlike\n"))
        .collect();
    let revision = fleet.write(large.clone());
    fleet
        .run_until(LONG, |f| f.all_hold(revision))
        .expect("all hold it");
    fleet.service_for(|_| false);
    fleet.kill(8, false);
    fleet.run(Duration::from_secs(3));
    fleet.restart(8);
    for victim in [0, 1, 2] {
        fleet.run(ms(40));
        fleet.kill(victim, true);
    }
    fleet
        .run_until(LONG, |f| f.nodes[8].revision() == revision)
        .expect("it gets it");
    assert_eq!(fleet.nodes[8].app.document, large);
}

#[test]
fn a_node_that_is_far_behind_catches_up() {
    let mut fleet = settled(9, 3, 3);
    fleet.cut(|a, _| a.name == "host-4");
    fleet.service_for(|i| i != 4);
    for n in 1..60 {
        fleet.write(text(n));
        fleet.run(ms(50));
    }
    fleet.heal();
    fleet
        .run_until(LONG, |f| f.all_hold(60))
        .expect("all hold it");
    check(&fleet);
}
