//! A new configuration comes into force on every node, and no node returns to an older revision.

#[path = "support/in_memory.rs"]
mod support;

use std::time::Duration;
use support::fleet::{Fleet, ms};

/// Simulated time within which the fleet must converge.
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
        .expect("all nodes see each other");
    fleet.run(Duration::from_secs(5));
    fleet.write_config(document_text(0));
    fleet
        .run_until(TIMEOUT, |f| f.all_at_revision(1))
        .expect("all nodes hold the revision");
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
            .expect("all nodes hold the revision");
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
        "{change_bytes} bytes for a document of {} bytes",
        document_text(1).len()
    );
}

/// The key-value service is reachable only from a node that does not watch it. If that node did not
/// start to watch, operators would see their change accepted and in force nowhere.
#[test]
fn one_node_that_reaches_the_service_is_enough() {
    let mut fleet = settled_fleet(4, 3, 3);
    let reachable_node = (0..9)
        .find(|i| !fleet.nodes[*i].app.watches_key)
        .expect("a node does not watch the key");
    fleet.set_service_reachable(|i| i == reachable_node);
    let revision = fleet.write_config(document_text(1));
    fleet
        .run_until(TIMEOUT, |f| f.all_at_revision(revision))
        .expect("all nodes hold the revision");
    assert_revisions_rise(&fleet);
}

/// A joiner starts during an outage of the key-value service, and the first peer that it reaches
/// was partitioned off and holds an old revision. If it adopted that one, it would serve a
/// withdrawn version.
#[test]
fn a_joiner_that_meets_a_stale_peer_first_adopts_the_highest_revision() {
    let mut fleet = settled_fleet(5, 3, 3);
    fleet.kill(8, false);
    fleet.partition(|a, _| a.name == "host-0");
    fleet.set_service_reachable(|i| i != 0);
    let newest = fleet.write_config(document_text(1));
    fleet
        .run_until(TIMEOUT, |f| (1..8).all(|i| f.nodes[i].revision() == newest))
        .expect("the watching side holds the revision");
    fleet.set_service_reachable(|_| false);
    fleet.heal();
    assert_eq!(fleet.nodes[0].revision(), 1);
    // The stale peer may answer before the others do.
    fleet.restart(8);
    fleet
        .run_until(TIMEOUT, |f| !f.nodes[8].app.revisions.is_empty())
        .expect("the node joins");
    assert_eq!(fleet.nodes[8].app.revisions, [newest]);
    assert_revisions_rise(&fleet);
}

/// A node is killed and restarts while the key-value service is down. It must get the newest
/// revision from its peers or refuse to serve; it must not serve an older one.
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
        .expect("the node gets the newest revision");
    assert_eq!(fleet.nodes[3].app.revisions, [5]);
}

/// The fleet is split in halves while the configuration changes. After the partition heals, nodes
/// must adopt the newest revision and never return to the one that the other half still holds.
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
        .expect("all nodes hold the revision");
    assert_revisions_rise(&fleet);
}

/// A large document is transferred in chunks, and the peer that serves it dies halfway. The joiner
/// must continue with another peer and not wait for the dead one.
#[test]
fn a_snapshot_transfer_survives_the_loss_of_its_source() {
    let mut fleet = settled_fleet(8, 3, 3);
    let large_document: String = (0..20_000)
        .map(|i| format!("- line {i}, all unlike\n"))
        .collect();
    let revision = fleet.write_config(large_document.clone());
    fleet
        .run_until(TIMEOUT, |f| f.all_at_revision(revision))
        .expect("all nodes hold the revision");
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
        .expect("the joiner gets the document");
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
        .expect("all nodes hold the revision");
    assert_revisions_rise(&fleet);
}
