//! Decisions about single requests, and the order in which they wait.

use oatdale_policy::relay::{
    AdmissionDecision, AdmissionQueue, AdmissionRefusal, AdmissionRequest, Fingerprint, LoadGrowth,
    Prospect, ReleaseShare, ReturningCallers, ServiceOutlook, SpareCapacity, UrgentTargets,
    WaitingRequest, admit,
};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A request with a target of 1.5 s and a deadline of 15 s, changed by `change`.
fn request(change: fn(&mut AdmissionRequest)) -> AdmissionRequest {
    let mut request = AdmissionRequest {
        target: Some(ms(1_500)),
        elapsed: Duration::ZERO,
        time_left: ms(15_000),
        has_returned: false,
        has_waited: None,
        is_behind: false,
        urgent_target: None,
    };
    change(&mut request);
    request
}

fn decide(request: &AdmissionRequest, expected: u64, draw: f64) -> AdmissionDecision {
    let (expected, utilization, growth) = (ms(expected), Some(1.0), 0.0);
    let outlook = ServiceOutlook {
        expected,
        idle: ms(0),
        utilization,
        growth,
    };
    admit(request, &outlook, draw)
}

fn waiting(urgency: u8, progress: u32, customer: &str, weight: f64) -> WaitingRequest {
    WaitingRequest {
        prospect: Prospect::InTime,
        urgency,
        progress,
        customer: Some(customer.to_owned()),
        weight,
    }
}

fn customers_in_order(queue: &mut AdmissionQueue) -> Vec<String> {
    let popped = std::iter::from_fn(|| queue.pop());
    popped.filter_map(|(_, request)| request.customer).collect()
}

// Guards against refusals by an idle or half-empty service because an estimate is wrong, and against
// waiting for sums that have stopped.
#[test]
fn a_half_empty_service_and_one_without_sums_refuse_nothing() {
    let requests = [
        request(|_| ()),
        request(|r| r.is_behind = true),
        request(|r| r.has_returned = true),
        request(|r| r.elapsed = ms(2_000)),
        request(|r| r.target = None),
    ];
    for request in requests {
        for expected in [0, 1_400, 4_000, 100_000].map(ms) {
            for utilization in [None, Some(0.0), Some(0.49)] {
                let outlook = ServiceOutlook {
                    expected,
                    idle: ms(0),
                    utilization,
                    growth: 1.0,
                };
                let decision = admit(&request, &outlook, 0.5);
                assert_eq!(
                    decision,
                    AdmissionDecision::Place,
                    "{request:?} {outlook:?}"
                );
            }
        }
    }
}

// Guards against holding a request that can be placed, until its deadline, or twice; and against
// refusing a caller twice that can be served late, or after a wait of seconds.
#[test]
fn a_request_waits_for_a_bounded_time_and_only_once() {
    let mut has_waited = [false; 2];
    for expected in (0..16_000).step_by(50) {
        let first = request(|_| ());
        for request in [first, request(|r| r.has_returned = true)] {
            match decide(&request, expected, 0.5) {
                AdmissionDecision::Wait { prospect, limit } => {
                    has_waited[usize::from(prospect == Prospect::Late)] = true;
                    let bound = (request.time_left - ms(expected)).min(request.time_left / 4);
                    assert!(expected > 1_500 && limit <= bound, "{expected} {limit:?}");
                }
                AdmissionDecision::Refuse { .. } => {
                    assert!(!request.has_returned || expected > 15_000, "{expected}");
                }
                AdmissionDecision::Place => assert!(expected <= 1_500, "{expected}"),
            }
            for prospect in [Prospect::InTime, Prospect::Late] {
                let afterwards = AdmissionRequest {
                    has_waited: Some(prospect),
                    ..request
                };
                let decision = decide(&afterwards, expected, 0.5);
                let is_last = request.has_returned || prospect == Prospect::Late;
                match is_last && expected <= 15_000 {
                    true => assert_eq!(decision, AdmissionDecision::Place, "{expected}"),
                    false => assert!(!matches!(decision, AdmissionDecision::Wait { .. })),
                }
            }
        }
    }
    assert_eq!(has_waited, [true; 2]);
}

// Guards against refusing the largest prompts of a route, which take longer than its target by
// themselves, while others are placed.
#[test]
fn a_request_that_misses_its_target_by_itself_is_placed_if_it_hardly_waits() {
    let decide = |expected| {
        let outlook = ServiceOutlook {
            expected: ms(expected),
            idle: ms(2_000),
            utilization: Some(1.0),
            growth: 0.5,
        };
        assert_eq!(request(|_| ()).missed_target(&outlook), None);
        admit(&request(|_| ()), &outlook, 0.5)
    };
    assert_eq!(decide(2_500), AdmissionDecision::Place);
    assert_ne!(decide(2_600), AdmissionDecision::Place);
}

// Guards against placing less urgent requests with a longer target while urgent ones are refused.
#[test]
fn a_less_urgent_request_is_not_placed_while_a_more_urgent_one_misses_its_target() {
    let outlook = ServiceOutlook {
        expected: ms(2_000),
        idle: ms(0),
        utilization: Some(1.0),
        growth: 0.0,
    };
    let mut missed = UrgentTargets::default();
    let urgent = request(|_| ());
    assert_ne!(admit(&urgent, &outlook, 0.5), AdmissionDecision::Place);
    missed.record_missed(ms(0), 0, urgent.missed_target(&outlook).unwrap());
    missed.record_missed(ms(10), 0, ms(6_000));
    let decide_at = |now, urgency| {
        let less_urgent = AdmissionRequest {
            target: Some(ms(3_000)),
            urgent_target: missed.missed_by_more_urgent(ms(now), urgency),
            ..request(|_| ())
        };
        admit(&less_urgent, &outlook, 0.5)
    };
    assert_ne!(decide_at(900, 1), AdmissionDecision::Place);
    assert_eq!(decide_at(900, 0), AdmissionDecision::Place);
    assert_eq!(decide_at(1_000, 1), AdmissionDecision::Place);
    // A short deadline is no sign of load.
    let hurried = request(|r| r.time_left = ms(50));
    let idle = ServiceOutlook {
        expected: ms(100),
        ..outlook
    };
    assert_eq!(hurried.missed_target(&idle), None);
}

// Guards against callers that return all at once, before there is capacity, or later than they honour.
#[test]
fn refused_callers_return_while_the_queue_drains() {
    for (expected, earliest, latest) in [(1_800, 300, 3_600), (6_000, 2_500, 5_000)] {
        for draw in [0.0, 0.3, 1.0] {
            let refused = AdmissionDecision::Refuse {
                reason: AdmissionRefusal::Overloaded,
                retry_after: ms(earliest) + ms(latest - earliest).mul_f64(draw),
            };
            assert_eq!(decide(&request(|_| ()), expected, draw), refused);
        }
    }
    for (draw, expected_ms) in [(0.0, 2_500), (1.0, 5_000)] {
        let refused = AdmissionDecision::Refuse {
            reason: AdmissionRefusal::AfterDeadline,
            retry_after: ms(expected_ms),
        };
        assert_eq!(decide(&request(|_| ()), 30_000, draw), refused);
    }
}

// Guards against serving less urgent requests, new ones, or those that can only be late first.
#[test]
fn requests_are_ordered_by_prospect_urgency_and_progress() {
    let mut queue = AdmissionQueue::default();
    let late = WaitingRequest {
        prospect: Prospect::Late,
        ..waiting(0, 0, "late", 1.0)
    };
    queue.push(late);
    queue.push(waiting(2, 9, "draft", 1.0));
    queue.push(waiting(1, 0, "new", 1.0));
    queue.push(waiting(1, 0, "new", 1.0));
    let gone = queue.push(waiting(0, 0, "gone", 1.0));
    queue.push(waiting(0, 0, "urgent", 1.0));
    let changed = queue.push(waiting(2, 0, "changed", 1.0));
    queue.remove(gone);
    queue.remove(gone);
    queue.reclassify(changed, 0, Some("first".to_owned()));
    assert_eq!(queue.len(), 6);
    assert!(queue.has_ahead(1, 1) && queue.has_ahead(0, 0) && !queue.has_ahead(0, 1));
    let order = customers_in_order(&mut queue);
    assert_eq!(order, ["urgent", "first", "new", "new", "draft", "late"]);
    assert!(queue.is_empty());
    let mut queue = AdmissionQueue::default();
    queue.push(waiting(1, 0, "a", 1.0));
    queue.push(waiting(1, 2, "a", 7.0));
    assert_eq!(queue.pop().unwrap().1.progress, 2);
}

// Guards against a customer with ten times its usual load that takes the share of others, and against
// long requests that are starved by short ones.
#[test]
fn customers_get_equal_shares_under_a_burst_of_one() {
    let mut queue = AdmissionQueue::default();
    for n in 0..200 {
        queue.push(waiting(1, 0, "burst", 1.0));
        if n % 10 == 0 {
            queue.push(waiting(1, 0, "usual", 1.0));
            queue.push(waiting(1, 0, "long", 5.0));
        }
    }
    let order = customers_in_order(&mut queue);
    let served = |customer: &str| order[..44].iter().filter(|c| *c == customer).count();
    assert!(served("usual") + 1 >= served("burst"), "{order:?}");
    // The same work, not the same number.
    assert!(served("long") >= 3, "{order:?}");
}

// Guards against refusing a returning caller as if it were new, at the same host or at another one.
#[test]
fn returning_callers_are_recognized() {
    let mut callers = ReturningCallers::default();
    for n in 0..2_000 {
        callers.record_refused(ms(n), Fingerprint(u128::from(n)));
    }
    assert!(callers.was_refused(Fingerprint(1_999)) && !callers.was_refused(Fingerprint(1)));
    assert!(callers.has_refused(ms(11_000)) && !callers.has_refused(ms(12_000)));
    assert!(!callers.was_refused(Fingerprint(1_999)));
    let mut record = |time| callers.record_time("drafts", ms(time), ms(10_000));
    assert!(!record(5_000));
    assert!(!record(4_990));
    assert!(record(4_000));
    // One caller that waits longer does not make the others returning ones.
    assert!(!record(600_000));
    assert!(!record(5_000));
    assert!(record(4_000));
    // A configuration with a shorter time takes effect after some hundred requests.
    let still_returning = (0..1_000).filter(|_| record(2_500));
    assert!(still_returning.count() < 500);
}

// Guards against a host with few requests that never sees the load grow.
#[test]
fn growth_is_known_from_loads_that_are_seconds_old() {
    let mut growth = LoadGrowth::default();
    assert_eq!(growth.record(ms(0), 20.0), 0.0);
    assert_eq!(growth.record(ms(2_000), 100.0), 0.2);
    assert_eq!(growth.record(ms(2_500), 200.0), 0.5);
    assert_eq!(growth.record(ms(9_000), 400.0), 0.0);
}

// Guards against requests that are placed after their wait and released by the share of others too.
#[test]
fn a_request_placed_after_its_wait_uses_the_release_share() {
    let spare = SpareCapacity {
        load: 10.0,
        hosts: 1,
        summed_until: ms(0),
    };
    let released = |charged: usize| {
        let mut share = ReleaseShare::default();
        share.grant(ms(0), spare, &mut rand::rng());
        (0..charged).for_each(|_| share.charge(1.0));
        std::iter::repeat_with(|| share.take(1.0))
            .take_while(|t| *t)
            .count()
    };
    assert_eq!((released(0), released(4), released(99)), (10, 6, 0));
}
