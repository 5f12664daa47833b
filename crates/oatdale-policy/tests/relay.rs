//! Decisions about requests that are proxied without interpreting their content.

use oatdale_policy::relay::{
    Candidate, EngineReport, EscalationDecision, Health, Ladder, Placement, RetryLimit,
    RetryLimiter, choose,
};
use std::time::Duration;

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn candidate(in_flight: f64, same_domain: bool, affinity: u64) -> Candidate {
    Candidate {
        in_flight,
        same_domain,
        affinity,
        may_warm_up: false,
    }
}

// One prefix gets much of the traffic. Without a bound, the endpoint that caches it would get all
// of these requests, and their callers would wait while other endpoints are idle.
#[test]
fn affinity_is_ignored_when_the_preferred_endpoint_is_overloaded() {
    let others = [candidate(1.0, true, 2), candidate(1.0, true, 1)];
    let choice_at = |load| {
        choose(
            &[candidate(load, true, 9), others[0], others[1]],
            Placement::Affinity,
            0,
        )
    };
    assert_eq!(choice_at(1.0), Some(0));
    assert_eq!(choice_at(3.0), Some(0));
    assert_eq!(choice_at(12.0), Some(1));
}

#[test]
fn own_domain_is_preferred_until_its_load_is_higher() {
    let pick = |own, other| {
        let all = [candidate(other, false, 0), candidate(own, true, 0)];
        choose(&all, Placement::Load, 0)
    };
    assert_eq!(pick(1.0, 0.0), Some(1));
    assert_eq!(pick(3.0, 0.0), Some(0));
    assert_eq!(choose(&[], Placement::Load, 5), None);
}

// All requests arrive at idle endpoints. If ties went to the first endpoint in the list, all nodes
// would send to the same one.
#[test]
fn ties_are_broken_by_draw() {
    let all = [candidate(0.0, true, 0); 4];
    let picks: Vec<_> = (0..4)
        .filter_map(|draw| choose(&all, Placement::Load, draw))
        .collect();
    assert_eq!(picks, [0, 1, 2, 3]);
}

#[test]
fn unreachable_endpoint_is_ejected_longer_each_time_and_then_retried() {
    let mut health = Health::default();
    let mut now = secs(10);
    let mut backoffs = Vec::new();
    for _ in 0..5 {
        health.record_no_response(now);
        let began = now;
        while health.is_ejected(now) {
            now += Duration::from_millis(100);
        }
        backoffs.push(now - began);
    }
    assert!(backoffs.is_sorted(), "{backoffs:?}");
    assert!(backoffs[4] <= secs(3), "{backoffs:?}");
    health.record_response(true);
    health.record_no_response(now);
    assert!(!health.is_ejected(now + Duration::from_millis(500)));
}

// An endpoint fails a third or more of its requests while its health check passes. It should get
// fewer requests, and be used again once it has recovered.
#[test]
fn failing_endpoint_has_a_higher_load_factor_until_it_recovers() {
    let mut health = Health::default();
    assert!(health.load_factor() <= 1.0);
    for n in 0..30 {
        health.record_response(n % 2 == 0);
    }
    assert!(health.load_factor() > 3.0);
    for _ in 0..10 {
        health.record_response(true);
    }
    assert!(health.load_factor() <= 1.0);
}

// A call that may be sent only once gets no response. Four late responses must suffice to prefer
// other endpoints, before any call has reached its timeout.
#[test]
fn late_responses_raise_the_load_factor() {
    let mut health = Health::default();
    for n in 0..70 {
        health.record_response(n % 7 != 0);
    }
    assert!(health.load_factor() <= 1.0);
    for _ in 0..4 {
        health.record_late_response();
    }
    assert!(health.load_factor() > 3.0);
}

const RETRY_LIMIT: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.5,
    slack: 4.0,
};

// Endpoints that fail because they are overloaded would stay so if each request were sent again: in
// no window, whenever it begins, may there be more retries than its requests allow. Requests come
// in bursts; as operators state the limit, the requests of a window that begins half a window
// earlier may be counted instead.
#[test]
fn retries_stay_within_the_limit_in_any_window() {
    let reduced_limit = RetryLimit {
        ratio: RETRY_LIMIT.ratio * 0.85,
        slack: RETRY_LIMIT.slack * 0.85,
        ..RETRY_LIMIT
    };
    let mut limiter = RetryLimiter::default();
    let mut requested = Vec::new();
    let mut retried = Vec::new();
    for tick in 0..6_000_u64 {
        let now = Duration::from_millis(tick * 10);
        let is_burst = (tick / 700) % 3 == 1;
        let is_trickle = tick % 40 == 0;
        if is_burst || is_trickle {
            limiter.record_request(now, &reduced_limit);
            requested.push(now);
        }
        while limiter.try_retry(now, &reduced_limit, 0.0) {
            retried.push(now);
        }
    }
    let within = |times: &[Duration], from: Duration| {
        let until = from + RETRY_LIMIT.window;
        times.iter().filter(|t| **t >= from && **t < until).count() as f64
    };
    for from in (0..50_000).step_by(50).map(Duration::from_millis) {
        let before = from.saturating_sub(RETRY_LIMIT.window / 2);
        let requests = within(&requested, from).max(within(&requested, before));
        let limit = requests * RETRY_LIMIT.ratio + RETRY_LIMIT.slack;
        assert!(within(&retried, from) <= limit, "{from:?}");
    }
    // The limit is used up except for a small part.
    assert!(retried.len() as f64 > 0.8 * RETRY_LIMIT.ratio * requested.len() as f64);
}

// A burst of three times the usual requests ends while half of the endpoints restart: the last of its
// requests are retried in the calm after it, and must not use up what the requests of the calm need.
// The burst allows these retries half a window longer than its requests are in the window.
#[test]
fn retries_of_a_burst_leave_the_limit_to_requests_after_it() {
    let retry_limit = RetryLimit {
        window: Duration::from_secs(10),
        ratio: 0.765,
        slack: 2.1,
    };
    let mut limiter = RetryLimiter::default();
    let mut refused = 0;
    for tick in 0..3_000_u64 {
        let now = Duration::from_millis(tick * 10);
        let is_request = match tick {
            1_000..1_600 => tick % 4 == 0,
            _ => tick % 12 == 0,
        };
        if is_request {
            limiter.record_request(now, &retry_limit);
            // Four requests in ten are sent to a larger model, and half of those at the end of the
            // burst once more.
            let is_broken = (1_400..1_600).contains(&tick) && tick % 8 == 0;
            let repeats = u32::from(tick % 10 < 4) + u32::from(is_broken);
            let allowed = (0..repeats).filter(|_| limiter.try_retry(now, &retry_limit, 0.2));
            let allowed = allowed.count() as u32;
            refused += u32::from(tick >= 1_600) * (repeats - allowed);
        }
    }
    assert_eq!(refused, 0, "requests after the burst that got no retry");
}

#[test]
fn reserved_share_is_left_for_other_retries() {
    let mut limiter = RetryLimiter::default();
    let retry_limit = RetryLimit {
        slack: 10.0,
        ..RETRY_LIMIT
    };
    let now = Duration::from_secs(1);
    let deferrable = (0..20).filter(|_| limiter.try_retry(now, &retry_limit, 0.2));
    assert_eq!(deferrable.count(), 8);
    let urgent = (0..20).filter(|_| limiter.try_retry(now, &retry_limit, 0.0));
    assert_eq!(urgent.count(), 2);
}

// A site has ninety nodes with six requests a second each, of which four in ten have too low a
// confidence and are repeated: half of what is allowed. They come in clusters. Callers must not get
// a low-confidence answer because two or three of them came in a row.
#[test]
fn clustered_retries_are_allowed_at_a_low_request_rate() {
    let retry_limit = RetryLimit {
        window: Duration::from_secs(10),
        ratio: 0.765,
        slack: 2.1,
    };
    let mut limiter = RetryLimiter::default();
    let mut refused = 0;
    let mut low_confidence = 0;
    for n in 0..600_u64 {
        let now = Duration::from_millis(n * 160);
        limiter.record_request(now, &retry_limit);
        // Four of ten, in a row.
        if n % 10 < 4 {
            low_confidence += 1;
            refused += u32::from(!limiter.try_retry(now, &retry_limit, 0.2));
        }
    }
    assert!(
        refused * 50 < low_confidence,
        "{refused} of {low_confidence} retries were refused"
    );
}

#[test]
fn answer_is_escalated_only_if_its_confidence_is_low_and_a_run_is_allowed() {
    let ladder = Ladder {
        threshold: 50,
        relative_wait: 0.0,
        relative_size: 1.0,
    };
    assert_eq!(
        ladder.decide(0, 3, Some(20), true),
        EscalationDecision::Escalate(2)
    );
    assert_eq!(
        ladder.decide(0, 3, Some(50), true),
        EscalationDecision::Accept
    );
    assert_eq!(
        ladder.decide(0, 3, Some(20), false),
        EscalationDecision::Accept
    );
    assert_eq!(
        ladder.decide(2, 3, Some(20), true),
        EscalationDecision::Accept
    );
    assert_eq!(ladder.decide(0, 3, None, true), EscalationDecision::Accept);
    assert_eq!(
        ladder.decide(0, 0, Some(1), true),
        EscalationDecision::Accept
    );
}

// A burst of requests makes them wait at the largest model. If as many answers were escalated as
// before, all would be late.
#[test]
fn fewer_answers_are_escalated_when_the_largest_model_is_overloaded() {
    let escalated = |relative_wait| {
        let ladder = Ladder {
            threshold: 46,
            relative_wait,
            relative_size: 1.0,
        };
        (0..=100)
            .filter(|&confidence| {
                ladder.decide(0, 3, Some(confidence), true) != EscalationDecision::Accept
            })
            .count()
    };
    assert_eq!(escalated(0.0), 46);
    assert_eq!(escalated(0.3), 46);
    assert!((20..=25).contains(&escalated(0.55)));
    // Answers with hardly any confidence are escalated at any load.
    assert_eq!(escalated(5.0), 12);
}

// A generation of ten times the usual size costs ten times as much to repeat and is worth about
// three times as much. Escalated as readily as a small one, it takes the time in which ten others
// could be.
#[test]
fn larger_generations_are_escalated_at_lower_confidence() {
    let escalated = |relative_size: f64| {
        let ladder = Ladder {
            threshold: 46,
            relative_wait: 0.0,
            relative_size,
        };
        (0..=100)
            .filter(|&confidence| {
                ladder.decide(0, 3, Some(confidence), true) != EscalationDecision::Accept
            })
            .count()
    };
    let by_size = [0.0, 0.2, 1.0, 4.0, 10.0, 1e9].map(escalated);
    assert_eq!(by_size[2], 46);
    assert!(by_size.is_sorted_by(|a, b| a >= b), "{by_size:?}");
    assert!(
        by_size[0] < 60 && by_size[4] < 30 && by_size[5] > 15,
        "{by_size:?}"
    );
}

#[test]
fn request_is_lost_if_none_waits_or_is_in_prefill_and_it_is_not_generating() {
    let report = |waiting, active, generating: &[&str]| EngineReport {
        waiting,
        active,
        generating: generating.iter().map(|id| (*id).to_owned()).collect(),
    };
    assert!(report(0, 0, &[]).has_lost("a"));
    assert!(report(0, 2, &["b", "c"]).has_lost("a"));
    assert!(!report(1, 2, &["b", "c"]).has_lost("a"));
    assert!(!report(0, 3, &["b", "c"]).has_lost("a"));
    assert!(!report(0, 2, &["b", "a"]).has_lost("a"));
}
