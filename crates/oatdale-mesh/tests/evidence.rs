//! Version counters and stops reach every node and outlive the node that reported them.

#[path = "support/in_memory.rs"]
mod support;

use oatdale_mesh::{Stop, VersionCounters};
use std::time::Duration;
use support::fleet::{Fleet, ms};

/// Simulated time within which the fleet must converge.
const TIMEOUT: Duration = Duration::from_secs(60);
const VERSION_HASH: u32 = 9;

fn settled_fleet(seed: u64, domains: usize, hosts_per_domain: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, domains, hosts_per_domain);
    fleet.start_all();
    fleet
        .run_until(TIMEOUT, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.run(Duration::from_secs(5));
    fleet
}

fn report_counts(fleet: &mut Fleet, i: usize, requests: u64, errors: u64) {
    let counts = vec![requests, errors];
    fleet.nodes[i].app.local.evidence = vec![VersionCounters {
        version: VERSION_HASH,
        counts,
    }];
    fleet.send_local_state(i);
}

/// Sums of the counters of all other nodes, as node `i` received them.
fn received_counts(fleet: &Fleet, i: usize) -> Vec<u64> {
    fleet.nodes[i]
        .app
        .evidence
        .get(&VERSION_HASH)
        .cloned()
        .unwrap_or_default()
}

#[test]
fn every_node_receives_the_sum_of_all_others() {
    for (domains, hosts_per_domain) in [(3, 3), (4, 8)] {
        let mut fleet = settled_fleet(1, domains, hosts_per_domain);
        let nodes = (domains * hosts_per_domain) as u64;
        for i in 0..domains * hosts_per_domain {
            report_counts(&mut fleet, i, 100, 3);
        }
        fleet.run(Duration::from_secs(10));
        for i in 0..domains * hosts_per_domain {
            assert_eq!(
                received_counts(&fleet, i),
                [100 * (nodes - 1), 3 * (nodes - 1)],
                "node {i}"
            );
        }
    }
}

/// The node that counted most errors of a faulty version dies and restarts with its counters at
/// zero. If the counts of the dead process were dropped, the version would look healthy again.
#[test]
fn counters_of_a_dead_node_stay_in_the_sums() {
    let mut fleet = settled_fleet(2, 3, 3);
    report_counts(&mut fleet, 0, 50, 40);
    fleet.run(Duration::from_secs(5));
    fleet.kill(0, true);
    fleet.run(Duration::from_secs(5));
    fleet.restart(0);
    fleet.run(Duration::from_secs(5));
    report_counts(&mut fleet, 0, 10, 1);
    fleet.run(Duration::from_secs(5));
    assert!((1..9).all(|i| received_counts(&fleet, i) == [60, 41]));
    // The new process gets the counts of its previous incarnation from its peers.
    assert_eq!(received_counts(&fleet, 0), [50, 40]);
    assert!(
        fleet.platform.violations.is_empty(),
        "{:?}",
        fleet.platform.violations
    );
}

/// A node stops a faulty version while a part of the fleet is partitioned off and one node is down.
/// After the partition heals, none of them may give that version new sessions.
#[test]
fn a_stop_reaches_partitioned_nodes_and_late_joiners() {
    let mut fleet = settled_fleet(3, 3, 3);
    fleet.kill(8, false);
    fleet.partition(|a, b| a.domain == 0 && b.domain != 0);
    let stop = Stop {
        version: "planner/2".into(),
        revision: 1,
        reason: "errors".into(),
    };
    fleet.nodes[1].app.local.stops = vec![stop];
    fleet.send_local_state(1);
    fleet.run(ms(200));
    let has_stop = |f: &Fleet, i: usize| i == 1 || f.nodes[i].app.stops.contains("planner/2");
    assert!([1, 2, 4, 5, 7].into_iter().all(|i| has_stop(&fleet, i)));
    assert!([0, 3, 6].into_iter().all(|i| !has_stop(&fleet, i)));
    fleet.heal();
    fleet.restart(8);
    fleet
        .run_until(TIMEOUT, |f| (0..9).all(|i| has_stop(f, i)))
        .expect("all nodes have the stop");
}
