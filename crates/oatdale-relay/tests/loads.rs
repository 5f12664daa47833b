//! Load reports between nodes, and their sums.

use oatdale_relay::{Adder, Load, MOST_LOADS, Scheme, Shared};
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
fn a_node_knows_what_the_others_have_beside_its_own() {
    let mut adder = Adder::default();
    let mut shared = Shared::default();
    let own = shared.report([(1, 3.0), (2, 0.5)].into_iter());
    assert_eq!(own, [load(1, 30), load(2, 5)]);
    adder.take(ms(0), node(1), &own);
    adder.take(ms(10), node(2), &[load(1, 100), load(3, 7)]);
    let (nodes, sums, told) = adder.sum(ms(20));
    assert_eq!((nodes, told), (2, vec![node(1), node(2)]));
    assert_eq!(sums, [load(1, 130), load(2, 5), load(3, 7)]);
    shared.take(ms(30), nodes, &sums);
    let others = [1, 2, 3, 4].map(|endpoint| shared.others(ms(40), endpoint));
    assert_eq!(others, [10.0, 0.0, 0.7, 0.0]);
    assert_eq!(shared.last_report(ms(40)), Some(ms(30)));
}

// An endpoint has no work any more. Nodes that received its load must receive the zero, or prompts
// that belong there would be sent to other endpoints for a second.
#[test]
fn what_is_zero_now_is_told_once() {
    let mut shared = Shared::default();
    shared.report([(1, 3.0), (2, 1.0)].into_iter());
    let next = shared.report([(1, 0.0), (2, 1.0)].into_iter());
    assert_eq!(next, [load(2, 10), load(1, 0)]);
    assert_eq!(shared.report([(2, 1.0)].into_iter()), [load(2, 10)]);
}

// Both aggregators are down, or a node is cut off. Old reports say nothing about the current load.
#[test]
fn what_was_told_a_second_ago_counts_no_more() {
    let mut adder = Adder::default();
    adder.take(ms(0), node(1), &[load(1, 30)]);
    adder.take(ms(900), node(2), &[load(1, 5)]);
    let (nodes, sums, told) = adder.sum(ms(1_100));
    assert_eq!((nodes, sums, told), (1, vec![load(1, 5)], vec![node(2)]));
    let mut shared = Shared::default();
    shared.take(ms(0), 5, &[load(1, 50)]);
    assert_eq!(shared.others(ms(999), 1), 5.0);
    assert_eq!(shared.others(ms(1_000), 1), 0.0);
    assert_eq!(shared.last_report(ms(1_000)), None);
}

// Nodes disagree on the aggregators, since one has just joined. Its sums cover few nodes: with
// them, all endpoints would look idle.
#[test]
fn a_sum_over_few_nodes_does_not_take_the_place_of_one_over_many() {
    let mut shared = Shared::default();
    shared.take(ms(0), 60, &[load(1, 400)]);
    shared.take(ms(100), 3, &[load(1, 10)]);
    assert_eq!(shared.others(ms(200), 1), 40.0);
    shared.take(ms(250), 58, &[load(1, 300)]);
    assert_eq!(shared.others(ms(300), 1), 30.0);
    // The other aggregators are gone, and no better sum arrives.
    shared.take(ms(1_300), 3, &[load(1, 10)]);
    assert_eq!(shared.others(ms(1_400), 1), 1.0);
}

// A datagram longer than the network or the receiver accepts is lost, with all loads of a busy
// site: only idle sites would know theirs.
#[test]
fn the_most_loads_that_are_told_at_once_fit_into_a_datagram() {
    let all = vec![load(u32::MAX, u16::MAX); MOST_LOADS];
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
fn who_adds_up_sends_little_at_any_size() {
    for (nodes, endpoints) in [(7, 12), (66, 117), (87, 90), (300, 300), (360, 2_100)] {
        let scheme = Scheme::new(nodes, endpoints);
        let a_second = 1.0 / scheme.every.as_secs_f64();
        let in_group = endpoints as f64 / f64::from(scheme.groups);
        // A node that aggregates two groups, with 60 bytes overhead per datagram and nine bytes per
        // endpoint.
        let sent = 2.0 * nodes as f64 * a_second * (60.0 + 9.0 * in_group);
        assert!(
            sent < 0.5 * 10e6 / 8.0,
            "{nodes} nodes: {sent} bytes per second exceed half of a 10 Mbit/s link"
        );
        let datagrams = 2.0 * f64::from(scheme.groups) * a_second;
        assert!(
            datagrams <= 256.0,
            "{nodes} nodes: {datagrams} datagrams per second, at most 256 expected"
        );
    }
    assert_eq!(Scheme::new(66, 63).groups, 1);
}

#[test]
fn what_is_told_less_often_counts_for_longer() {
    let mut shared = Shared::default();
    let scheme = Scheme::new(360, 2_100);
    assert!(scheme.every > ms(1_000), "{scheme:?}");
    shared.set_scheme(scheme);
    shared.take(ms(0), 360, &[load(1, 50)]);
    assert_eq!(shared.others(ms(3_000), 1), 5.0);
}
