//! Whether a node counts a service as unreachable, and whom it blames for failed connections.

use oatdale_policy::relay::{CheckOutcome, ReachChange, Reachability};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// Guards against a check for each of many failures that come together.
#[test]
fn failures_during_a_check_start_no_other() {
    let mut reach = Reachability::default();
    assert_eq!(reach.schedule(ms(1_000)), Some(ms(0)));
    assert!(reach.is_checking());
    assert_eq!(reach.schedule(ms(1_001)), None);
    reach.finish(ms(1_010), CheckOutcome::Service);
    let delay = reach.schedule(ms(1_020));
    assert!(delay.is_some_and(|delay| delay > ms(0)), "{delay:?}");
    // Requests do not wait for a check that is not due yet.
    assert!(!reach.is_checking());
    assert_eq!(reach.schedule(ms(1_030)), None);
}

// Guards against a service that stays unreachable, or is so without a check.
#[test]
fn service_is_unreachable_from_a_failed_check_to_the_next_successful_one() {
    let mut reach = Reachability::default();
    assert!(!reach.is_unreachable());
    let outcomes = [
        (CheckOutcome::Nothing, ReachChange::Lost, true),
        (CheckOutcome::OtherServices, ReachChange::None, true),
        (CheckOutcome::Service, ReachChange::Regained, false),
        (CheckOutcome::OtherServices, ReachChange::Lost, true),
    ];
    for (now, (outcome, change, is_unreachable)) in (1..).zip(outcomes) {
        reach.schedule(ms(now * 1_000));
        reach.start();
        // What was known before holds while a check runs.
        let before = reach.is_unreachable();
        assert_eq!(reach.finish(ms(now * 1_000), outcome), change);
        assert_eq!(reach.is_unreachable(), is_unreachable);
        assert_eq!(before != is_unreachable, change != ReachChange::None);
    }
}

// Guards against endpoints that are blamed for a cut of the node's own links, and against crashes
// of the only endpoint of a service that are never counted.
#[test]
fn endpoint_is_blamed_only_if_the_node_reaches_others() {
    assert!(CheckOutcome::Service.shows_endpoint_fault(9));
    assert!(!CheckOutcome::OtherServices.shows_endpoint_fault(9));
    assert!(CheckOutcome::OtherServices.shows_endpoint_fault(1));
    assert!(!CheckOutcome::Nothing.shows_endpoint_fault(1));
}
