//! The configuration comes into force everywhere and never goes back.

#[path = "support/in_memory.rs"]
mod support;

use std::time::Duration;
use support::fleet::{Fleet, ms};

const TIMEOUT: Duration = Duration::from_secs(60);

fn document_text(n: u64) -> String {
    let services: String = (0..40)
        .map(|i| format!("  - name: service-{i}\n"))
        .collect();
    format!("services:\n{services}change: {n}\n")
}

fn settled_fleet(seed: u64, domains: usize, hosts_per_domain: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, domains, hosts_per_domain);
    fleet.start_all();
    fleet
        .run_until(TIMEOUT, Fleet::views_agree)
        .expect("all are seen");
    fleet.run(Duration::from_secs(5));
    fleet.write_config(document_text(0));
    fleet
        .run_until(TIMEOUT, |f| f.all_at_revision(1))
        .expect("all hold it");
    fleet
}

fn assert_revisions_rise(fleet: &Fleet) {
    assert!(
        fleet.platform.violations.is_empty(),
        "{:?}",
        fleet.platform.violations
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
    let mut fleet = settled_fleet(1, 3, 3);
    for n in 1..20 {
        let revision = fleet.write_config(document_text(n));
        let elapsed_time = fleet
            .run_until(TIMEOUT, |f| f.all_at_revision(revision))
            .expect("all hold it");
        assert!(elapsed_time < Duration::from_secs(1), "{elapsed_time:?}");
        fleet.run(ms(300));
    }
    assert_revisions_rise(&fleet);
    assert!(
        fleet
            .nodes
            .iter()
            .all(|n| n.app.document == document_text(19))
    );
}

#[test]
fn two_nodes_of_each_domain_watch_the_config_key() {
    let fleet = settled_fleet(2, 3, 3);
    for domain in 0..3 {
        let watchers = fleet
            .nodes
            .iter()
            .filter(|n| n.domain == domain && n.app.watches_key);
        assert_eq!(watchers.count(), 2);
    }
}

#[test]
fn deltas_cost_fewer_bytes_than_full_documents() {
    let mut fleet = settled_fleet(3, 3, 3);
    fleet.run(Duration::from_secs(5));
    let bytes_before_idle = fleet.stats.bytes;
    fleet.run(Duration::from_secs(5));
    let idle_bytes = fleet.stats.bytes - bytes_before_idle;
    let bytes_before_change = fleet.stats.bytes;
    let revision = fleet.write_config(document_text(1));
    fleet.run(Duration::from_secs(5));
    assert!(fleet.all_at_revision(revision));
    let change_bytes = (fleet.stats.bytes - bytes_before_change).saturating_sub(idle_bytes);
    assert!(
        change_bytes < 9 * document_text(1).len(),
        "{change_bytes} bytes for {} of text",
        document_text(1).len()
    );
}

/// The service can't be reached from any node but one that was not watching. Operators would see
/// their change accepted and in force nowhere.
#[test]
fn one_node_that_reaches_the_service_is_enough() {
    let mut fleet = settled_fleet(4, 3, 3);
    let reachable_node = (0..9)
        .find(|i| !fleet.nodes[*i].app.watches_key)
        .expect("one does not watch");
    fleet.set_service_reachable(|i| i == reachable_node);
    let revision = fleet.write_config(document_text(1));
    fleet
        .run_until(TIMEOUT, |f| f.all_at_revision(revision))
        .expect("all hold it");
    assert_revisions_rise(&fleet);
}

/// A joiner starts during an outage of the service, and the first peer that it meets was cut off
/// and holds an old text. If it believed that peer, it would serve a version that was withdrawn.
#[test]
fn a_joiner_that_meets_a_stale_peer_first_adopts_the_highest_revision() {
    let mut fleet = settled_fleet(5, 3, 3);
    fleet.kill(8, false);
    fleet.partition(|a, _| a.name == "host-0");
    fleet.set_service_reachable(|i| i != 0);
    let newest = fleet.write_config(document_text(1));
    fleet
        .run_until(TIMEOUT, |f| (1..8).all(|i| f.nodes[i].revision() == newest))
        .expect("hold");
    fleet.set_service_reachable(|_| false);
    fleet.heal();
    assert_eq!(fleet.nodes[0].revision(), 1);
    // The stale peer answers at once, the others are slower.
    fleet.restart(8);
    fleet
        .run_until(TIMEOUT, |f| !f.nodes[8].app.revisions.is_empty())
        .expect("it joins");
    assert_eq!(fleet.nodes[8].app.revisions, [newest]);
    assert_revisions_rise(&fleet);
}

/// A node is killed and comes back while the service is down. It must find the newest text at its
/// peers or refuse to serve; it must not serve an older one.
#[test]
fn a_restart_during_an_outage_adopts_the_newest_revision() {
    let mut fleet = settled_fleet(6, 3, 3);
    for n in 1..5 {
        fleet.write_config(document_text(n));
        fleet.run(ms(500));
    }
    fleet.set_service_reachable(|_| false);
    fleet.kill(3, true);
    fleet.run(Duration::from_secs(3));
    fleet.restart(3);
    fleet
        .run_until(TIMEOUT, |f| f.nodes[3].revision() == 5)
        .expect("it finds it");
    assert_eq!(fleet.nodes[3].app.revisions, [5]);
}

/// One half of the fleet can't see the other while texts change. After the cut heals, nodes must
/// go forward to the newest and never back to what the other half still has.
#[test]
fn halves_converge_on_the_newest_revision_after_a_partition() {
    let mut fleet = settled_fleet(7, 4, 4);
    fleet.partition(|a, b| a.domain < 2 && b.domain >= 2);
    fleet.set_service_reachable(|i| i % 4 < 2);
    for n in 1..30 {
        fleet.write_config(document_text(n));
        fleet.run(ms(400));
    }
    assert!(fleet.nodes.iter().any(|n| n.revision() == 1));
    fleet.heal();
    fleet
        .run_until(TIMEOUT, |f| f.all_at_revision(30))
        .expect("all hold it");
    assert_revisions_rise(&fleet);
}

/// A large text travels in pieces and the peer that serves it dies halfway. The joiner must go on
/// with another peer, and not wait for the dead one.
#[test]
fn a_snapshot_transfer_survives_the_loss_of_its_source() {
    let mut fleet = settled_fleet(8, 3, 3);
    let large_document: String = (0..20_000)
        .map(|i| format!("- line {i}, all unlike\n"))
        .collect();
    let revision = fleet.write_config(large_document.clone());
    fleet
        .run_until(TIMEOUT, |f| f.all_at_revision(revision))
        .expect("all hold it");
    fleet.set_service_reachable(|_| false);
    fleet.kill(8, false);
    fleet.run(Duration::from_secs(3));
    fleet.restart(8);
    for victim in [0, 1, 2] {
        fleet.run(ms(40));
        fleet.kill(victim, true);
    }
    fleet
        .run_until(TIMEOUT, |f| f.nodes[8].revision() == revision)
        .expect("it gets it");
    assert_eq!(fleet.nodes[8].app.document, large_document);
}

#[test]
fn a_node_that_is_far_behind_catches_up() {
    let mut fleet = settled_fleet(9, 3, 3);
    fleet.partition(|a, _| a.name == "host-4");
    fleet.set_service_reachable(|i| i != 4);
    for n in 1..60 {
        fleet.write_config(document_text(n));
        fleet.run(ms(50));
    }
    fleet.heal();
    fleet
        .run_until(TIMEOUT, |f| f.all_at_revision(60))
        .expect("all hold it");
    assert_revisions_rise(&fleet);
}
