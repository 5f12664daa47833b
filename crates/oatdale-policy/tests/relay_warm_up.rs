//! Limit on the requests that nodes send to a cold endpoint.

use oatdale_policy::relay::{Candidate, Placement, WarmUp, choose, warm_up_share};
use std::time::Duration;

/// Time for which the others have known a node that has been running for long.
const SETTLED: Duration = Duration::from_secs(60);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// Guards against nodes that together send more than a cold endpoint can take.
#[test]
fn shares_of_all_nodes_sum_to_the_rate() {
    for nodes in [1, 2, 7, 9, 79, 295, 360] {
        for rate in [1, 4, 11, 40, 1_000] {
            let shares =
                (0..nodes).map(|rank| warm_up_share(SETTLED, f64::from(rate), nodes, rank));
            assert_eq!(shares.sum::<u32>(), rate, "{nodes} nodes");
        }
    }
}

// Guards against configured rates that panic or that no node may use.
#[test]
fn out_of_range_rates_give_a_share() {
    assert_eq!(warm_up_share(SETTLED, 0.4, 9, 0), 1);
    assert_eq!(warm_up_share(SETTLED, f64::NAN, 9, 0), 1);
    assert_eq!(warm_up_share(SETTLED, -3.0, 0, 0), 1);
    assert_eq!(warm_up_share(SETTLED, 1e300, 1, 0), u32::MAX);
}

// Guards against nodes that all restart, do not know each other yet, and each send all that an
// endpoint can take.
#[test]
fn node_has_no_share_right_after_its_start() {
    assert_eq!(warm_up_share(ms(1_000), 11.0, 1, 0), 0);
}

#[test]
fn share_applies_to_any_one_second_window() {
    let mut warm_up = WarmUp::default();
    assert_eq!(warm_up.next_send_at(0), None);
    for at in [0, 10] {
        assert!(warm_up.next_send_at(2).is_some_and(|next| next <= ms(at)));
        warm_up.record_send(ms(at));
    }
    let next = warm_up.next_send_at(2).unwrap();
    assert!(next > ms(1_000) && next < ms(1_200), "{next:?}");
    warm_up.record_send(next);
    assert!(warm_up.next_send_at(2).unwrap() > next);
    // A larger share counts the requests that were sent before.
    assert!(warm_up.next_send_at(3).unwrap() <= next);
}

// Guards against a share that accumulates while nothing is sent, for example at a paused node.
#[test]
fn unused_share_does_not_accumulate() {
    let mut warm_up = WarmUp::default();
    warm_up.record_send(ms(0));
    warm_up.record_send(ms(60_000));
    assert!(warm_up.next_send_at(1).unwrap() > ms(61_000));
}

// A failure domain returns cold: its endpoints are idle while the others carry the whole load. The
// few nodes that may send to one of them use their share, although it has cached nothing yet.
#[test]
fn idle_cold_endpoint_is_preferred_within_the_share() {
    let warm = |in_flight, affinity| Candidate {
        in_flight,
        affinity,
        ..Candidate::default()
    };
    let cold = |in_flight| Candidate {
        may_warm_up: true,
        ..warm(in_flight, 0)
    };
    let pick = |cold| choose(&[warm(9.0, 7), warm(9.0, 8), cold], Placement::Affinity, 0);
    assert_eq!(pick(cold(1.0)), Some(2));
    assert_eq!(pick(cold(12.0)), Some(1));
}
