//! Load reports between nodes, and their sums.

use oatdale_relay::{
    AggregationScheme, GroupReport, GroupSums, Load, LoadAggregator, LoadSums,
    MAX_LOADS_PER_DATAGRAM,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn node(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7))
}

fn load(endpoint: u32, tenths: u16) -> Load {
    Load { endpoint, tenths }
}

/// Returns the report of a node on a site where all endpoints are in one group.
fn own_report(load_sums: &mut LoadSums, loads: &[(u32, f64)]) -> Vec<Load> {
    match load_sums.own_reports(loads.iter().copied()).as_slice() {
        [GroupReport { group: 0, loads }] => loads.clone(),
        reports => panic!("one report expected: {reports:?}"),
    }
}

/// Returns the sums of the only group.
fn sum(aggregator: &mut LoadAggregator, now: Duration) -> GroupSums {
    match aggregator.sum(now).as_slice() {
        [sums] => sums.clone(),
        all => panic!("sums of one group expected: {all:?}"),
    }
}

#[test]
fn sums_minus_own_load_give_the_load_of_the_other_nodes() {
    let mut aggregator = LoadAggregator::default();
    let mut load_sums = LoadSums::default();
    let own = own_report(&mut load_sums, &[(1, 3.0), (2, 0.5)]);
    assert_eq!(own, [load(1, 30), load(2, 5)]);
    aggregator.record_report(ms(0), node(1), &own);
    aggregator.record_report(ms(10), node(2), &[load(1, 100), load(3, 7)]);
    let sums = sum(&mut aggregator, ms(20));
    assert_eq!((sums.nodes, sums.reporters), (2, vec![node(1), node(2)]));
    assert_eq!(sums.loads, [load(1, 130), load(2, 5), load(3, 7)]);
    load_sums.record_sums(ms(30), sums.nodes, &sums.loads);
    let other_nodes_load =
        [1, 2, 3, 4].map(|endpoint| load_sums.other_nodes_load(ms(40), endpoint));
    assert_eq!(other_nodes_load, [10.0, 0.0, 0.7, 0.0]);
    assert_eq!(load_sums.last_sum_at(ms(40), 4), Some(ms(30)));
}

// An endpoint has no work any more. Nodes that received its load must receive the zero, or prompts
// that belong there would be sent to other endpoints for a second.
#[test]
fn load_that_drops_to_zero_is_reported_once() {
    let mut load_sums = LoadSums::default();
    own_report(&mut load_sums, &[(1, 3.0), (2, 1.0)]);
    let next = own_report(&mut load_sums, &[(1, 0.0), (2, 1.0)]);
    assert_eq!(next, [load(2, 10), load(1, 0)]);
    assert_eq!(own_report(&mut load_sums, &[(2, 1.0)]), [load(2, 10)]);
}

// Both aggregators are down, or a node is cut off. Old reports say nothing about the current load.
#[test]
fn reports_older_than_a_second_are_ignored() {
    let mut aggregator = LoadAggregator::default();
    aggregator.record_report(ms(0), node(1), &[load(1, 30)]);
    aggregator.record_report(ms(900), node(2), &[load(1, 5)]);
    let expected = GroupSums {
        nodes: 1,
        loads: vec![load(1, 5)],
        reporters: vec![node(2)],
    };
    assert_eq!(sum(&mut aggregator, ms(1_100)), expected);
    let mut load_sums = LoadSums::default();
    load_sums.record_sums(ms(0), 5, &[load(1, 50)]);
    assert_eq!(load_sums.other_nodes_load(ms(999), 1), 5.0);
    assert_eq!(load_sums.other_nodes_load(ms(1_000), 1), 0.0);
    assert_eq!(load_sums.last_sum_at(ms(1_000), 1), None);
}

// Nodes disagree on the aggregators, since one has just joined. Its sums cover few nodes: with
// them, all endpoints would look idle.
#[test]
fn sum_over_few_nodes_does_not_replace_one_over_many() {
    let mut load_sums = LoadSums::default();
    load_sums.record_sums(ms(0), 60, &[load(1, 400)]);
    load_sums.record_sums(ms(100), 3, &[load(1, 10)]);
    assert_eq!(load_sums.other_nodes_load(ms(200), 1), 40.0);
    load_sums.record_sums(ms(250), 58, &[load(1, 300)]);
    assert_eq!(load_sums.other_nodes_load(ms(300), 1), 30.0);
    // The other aggregators are gone, and no better sum arrives.
    load_sums.record_sums(ms(1_300), 3, &[load(1, 10)]);
    assert_eq!(load_sums.other_nodes_load(ms(1_400), 1), 1.0);
}

// A datagram longer than the network or the receiver accepts is lost with all its loads, so a busy
// site would get no load sums.
#[test]
fn largest_load_report_fits_into_a_datagram() {
    let all = vec![load(u32::MAX, u16::MAX); MAX_LOADS_PER_DATAGRAM];
    let mut datagram = Vec::new();
    ciborium::into_writer(&all, &mut datagram).expect("loads are encodable");
    assert!(
        datagram.len() < 1_150,
        "datagram of {} bytes, less than 1150 expected",
        datagram.len()
    );
}

/// Sizes of sites, in nodes and endpoints.
const SITE_SIZES: [(usize, usize); 7] = [
    (7, 12),
    (66, 117),
    (87, 90),
    (300, 300),
    (360, 2_100),
    (985, 9_998),
    (2_000, 20_000),
];

// If two nodes aggregated all of a large site, sums would fill their 10 Mbit/s links and delay
// responses to callers. If each node reported to all groups of a large site, it would send thousands
// of datagrams a second, or sums would be too old to decide anything.
#[test]
fn aggregator_traffic_is_bounded_at_any_site_size() {
    let reports_per_s = 1.0 / AggregationScheme::INTERVAL.as_secs_f64();
    for (nodes, endpoints) in SITE_SIZES {
        let scheme = AggregationScheme::new(nodes, endpoints);
        let group_size = endpoints as f64 / f64::from(scheme.groups);
        let mut load_sums = LoadSums::default();
        load_sums.set_scheme(scheme);
        let all = (0..endpoints as u32).map(|endpoint| (endpoint, 1.0));
        let reported_groups = load_sums.own_reports(all).len() as f64;
        let datagrams = 2.0 * reported_groups * reports_per_s;
        assert!(
            datagrams <= 128.0,
            "{nodes} nodes: {datagrams} datagrams per second, at most 128 expected"
        );
        // A node that aggregates two groups, with 60 bytes overhead per datagram and nine bytes per
        // endpoint.
        let reporters = nodes as f64 * reported_groups / f64::from(scheme.groups);
        let sent = 2.0 * reporters * reports_per_s * (60.0 + 9.0 * group_size);
        assert!(
            sent < 0.5 * 10e6 / 8.0,
            "{nodes} nodes: {sent} bytes per second exceed half of a 10 Mbit/s link"
        );
    }
    assert_eq!(AggregationScheme::new(66, 63).groups, 1);
}

// What a node with few requests sends must not grow with the site: most groups of a large site have
// no request of this node.
#[test]
fn reports_follow_the_requests_of_a_node_not_the_size_of_the_site() {
    for (nodes, endpoints) in SITE_SIZES {
        let scheme = AggregationScheme::new(nodes, endpoints);
        let mut load_sums = LoadSums::default();
        load_sums.set_scheme(scheme);
        let busy = (0..3_u32).map(|n| (n.wrapping_mul(2_654_435_761) % endpoints as u32, 1.0));
        let reports = load_sums.own_reports(busy);
        match scheme.reports_to_all_groups() {
            true => assert_eq!(reports.len(), scheme.groups as usize),
            false => assert!(
                reports.len() <= 3,
                "{nodes} nodes: {} reports",
                reports.len()
            ),
        }
    }
}

// A node has requests at more groups than fit into one report. Each group must get its turn before
// the last report to it expires.
#[test]
fn groups_beyond_one_report_take_turns() {
    let mut load_sums = LoadSums::default();
    load_sums.set_scheme(AggregationScheme::new(985, 9_998));
    let mut reported: BTreeMap<u32, usize> = BTreeMap::new();
    for _ in 0..4 {
        let reports = load_sums.own_reports((0..40).map(|endpoint| (endpoint, 1.0)));
        assert_eq!(reports.len(), 16);
        for report in reports {
            *reported.entry(report.group).or_default() += 1;
        }
    }
    assert_eq!(reported.len(), 40);
    assert!(reported.values().all(|count| *count <= 2), "{reported:?}");
}

// Groups of a large site have different reporters. A sum over few nodes of one group must not be
// rejected because the last sum of another group covered many.
#[test]
fn sums_of_groups_are_independent_on_a_large_site() {
    let scheme = AggregationScheme::new(985, 9_998);
    let mut aggregator = LoadAggregator::default();
    aggregator.set_scheme(scheme);
    let mut load_sums = LoadSums::default();
    load_sums.set_scheme(scheme);
    for n in 1..40 {
        aggregator.record_report(ms(0), node(n), &[load(1, 10)]);
    }
    aggregator.record_report(ms(0), node(40), &[load(2, 30)]);
    aggregator.record_report(ms(0), node(41), &[]);
    let all = aggregator.sum(ms(10));
    let reporters: Vec<_> = all.iter().map(|sums| sums.reporters.len()).collect();
    assert_eq!(reporters, [39, 1]);
    for sums in &all {
        load_sums.record_sums(ms(20), sums.nodes, &sums.loads);
    }
    let other_nodes_load = [1, 2, 3].map(|e| load_sums.other_nodes_load(ms(30), e));
    assert_eq!(other_nodes_load, [39.0, 3.0, 0.0]);
    // Nothing is known of a group that this node did not report to.
    let last_sums = [1, 2, 3].map(|e| load_sums.last_sum_at(ms(30), e));
    assert_eq!(last_sums, [Some(ms(20)), Some(ms(20)), None]);
}
