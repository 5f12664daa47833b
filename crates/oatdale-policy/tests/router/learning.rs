//! Cascades, evidence against bad versions, and state that survives a new configuration.

use crate::fixture::{
    TestConfig, complete, customer, endpoint, expect_run, expect_wait, model_service, outcome,
    plain_service, request, secs, version,
};
use oatdale_config::VersionState;
use oatdale_policy::{
    AdmissionDecision, AttemptDecision, AttemptResult, Fault, Outcome, QueueDecision,
    RefusalReason, RequestInfo, Router, Session, VersionCounters, VersionReason,
};

const CANARY: VersionState = VersionState::Canary { share: 0.5 };

fn config_with_canary() -> TestConfig {
    TestConfig {
        states: [VersionState::Serving, CANARY, VersionState::Withdrawn],
        ..TestConfig::default()
    }
}

fn router_with_canary() -> Router {
    config_with_canary().router()
}

/// Counters of a node on which `errors` of 400 requests to a version failed.
fn counters_with_errors(index: usize, errors: u64) -> VersionCounters {
    VersionCounters {
        requests: 400,
        errors,
        ..VersionCounters::zero(version(index))
    }
}

// Guards against buffering a streamed answer for its rating: the caller would get the first byte
// only with the last one, after 1.5 s instead of 0.05 s.
#[test]
fn streamed_answer_is_not_buffered_if_latency_outweighs_cost() {
    let mut router = TestConfig {
        quality: 0.95,
        latency_weight: 0.8,
        ..TestConfig::default()
    }
    .router();
    for i in 0..500_u32 {
        let now = secs(f64::from(i));
        let streamed = RequestInfo {
            stream: true,
            ..request(now, i.into())
        };
        let dispatch = expect_run(router.offer(now, &streamed));
        assert!(!dispatch.needs_rating, "request {i}");
        let good = dispatch.version == Some(version(2));
        assert_eq!(
            router.finish(now, dispatch.ticket, &complete(None)),
            AttemptDecision::Done
        );
        let rating = f64::from(u8::from(good));
        let version = dispatch
            .version
            .expect("a dispatch to a model service has a version");
        router.observe_rating(now, model_service(), 0, version, rating);
    }
}

#[test]
fn rejected_answer_is_escalated_to_a_better_version() {
    let mut router = TestConfig {
        quality: 0.95,
        ..TestConfig::default()
    }
    .router();
    let mut escalated = 0;
    for i in 0..200_u32 {
        let now = secs(f64::from(i));
        let mut dispatch = expect_run(router.offer(now, &request(now, i.into())));
        let is_good = |d: &oatdale_policy::Dispatch| d.version == Some(version(2));
        loop {
            let rating = f64::from(u8::from(is_good(&dispatch)));
            match router.finish(now, dispatch.ticket, &complete(Some(rating))) {
                AttemptDecision::Run(next) => {
                    assert!(dispatch.needs_rating);
                    assert_eq!(next.version_reason, VersionReason::Escalated);
                    escalated += 1;
                    dispatch = next;
                }
                AttemptDecision::Done => break,
                AttemptDecision::Refuse(refusal) => panic!("{refusal:?}"),
            }
        }
    }
    assert!(escalated > 0);
}

/// A request that must not run twice gets its first answer, however that is rated.
#[test]
fn non_idempotent_request_is_never_escalated() {
    let mut router = TestConfig {
        quality: 0.95,
        ..TestConfig::default()
    }
    .router();
    for i in 0..200_u32 {
        let now = secs(f64::from(i));
        let non_idempotent = RequestInfo {
            idempotent: false,
            ..request(now, i.into())
        };
        let dispatch = expect_run(router.offer(now, &non_idempotent));
        assert!(!dispatch.needs_rating);
        let decision = router.finish(now, dispatch.ticket, &complete(Some(0.0)));
        assert_eq!(decision, AttemptDecision::Done);
    }
}

/// A canary fails a third of its requests at another node, while this one has sent it none. The
/// counters of the nodes together must stop it, without an operator.
#[test]
fn evidence_of_other_nodes_stops_a_bad_canary() {
    let mut router = router_with_canary();
    router.merge_evidence(
        1,
        &[counters_with_errors(0, 4), counters_with_errors(1, 130)],
    );
    let stops = router.take_stops(secs(1.0));
    assert_eq!(stops.len(), 1, "{stops:?}");
    assert_eq!(
        (stops[0].version, stops[0].fault),
        (version(1), Fault::Errors)
    );
    for i in 0..100 {
        let opened = router.open_session(secs(1.0), customer(0), model_service(), i);
        assert_eq!(opened.map(|(v, _)| v), Ok(version(0)));
    }
    assert!(router.take_stops(secs(2.0)).is_empty());
}

/// A customer sets a timeout of 20 ms at a node that has not learned yet that answers take ten
/// times as long. Endpoints and versions are healthy. If such timeouts counted against them, a few
/// would stop the canary on every node and leave all customers without an endpoint.
#[test]
fn timeouts_far_below_the_usual_latency_do_not_count_as_failures() {
    let mut router = router_with_canary();
    let mut now = secs(0.0);
    for i in 0..60_u64 {
        now += secs(0.1);
        let short_deadline = RequestInfo {
            deadline: now + secs(0.02),
            ..request(now, i * 7919)
        };
        let admission = router.offer(now, &short_deadline);
        let AdmissionDecision::Run(dispatch) = admission else {
            panic!("request {i} got {admission:?}");
        };
        now += secs(0.02);
        let timed_out = Outcome {
            total: secs(0.02),
            first_byte: None,
            ..outcome(AttemptResult::TimedOut)
        };
        let decision = router.finish(now, dispatch.ticket, &timed_out);
        assert!(
            matches!(decision, AttemptDecision::Refuse(_)),
            "{decision:?}"
        );
    }
    let stops = router.take_stops(now);
    assert!(stops.is_empty(), "{stops:?}");
    expect_run(router.offer(now, &request(now, 1)));
}

/// A canary hangs, and callers time out after 5 s where answers take 0.2 s. These timeouts are long
/// enough to count against it, although the deadline of the service is twice as long.
#[test]
fn hanging_version_is_stopped_by_timeouts_below_the_service_deadline() {
    let mut router = router_with_canary();
    let mut now = secs(0.0);
    for i in 0..200_u64 {
        now += secs(6.0);
        let short_deadline = RequestInfo {
            deadline: now + secs(5.0),
            ..request(now, i * 7919)
        };
        let AdmissionDecision::Run(dispatch) = router.offer(now, &short_deadline) else {
            continue;
        };
        let is_canary = dispatch.version == Some(version(1));
        let attempt_outcome = match is_canary {
            true => Outcome {
                total: secs(5.0),
                first_byte: None,
                ..outcome(AttemptResult::TimedOut)
            },
            false => complete(None),
        };
        router.finish(now, dispatch.ticket, &attempt_outcome);
    }
    let stops = router.take_stops(now);
    assert_eq!(stops.len(), 1, "{stops:?}");
    assert_eq!(stops[0].version, version(1));
}

/// All versions fail alike because a rack is down. Stopping the canary would attribute this to the
/// wrong cause and delay a healthy rollout.
#[test]
fn canary_is_not_stopped_if_all_versions_fail_alike() {
    let mut router = router_with_canary();
    router.merge_evidence(
        1,
        &[counters_with_errors(0, 120), counters_with_errors(1, 130)],
    );
    assert!(router.take_stops(secs(1.0)).is_empty());
}

/// Gossip delivers a report twice, and an older one last. Counting them again would double the
/// errors and stop a healthy version.
#[test]
fn duplicate_and_outdated_reports_are_ignored() {
    let mut router = router_with_canary();
    for _ in 0..100 {
        router.merge_evidence(
            1,
            &[counters_with_errors(0, 4), counters_with_errors(1, 18)],
        );
        let older = VersionCounters {
            requests: 100,
            ..counters_with_errors(1, 5)
        };
        router.merge_evidence(1, &[older]);
        assert!(router.take_stops(secs(1.0)).is_empty());
    }
}

/// The only version that customer 1 may use fails. Stopping it would leave that customer without
/// any answer, so it is not stopped until an operator decides.
#[test]
fn last_version_of_a_customer_is_not_stopped() {
    let mut router = TestConfig::default().router();
    router.merge_evidence(
        1,
        &[counters_with_errors(0, 200), counters_with_errors(1, 4)],
    );
    assert!(router.take_stops(secs(1.0)).is_empty());
}

#[test]
fn in_flight_and_queued_requests_survive_reconfiguration() {
    let mut router = TestConfig::default().router();
    let mut running = Vec::new();
    let waiting = loop {
        match router.offer(secs(0.0), &request(secs(0.0), 1)) {
            AdmissionDecision::Run(dispatch) => running.push(dispatch.ticket),
            other => break expect_wait(other),
        }
    };
    router.reconfigure(secs(0.1), TestConfig::default().config());
    assert_eq!(router.poll_queue(secs(0.1)), None);
    let decision = router.finish(secs(0.2), running[0], &complete(None));
    assert_eq!(decision, AttemptDecision::Done);
    let queue_decision = router.poll_queue(secs(0.2));
    assert!(
        matches!(queue_decision, Some((t, QueueDecision::Run(_))) if t == waiting),
        "{queue_decision:?}"
    );
}

/// A service is removed while requests are queued for it. They must be refused at once, since its
/// queue no longer exists.
#[test]
fn queued_requests_of_a_removed_service_are_refused() {
    let mut router = TestConfig::default().router();
    let waiting = loop {
        if let AdmissionDecision::Wait(ticket) = router.offer(secs(0.0), &request(secs(0.0), 1)) {
            break ticket;
        }
    };
    let mut cfg = (*TestConfig::default().config()).clone();
    let mut services = oatdale_config::Arena::default();
    let mut kept = cfg.services[plain_service()].clone();
    kept.name = "other".to_owned();
    services.push(kept);
    cfg.services = services;
    router.reconfigure(secs(0.1), cfg.into());
    let decision = router.poll_queue(secs(0.1));
    let Some((ticket, QueueDecision::Refuse(refusal))) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(
        (ticket, refusal.reason),
        (waiting, RefusalReason::NoVersion)
    );
    assert_eq!(router.poll_queue(secs(0.1)), None);
}

/// Requests arrive while none completes. Those that cannot be served in time are refused at once
/// with a retry delay, while the queue stays short enough to be served.
#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_immediately() {
    let mut router = TestConfig::default().router();
    let warm_up = expect_run(router.offer(secs(0.0), &request(secs(0.0), 0)));
    let slow = oatdale_policy::Outcome {
        total: secs(2.0),
        ..complete(None)
    };
    router.finish(secs(2.0), warm_up.ticket, &slow);
    let mut waiting = 0;
    for rollout_hash in 0..500 {
        match router.offer(secs(2.0), &request(secs(2.0), rollout_hash)) {
            AdmissionDecision::Run(_) => {}
            AdmissionDecision::Wait(_) => waiting += 1,
            AdmissionDecision::Refuse(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::Overload);
                assert!(refusal.retry_after.is_some());
                assert!((12..60).contains(&waiting), "{waiting} queued");
                return;
            }
        }
    }
    panic!("no request was refused with {waiting} queued");
}

/// All endpoints of the session's version fail a request. The session must not continue with
/// another version, even though that might save the request.
#[test]
fn retries_of_a_pinned_request_keep_its_version() {
    let mut router = TestConfig::default().router();
    let pinned = RequestInfo {
        session: Session::Pinned {
            version: version(0),
            step: 2,
        },
        ..request(secs(0.0), 1)
    };
    let mut dispatch = expect_run(router.offer(secs(0.0), &pinned));
    loop {
        assert_eq!(dispatch.version, Some(version(0)));
        let broken = outcome(AttemptResult::Broken);
        match router.finish(secs(0.1), dispatch.ticket, &broken) {
            AttemptDecision::Run(next) => dispatch = next,
            AttemptDecision::Refuse(_) => return,
            AttemptDecision::Done => panic!("a broken attempt was reported as done"),
        }
    }
}

/// The router stops a bad canary while the platform is unavailable, so that the stop is not
/// recorded yet. An unrelated configuration change follows. The node sets the recorded stops again;
/// if that cleared the router's own decision, callers would get the bad version again.
#[test]
fn unrecorded_stop_survives_unrelated_configuration_changes() {
    let mut router = router_with_canary();
    router.merge_evidence(
        1,
        &[counters_with_errors(0, 4), counters_with_errors(1, 130)],
    );
    assert_eq!(router.take_stops(secs(1.0)).len(), 1);
    router.reconfigure(secs(2.0), config_with_canary().config());
    router.set_stopped(version(1), false);
    assert_eq!(count_sessions_on_canary(&mut router), 0);
}

#[test]
fn recorded_stop_ends_when_its_record_is_removed() {
    let mut router = router_with_canary();
    router.merge_evidence(
        1,
        &[counters_with_errors(0, 4), counters_with_errors(1, 130)],
    );
    assert_eq!(router.take_stops(secs(1.0)).len(), 1);
    router.set_stopped(version(1), true);
    router.set_stopped(version(1), false);
    assert!(count_sessions_on_canary(&mut router) > 0);
}

#[test]
fn stop_ends_when_a_configuration_changes_the_version() {
    let mut router = router_with_canary();
    router.merge_evidence(
        1,
        &[counters_with_errors(0, 4), counters_with_errors(1, 130)],
    );
    assert_eq!(router.take_stops(secs(1.0)).len(), 1);
    let mut changed = config_with_canary();
    changed.states[1] = VersionState::Canary { share: 0.6 };
    router.reconfigure(secs(2.0), changed.config());
    assert!(
        router.take_stops(secs(2.0)).is_empty(),
        "evidence from before the change counted"
    );
    assert!(count_sessions_on_canary(&mut router) > 0);
}

/// Opens 100 sessions and counts those on the canary.
fn count_sessions_on_canary(router: &mut Router) -> usize {
    let opened = |i| router.open_session(secs(3.0), customer(0), model_service(), i);
    let versions = (0..100).map(opened).filter_map(Result::ok);
    versions.filter(|(v, _)| *v == version(1)).count()
}

/// Only the cheap version is loaded on any engine. Buffering its answers for a rating would cost
/// time without benefit, since no better version can follow.
#[test]
fn answer_is_not_buffered_if_no_engine_has_a_better_version() {
    let mut router = TestConfig {
        states: [
            VersionState::Serving,
            VersionState::Withdrawn,
            VersionState::Serving,
        ],
        quality: 0.95,
        ..TestConfig::default()
    }
    .router();
    for engine in 0..3 {
        router.set_loaded_versions(endpoint(engine), Some(vec![version(0)]));
    }
    for i in 0..100_u32 {
        let now = secs(f64::from(i));
        let dispatch = expect_run(router.offer(now, &request(now, i.into())));
        assert_eq!(
            (dispatch.version, dispatch.needs_rating),
            (Some(version(0)), false)
        );
        router.finish(now, dispatch.ticket, &complete(None));
    }
}

/// A service is renamed, which removes the old one, while its requests are in flight. If the slots
/// that they use at the endpoints were never released, the pool would stay full for the new
/// service.
#[test]
fn requests_of_a_removed_service_release_their_slots() {
    let mut router = TestConfig::default().router();
    let mut running = Vec::new();
    while let AdmissionDecision::Run(dispatch) = router.offer(secs(0.0), &request(secs(0.0), 1)) {
        running.push(dispatch.ticket);
    }
    let mut cfg = (*TestConfig::default().config()).clone();
    let mut services = oatdale_config::Arena::default();
    for (key, service) in cfg.services.iter() {
        let mut service = service.clone();
        if key == model_service() {
            service.name = "renamed".to_owned();
        }
        services.push(service);
    }
    cfg.services = services;
    router.reconfigure(secs(0.1), cfg.into());
    let count = running.len();
    for ticket in running {
        router.finish(secs(0.2), ticket, &complete(None));
    }
    for rollout_hash in 0..count as u64 {
        expect_run(router.offer(secs(0.3), &request(secs(0.3), rollout_hash)));
    }
}
