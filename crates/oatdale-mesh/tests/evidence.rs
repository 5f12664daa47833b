//! Counters and stops reach every node and outlive the node that counted.

#[path = "support/in_memory.rs"]
mod support;

use oatdale_mesh::{Stop, VersionCounters};
use std::time::Duration;
use support::fleet::{Fleet, ms};

const LONG: Duration = Duration::from_secs(60);
const VERSION: u32 = 9;

fn settled(seed: u64, domains: usize, each: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, domains, each);
    fleet.start_all();
    fleet
        .run_until(LONG, Fleet::views_agree)
        .expect("all are seen");
    fleet.run(Duration::from_secs(5));
    fleet
}

fn count(fleet: &mut Fleet, i: usize, requests: u64, errors: u64) {
    let counts = vec![requests, errors];
    fleet.nodes[i].app.local.evidence = vec![VersionCounters {
        version: VERSION,
        counts,
    }];
    fleet.tell_local(i);
}

fn heard(fleet: &Fleet, i: usize) -> Vec<u64> {
    fleet.nodes[i]
        .app
        .evidence
        .get(&VERSION)
        .cloned()
        .unwrap_or_default()
}

#[test]
fn every_node_has_the_sum_of_all_others() {
    for (domains, each) in [(3, 3), (4, 8)] {
        let mut fleet = settled(1, domains, each);
        let nodes = (domains * each) as u64;
        for i in 0..domains * each {
            count(&mut fleet, i, 100, 3);
        }
        fleet.run(Duration::from_secs(10));
        for i in 0..domains * each {
            assert_eq!(
                heard(&fleet, i),
                [100 * (nodes - 1), 3 * (nodes - 1)],
                "node {i}"
            );
        }
    }
}

/// A version goes bad, and the node that saw most of its errors dies and returns with counters at
/// zero. Were its errors forgotten, the version would look healthy again.
#[test]
fn what_a_dead_node_counted_still_counts() {
    let mut fleet = settled(2, 3, 3);
    count(&mut fleet, 0, 50, 40);
    fleet.run(Duration::from_secs(5));
    fleet.kill(0, true);
    fleet.run(Duration::from_secs(5));
    fleet.restart(0);
    fleet.run(Duration::from_secs(5));
    count(&mut fleet, 0, 10, 1);
    fleet.run(Duration::from_secs(5));
    assert!((1..9).all(|i| heard(&fleet, i) == [60, 41]));
    // The new process hears of what its predecessor counted from the others.
    assert_eq!(heard(&fleet, 0), [50, 40]);
    assert!(
        fleet.platform.broken.is_empty(),
        "{:?}",
        fleet.platform.broken
    );
}

/// A node stops a bad version while half of the fleet is cut off. When they meet again, none of
/// that half may go on giving it new sessions.
#[test]
fn a_stop_reaches_nodes_that_were_cut_off_and_late_joiners() {
    let mut fleet = settled(3, 3, 3);
    fleet.kill(8, false);
    fleet.cut(|a, b| a.domain == 0 && b.domain != 0);
    let stop = Stop {
        version: "planner/2".into(),
        revision: 1,
        reason: "errors".into(),
    };
    fleet.nodes[1].app.local.stops = vec![stop];
    fleet.tell_local(1);
    fleet.run(ms(200));
    let knows = |f: &Fleet, i: usize| i == 1 || f.nodes[i].app.stops.contains("planner/2");
    assert!([1, 2, 4, 5, 7].into_iter().all(|i| knows(&fleet, i)));
    assert!([0, 3, 6].into_iter().all(|i| !knows(&fleet, i)));
    fleet.heal();
    fleet.restart(8);
    fleet
        .run_until(LONG, |f| (0..9).all(|i| knows(f, i)))
        .expect("all know");
}
