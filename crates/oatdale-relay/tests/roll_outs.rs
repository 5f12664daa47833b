//! Tests of rollout decisions from orders, a node's own responses and other nodes' reports.

use oatdale_policy::relay::{Exposure, Origin};
use oatdale_relay::{Allowed, Revision, RollOut, RollOutEnd, RollOuts, Source};
use std::time::Duration;

const USUAL: Exposure = Exposure {
    share: 0.15,
    slack: 30.0,
};

/// A hash that is in every trial.
const IN_TRIAL: u64 = 0;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn order(number: u64, end: Option<RollOutEnd>) -> RollOut {
    RollOut {
        service: "pool".to_owned(),
        target: format!("v{number}"),
        duration: ms(10_000),
        order: Revision::new(1, number),
        end,
    }
}

fn node() -> RollOuts {
    let mut node = RollOuts::default();
    node.update(ms(0), order(2, None));
    node.follow_rates(ms(1_200), USUAL);
    node
}

/// A response from an endpoint of a version, on the only route.
fn answer(version: &str, endpoint: u32) -> Source<'_> {
    Source {
        service: "pool",
        version,
        origin: Origin { route: 1, endpoint },
        is_failing: false,
    }
}

fn is_old(allowed: &Allowed) -> bool {
    matches!(allowed, Allowed::Not(version) if version == "v2")
}

#[test]
fn a_trial_begins_after_nodes_have_told_each_other_of_sessions() {
    let node = node();
    assert!(is_old(&node.allowed(ms(500), "pool", None, IN_TRIAL)));
    let allowed = node.allowed(ms(2_000), "pool", None, IN_TRIAL);
    assert!(matches!(allowed, Allowed::Trial { .. }), "{allowed:?}");
    assert!(is_old(&node.allowed(ms(2_000), "pool", None, u64::MAX)));
    assert_eq!(
        node.allowed(ms(2_000), "desk", None, IN_TRIAL),
        Allowed::All
    );
}

// A session began on the old version at another node, and its next request arrives at this one,
// which has not seen it. It must stay on the old version; otherwise one session would mix two
// versions.
#[test]
fn a_session_that_another_node_knows_stays_on_its_version() {
    let mut here = node();
    let mut there = node();
    there.pin(ms(900), "pool", IN_TRIAL, "v1");
    for on_old in there.on_old(ms(1_000)) {
        here.merge_old_sessions(ms(1_500), &on_old);
    }
    assert!(is_old(&here.allowed(ms(2_000), "pool", Some(IN_TRIAL), 7)));
    // Once all requests go to the new version, the session's do too.
    let late = here.allowed(ms(9_900), "pool", Some(IN_TRIAL), 7);
    assert_eq!(late, Allowed::Prefer("v2".to_owned()));
}

// A session's second request may arrive at any other node within half a second of the first, and a
// datagram may be lost. A session is announced as soon as its first request is placed, and again
// with the next session.
#[test]
fn other_nodes_are_told_at_once_of_a_session_on_the_old_version() {
    let mut here = node();
    let mut there = node();
    let lost = there.pin(ms(900), "pool", IN_TRIAL, "v1");
    assert!(lost.is_some());
    let told = there.pin(ms(950), "pool", IN_TRIAL + 1, "v1");
    here.merge_old_sessions(ms(951), &told.expect("a new session is announced"));
    for session in [IN_TRIAL, IN_TRIAL + 1] {
        assert!(is_old(&here.allowed(ms(2_000), "pool", Some(session), 7)));
    }
    // No repetition within the resend interval, and none of sessions that need no announcement: not
    // in the trial, on the new version, or of a service without a rollout.
    assert_eq!(there.pin(ms(1_000), "pool", IN_TRIAL, "v1"), None);
    assert_eq!(there.pin(ms(1_000), "pool", u64::MAX, "v1"), None);
    assert_eq!(there.pin(ms(1_000), "pool", 2, "v2"), None);
    assert_eq!(there.pin(ms(1_000), "desk", 3, "v1"), None);
    assert!(there.pin(ms(2_600), "pool", IN_TRIAL, "v1").is_some());
}

// The key-value service rejects a node, which therefore has no order. It must not keep using the
// old version when all other nodes have switched.
#[test]
fn a_node_hears_of_an_order_and_of_its_age_from_others() {
    let mut late = RollOuts::default();
    for report in node().reports(ms(9_500), "there", |_, _| true) {
        late.merge_report(ms(100_000), &report);
    }
    let allowed = late.allowed(ms(100_000), "pool", None, u64::MAX);
    assert_eq!(allowed, Allowed::Prefer("v2".to_owned()));
}

// Each of three nodes sees one failure per endpoint, too few for a verdict. Their sum must be
// enough.
#[test]
fn failures_are_added_up_over_nodes() {
    let mut nodes = [node(), node(), node()];
    for node in &mut nodes {
        for endpoint in 1..=2 {
            node.answered(&answer("v2", endpoint), true, None);
        }
        for _ in 0..20 {
            node.answered(&answer("v1", 3), false, None);
        }
    }
    let reports: Vec<_> = nodes
        .iter()
        .zip(["a", "b", "c"])
        .flat_map(|(n, host)| n.reports(ms(2_000), host, |_, _| false))
        .collect();
    let here = &mut nodes[0];
    assert!(here.due(ms(2_000), 0, |_, _| false).is_empty());
    here.merge_report(ms(2_000), &reports[1]);
    here.merge_report(ms(2_000), &reports[2]);
    assert!(is_old(&here.allowed(ms(2_000), "pool", None, IN_TRIAL)));
    let due = here.due(ms(2_000), 0, |_, _| false);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].1, RollOutEnd::RolledBack);
}

// Later records of the same order, or of an older one, contradict the outcome. It must stay final
// until a new order.
#[test]
fn an_end_is_not_taken_back() {
    let mut node = node();
    node.update(ms(3_000), order(2, Some(RollOutEnd::RolledBack)));
    node.update(ms(3_100), order(2, None));
    assert!(is_old(&node.allowed(ms(9_900), "pool", None, u64::MAX)));
    node.update(ms(3_200), order(1, Some(RollOutEnd::Completed)));
    assert!(is_old(&node.allowed(ms(9_900), "pool", None, u64::MAX)));
    node.update(ms(20_000), order(3, None));
    let allowed = node.allowed(ms(20_100), "pool", None, u64::MAX);
    assert_eq!(allowed, Allowed::Not("v3".to_owned()));
}

// The outcome is written once the old version has no requests in flight, or shortly before the
// order's time is over. An old endpoint stops as soon as the outcome is written, which cuts off its
// requests.
#[test]
fn the_end_waits_for_the_old_version_but_not_too_long() {
    let due_at = |busy: bool| {
        let mut node = node();
        (0..200)
            .map(|n| ms(n * 50))
            .find(|now| !node.due(*now, 0, |_, _| busy).is_empty())
    };
    let (idle, busy) = (due_at(false).unwrap(), due_at(true).unwrap());
    assert!(idle < busy, "{idle:?} {busy:?}");
    assert!(busy < ms(9_800), "{busy:?}");
}

// All nodes reach the same outcome. Without turns, the key-value service would get a write from
// each of them, nine in a deployment of nine.
#[test]
fn nodes_take_turns_in_writing_the_end() {
    let due_at = |rank: usize| {
        let mut node = node();
        (0..400)
            .map(|n| ms(n * 50))
            .find(|now| !node.due(*now, rank, |_, _| false).is_empty())
    };
    assert!(due_at(0) < due_at(1));
    assert!(due_at(1) < due_at(2));
}

// A service has many sessions and routes. Messages about them must fit into single datagrams, which
// are delivered completely or not at all.
#[test]
fn what_a_node_tells_fits_into_datagrams() {
    let mut node = node();
    for n in 0..1_000 {
        node.pin(ms(1_300), "pool", n, "v1");
        let origin = Origin {
            route: u32::MAX - n as u32 % 40,
            endpoint: u32::MAX - n as u32 % 12,
        };
        for version in ["v1", "v2"] {
            let source = Source {
                origin,
                ..answer(version, 1)
            };
            node.answered(&source, false, None);
        }
    }
    for report in node.reports(ms(1_500), "front-thu-duc-12", |_, _| true) {
        let mut wire = Vec::new();
        ciborium::into_writer(&report, &mut wire).unwrap();
        assert!(wire.len() < 1_150);
    }
    let told = node.on_old(ms(1_400));
    assert!(!told.is_empty());
    for on_old in told {
        let mut wire = Vec::new();
        ciborium::into_writer(&on_old, &mut wire).unwrap();
        assert!(wire.len() < 1_150);
    }
}

// Two endpoints of the old version fail half of their requests, and the new version fails a third
// of its own. If the failing old endpoints counted towards the baseline, that rate would look
// normal, and the rollout would complete and fail requests of all clients.
#[test]
fn failing_endpoints_of_the_old_version_do_not_hide_a_bad_new_one() {
    let mut node = node();
    for n in 0..700 {
        let failing = n % 4 == 0;
        let source = Source {
            is_failing: failing,
            ..answer("v1", 3)
        };
        node.answered(&source, failing && n % 8 == 0, None);
    }
    for n in 0..42 {
        node.answered(&answer("v2", n % 3), n % 4 == 1, None);
    }
    let due = node.due(ms(2_000), 0, |_, _| false);
    assert_eq!(due.first().map(|d| d.1), Some(RollOutEnd::RolledBack));
}
