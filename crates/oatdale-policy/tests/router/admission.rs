//! Tests of limits, queues, retries and refusals.

use crate::fixture::{
    TestConfig, complete, customer, endpoint, expect_run, expect_wait, model_service,
    node_identity, outcome, plain_service, refusal_reason, request, secs, version,
};
use oatdale_config::Limits;
use oatdale_policy::{
    AdmissionDecision, AttemptDecision, AttemptResult, Outcome, QueueDecision, RefusalReason,
    RequestInfo, Router, Session, Ticket,
};

fn router_with_limits(requests_per_second: f64, concurrent: u32) -> Router {
    let limits = Limits {
        requests_per_second,
        concurrent,
    };
    TestConfig {
        limits,
        ..TestConfig::default()
    }
    .router()
}

#[test]
fn customer_above_its_rate_is_refused_with_retry_after() {
    let mut router = router_with_limits(1.0, 100);
    for _ in 0..2 {
        let dispatch = expect_run(router.offer(secs(0.0), &request(secs(0.0), 1)));
        router.finish(secs(0.0), dispatch.ticket, &complete(None));
    }
    let AdmissionDecision::Refuse(refusal) = router.offer(secs(0.0), &request(secs(0.0), 1)) else {
        panic!("a request above the rate was not refused");
    };
    assert_eq!(refusal.reason, RefusalReason::CustomerRate);
    let retry_at = refusal
        .retry_after
        .expect("a refusal for the rate has a retry-after delay");
    expect_run(router.offer(retry_at, &request(retry_at, 1)));
}

#[test]
fn customer_above_its_share_of_concurrent_requests_is_refused() {
    let mut router = router_with_limits(1000.0, 8);
    router.set_customer_share(customer(0), 0.25);
    let first = expect_run(router.offer(secs(0.0), &request(secs(0.0), 1)));
    expect_run(router.offer(secs(0.0), &request(secs(0.0), 2)));
    let reason = refusal_reason(router.offer(secs(0.0), &request(secs(0.0), 3)));
    assert_eq!(reason, RefusalReason::CustomerConcurrency);
    router.finish(secs(0.1), first.ticket, &complete(None));
    expect_run(router.offer(secs(0.1), &request(secs(0.1), 3)));
}

#[test]
fn waiting_requests_run_in_order_as_endpoints_become_free() {
    let mut router = TestConfig::default().router();
    let mut running = Vec::new();
    let mut waiting = Vec::new();
    for rollout_hash in 0..20 {
        match router.offer(secs(0.0), &request(secs(0.0), rollout_hash)) {
            AdmissionDecision::Run(dispatch) => running.push(dispatch.ticket),
            other => waiting.push(expect_wait(other)),
        }
    }
    assert_eq!((running.len(), waiting.len()), (12, 8));
    let mut polled = Vec::new();
    for ticket in running {
        router.finish(secs(0.2), ticket, &complete(None));
        while let Some((ticket, decision)) = router.poll_queue(secs(0.2)) {
            assert!(matches!(decision, QueueDecision::Run(_)), "{decision:?}");
            polled.push(ticket);
        }
    }
    assert_eq!(polled, waiting);
    assert_eq!(router.next_wake(), None);
}

/// All endpoints hang, so that no event but the router's own wake-up comes. It must refuse the
/// waiting request once the deadline can't be met.
#[test]
fn waiting_request_is_refused_when_its_deadline_cannot_be_met() {
    let mut router = TestConfig::default().router();
    let ticket = loop {
        if let AdmissionDecision::Wait(ticket) = router.offer(secs(0.0), &request(secs(0.0), 1)) {
            break ticket;
        }
    };
    let mut now = secs(0.0);
    while let Some(wake) = router.next_wake() {
        assert!(wake > now && wake <= secs(10.0));
        now = wake;
        if let Some((refused, QueueDecision::Refuse(refusal))) = router.poll_queue(now) {
            assert_eq!((refused, refusal.reason), (ticket, RefusalReason::Deadline));
            return;
        }
    }
    panic!("the request was never refused");
}

#[test]
fn small_customer_does_not_wait_for_the_queue_of_a_large_one() {
    let mut router = TestConfig::default().router();
    let mut running: Vec<Ticket> = Vec::new();
    for rollout_hash in 0..60 {
        if let AdmissionDecision::Run(dispatch) =
            router.offer(secs(0.0), &request(secs(0.0), rollout_hash))
        {
            running.push(dispatch.ticket);
        }
    }
    let small_request = RequestInfo {
        customer: customer(1),
        ..request(secs(0.0), 1)
    };
    let small_ticket = expect_wait(router.offer(secs(0.0), &small_request));
    let mut decision_count = 0;
    for ticket in running {
        router.finish(secs(0.2), ticket, &complete(None));
        while let Some((ticket, _)) = router.poll_queue(secs(0.2)) {
            decision_count += 1;
            if ticket == small_ticket {
                assert!(decision_count <= 2, "ran as decision {decision_count}");
                return;
            }
        }
    }
    panic!("the request of the small customer never ran");
}

/// A non-idempotent call, such as the confirmation of a booking, breaks off halfway. It may have
/// run, so a retry could book twice.
#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    for result in [AttemptResult::Broken, AttemptResult::TimedOut] {
        let mut router = TestConfig::default().router();
        let non_idempotent = RequestInfo {
            idempotent: false,
            ..request(secs(0.0), 1)
        };
        let dispatch = expect_run(router.offer(secs(0.0), &non_idempotent));
        assert!(!dispatch.needs_rating);
        let decision = router.finish(secs(0.1), dispatch.ticket, &outcome(result));
        assert!(
            matches!(decision, AttemptDecision::Refuse(_)),
            "{decision:?}"
        );
    }
}

#[test]
fn unsent_request_is_retried_at_another_endpoint() {
    let mut router = TestConfig::default().router();
    let non_idempotent = RequestInfo {
        idempotent: false,
        ..request(secs(0.0), 1)
    };
    let first = expect_run(router.offer(secs(0.0), &non_idempotent));
    let decision = router.finish(secs(0.1), first.ticket, &outcome(AttemptResult::NotSent));
    let AttemptDecision::Run(second) = decision else {
        panic!("expected a retry, got {decision:?}");
    };
    assert_ne!(second.endpoint, first.endpoint);
    assert_eq!((second.ticket, second.attempt), (first.ticket, 2));
}

/// A stream breaks after its first tokens have reached the caller. A retry would send the
/// beginning of a second answer after them.
#[test]
fn partially_forwarded_answer_is_not_retried() {
    let mut router = TestConfig::default().router();
    let dispatch = expect_run(router.offer(secs(0.0), &request(secs(0.0), 1)));
    let broken = Outcome {
        forwarded: true,
        ..outcome(AttemptResult::Broken)
    };
    let decision = router.finish(secs(0.1), dispatch.ticket, &broken);
    assert!(
        matches!(decision, AttemptDecision::Refuse(_)),
        "{decision:?}"
    );
}

#[test]
fn leaving_endpoint_gets_no_new_requests() {
    let mut router = TestConfig::default().router();
    router.set_endpoint_leaving(secs(0.0), endpoint(0), true);
    for rollout_hash in 0..8 {
        let dispatch = expect_run(router.offer(secs(0.0), &request(secs(0.0), rollout_hash)));
        assert_ne!(dispatch.endpoint, endpoint(0));
    }
}

#[test]
fn stale_ticket_does_not_affect_other_requests() {
    let mut router = TestConfig::default().router();
    let old = expect_run(router.offer(secs(0.0), &request(secs(0.0), 1)));
    router.finish(secs(0.1), old.ticket, &complete(None));
    let new = expect_run(router.offer(secs(0.2), &request(secs(0.2), 2)));
    router.cancel(secs(0.2), old.ticket);
    assert_eq!(
        router.finish(secs(0.2), old.ticket, &complete(None)),
        AttemptDecision::Done
    );
    let decision = router.finish(secs(0.3), new.ticket, &outcome(AttemptResult::Broken));
    assert!(matches!(decision, AttemptDecision::Run(_)), "{decision:?}");
}

/// Callers open sessions faster than the service can serve them. In order of arrival, few sessions
/// would reach their last request: callers would be refused halfway, start again and add to the
/// load. So the session with more completed requests runs first.
#[test]
fn session_with_more_completed_requests_runs_first() {
    let mut router = TestConfig::default().router();
    let mut running = Vec::new();
    while let AdmissionDecision::Run(dispatch) = router.offer(secs(0.0), &request(secs(0.0), 1)) {
        running.push(dispatch.ticket);
    }
    let request_at_step = |step| RequestInfo {
        session: Session::Pinned {
            version: version(0),
            step,
        },
        ..request(secs(0.0), 2)
    };
    let step_1 = expect_wait(router.offer(secs(0.0), &request_at_step(1)));
    let step_3 = expect_wait(router.offer(secs(0.0), &request_at_step(3)));
    let mut polled = Vec::new();
    for ticket in running {
        router.finish(secs(0.2), ticket, &complete(None));
        while let Some((ticket, _)) = router.poll_queue(secs(0.2)) {
            polled.push(ticket);
        }
    }
    let position = |ticket| polled.iter().position(|&t| t == ticket);
    assert!(position(step_3) < position(step_1), "{polled:?}");
}

/// All hosts of a service that another one depends on are leaving. Requests to the other service
/// are refused at once, since callers would pay for an answer that they can't use.
#[test]
fn request_is_refused_while_a_dependency_has_no_endpoint() {
    let mut cfg = (*TestConfig::default().config()).clone();
    let mut services = oatdale_config::Arena::default();
    for (key, service) in cfg.services.iter() {
        let mut service = service.clone();
        if key == model_service() {
            service.depends_on = vec![plain_service()];
        }
        services.push(service);
    }
    cfg.services = services;
    let mut router = Router::new(cfg.into(), node_identity());
    expect_run(router.offer(secs(0.0), &request(secs(0.0), 1)));
    for host in 3..6 {
        router.set_endpoint_leaving(secs(0.0), endpoint(host), true);
    }
    let reason = refusal_reason(router.offer(secs(0.0), &request(secs(0.0), 1)));
    assert_eq!(reason, RefusalReason::Dependency);
}

/// An endpoint refuses every connection. After a few failures it is in back-off, so that not every
/// request tries it first; then one request probes it, so that it can recover.
#[test]
fn failing_endpoint_gets_no_requests_until_its_back_off_ends() {
    let mut router = TestConfig::default().router();
    let mut count_failures = |now: f64| {
        let mut dispatch = expect_run(router.offer(secs(now), &request(secs(now), now.to_bits())));
        let mut failed = 0;
        while dispatch.endpoint == endpoint(0) {
            failed += 1;
            let not_sent = outcome(AttemptResult::NotSent);
            match router.finish(secs(now), dispatch.ticket, &not_sent) {
                AttemptDecision::Run(next) => dispatch = next,
                other => panic!("expected a retry, got {other:?}"),
            }
        }
        router.finish(secs(now), dispatch.ticket, &complete(None));
        failed
    };
    let initial_failures: u32 = (0..50).map(|i| count_failures(f64::from(i) / 1000.0)).sum();
    assert_eq!(initial_failures, 3);
    let later_failures: u32 = (0..50)
        .map(|i| count_failures(5.0 + f64::from(i) / 1000.0))
        .sum();
    assert_eq!(later_failures, 1);
}

/// An attempt may fail because its whole failure domain fails. The retry goes to another domain,
/// which the same cause does not affect.
#[test]
fn retry_goes_to_another_failure_domain() {
    let cfg = TestConfig::default().config();
    for rollout_hash in 0..20 {
        let mut router = TestConfig::default().router();
        let first = expect_run(router.offer(secs(0.0), &request(secs(0.0), rollout_hash)));
        let broken = outcome(AttemptResult::Broken);
        let AttemptDecision::Run(second) = router.finish(secs(0.1), first.ticket, &broken) else {
            panic!("an idempotent request was not retried");
        };
        let domain_of = |e| cfg.endpoints[e].domain;
        assert_ne!(domain_of(first.endpoint), domain_of(second.endpoint));
    }
}
