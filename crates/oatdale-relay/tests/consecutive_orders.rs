//! Tests of an order that follows soon after the end of the last one.

use oatdale_policy::relay::{ExposureLimit, Origin};
use oatdale_relay::{
    AllowedVersions, Outcome, ResponseSource, Revision, RollOut, RollOutEnd, RollOuts,
    VersionOutcome,
};
use std::time::Duration;

const EXPOSURE_LIMIT: ExposureLimit = ExposureLimit {
    share: 0.15,
    slack: 30.0,
};

/// Hash of a session or request that is in every trial, and of one that is in none.
const IN_TRIAL: u64 = 0;
const OUTSIDE: u64 = u64::MAX;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The order at a revision to move to a version.
fn order(target: &str, number: u64, end: Option<RollOutEnd>) -> RollOut {
    RollOut {
        service: "pool".to_owned(),
        target: target.to_owned(),
        duration: ms(10_000),
        order: Revision::new(1, number),
        end,
    }
}

fn outcome(version: &str, outcome: Outcome, number: u64) -> VersionOutcome {
    VersionOutcome {
        version: version.to_owned(),
        outcome,
        revision: Revision::new(1, number),
    }
}

/// A node on which v2 was ordered at 0 s and ended at 5 s, and v3 is ordered 0.1 s later.
fn node_after(end: RollOutEnd) -> RollOuts {
    let mut node = RollOuts::default();
    node.update(ms(0), order("v2", 2, None));
    node.update(ms(5_000), order("v2", 2, Some(end)));
    node.update(ms(5_100), order("v3", 5, None));
    node
}

/// The version that a request uses if these have endpoints.
fn choose<'a>(allowed: &AllowedVersions, versions: &[&'a str]) -> &'a str {
    let best = versions.iter().min_by_key(|v| allowed.rank(v));
    best.expect("there is a version")
}

fn chosen<'a>(node: &RollOuts, now: Duration, versions: &[&'a str]) -> &'a str {
    choose(&node.allowed(now, "pool", None, OUTSIDE), versions)
}

// Guards against requests that run on a version again that was rolled back, since the next order
// replaces the outcome of the last one.
#[test]
fn rolled_back_version_stays_excluded_until_it_is_ordered() {
    let mut node = node_after(RollOutEnd::RolledBack);
    for now in [ms(5_200), ms(9_000)] {
        assert_eq!(chosen(&node, now, &["v2", "v1", "v3"]), "v1");
        assert_eq!(chosen(&node, now, &["v2", "v3"]), "v3");
        assert_eq!(chosen(&node, now, &["v2"]), "v2");
    }
    node.update(ms(15_000), order("v3", 5, Some(RollOutEnd::Completed)));
    assert_eq!(chosen(&node, ms(15_100), &["v2", "v1"]), "v1");
    node.update(ms(16_000), order("v2", 9, None));
    node.update_rates(ms(17_200), EXPOSURE_LIMIT);
    let allowed = node.allowed(ms(18_000), "pool", None, IN_TRIAL);
    assert!(allowed.trial.is_some_and(|trial| trial.version == "v2"));
    node.update(ms(26_000), order("v2", 9, Some(RollOutEnd::Completed)));
    assert_eq!(chosen(&node, ms(26_100), &["v1", "v3", "v2"]), "v2");
}

// Guards against a node that reads the next order before the end of the last one, or never its end,
// and uses the version that the others have withdrawn.
#[test]
fn outcome_that_arrives_after_the_next_order_applies() {
    let late = |node: &RollOuts, now: Duration| chosen(node, now, &["v2", "v1"]);
    let mut by_record = RollOuts::default();
    by_record.update(ms(5_100), order("v3", 5, None));
    by_record.record_outcome("pool", &outcome("v2", Outcome::RolledBack, 4));
    assert_eq!(late(&by_record, ms(5_200)), "v1");
    let mut by_order = RollOuts::default();
    by_order.update(ms(5_100), order("v3", 5, None));
    by_order.update(ms(5_150), order("v2", 2, Some(RollOutEnd::RolledBack)));
    assert_eq!(late(&by_order, ms(5_200)), "v1");
    let mut by_report = RollOuts::default();
    by_report.update(ms(0), order("v2", 2, None));
    let informed = node_after(RollOutEnd::RolledBack);
    for report in informed.reports(ms(5_200), "there", |_, _| false) {
        by_report.merge_report(ms(5_300), &report);
    }
    assert_eq!(late(&by_report, ms(5_400)), "v1");
    // An outcome from before an order says nothing about that order.
    let mut ordered_again = RollOuts::default();
    ordered_again.update(ms(0), order("v2", 7, Some(RollOutEnd::Completed)));
    ordered_again.update(ms(5_000), order("v3", 9, None));
    ordered_again.record_outcome("pool", &outcome("v2", Outcome::RolledBack, 4));
    assert_eq!(late(&ordered_again, ms(5_100)), "v2");
}

// Guards against sessions that change their version because the next order follows while endpoints
// of the version before the last are still there: each session stays on its version, and new
// requests use the version of the completed order.
#[test]
fn sessions_stay_and_new_requests_use_the_completed_version() {
    let mut node = node_after(RollOutEnd::Completed);
    let mut peer = node_after(RollOutEnd::Completed);
    let all = ["v1", "v2", "v3"];
    assert_eq!(chosen(&node, ms(5_200), &all), "v2");
    for (session, version) in [(IN_TRIAL, "v2"), (OUTSIDE, "v1"), (OUTSIDE - 1, "v2")] {
        let announced = node.pin(ms(5_200), "pool", session, version);
        if let Some(old_sessions) = announced {
            peer.merge_old_sessions(ms(5_201), &old_sessions);
        }
        for now in [ms(5_300), ms(9_000)] {
            for host in [&mut node, &mut peer] {
                host.update_rates(now, EXPOSURE_LIMIT);
                let allowed = host.allowed(now, "pool", Some(session), 7);
                assert!(allowed.trial.is_none(), "{allowed:?}");
                assert_eq!(choose(&allowed, &all), version);
            }
        }
    }
    // Without endpoints of its version, a session continues on the version in use.
    let allowed = node.allowed(ms(9_000), "pool", Some(OUTSIDE), 7);
    assert_eq!(choose(&allowed, &["v3", "v2"]), "v2");
    // A node that missed the announcement gets the list.
    let mut late = node_after(RollOutEnd::Completed);
    for old_sessions in node.old_session_messages(ms(5_400)) {
        late.merge_old_sessions(ms(5_500), &old_sessions);
    }
    let allowed = late.allowed(ms(5_600), "pool", Some(OUTSIDE), 7);
    assert_eq!(choose(&allowed, &all), "v1");
}

// Guards against an undecided version that gets as many requests as the one in use once another
// order replaces its own.
#[test]
fn version_of_a_replaced_order_keeps_only_its_sessions() {
    let mut node = RollOuts::default();
    node.update(ms(0), order("v2", 2, None));
    node.pin(ms(2_000), "pool", OUTSIDE, "v2");
    node.update(ms(3_000), order("v3", 5, None));
    assert_eq!(chosen(&node, ms(3_100), &["v2", "v1"]), "v1");
    let allowed = node.allowed(ms(3_100), "pool", Some(OUTSIDE), 7);
    assert_eq!(choose(&allowed, &["v1", "v2"]), "v2");
    assert_eq!(chosen(&node, ms(3_100), &["v3", "v2"]), "v2");
}

// Guards against a trial of the version that is in use, which would send all other requests to
// versions before it.
#[test]
fn order_for_the_version_in_use_changes_nothing() {
    let mut node = RollOuts::default();
    node.update(ms(0), order("v2", 2, Some(RollOutEnd::Completed)));
    node.update(ms(100), order("v2", 5, None));
    assert_eq!(chosen(&node, ms(200), &["v1", "v2"]), "v2");
    // Nor does its replacement by another order, which must not bring an untested version into use.
    node.update(ms(300), order("v3", 6, None));
    assert_eq!(chosen(&node, ms(400), &["v1", "v2", "v3"]), "v2");
    assert_eq!(chosen(&node, ms(400), &["v3", "v2"]), "v2");
    // The same holds where the earlier completion becomes known last.
    let mut late = RollOuts::default();
    late.update(ms(100), order("v2", 5, None));
    late.update(ms(300), order("v3", 6, None));
    late.record_outcome("pool", &outcome("v2", Outcome::Completed, 4));
    assert_eq!(chosen(&late, ms(400), &["v1", "v2", "v3"]), "v2");
}

// Guards against a bad version that looks like the old one, because the responses of a version that
// was rolled back before count towards the baseline.
#[test]
fn responses_of_a_rolled_back_version_are_no_baseline() {
    let mut node = node_after(RollOutEnd::RolledBack);
    let response_from = |version: &'static str, endpoint: u32| ResponseSource {
        service: "pool",
        version,
        origin: Origin { route: 1, endpoint },
        is_failing: false,
    };
    for n in 0..400 {
        node.record_response(&response_from("v1", 1), false, None);
        node.record_response(&response_from("v2", 2), n % 2 == 0, None);
    }
    for n in 0..42 {
        node.record_response(&response_from("v3", 3 + n % 3), n % 4 == 1, None);
    }
    let due = node.due_ends(ms(7_500), 0, |_, _| false);
    assert_eq!(due.first().map(|d| d.1), Some(RollOutEnd::RolledBack));
}

// Guards against a version without a baseline that was rolled back once and completed later.
#[test]
fn version_that_completes_after_a_roll_back_has_a_baseline() {
    let mut node = RollOuts::default();
    node.record_outcome("pool", &outcome("v2", Outcome::RolledBack, 4));
    node.update(ms(0), order("v2", 9, Some(RollOutEnd::Completed)));
    let source = ResponseSource {
        service: "pool",
        version: "v2",
        origin: Origin {
            route: 1,
            endpoint: 2,
        },
        is_failing: false,
    };
    for _ in 0..1_000 {
        node.record_duration(&source, 1, ms(100));
    }
    assert!(node.slow_threshold(1).is_some());
}

// Guards against reports and lists that do not fit into a datagram with outcomes and versions.
#[test]
fn messages_with_outcomes_fit_into_datagrams() {
    let mut node = node_after(RollOutEnd::Completed);
    let version = |n: u64| format!("release-2026-12-04.{n}-candidate");
    let long_version = |n: u64| format!("{}-{}", version(n), "x".repeat(250));
    for n in 0..10 {
        node.record_outcome("pool", &outcome(&long_version(n), Outcome::RolledBack, 4));
    }
    let mut messages = 0;
    for n in 0..1_000_u64 {
        node.pin(ms(5_150), "pool", u64::MAX - n, &version(n % 3));
    }
    for n in 0..10_000_u64 {
        let origin = Origin {
            route: u32::MAX - n as u32 % 40,
            endpoint: u32::MAX - n as u32 % 12,
        };
        for version in ["v1", "v3"] {
            let source = ResponseSource {
                service: "pool",
                version,
                origin,
                is_failing: false,
            };
            node.record_response(&source, false, None);
        }
    }
    let mut check = |wire: Vec<u8>| {
        messages += 1;
        assert!(wire.len() < 1_150, "{} bytes", wire.len());
    };
    for report in node.reports(ms(6_500), "front-thu-duc-12", |_, _| true) {
        // The version in use comes first, so that it is dropped last.
        assert_eq!(report.outcomes[0].version, "v2");
        assert!(report.outcomes.len() < 3, "no outcome was dropped");
        let mut wire = Vec::new();
        ciborium::into_writer(&report, &mut wire).unwrap();
        check(wire);
    }
    for old_sessions in node.old_session_messages(ms(6_500)) {
        let mut wire = Vec::new();
        ciborium::into_writer(&old_sessions, &mut wire).unwrap();
        check(wire);
    }
    assert!(messages > 2, "{messages} messages");
}
