//! Which nodes read for the others, and where a node reads while some of them fail.

use oatdale_policy::relay::{
    READERS, REGISTERED, ReaderCandidate, Sources, first_wait, longest_passed_on, readers,
    registers_after,
};
use std::time::Duration;

fn node(link_mbps: u32, hash: u64) -> ReaderCandidate {
    ReaderCandidate { link_mbps, hash }
}

// Hundreds of nodes that each read the same records pay for hundreds of calls where a few would do.
#[test]
fn readers_do_not_grow_with_the_nodes() {
    for nodes in [4, 20, 60, 200] {
        let all: Vec<_> = (0..nodes as u64)
            .map(|n| node(20, n * 7919 % 1009))
            .collect();
        assert_eq!(readers(&all, nodes).len(), READERS, "{nodes} nodes");
    }
}

// With three nodes two would read for one, whose news would come a step later for hardly fewer calls.
#[test]
fn a_few_nodes_read_for_themselves() {
    for nodes in 0..4 {
        let all: Vec<_> = (0..nodes as u64).map(|n| node(20, n)).collect();
        assert!(readers(&all, nodes).is_empty(), "{nodes} nodes");
    }
}

// A reader sends what it reads to many. On a slow link its callers' answers would wait behind that.
#[test]
fn fast_links_read_first() {
    let all = [
        node(20, 9),
        node(200, 1),
        node(20, 8),
        node(200, 2),
        node(20, 7),
    ];
    assert_eq!(readers(&all, 5), [3, 1]);
}

// Nodes that know the others in different orders must agree, or each asks nodes that read nothing.
#[test]
fn the_order_in_which_nodes_are_known_does_not_matter() {
    let all: Vec<_> = (0..30).map(|n| node(20, n * 31 % 101)).collect();
    let mut reversed = all.clone();
    reversed.reverse();
    let chosen = |nodes: &[ReaderCandidate]| -> Vec<_> {
        readers(nodes, 30)
            .into_iter()
            .map(|i| nodes[i].hash)
            .collect()
    };
    assert_eq!(chosen(&all), chosen(&reversed));
}

// A configuration of a megabyte, thirty followers, a link of 20 Mbit/s: the last one would have it after twelve
// seconds, and operators count on two to four.
#[test]
fn what_would_fill_a_slow_link_is_not_passed_on() {
    assert!(longest_passed_on(20, 30) < 1 << 20);
    assert!(longest_passed_on(200, 15) > 1 << 20);
    // An endpoint's record is passed on whatever the link.
    assert!(longest_passed_on(0, 1_000) > 10_000);
}

// A reader dies. Its followers must not wait for it again and again while it is gone, nor read at the service
// for ever once it is back.
#[test]
fn readers_that_fail_rest_and_are_asked_again() {
    let mut sources = Sources::default();
    let at = Duration::from_millis;
    let fails = |sources: &mut Sources<u8>, ms, reader| {
        sources.failed(at(ms), reader);
        // What was missed meanwhile is read at the service first.
        assert_eq!(sources.pick(at(ms), &[1, 2]), None);
    };
    assert_eq!(sources.pick(at(0), &[1, 2]), Some(1));
    fails(&mut sources, 0, 1);
    assert_eq!(sources.pick(at(10), &[1, 2]), Some(2));
    fails(&mut sources, 10, 2);
    // None answers: the service itself has to be asked.
    assert_eq!(sources.pick(at(20), &[1, 2]), None);
    assert_eq!(sources.pick(at(1_005), &[1, 2]), Some(1));
    // It fails again, so it rests for longer.
    fails(&mut sources, 1_005, 1);
    assert_eq!(sources.pick(at(2_500), &[1, 2]), Some(2));
    sources.answered(2);
    assert_eq!(sources.pick(at(3_006), &[1, 2]), Some(1));
    sources.answered(1);
    fails(&mut sources, 4_000, 1);
    assert_eq!(sources.pick(at(5_001), &[1, 2]), Some(1));
}

// All nodes of a domain start at the same moment. If each registered at once there would be a lease and its
// renewals for each; if none did, nobody would read for the others.
#[test]
fn nodes_that_start_together_do_not_all_register() {
    let mut waits: Vec<_> = (0..60)
        .map(|n| first_wait(if n < 3 { 200 } else { 20 }, f64::from(n % 20) / 20.0))
        .collect();
    let slow = waits.split_off(3);
    let last_fast = waits.iter().max().expect("there are three");
    let first_slow = slow.iter().min().expect("there are many");
    // They start within 0.3 s of each other. A record is written and read within a few milliseconds.
    let started = Duration::from_millis(300);
    assert!(*first_slow > *last_fast + started + Duration::from_millis(50));
}

// Registered nodes have lost their power, and fifty others see their records lapse at the same moment. As many as
// are missing take their place; if the next ones are gone too, those after them do.
#[test]
fn as_many_as_are_missing_take_their_place() {
    for registered in 0..=REGISTERED + 1 {
        let missing = REGISTERED.saturating_sub(registered);
        let waits: Vec<_> = (0..50)
            .map(|rank| registers_after(registered, rank))
            .collect();
        let at_once = waits.iter().filter(|w| **w == Some(Duration::ZERO));
        assert_eq!(at_once.count(), missing);
        assert_eq!(waits.iter().all(Option::is_none), missing == 0);
        let soon = Some(Duration::from_secs(1));
        let within = waits.iter().filter(|w| w.is_some() && **w < soon);
        assert_eq!(within.count(), missing * 2);
    }
}
