//! Decisions about single requests, and the order in which they wait.

use oatdale_policy::relay::{
    AdmissionDecision, AdmissionQueue, AdmissionRefusal, AdmissionRequest, Fingerprint, Prospect,
    ReturningCallers, ServiceOutlook, WaitingRequest, admit,
};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A new request with a target of 1.5 s and a deadline of 15 s.
fn new_request() -> AdmissionRequest {
    AdmissionRequest {
        target: Some(ms(1_500)),
        elapsed: Duration::ZERO,
        time_left: ms(15_000),
        has_returned: false,
        may_wait: true,
        is_behind: false,
    }
}

fn decide(
    request: &AdmissionRequest,
    expected: u64,
    utilization: Option<f64>,
) -> AdmissionDecision {
    let outlook = ServiceOutlook {
        expected: ms(expected),
        utilization,
        growth: 0.0,
    };
    admit(request, &outlook, 0.5)
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
        new_request(),
        AdmissionRequest {
            is_behind: true,
            ..new_request()
        },
        AdmissionRequest {
            has_returned: true,
            ..new_request()
        },
        AdmissionRequest {
            elapsed: ms(2_000),
            ..new_request()
        },
        AdmissionRequest {
            target: None,
            ..new_request()
        },
    ];
    for request in requests {
        for expected in [0, 1_400, 4_000, 100_000] {
            for utilization in [None, Some(0.0), Some(0.49)] {
                let decision = decide(&request, expected, utilization);
                assert_eq!(decision, AdmissionDecision::Place, "{request:?} {expected}");
            }
        }
    }
}

// Guards against holding a request that can be placed, until its deadline, or twice.
#[test]
fn a_request_waits_for_a_bounded_time_and_only_once() {
    let mut has_waited = [false; 2];
    for expected in (0..16_000).step_by(50) {
        for has_returned in [false, true] {
            let request = AdmissionRequest {
                has_returned,
                ..new_request()
            };
            let decision = decide(&request, expected, Some(1.0));
            if expected <= 1_500 {
                assert_eq!(decision, AdmissionDecision::Place);
            }
            if let AdmissionDecision::Wait { prospect, limit } = decision {
                has_waited[usize::from(prospect == Prospect::Late)] = true;
                let bound = request.time_left - ms(expected);
                assert!(
                    limit <= bound.min(request.time_left / 4),
                    "{expected} {limit:?}"
                );
            }
            let afterwards = AdmissionRequest {
                may_wait: false,
                ..request
            };
            let decision = decide(&afterwards, expected, Some(1.0));
            assert!(
                !matches!(decision, AdmissionDecision::Wait { .. }),
                "{decision:?}"
            );
        }
    }
    assert_eq!(has_waited, [true; 2]);
}

// Guards against callers that return all at once, before there is capacity, or later than they honour.
#[test]
fn refused_callers_return_while_the_queue_drains() {
    for (expected, earliest, latest) in [(1_800, 300, 3_600), (6_000, 4_500, 5_000)] {
        for draw in [0.0, 0.3, 1.0] {
            let outlook = ServiceOutlook {
                expected: ms(expected),
                utilization: Some(1.0),
                growth: 0.0,
            };
            let AdmissionDecision::Refuse {
                reason,
                retry_after,
            } = admit(&new_request(), &outlook, draw)
            else {
                panic!("a request is expected to be late");
            };
            assert_eq!(reason, AdmissionRefusal::Overloaded);
            assert_eq!(
                retry_after,
                ms(earliest) + ms(latest - earliest).mul_f64(draw)
            );
        }
    }
}

// Guards against refusing a caller twice where a late response is possible, and against placing a
// request that cannot be answered at all.
#[test]
fn only_a_response_after_the_deadline_is_refused_twice() {
    let returned = AdmissionRequest {
        has_returned: true,
        may_wait: false,
        ..new_request()
    };
    assert_eq!(
        decide(&returned, 6_000, Some(2.0)),
        AdmissionDecision::Place
    );
    let decision = decide(&returned, 15_001, Some(2.0));
    assert!(
        matches!(
            decision,
            AdmissionDecision::Refuse {
                reason: AdmissionRefusal::AfterDeadline,
                ..
            }
        ),
        "{decision:?}"
    );
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
    assert!(queue.has_more_urgent(1) && !queue.has_more_urgent(0));
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
    assert!(!callers.record_time("drafts", ms(5_000)));
    assert!(!callers.record_time("drafts", ms(4_990)));
    assert!(callers.record_time("drafts", ms(4_000)));
    // A configuration with a shorter time takes effect after some hundred requests.
    let still_returning = (0..1_000).filter(|_| callers.record_time("drafts", ms(2_500)));
    assert!(still_returning.count() < 500);
}
