//! The parts of a customer's limit add up to no more than a stated bound.

#[path = "support/in_memory.rs"]
mod support;

use std::time::Duration;
use support::fleet::{Fleet, ms};

const TIMEOUT: Duration = Duration::from_secs(60);
const CUSTOMER: u32 = 42;
/// What the sum may reach while views differ, whatever happens.
const MAX_SHARE_SUM: f32 = 1.1;

fn settled_fleet(seed: u64, domains: usize, hosts_per_domain: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, domains, hosts_per_domain);
    fleet.start_all();
    fleet
        .run_until(TIMEOUT, Fleet::views_agree)
        .expect("all are seen");
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

/// Regions lose each other while callers move from one to the other. Were each half to split the
/// whole limit, a customer could use it twice.
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

/// A whole fleet starts at once and no node knows another yet. Each would take the whole limit.
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

/// Nodes are killed and replaced one after the other under full demand, as on any day.
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

/// A node is paused for longer than parts take to rise, and its callers go elsewhere meanwhile.
/// When it returns it still believes in the old demand; it must not take what others have now.
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

/// A node starts and is cut off again before it has computed anything from what it met. Hosts
/// that it knows by name only go on using their parts.
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

/// A host loses its power for good. Its part is of use to nobody until the platform's list drops
/// the host; then the others must have it.
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
