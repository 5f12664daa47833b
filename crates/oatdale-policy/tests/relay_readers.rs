//! Selection of readers, and where a node reads while some of them fail.

use oatdale_policy::relay::{
    READERS_PER_DOMAIN, REGISTERED_PER_DOMAIN, ReaderCandidate, ReaderSelector,
    first_registration_delay, max_forwarded_bytes, registration_delay, retry_pause, select_readers,
    start_delay,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

fn node(link_mbps: u32, hash: u64) -> ReaderCandidate {
    ReaderCandidate { link_mbps, hash }
}

// If hundreds of nodes each read the same records, hundreds of calls would be paid for where a few
// suffice.
#[test]
fn reader_count_does_not_grow_with_the_domain() {
    for nodes in [4, 20, 60, 200] {
        let all: Vec<_> = (0..nodes as u64)
            .map(|n| node(20, n * 7919 % 1009))
            .collect();
        assert_eq!(
            select_readers(&all, nodes).len(),
            READERS_PER_DOMAIN,
            "{nodes} nodes"
        );
    }
}

// With three nodes, two would read for one, which would get its updates one hop later for hardly
// fewer calls.
#[test]
fn small_domain_has_no_readers() {
    for nodes in 0..4 {
        let all: Vec<_> = (0..nodes as u64).map(|n| node(20, n)).collect();
        assert!(select_readers(&all, nodes).is_empty(), "{nodes} nodes");
    }
}

// A reader forwards what it reads to many nodes. On a slow link its callers' responses would wait
// behind that.
#[test]
fn nodes_with_the_fastest_links_are_readers() {
    let all = [
        node(20, 9),
        node(200, 1),
        node(20, 8),
        node(200, 2),
        node(20, 7),
    ];
    assert_eq!(select_readers(&all, 5), [3, 1]);
}

// Nodes that know the others in different orders must agree on the readers, or each asks nodes that
// read nothing.
#[test]
fn reader_selection_does_not_depend_on_node_order() {
    let all: Vec<_> = (0..30).map(|n| node(20, n * 31 % 101)).collect();
    let mut reversed = all.clone();
    reversed.reverse();
    let chosen = |nodes: &[ReaderCandidate]| -> Vec<_> {
        select_readers(nodes, 30)
            .into_iter()
            .map(|i| nodes[i].hash)
            .collect()
    };
    assert_eq!(chosen(&all), chosen(&reversed));
}

// With a configuration of a megabyte, thirty followers and a link of 20 Mbit/s, the last follower
// would have it after twelve seconds, while operators count on two to four.
#[test]
fn record_that_would_saturate_a_slow_link_is_not_forwarded() {
    assert!(max_forwarded_bytes(20, 30) < 1 << 20);
    assert!(max_forwarded_bytes(200, 15) > 1 << 20);
    // An endpoint's record is forwarded over any link.
    assert!(max_forwarded_bytes(0, 1_000) > 10_000);
}

// A reader dies. Its followers must not wait for it again and again while it is gone, nor read from
// the service forever once it is back.
#[test]
fn failed_readers_back_off_and_are_retried() {
    let mut selector = ReaderSelector::default();
    let at = Duration::from_millis;
    let fail = |selector: &mut ReaderSelector<u8>, ms, reader| {
        selector.record_failure(at(ms), reader);
        // Updates that were missed meanwhile are read from the service first.
        assert_eq!(selector.select(at(ms), &[1, 2]), None);
    };
    assert_eq!(selector.select(at(0), &[1, 2]), Some(1));
    fail(&mut selector, 0, 1);
    assert_eq!(selector.select(at(10), &[1, 2]), Some(2));
    fail(&mut selector, 10, 2);
    // No reader answers: the service itself has to be asked.
    assert_eq!(selector.select(at(20), &[1, 2]), None);
    assert_eq!(selector.select(at(1_005), &[1, 2]), Some(1));
    // It fails again, so its back-off is longer.
    fail(&mut selector, 1_005, 1);
    assert_eq!(selector.select(at(2_500), &[1, 2]), Some(2));
    selector.record_success(2);
    assert_eq!(selector.select(at(3_006), &[1, 2]), Some(1));
    selector.record_success(1);
    fail(&mut selector, 4_000, 1);
    assert_eq!(selector.select(at(5_001), &[1, 2]), Some(1));
}

// All nodes of a domain start at the same moment. If each registered at once, each would hold a
// lease and renew it; if none did, no node would read for the others.
#[test]
fn nodes_with_fast_links_register_first_after_a_simultaneous_start() {
    let mut delays: Vec<_> = (0..60)
        .map(|n| start_delay(if n < 3 { 200 } else { 20 }, f64::from(n % 20) / 20.0))
        .collect();
    let slow = delays.split_off(3);
    let max_fast = delays.iter().max().expect("three fast nodes");
    let min_slow = slow.iter().min().expect("slow nodes");
    // The nodes start within 0.3 s of each other. A record is written and read within a few
    // milliseconds.
    let start_skew = Duration::from_millis(300);
    assert!(*min_slow > *max_fast + start_skew + Duration::from_millis(50));
}

// Registered nodes lose power, and fifty others see their records expire at the same moment. As
// many as are missing replace them; if the next ones are gone too, those after them do.
#[test]
fn only_as_many_nodes_register_as_are_missing() {
    for registered in 0..=REGISTERED_PER_DOMAIN + 1 {
        let missing = REGISTERED_PER_DOMAIN.saturating_sub(registered);
        let delays: Vec<_> = (0..50)
            .map(|rank| registration_delay(registered, rank))
            .collect();
        let immediate = delays.iter().filter(|d| **d == Some(Duration::ZERO));
        assert_eq!(immediate.count(), missing);
        assert_eq!(delays.iter().all(Option::is_none), missing == 0);
        let one_second = Some(Duration::from_secs(1));
        let within_one_second = delays.iter().filter(|d| d.is_some() && **d < one_second);
        assert_eq!(within_one_second.count(), missing * 2);
    }
}

// Guards against nodes that all register at once because none knows how many others do: those whose
// turn comes before they can see the first ones must be few at any number of nodes.
#[test]
fn few_of_any_number_of_nodes_register_before_they_see_the_first() {
    let call_time = Duration::from_millis(6);
    for nodes in [3, 18, 60, 197, 400, 2_000] {
        for seed in 0..20 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut delays: Vec<_> = (0..nodes)
                .map(|_| first_registration_delay(call_time, 20, rng.random()))
                .collect();
            delays.sort();
            // Two calls to register, and one to list the nodes.
            let seen_at = delays[0] + call_time * 3;
            let early = delays.iter().filter(|delay| **delay < seen_at).count();
            assert!(early <= 20, "{early} of {nodes} nodes, seed {seed}");
            assert!(delays[nodes - 1] <= Duration::from_millis(300));
        }
    }
}

// Guards against calls that failed together and are made again together, or ever more often.
#[test]
fn retries_grow_and_are_spread() {
    let [initial, max] = [Duration::from_millis(400), Duration::from_secs(4)];
    for attempt in 0..40 {
        let longest = retry_pause(initial, max, attempt, 0.0);
        let shortest = retry_pause(initial, max, attempt, 1.0);
        assert_eq!(shortest * 2, longest);
        assert_eq!(longest, max.min(initial * 2_u32.pow(attempt.min(4))));
    }
}

// The service refuses a third of the nodes, one of two readers among them. If its followers asked
// the service each time before the other reader, calls would grow with the nodes for as long.
#[test]
fn other_reader_is_asked_after_a_refusal_without_a_call_to_the_service() {
    let mut selector = ReaderSelector::default();
    let (mut refusals, mut service_calls) = (0, 0);
    for tenth in 0..90 {
        let now = Duration::from_millis(tenth * 100);
        match selector.select(now, &["refused", "reader"]) {
            Some("refused") => {
                selector.record_refusal(now, "refused");
                refusals += 1;
                assert_eq!(selector.select(now, &["refused", "reader"]), Some("reader"));
            }
            Some(reader) => selector.record_success(reader),
            None => service_calls += 1,
        }
    }
    assert_eq!(service_calls, 0);
    assert!(
        refusals <= 12,
        "{refusals} requests to the refused reader in 9 s"
    );
}

// Nobody can read from the service. Its end is noticed by the readers first, so that they are asked
// again soon, and before that the service is asked as long as they all refuse.
#[test]
fn service_is_asked_while_all_readers_refuse() {
    let mut selector = ReaderSelector::default();
    let mut last_asked = Duration::ZERO;
    for tenth in 0..90 {
        let now = Duration::from_millis(tenth * 100);
        for _ in 0..2 {
            if let Some(reader) = selector.select(now, &["a", "b"]) {
                selector.record_refusal(now, reader);
                assert!(now <= last_asked + Duration::from_millis(1_000), "{now:?}");
                last_asked = now;
            }
        }
        assert_eq!(selector.select(now, &["a", "b"]), None);
    }
}
