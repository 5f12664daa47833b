//! Tests of rollout decisions from orders, a node's own responses and other nodes' reports.

use oatdale_policy::relay::{ExposureLimit, Origin};
use oatdale_relay::{
    AllowedVersions, Outcome, Report, ResponseSource, Revision, RollOut, RollOutEnd, RollOuts,
};
use std::time::Duration;

const EXPOSURE_LIMIT: ExposureLimit = ExposureLimit {
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
    node.update_rates(ms(1_200), EXPOSURE_LIMIT);
    node
}

/// A response from an endpoint of a version, on the only route.
fn response_from(version: &str, endpoint: u32) -> ResponseSource<'_> {
    ResponseSource {
        service: "pool",
        version,
        origin: Origin { route: 1, endpoint },
        is_failing: false,
    }
}

/// A request uses this version, others only if it has no endpoint.
fn prefer(version: &str) -> AllowedVersions {
    AllowedVersions {
        preferred: vec![version.to_owned()],
        ..AllowedVersions::default()
    }
}

/// Whether a request may use any version but `v2`.
fn not_v2(allowed: &AllowedVersions) -> bool {
    let rank = |version| allowed.rank(version);
    allowed.trial.is_none() && rank("v2") > rank("v1") && rank("v2") > rank("unknown")
}

#[test]
fn trial_begins_after_the_announcement_phase() {
    let node = node();
    assert!(not_v2(&node.allowed(ms(500), "pool", None, IN_TRIAL)));
    let allowed = node.allowed(ms(2_000), "pool", None, IN_TRIAL);
    let trial = allowed.trial.as_ref();
    assert!(trial.is_some_and(|t| t.version == "v2"), "{allowed:?}");
    assert!(not_v2(&node.allowed(ms(2_000), "pool", None, u64::MAX)));
    assert_eq!(
        node.allowed(ms(2_000), "desk", None, IN_TRIAL),
        AllowedVersions::default()
    );
}

// A session began on the old version at another node, and its next request arrives at this one,
// which has not seen it. It must stay on the old version; otherwise one session would mix two
// versions.
#[test]
fn session_pinned_by_another_node_stays_on_its_version() {
    let mut peer = node();
    let mut sender = node();
    sender.pin(ms(900), "pool", IN_TRIAL, "v1");
    for old_sessions in sender.old_session_messages(ms(1_000)) {
        peer.merge_old_sessions(ms(1_500), &old_sessions);
    }
    assert!(not_v2(&peer.allowed(ms(2_000), "pool", Some(IN_TRIAL), 7)));
    // Once all requests go to the new version, the session's do too.
    let switched = peer.allowed(ms(9_900), "pool", Some(IN_TRIAL), 7);
    assert_eq!(switched, prefer("v2"));
}

// A session's second request may arrive at any other node within half a second of the first, and a
// datagram may be lost. A session is announced as soon as its first request is placed, and again
// with the next session.
#[test]
fn session_on_the_old_version_is_announced_at_once() {
    let mut peer = node();
    let mut sender = node();
    let lost = sender.pin(ms(900), "pool", IN_TRIAL, "v1");
    assert!(lost.is_some());
    let announced = sender.pin(ms(950), "pool", IN_TRIAL + 1, "v1");
    peer.merge_old_sessions(ms(951), &announced.expect("a new session is announced"));
    for session in [IN_TRIAL, IN_TRIAL + 1] {
        assert!(not_v2(&peer.allowed(ms(2_000), "pool", Some(session), 7)));
    }
    // No repetition within the announcement interval, and none of sessions that need no
    // announcement: not in the trial, on the new version, or of a service without a rollout.
    assert_eq!(sender.pin(ms(1_000), "pool", IN_TRIAL, "v1"), None);
    assert_eq!(sender.pin(ms(1_000), "pool", u64::MAX, "v1"), None);
    assert_eq!(sender.pin(ms(1_000), "pool", 2, "v2"), None);
    assert_eq!(sender.pin(ms(1_000), "desk", 3, "v1"), None);
    assert!(sender.pin(ms(2_600), "pool", IN_TRIAL, "v1").is_some());
}

// Guards against sessions that crowd onto the last endpoints of their version while endpoints are
// replaced one by one without an order.
#[test]
fn sessions_prefer_no_version_without_an_order() {
    let mut node = RollOuts::default();
    node.pin(ms(0), "pool", IN_TRIAL, "v1");
    let allowed = node.allowed(ms(100), "pool", Some(IN_TRIAL), 7);
    assert_eq!(allowed, AllowedVersions::default());
}

// The key-value service rejects a node's requests, so the node has no order. It must not keep using
// the old version when all other nodes have switched.
#[test]
fn node_without_the_order_learns_it_and_its_age_from_reports() {
    let mut unaware = RollOuts::default();
    for report in node().reports(ms(9_500), "there", |_, _| true) {
        unaware.merge_report(ms(100_000), &report);
    }
    let allowed = unaware.allowed(ms(100_000), "pool", None, u64::MAX);
    assert_eq!(allowed, prefer("v2"));
}

// Each of three nodes sees one failure per endpoint, too few for a verdict. Their sum must be
// enough.
#[test]
fn failures_summed_over_nodes_cause_a_rollback() {
    let mut nodes = [node(), node(), node()];
    for node in &mut nodes {
        for endpoint in 1..=2 {
            node.record_response(&response_from("v2", endpoint), true, None);
        }
        for _ in 0..20 {
            node.record_response(&response_from("v1", 3), false, None);
        }
    }
    let reports: Vec<_> = nodes
        .iter()
        .zip(["a", "b", "c"])
        .flat_map(|(n, host)| n.reports(ms(2_000), host, |_, _| false))
        .collect();
    let peer = &mut nodes[0];
    assert!(peer.due_ends(ms(2_000), 0, |_, _| false).is_empty());
    peer.merge_report(ms(2_000), &reports[1]);
    peer.merge_report(ms(2_000), &reports[2]);
    assert!(not_v2(&peer.allowed(ms(2_000), "pool", None, IN_TRIAL)));
    let due = peer.due_ends(ms(2_000), 0, |_, _| false);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].1, RollOutEnd::RolledBack);
}

// Later records of the same order, or of an older one, contradict the outcome. It must stay final
// until a new order.
#[test]
fn outcome_is_final_until_a_new_order() {
    let mut node = node();
    node.update(ms(3_000), order(2, Some(RollOutEnd::RolledBack)));
    node.update(ms(3_100), order(2, None));
    assert!(not_v2(&node.allowed(ms(9_900), "pool", None, u64::MAX)));
    node.update(ms(3_200), order(1, Some(RollOutEnd::Completed)));
    assert!(not_v2(&node.allowed(ms(9_900), "pool", None, u64::MAX)));
    node.update(ms(20_000), order(3, None));
    let allowed = node.allowed(ms(20_100), "pool", None, u64::MAX);
    assert_eq!(allowed.excluded, ["v3", "v2"]);
    assert_eq!((allowed.trial, allowed.preferred), (None, Vec::new()));
}

// The outcome is written once the old version has no requests in flight, or shortly before the
// order's time is over. An old endpoint stops as soon as the outcome is written, which cuts off its
// requests.
#[test]
fn outcome_waits_for_old_requests_but_not_past_the_deadline() {
    let first_due = |is_busy: bool| {
        let mut node = node();
        (0..200)
            .map(|n| ms(n * 50))
            .find(|now| !node.due_ends(*now, 0, |_, _| is_busy).is_empty())
    };
    let (idle_due, busy_due) = (first_due(false).unwrap(), first_due(true).unwrap());
    assert!(idle_due < busy_due, "{idle_due:?} {busy_due:?}");
    assert!(busy_due < ms(9_800), "{busy_due:?}");
}

// All nodes reach the same outcome. If they did not take turns, the key-value service would receive
// a write from each of them, nine in a deployment of nine.
#[test]
fn nodes_write_the_outcome_in_order_of_rank() {
    let first_due = |rank: usize| {
        let mut node = node();
        (0..400)
            .map(|n| ms(n * 50))
            .find(|now| !node.due_ends(*now, rank, |_, _| false).is_empty())
    };
    assert!(first_due(0) < first_due(1));
    assert!(first_due(1) < first_due(2));
}

// A service has many sessions and routes. Messages about them must fit into single datagrams, which
// are delivered completely or not at all.
#[test]
fn messages_about_many_sessions_and_routes_fit_into_datagrams() {
    let mut node = node();
    for n in 0..1_000 {
        node.pin(ms(1_300), "pool", n, "v1");
        let origin = Origin {
            route: u32::MAX - n as u32 % 40,
            endpoint: u32::MAX - n as u32 % 12,
        };
        for version in ["v1", "v2"] {
            let source = ResponseSource {
                origin,
                ..response_from(version, 1)
            };
            node.record_response(&source, false, None);
        }
    }
    for report in node.reports(ms(1_500), "front-thu-duc-12", |_, _| true) {
        let mut wire = Vec::new();
        ciborium::into_writer(&report, &mut wire).unwrap();
        assert!(wire.len() < 1_150);
    }
    let messages = node.old_session_messages(ms(1_400));
    assert!(!messages.is_empty());
    for old_sessions in messages {
        let mut wire = Vec::new();
        ciborium::into_writer(&old_sessions, &mut wire).unwrap();
        assert!(wire.len() < 1_150);
    }
}

// Two endpoints of the old version fail half of their requests, and the new version fails a third
// of its own. If the failing old endpoints counted towards the baseline, that rate would look
// normal, and the rollout would complete and fail requests of all callers.
#[test]
fn failing_endpoints_of_the_old_version_do_not_hide_a_bad_new_one() {
    let mut node = node();
    for n in 0..700 {
        let is_failing_endpoint = n % 4 == 0;
        let source = ResponseSource {
            is_failing: is_failing_endpoint,
            ..response_from("v1", 3)
        };
        node.record_response(&source, is_failing_endpoint && n % 8 == 0, None);
    }
    for n in 0..42 {
        node.record_response(&response_from("v2", n % 3), n % 4 == 1, None);
    }
    let due = node.due_ends(ms(2_000), 0, |_, _| false);
    assert_eq!(due.first().map(|d| d.1), Some(RollOutEnd::RolledBack));
}

/// Requests and failures of the old version on each of three routes.
const OLD_RESPONSES: [[u32; 2]; 3] = [[437, 10], [195, 3], [140, 2]];

/// Endpoint, route, requests and failures of a new version that fails half of the requests of the third
/// route. Endpoint 4 also fails by itself.
const BAD_ON_ONE_ROUTE: [[u32; 4]; 13] = [
    [1, 1, 7, 0],
    [1, 2, 2, 0],
    [2, 1, 10, 0],
    [2, 2, 8, 0],
    [2, 3, 4, 1],
    [3, 1, 12, 0],
    [3, 2, 5, 0],
    [3, 3, 3, 2],
    [4, 1, 11, 3],
    [4, 2, 2, 2],
    [4, 3, 3, 1],
    [5, 1, 7, 0],
    [5, 3, 1, 0],
];

// Guards against completing a version that is probably bad, though its trial was too short to prove it:
// all requests go to it from then on, and the old endpoints stop.
#[test]
fn probably_bad_version_is_not_completed() {
    let mut node = node();
    let mut record = |version: &str, endpoint: u32, route: u32, [requests, failures]: [u32; 2]| {
        let mut source = response_from(version, endpoint);
        source.origin.route = route;
        for n in 0..requests {
            node.record_response(&source, n < failures, None);
        }
    };
    for (route, counts) in (1..).zip(OLD_RESPONSES) {
        record("v1", 9, route, counts);
    }
    for [endpoint, route, requests, failures] in BAD_ON_ONE_ROUTE {
        record("v2", endpoint, route, [requests, failures]);
    }
    let due = (0..200).find_map(|n| node.due_ends(ms(n * 50), 0, |_, _| true).pop());
    assert_eq!(due.map(|(_, end)| end), Some(RollOutEnd::RolledBack));
    // A node that sees a part of the responses may err: if another order comes first, it must not
    // withdraw the version on all nodes.
    node.update(ms(9_900), order(3, None));
    let outcomes = node.outcomes().into_iter().flat_map(|(_, all)| all);
    let outcomes: Vec<_> = outcomes.map(|o| (o.version, o.outcome)).collect();
    assert_eq!(outcomes, [("v2".to_owned(), Outcome::Replaced)]);
}

/// Nodes that each have two requests on the old version and three on the new one, which answers a part of
/// them several times slower; `record` records one of these.
fn nodes_with_few_requests(record: impl Fn(&mut RollOuts, &ResponseSource<'_>, u64)) -> RollOuts {
    const CLASS: u64 = 7;
    let mut nodes: Vec<_> = (0..9).map(|_| RollOuts::default()).collect();
    for (n, node) in (0..).zip(&mut nodes) {
        for sample in 0..2 {
            let time = Some((CLASS, ms(8 + n + sample)));
            node.record_response(&response_from("v1", 9), false, time);
        }
        node.update(ms(0), order(2, None));
    }
    let exchange = |nodes: &mut [RollOuts], now| {
        let reports: Vec<_> = (0..)
            .zip(nodes.iter())
            .flat_map(|(n, node)| node.reports(now, &format!("node-{n}"), |_, _| false))
            .collect();
        for (n, node) in nodes.iter_mut().enumerate() {
            let others = reports.iter().filter(|r| r.host != format!("node-{n}"));
            others.for_each(|report| node.merge_report(now, report));
        }
    };
    exchange(&mut nodes, ms(400));
    for (n, node) in (0..).zip(&mut nodes) {
        for sample in 0..3 {
            let time = Some((CLASS, ms(9 + n)));
            let fails = sample == 2;
            node.record_response(&response_from("v1", 9), fails, time);
            let source = response_from("v2", (n as u32 + sample) % 3 + 1);
            record(node, &source, n * 3 + u64::from(sample));
        }
    }
    exchange(&mut nodes, ms(4_000));
    nodes.swap_remove(0)
}

fn end_of(mut node: RollOuts) -> Option<RollOutEnd> {
    (0..200).find_map(|n| {
        let due = node.due_ends(ms(n * 50), 0, |_, _| false);
        due.first().map(|(_, end)| *end)
    })
}

// Guards against completing a slow version of a service with few requests: no node has a usual time by
// itself, and responses that it can't compare don't count.
#[test]
fn slow_version_is_found_although_each_node_has_few_requests() {
    let node = nodes_with_few_requests(|node, source, n| {
        let time = if n % 3 == 0 { ms(105) } else { ms(10) };
        node.record_response(source, false, Some((7, time)));
    });
    assert_eq!(end_of(node), Some(RollOutEnd::RolledBack));
    let node = nodes_with_few_requests(|node, source, _| {
        node.record_response(source, false, Some((7, ms(12))));
    });
    assert_eq!(end_of(node), Some(RollOutEnd::Completed));
}

// Guards against completing a slow version because most of its slow responses are failures, as the time of
// their requests runs out: the old version fails as often, but at once.
#[test]
fn failures_at_the_deadline_count_as_slow() {
    let node = nodes_with_few_requests(|node, source, n| match n % 3 {
        0 => node.record_response(source, true, Some((7, ms(400)))),
        _ => node.record_response(source, false, Some((7, ms(10)))),
    });
    assert_eq!(end_of(node), Some(RollOutEnd::RolledBack));
    let node = nodes_with_few_requests(|node, source, n| {
        node.record_response(source, n % 9 == 0, Some((7, ms(10))));
    });
    assert_eq!(end_of(node), Some(RollOutEnd::Completed));
}

/// A node that sends so many requests a second, and has the order since `now`.
fn node_with_rate(now: Duration, per_second: u64) -> RollOuts {
    let mut node = RollOuts::default();
    for n in 0..per_second * 5 {
        let sent_at = now.saturating_sub(ms(5_000)) + ms(n * 1_000 / per_second);
        node.count_request(sent_at, "pool");
    }
    node.update(now, order(2, None));
    node
}

/// Which of a hundred sessions are in the trial.
fn sessions_in_trial(node: &RollOuts, now: Duration) -> Vec<u64> {
    let sessions = (0..100).map(|n| u64::MAX / 100 * n);
    let is_in_trial = |session: &u64| {
        let allowed = node.allowed(now, "pool", Some(*session), 0);
        allowed.trial.is_some_and(|t| t.share > 0.0)
    };
    sessions.filter(is_in_trial).collect()
}

fn report_of(node: &RollOuts, now: Duration, host: &str) -> Report {
    let mut reports = node.reports(now, host, |_, _| false);
    reports.pop().expect("the order is under way")
}

// Guards against sessions that change their version because a node that has just started has another share in the
// trial: it knows its own request rate alone.
#[test]
fn node_that_starts_in_a_trial_has_the_share_of_the_others() {
    let mut node = node_with_rate(ms(10_000), 100);
    node.update_rates(ms(11_200), EXPOSURE_LIMIT);
    let in_trial = sessions_in_trial(&node, ms(12_000));
    assert!((1..20).contains(&in_trial.len()), "{in_trial:?}");
    let mut started = node_with_rate(ms(12_000), 1);
    started.update_rates(ms(12_200), EXPOSURE_LIMIT);
    assert!(sessions_in_trial(&started, ms(12_200)).is_empty());
    started.merge_report(ms(12_400), &report_of(&node, ms(12_400), "a"));
    started.update_rates(ms(12_600), EXPOSURE_LIMIT);
    assert_eq!(sessions_in_trial(&started, ms(12_600)), in_trial);
}

// The same for a node that has set the share before it hears of the others.
#[test]
fn nodes_with_different_shares_use_the_smallest() {
    let mut node = node_with_rate(ms(10_000), 100);
    node.update_rates(ms(11_200), EXPOSURE_LIMIT);
    let in_trial = sessions_in_trial(&node, ms(14_000));
    let mut alone = node_with_rate(ms(10_000), 1);
    alone.update_rates(ms(11_200), EXPOSURE_LIMIT);
    assert!(sessions_in_trial(&alone, ms(11_200)).len() > in_trial.len());
    let reports = [
        report_of(&node, ms(12_000), "a"),
        report_of(&alone, ms(12_000), "b"),
    ];
    node.merge_report(ms(12_000), &reports[1]);
    alone.merge_report(ms(12_000), &reports[0]);
    for node in [&node, &alone] {
        assert_eq!(sessions_in_trial(node, ms(14_000)), in_trial);
    }
}
