//! Tests that version states and permissions apply to new, waiting, retried and pinned requests.

use crate::fixture::{
    TestConfig, complete, customer, endpoint, expect_run, expect_wait, model_service,
    node_identity, outcome, refusal_reason, request, secs, version,
};
use oatdale_config::VersionState;
use oatdale_policy::{
    AdmissionDecision, AttemptDecision, AttemptResult, QueueDecision, RefusalReason, RequestInfo,
    Router, Session, VersionReason,
};

const CANARY: VersionState = VersionState::Canary { share: 0.2 };

fn with_states(states: [VersionState; 3]) -> TestConfig {
    TestConfig {
        states,
        ..TestConfig::default()
    }
}

fn pinned(now: f64, index: usize) -> RequestInfo {
    RequestInfo {
        session: Session::Pinned {
            version: version(index),
            step: 1,
        },
        ..request(secs(now), 1)
    }
}

#[test]
fn canary_gets_its_share_of_requests() {
    let mut router = with_states([VersionState::Serving, CANARY, VersionState::Withdrawn]).router();
    let mut canaries = 0;
    for i in 0_u32..2000 {
        let now = secs(f64::from(i));
        let dispatch = expect_run(router.offer(now, &request(now, u64::from(i) * 7919)));
        canaries += usize::from(dispatch.version == Some(version(1)));
        router.finish(now, dispatch.ticket, &complete(None));
    }
    assert!((340..460).contains(&canaries), "{canaries} of 2000");
}

#[test]
fn customer_gets_only_allowed_versions() {
    let mut router = with_states([VersionState::Serving, CANARY, VersionState::Serving]).router();
    for i in 0_u32..500 {
        let now = secs(f64::from(i));
        let restricted = RequestInfo {
            customer: customer(1),
            ..request(now, u64::from(i))
        };
        let dispatch = expect_run(router.offer(now, &restricted));
        assert_eq!(dispatch.version, Some(version(0)));
        router.finish(now, dispatch.ticket, &complete(Some(0.0)));
    }
}

#[test]
fn draining_version_gets_only_pinned_requests() {
    let draining = [
        VersionState::Draining,
        VersionState::Withdrawn,
        VersionState::Withdrawn,
    ];
    let mut router = with_states(draining).router();
    let refusal = refusal_reason(router.offer(secs(0.0), &request(secs(0.0), 1)));
    assert_eq!(refusal, RefusalReason::NoVersion);
    let dispatch = expect_run(router.offer(secs(0.0), &pinned(0.0, 0)));
    assert_eq!(dispatch.version, Some(version(0)));
    assert_eq!(dispatch.version_reason, VersionReason::Pinned);
}

/// An operator withdraws the version of an open session. The next request is refused with a reason
/// that tells the caller that it did not run; it must never silently move to another version.
#[test]
fn session_with_a_withdrawn_version_is_refused() {
    let mut router = with_states([VersionState::Serving; 3]).router();
    let withdrawn = [
        VersionState::Withdrawn,
        VersionState::Serving,
        VersionState::Serving,
    ];
    router.reconfigure(secs(1.0), with_states(withdrawn).config());
    let refusal = refusal_reason(router.offer(secs(1.0), &pinned(1.0, 0)));
    assert_eq!(refusal, RefusalReason::SessionVersionWithdrawn);
}

/// The version is withdrawn while a request waits for a free engine. If the choice made on arrival
/// were kept, the version would answer seconds after its withdrawal.
#[test]
fn waiting_request_does_not_run_on_a_version_withdrawn_meanwhile() {
    let first_serving = [
        VersionState::Serving,
        VersionState::Withdrawn,
        VersionState::Withdrawn,
    ];
    let mut router = with_states(first_serving).router();
    let (running, ticket) = fill_engines(&mut router);
    let all_withdrawn = [VersionState::Withdrawn; 3];
    router.reconfigure(secs(0.5), with_states(all_withdrawn).config());
    router.finish(secs(0.5), running, &complete(None));
    let (polled_ticket, decision) = router.poll_queue(secs(0.5)).expect("an engine is free");
    assert_eq!(polled_ticket, ticket);
    let QueueDecision::Refuse(refusal) = decision else {
        panic!("ran on a withdrawn version: {decision:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::NoVersion);
}

/// An attempt fails just after its version was withdrawn. A retry with that version would be new
/// work for it.
#[test]
fn retry_does_not_use_a_version_withdrawn_meanwhile() {
    let mut router = with_states([VersionState::Serving; 3]).router();
    let dispatch = expect_run(router.offer(secs(0.0), &pinned(0.0, 0)));
    let withdrawn = [
        VersionState::Withdrawn,
        VersionState::Serving,
        VersionState::Serving,
    ];
    router.reconfigure(secs(0.1), with_states(withdrawn).config());
    let decision = router.finish(secs(0.1), dispatch.ticket, &outcome(AttemptResult::NotSent));
    assert!(
        matches!(decision, AttemptDecision::Refuse(_)),
        "{decision:?}"
    );
}

#[test]
fn stopped_version_serves_only_pinned_sessions() {
    let mut router = Router::new(TestConfig::default().config(), node_identity());
    router.set_stopped(version(0), true);
    for i in 0_u32..50 {
        let now = secs(f64::from(i));
        let dispatch = expect_run(router.offer(now, &request(now, i.into())));
        assert_ne!(dispatch.version, Some(version(0)));
        router.finish(now, dispatch.ticket, &complete(None));
        let opened = router.open_session(now, customer(0), model_service(), i.into());
        assert_ne!(opened.map(|(v, _)| v), Ok(version(0)));
    }
    let dispatch = expect_run(router.offer(secs(60.0), &pinned(60.0, 0)));
    assert_eq!(dispatch.version, Some(version(0)));
}

/// The configuration changes many times a day; a change that does not affect the version must not
/// end its stop.
#[test]
fn stop_persists_across_reconfiguration() {
    let mut router = Router::new(TestConfig::default().config(), node_identity());
    router.set_stopped(version(0), true);
    router.reconfigure(secs(1.0), TestConfig::default().config());
    let dispatch = expect_run(router.offer(secs(1.0), &request(secs(1.0), 1)));
    assert_ne!(dispatch.version, Some(version(0)));
}

/// Sends requests until the engines are full and one request waits; returns the tickets of the last
/// running and of the waiting request.
fn fill_engines(router: &mut Router) -> (oatdale_policy::Ticket, oatdale_policy::Ticket) {
    let mut running = None;
    for rollout_hash in 0..64 {
        match router.offer(secs(0.0), &request(secs(0.0), rollout_hash)) {
            AdmissionDecision::Run(dispatch) => running = Some(dispatch.ticket),
            other => return (running.expect("a request ran"), expect_wait(other)),
        }
    }
    panic!("the engines never became full");
}

/// The configuration has a canary that no engine has loaded yet. Requests of its share would wait
/// in vain, and a session pinned to it would have all its requests refused.
#[test]
fn canary_loaded_by_no_engine_gets_no_requests() {
    let mut router = with_states([VersionState::Serving, CANARY, VersionState::Withdrawn]).router();
    for engine in 0..3 {
        router.set_loaded_versions(endpoint(engine), Some(vec![version(0)]));
    }
    for rollout_hash in 0..100 {
        let opened = router.open_session(secs(0.0), customer(0), model_service(), rollout_hash);
        assert_eq!(opened.map(|(v, _)| v), Ok(version(0)));
        let unpinned = expect_run(router.offer(secs(0.0), &request(secs(0.0), rollout_hash)));
        assert_eq!(unpinned.version, Some(version(0)));
        router.finish(secs(0.0), unpinned.ticket, &complete(None));
    }
}
