//! Cascades, evidence against bad versions and what outlives a new configuration.

use crate::fixture::{
    Shape, ask, complete, customer, desk, endpoint, outcome, planner, run, secs, version, wait,
};
use oatdale_config::VersionState;
use oatdale_policy::{
    Ask, AttemptResult, Fault, Next, Offer, Outcome, RefusalReason, Router, Session, Turn,
    VersionCounters, VersionReason,
};

const CANARY: VersionState = VersionState::Canary { share: 0.5 };

fn canary_shape() -> Shape {
    Shape {
        states: [VersionState::Serving, CANARY, VersionState::Withdrawn],
        ..Shape::default()
    }
}

fn with_canary() -> Router {
    canary_shape().router()
}

/// Counts of a node that saw a version fail in `errors` of 400 requests.
fn failed(index: usize, errors: u64) -> VersionCounters {
    VersionCounters {
        requests: 400,
        errors,
        ..VersionCounters::zero(version(index))
    }
}

// A volunteer reads a draft while it is generated. If the router kept the answer back to have it
// rated, nothing would be seen until the whole draft was there: a second and a half in place of a
// twentieth.
#[test]
fn a_stream_of_a_service_that_weighs_latency_first_is_never_kept_back() {
    let mut router = Shape {
        quality: 0.95,
        latency_weight: 0.8,
        ..Shape::default()
    }
    .router();
    for i in 0..500_u32 {
        let now = secs(f64::from(i));
        let streamed = Ask {
            stream: true,
            ..ask(now, i.into())
        };
        let dispatch = run(router.offer(now, &streamed));
        assert!(!dispatch.judge, "request {i}");
        let good = dispatch.version == Some(version(2));
        assert_eq!(
            router.finish(now, dispatch.ticket, &complete(None)),
            Next::Done
        );
        let rating = f64::from(u8::from(good));
        let version = dispatch.version.expect("a model answers");
        router.observe_rating(now, planner(), 0, version, rating);
    }
}

#[test]
fn a_rejected_answer_is_followed_by_a_better_version() {
    let mut router = Shape {
        quality: 0.95,
        ..Shape::default()
    }
    .router();
    let mut escalated = 0;
    for i in 0..200_u32 {
        let now = secs(f64::from(i));
        let mut dispatch = run(router.offer(now, &ask(now, i.into())));
        let is_good = |d: &oatdale_policy::Dispatch| d.version == Some(version(2));
        loop {
            let rating = f64::from(u8::from(is_good(&dispatch)));
            match router.finish(now, dispatch.ticket, &complete(Some(rating))) {
                Next::Run(next) => {
                    assert!(dispatch.judge);
                    assert_eq!(next.why_version, VersionReason::Escalated);
                    escalated += 1;
                    dispatch = next;
                }
                Next::Done => break,
                Next::Refuse(refusal) => panic!("{refusal:?}"),
            }
        }
    }
    assert!(escalated > 0);
}

/// A licence summary must not run twice, so its first answer is its last, however it is rated.
#[test]
fn a_non_idempotent_request_never_cascades() {
    let mut router = Shape {
        quality: 0.95,
        ..Shape::default()
    }
    .router();
    for i in 0..200_u32 {
        let now = secs(f64::from(i));
        let asked = Ask {
            idempotent: false,
            ..ask(now, i.into())
        };
        let dispatch = run(router.offer(now, &asked));
        assert!(!dispatch.judge);
        let next = router.finish(now, dispatch.ticket, &complete(Some(0.0)));
        assert_eq!(next, Next::Done);
    }
}

/// A canary fails in a third of its requests at two other nodes while this one has seen nothing.
/// Callers there get errors; no operator is awake. The nodes' counts together must stop it.
#[test]
fn counts_of_other_nodes_stop_a_bad_canary() {
    let mut router = with_canary();
    router.merge_evidence(1, &[failed(0, 4), failed(1, 130)]);
    let stops = router.take_stops(secs(1.0));
    assert_eq!(stops.len(), 1, "{stops:?}");
    assert_eq!(
        (stops[0].version, stops[0].fault),
        (version(1), Fault::Errors)
    );
    for i in 0..100 {
        let opened = router.open_session(secs(1.0), customer(0), planner(), i);
        assert_eq!(opened.map(|(v, _)| v), Ok(version(0)));
    }
    assert!(router.take_stops(secs(2.0)).is_empty());
}

/// A customer sets a timeout of 20 ms at a node that has not learned yet that answers take ten times
/// as long. The endpoints and versions are sound. Counted against them, a few such requests would
/// stop the canary on every node and leave all customers without an endpoint.
#[test]
fn timeouts_that_no_answer_could_meet_say_nothing() {
    let mut router = with_canary();
    let mut now = secs(0.0);
    for i in 0..60_u64 {
        now += secs(0.1);
        let hasty = Ask {
            deadline: now + secs(0.02),
            ..ask(now, i * 7919)
        };
        let offer = router.offer(now, &hasty);
        let Offer::Run(dispatch) = offer else {
            panic!("request {i} got {offer:?}");
        };
        now += secs(0.02);
        let timed_out = Outcome {
            total: secs(0.02),
            first_byte: None,
            ..outcome(AttemptResult::TimedOut)
        };
        let next = router.finish(now, dispatch.ticket, &timed_out);
        assert!(matches!(next, Next::Refuse(_)), "{next:?}");
    }
    let stops = router.take_stops(now);
    assert!(stops.is_empty(), "{stops:?}");
    run(router.offer(now, &ask(now, 1)));
}

/// A canary hangs, and callers wait for five seconds where answers take 0.2 s. They gave it time
/// enough: it must be stopped, although the service's own deadline is twice that.
#[test]
fn a_version_that_hangs_is_stopped_by_callers_with_timeouts_of_their_own() {
    let mut router = with_canary();
    let mut now = secs(0.0);
    for i in 0..200_u64 {
        now += secs(6.0);
        let asked = Ask {
            deadline: now + secs(5.0),
            ..ask(now, i * 7919)
        };
        let Offer::Run(dispatch) = router.offer(now, &asked) else {
            continue;
        };
        let hangs = dispatch.version == Some(version(1));
        let ended = match hangs {
            true => Outcome {
                total: secs(5.0),
                first_byte: None,
                ..outcome(AttemptResult::TimedOut)
            },
            false => complete(None),
        };
        router.finish(now, dispatch.ticket, &ended);
    }
    let stops = router.take_stops(now);
    assert_eq!(stops.len(), 1, "{stops:?}");
    assert_eq!(stops[0].version, version(1));
}

/// Everything fails alike because a rack is down. Stopping the canary would blame the wrong cause
/// and hold up a healthy roll-out.
#[test]
fn a_canary_that_fails_no_more_than_the_others_goes_on() {
    let mut router = with_canary();
    router.merge_evidence(1, &[failed(0, 120), failed(1, 130)]);
    assert!(router.take_stops(secs(1.0)).is_empty());
}

/// Gossip delivers a report twice and an older one last. Counting them again would double the
/// errors and stop a healthy version.
#[test]
fn repeated_and_late_reports_change_nothing() {
    let mut router = with_canary();
    for _ in 0..100 {
        router.merge_evidence(1, &[failed(0, 4), failed(1, 18)]);
        let older = VersionCounters {
            requests: 100,
            ..failed(1, 5)
        };
        router.merge_evidence(1, &[older]);
        assert!(router.take_stops(secs(1.0)).is_empty());
    }
}

/// The only version that customer 1 may use turns bad. Stopping it would leave that customer
/// without any answer, so it stays until an operator decides.
#[test]
fn a_customers_last_version_is_not_stopped() {
    let mut router = Shape::default().router();
    router.merge_evidence(1, &[failed(0, 200), failed(1, 4)]);
    assert!(router.take_stops(secs(1.0)).is_empty());
}

#[test]
fn requests_under_way_outlive_a_new_configuration() {
    let mut router = Shape::default().router();
    let mut running = Vec::new();
    let waiting = loop {
        match router.offer(secs(0.0), &ask(secs(0.0), 1)) {
            Offer::Run(dispatch) => running.push(dispatch.ticket),
            other => break wait(other),
        }
    };
    router.reconfigure(secs(0.1), Shape::default().config());
    assert_eq!(router.next_turn(secs(0.1)), None);
    let next = router.finish(secs(0.2), running[0], &complete(None));
    assert_eq!(next, Next::Done);
    let turn = router.next_turn(secs(0.2));
    assert!(
        matches!(turn, Some((t, Turn::Run(_))) if t == waiting),
        "{turn:?}"
    );
}

/// An operator removes a service while requests wait for it. They must get their answer now and
/// not wait for a turn that never comes.
#[test]
fn requests_of_a_removed_service_are_refused() {
    let mut router = Shape::default().router();
    let waiting = loop {
        if let Offer::Wait(ticket) = router.offer(secs(0.0), &ask(secs(0.0), 1)) {
            break ticket;
        }
    };
    let mut cfg = (*Shape::default().config()).clone();
    let mut services = oatdale_config::Arena::default();
    let mut kept = cfg.services[desk()].clone();
    kept.name = "other".to_owned();
    services.push(kept);
    cfg.services = services;
    router.reconfigure(secs(0.1), cfg.into());
    let turn = router.next_turn(secs(0.1));
    let Some((ticket, Turn::Refuse(refusal))) = turn else {
        panic!("{turn:?}");
    };
    assert_eq!(
        (ticket, refusal.reason),
        (waiting, RefusalReason::NoVersion)
    );
    assert_eq!(router.next_turn(secs(0.1)), None);
}

/// Nothing finishes for a while and callers keep coming. Whoever could not be served in time is
/// told at once when to come back, while the queue stays short enough to be served.
#[test]
fn callers_who_cannot_be_served_in_time_are_refused_at_once() {
    let mut router = Shape::default().router();
    let warm = run(router.offer(secs(0.0), &ask(secs(0.0), 0)));
    let slow = oatdale_policy::Outcome {
        total: secs(2.0),
        ..complete(None)
    };
    router.finish(secs(2.0), warm.ticket, &slow);
    let mut waiting = 0;
    for draw in 0..500 {
        match router.offer(secs(2.0), &ask(secs(2.0), draw)) {
            Offer::Run(_) => {}
            Offer::Wait(_) => waiting += 1,
            Offer::Refuse(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::Overload);
                assert!(refusal.retry_after.is_some());
                assert!((12..60).contains(&waiting), "{waiting} wait");
                return;
            }
        }
    }
    panic!("{waiting} wait and none was refused");
}

/// All endpoints of the session's version fail it. The session must not go on with another
/// version, not even to save the request.
#[test]
fn a_failed_session_request_does_not_change_its_version() {
    let mut router = Shape::default().router();
    let asked = Ask {
        session: Session::Pinned {
            version: version(0),
            step: 2,
        },
        ..ask(secs(0.0), 1)
    };
    let mut dispatch = run(router.offer(secs(0.0), &asked));
    loop {
        assert_eq!(dispatch.version, Some(version(0)));
        let broken = outcome(AttemptResult::Broken);
        match router.finish(secs(0.1), dispatch.ticket, &broken) {
            Next::Run(next) => dispatch = next,
            Next::Refuse(_) => return,
            Next::Done => panic!("a broken answer is not whole"),
        }
    }
}

/// The router stops a bad canary while the platform's service is down, so no record of the stop
/// exists yet. Then an operator changes something else. The node sets the recorded stops anew,
/// and if that cleared the router's own decision, callers would get the bad version again.
#[test]
fn a_stop_that_is_not_recorded_yet_outlives_other_changes() {
    let mut router = with_canary();
    router.merge_evidence(1, &[failed(0, 4), failed(1, 130)]);
    assert_eq!(router.take_stops(secs(1.0)).len(), 1);
    router.reconfigure(secs(2.0), canary_shape().config());
    router.set_stopped(version(1), false);
    assert_eq!(opened_on_canary(&mut router), 0);
}

#[test]
fn a_recorded_stop_ends_with_its_record() {
    let mut router = with_canary();
    router.merge_evidence(1, &[failed(0, 4), failed(1, 130)]);
    assert_eq!(router.take_stops(secs(1.0)).len(), 1);
    router.set_stopped(version(1), true);
    router.set_stopped(version(1), false);
    assert!(opened_on_canary(&mut router) > 0);
}

#[test]
fn a_stop_ends_with_a_text_that_speaks_of_the_version() {
    let mut router = with_canary();
    router.merge_evidence(1, &[failed(0, 4), failed(1, 130)]);
    assert_eq!(router.take_stops(secs(1.0)).len(), 1);
    let mut shape = canary_shape();
    shape.states[1] = VersionState::Canary { share: 0.6 };
    router.reconfigure(secs(2.0), shape.config());
    assert!(router.take_stops(secs(2.0)).is_empty(), "old evidence");
    assert!(opened_on_canary(&mut router) > 0);
}

/// Sessions of a hundred that open on the canary.
fn opened_on_canary(router: &mut Router) -> usize {
    let opened = |i| router.open_session(secs(3.0), customer(0), planner(), i);
    let versions = (0..100).map(opened).filter_map(Result::ok);
    versions.filter(|(v, _)| *v == version(1)).count()
}

/// Only the cheap version is loaded anywhere. Holding its answers back for a rating would cost
/// time for nothing, since no better version can follow.
#[test]
fn an_answer_is_not_held_back_for_a_version_that_no_engine_holds() {
    let mut router = Shape {
        states: [
            VersionState::Serving,
            VersionState::Withdrawn,
            VersionState::Serving,
        ],
        quality: 0.95,
        ..Shape::default()
    }
    .router();
    for engine in 0..3 {
        router.endpoint_holds(endpoint(engine), Some(vec![version(0)]));
    }
    for i in 0..100_u32 {
        let now = secs(f64::from(i));
        let dispatch = run(router.offer(now, &ask(now, i.into())));
        assert_eq!(
            (dispatch.version, dispatch.judge),
            (Some(version(0)), false)
        );
        router.finish(now, dispatch.ticket, &complete(None));
    }
}

/// An operator renames a service while its requests run. If the places that these requests held
/// at the endpoints were never given back, the new service would find the pool full for ever.
#[test]
fn requests_of_a_removed_service_give_their_places_back() {
    let mut router = Shape::default().router();
    let mut running = Vec::new();
    while let Offer::Run(dispatch) = router.offer(secs(0.0), &ask(secs(0.0), 1)) {
        running.push(dispatch.ticket);
    }
    let mut cfg = (*Shape::default().config()).clone();
    let mut services = oatdale_config::Arena::default();
    for (key, service) in cfg.services.iter() {
        let mut service = service.clone();
        if key == planner() {
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
    for draw in 0..count as u64 {
        run(router.offer(secs(0.3), &ask(secs(0.3), draw)));
    }
}
