//! Load reports between nodes, and their sums.

use oatdale_relay::{AggregationScheme, Load, LoadAggregator, LoadSums, MAX_LOADS_PER_DATAGRAM};
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

#[test]
fn sums_minus_own_load_give_the_load_of_the_other_nodes() {
    let mut aggregator = LoadAggregator::default();
    let mut load_sums = LoadSums::default();
    let own = load_sums.own_report([(1, 3.0), (2, 0.5)].into_iter());
    assert_eq!(own, [load(1, 30), load(2, 5)]);
    aggregator.record_report(ms(0), node(1), &own);
    aggregator.record_report(ms(10), node(2), &[load(1, 100), load(3, 7)]);
    let (nodes, sums, reporters) = aggregator.sum(ms(20));
    assert_eq!((nodes, reporters), (2, vec![node(1), node(2)]));
    assert_eq!(sums, [load(1, 130), load(2, 5), load(3, 7)]);
    load_sums.record_sums(ms(30), nodes, &sums);
    let other_nodes_load =
        [1, 2, 3, 4].map(|endpoint| load_sums.other_nodes_load(ms(40), endpoint));
    assert_eq!(other_nodes_load, [10.0, 0.0, 0.7, 0.0]);
    assert_eq!(load_sums.last_sum_at(ms(40)), Some(ms(30)));
}

// An endpoint has no work any more. Nodes that received its load must receive the zero, or prompts
// that belong there would be sent to other endpoints for a second.
#[test]
fn load_that_drops_to_zero_is_reported_once() {
    let mut load_sums = LoadSums::default();
    load_sums.own_report([(1, 3.0), (2, 1.0)].into_iter());
    let next = load_sums.own_report([(1, 0.0), (2, 1.0)].into_iter());
    assert_eq!(next, [load(2, 10), load(1, 0)]);
    assert_eq!(load_sums.own_report([(2, 1.0)].into_iter()), [load(2, 10)]);
}

// Both aggregators are down, or a node is cut off. Old reports say nothing about the current load.
#[test]
fn reports_older_than_a_second_are_ignored() {
    let mut aggregator = LoadAggregator::default();
    aggregator.record_report(ms(0), node(1), &[load(1, 30)]);
    aggregator.record_report(ms(900), node(2), &[load(1, 5)]);
    let (nodes, sums, reporters) = aggregator.sum(ms(1_100));
    assert_eq!(
        (nodes, sums, reporters),
        (1, vec![load(1, 5)], vec![node(2)])
    );
    let mut load_sums = LoadSums::default();
    load_sums.record_sums(ms(0), 5, &[load(1, 50)]);
    assert_eq!(load_sums.other_nodes_load(ms(999), 1), 5.0);
    assert_eq!(load_sums.other_nodes_load(ms(1_000), 1), 0.0);
    assert_eq!(load_sums.last_sum_at(ms(1_000)), None);
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

// A site has 300 nodes and as many endpoints, or six times as many endpoints. If two nodes
// aggregated all of it, sums would fill their 10 Mbit/s links and delay responses to callers.
#[test]
fn aggregator_traffic_is_bounded_at_any_site_size() {
    for (nodes, endpoints) in [(7, 12), (66, 117), (87, 90), (300, 300), (360, 2_100)] {
        let scheme = AggregationScheme::new(nodes, endpoints);
        let reports_per_s = 1.0 / scheme.interval.as_secs_f64();
        let group_size = endpoints as f64 / f64::from(scheme.groups);
        // A node that aggregates two groups, with 60 bytes overhead per datagram and nine bytes per
        // endpoint.
        let sent = 2.0 * nodes as f64 * reports_per_s * (60.0 + 9.0 * group_size);
        assert!(
            sent < 0.5 * 10e6 / 8.0,
            "{nodes} nodes: {sent} bytes per second exceed half of a 10 Mbit/s link"
        );
        let datagrams = 2.0 * f64::from(scheme.groups) * reports_per_s;
        assert!(
            datagrams <= 256.0,
            "{nodes} nodes: {datagrams} datagrams per second, at most 256 expected"
        );
    }
    assert_eq!(AggregationScheme::new(66, 63).groups, 1);
}

#[test]
fn less_frequent_reports_stay_valid_longer() {
    let mut load_sums = LoadSums::default();
    let scheme = AggregationScheme::new(360, 2_100);
    assert!(scheme.interval > ms(1_000), "{scheme:?}");
    load_sums.set_scheme(scheme);
    load_sums.record_sums(ms(0), 360, &[load(1, 50)]);
    assert_eq!(load_sums.other_nodes_load(ms(3_000), 1), 5.0);
}
