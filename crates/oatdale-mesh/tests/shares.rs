//! The nodes' shares of a customer's limit add up to no more than a stated bound.

#[path = "support/in_memory.rs"]
mod support;

use std::time::Duration;
use support::fleet::{Fleet, ms};

/// Simulated time within which the fleet must converge.
const TIMEOUT: Duration = Duration::from_secs(60);
const CUSTOMER: u32 = 42;
/// Highest sum of shares allowed while the nodes' views differ, under any fault.
const MAX_SHARE_SUM: f32 = 1.1;

fn settled_fleet(seed: u64, domains: usize, hosts_per_domain: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, domains, hosts_per_domain);
    fleet.start_all();
    fleet
        .run_until(TIMEOUT, Fleet::views_agree)
        .expect("all nodes see each other");
    for i in 0..domains * hosts_per_domain {
        fleet.set_demand(i, vec![(CUSTOMER, 0.0)]);
    }
    fleet.run(Duration::from_secs(15));
    fleet
}

#[test]
fn an_idle_customer_has_equal_shares_on_all_nodes() {
    let fleet = settled_fleet(1, 3, 3);
    for node in &fleet.nodes {
        let share = node.app.shares[&CUSTOMER];
        assert!((share - 1.0 / 9.0).abs() < 0.01, "{share}");
    }
}

#[test]
fn shares_follow_demand_within_the_bound() {
    for (domains, hosts_per_domain) in [(3, 3), (2, 4), (4, 8)] {
        let mut fleet = settled_fleet(2, domains, hosts_per_domain);
        let count = domains * hosts_per_domain;
        for busy_node in [0, 3, count - 1] {
            for i in 0..count {
                let demand = if i == busy_node { 2.0 } else { 0.01 };
                fleet.set_demand(i, vec![(CUSTOMER, demand)]);
            }
            let peak_sum = fleet.peak_share_sum(Duration::from_secs(15), CUSTOMER);
            assert!(peak_sum <= MAX_SHARE_SUM, "{peak_sum} at {count} nodes");
            let share = fleet.nodes[busy_node].app.shares[&CUSTOMER];
            assert!(share > 0.65, "{share} at {count} nodes");
        }
    }
}

/// Failure domains are partitioned while callers have demand on both sides. If each side divided up
/// the full limit, a customer could use it twice.
#[test]
fn a_partition_does_not_double_the_limit() {
    let mut fleet = settled_fleet(3, 3, 3);
    fleet.partition(|a, b| a.domain == 0 && b.domain != 0);
    for i in 0..9 {
        fleet.set_demand(i, vec![(CUSTOMER, 1.0)]);
    }
    let peak_sum = fleet.peak_share_sum(Duration::from_secs(120), CUSTOMER);
    assert!(peak_sum <= MAX_SHARE_SUM, "{peak_sum}");
    fleet.heal();
    let peak_sum = fleet.peak_share_sum(Duration::from_secs(20), CUSTOMER);
    assert!(peak_sum <= MAX_SHARE_SUM, "{peak_sum}");
}

/// A fleet starts at once, and no node knows another yet. None of them may take the full limit.
#[test]
fn a_cold_start_does_not_multiply_the_limit() {
    let mut fleet = Fleet::new(4, 3, 3);
    fleet.start_all();
    for i in 0..9 {
        fleet.set_demand(i, vec![(CUSTOMER, 1.0)]);
    }
    let peak_sum = fleet.peak_share_sum(Duration::from_secs(20), CUSTOMER);
    assert!(peak_sum <= MAX_SHARE_SUM, "{peak_sum}");
}

/// Nodes are killed and restarted one after the other under full demand, as in normal operation.
#[test]
fn restarts_keep_the_share_sum_within_the_bound() {
    let mut fleet = settled_fleet(5, 3, 3);
    for i in 0..9 {
        fleet.set_demand(i, vec![(CUSTOMER, 0.3)]);
    }
    let mut peak_sum = fleet.peak_share_sum(Duration::from_secs(10), CUSTOMER);
    for i in 0..9 {
        fleet.kill(i, i % 2 == 0);
        peak_sum = peak_sum.max(fleet.peak_share_sum(ms(700), CUSTOMER));
        fleet.restart(i);
        fleet.set_demand(i, vec![(CUSTOMER, 0.3)]);
        peak_sum = peak_sum.max(fleet.peak_share_sum(Duration::from_secs(2), CUSTOMER));
    }
    assert!(peak_sum <= MAX_SHARE_SUM, "{peak_sum}");
    fleet.run(Duration::from_secs(15));
    let sum = fleet.share_sum(CUSTOMER);
    assert!(sum > 0.9, "{sum}");
}

/// A node is paused for longer than shares take to rise, and its callers move to other nodes. When
/// it resumes, its view of the demand is stale; it must not claim shares that others use by now.
#[test]
fn a_resumed_node_keeps_its_previous_share() {
    let mut fleet = settled_fleet(7, 2, 4);
    for i in 0..8 {
        fleet.set_demand(i, vec![(CUSTOMER, 0.01)]);
    }
    fleet.run(Duration::from_secs(10));
    fleet.pause(1);
    for i in (0..8).filter(|i| *i != 1) {
        fleet.set_demand(i, vec![(CUSTOMER, 0.5)]);
    }
    fleet.set_demand(1, vec![(CUSTOMER, 3.0)]);
    fleet.run(Duration::from_secs(12));
    fleet.resume(1);
    let peak_sum = fleet.peak_share_sum(Duration::from_secs(10), CUSTOMER);
    assert!(peak_sum <= MAX_SHARE_SUM, "{peak_sum}");
}

/// A node joins and is partitioned off before it has computed any share from its peers' reports.
/// Hosts of which it knows only the name still use their shares, so it must not claim them.
#[test]
fn a_joiner_partitioned_at_once_does_not_take_shares_in_use() {
    for after in [60, 120, 300, 700, 1500] {
        let mut fleet = settled_fleet(8, 2, 4);
        fleet.kill(5, false);
        fleet.run(Duration::from_secs(3));
        fleet.restart(5);
        for i in 0..8 {
            fleet.set_demand(i, vec![(CUSTOMER, 0.4)]);
        }
        fleet.run(ms(after));
        fleet.partition(|a, _| a.name == "host-5");
        let peak_sum = fleet.peak_share_sum(Duration::from_secs(40), CUSTOMER);
        assert!(peak_sum <= MAX_SHARE_SUM, "{peak_sum} after {after} ms");
    }
}

/// A host loses power for good. Its share stays reserved until the platform's list no longer
/// contains the host; then the other nodes must get it.
#[test]
fn the_share_of_a_lost_host_is_redistributed() {
    let mut fleet = settled_fleet(6, 3, 3);
    for i in 0..9 {
        fleet.set_demand(i, vec![(CUSTOMER, 0.5)]);
    }
    fleet.run(Duration::from_secs(10));
    fleet.publish_host_list();
    fleet.kill(8, true);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.share_sum(CUSTOMER) < 0.95);
    fleet.publish_host_list();
    fleet.run(Duration::from_secs(20));
    assert!(fleet.share_sum(CUSTOMER) > 0.95);
}
