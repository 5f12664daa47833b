//! Whether the times of a short trial show that a new version is slow.

use oatdale_policy::relay::{
    CountsByOrigin, Slowdowns, Verdict, VersionCounts, completion_verdict,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const USUAL: Duration = Duration::from_millis(10);

/// Responses in a trial, and ten times as many of the old version.
const TRIALS: [u32; 3] = [10, 20, 40];

/// Rollouts that are simulated of each size; of good versions, one in 100 may be rolled back.
const ROLL_OUTS: usize = 1_000;
const MAX_FALSE_ROLLBACKS: usize = ROLL_OUTS / 100;

/// Draws a time: some have a tail of up to nine times as long as usual, and a slow version's `slow_share` takes
/// eight times as long.
fn time(rng: &mut StdRng, slow_share: f64) -> Duration {
    let spread = rng.random_range(0.4..1.8);
    let tail = match rng.random_bool(0.05) {
        true => rng.random_range(1.0..5.0),
        false => 1.0,
    };
    let slow = if rng.random_bool(slow_share) {
        8.0
    } else {
        1.0
    };
    USUAL.mul_f64(spread * tail * slow)
}

/// Simulates a trial at three endpoints and returns how often the version is found bad.
fn rolled_back(requests: u32, slow_shares: [f64; 3]) -> usize {
    let mut rng = StdRng::seed_from_u64(11);
    let found = (0..ROLL_OUTS).filter(|_| {
        let mut counts = VersionCounts::default();
        for n in 0..requests * 10 {
            counts.old.record_slowdown(0, USUAL, time(&mut rng, 0.0));
            if n % 10 == 0 {
                let endpoint = rng.random_range(0..3);
                let time = time(&mut rng, slow_shares[endpoint]);
                counts.new.record_slowdown(endpoint as u32 + 1, USUAL, time);
            }
        }
        completion_verdict(&counts) == Verdict::Bad
    });
    found.count()
}

// Guards against rollbacks of good versions whose few responses happen to be the slower ones.
#[test]
fn good_versions_are_completed() {
    for requests in TRIALS {
        let rolled_back = rolled_back(requests, [0.0; 3]);
        assert!(
            rolled_back <= MAX_FALSE_ROLLBACKS,
            "{rolled_back} of {ROLL_OUTS}: {requests} requests"
        );
    }
}

// Guards against rollbacks of a version for an endpoint that is slow by itself.
#[test]
fn version_with_a_slow_endpoint_is_completed() {
    for requests in TRIALS {
        let rolled_back = rolled_back(requests, [0.5, 0.0, 0.0]);
        assert!(
            rolled_back <= ROLL_OUTS / 4,
            "{rolled_back} of {ROLL_OUTS}: {requests} requests"
        );
    }
}

#[test]
fn slow_versions_are_found() {
    assert!(rolled_back(40, [0.3; 3]) >= ROLL_OUTS * 9 / 10);
}

// Guards against sums that overflow on what other nodes send.
#[test]
fn excessive_counts_are_no_evidence() {
    let mut counts = CountsByOrigin::default();
    for endpoint in [1, 2] {
        counts.add_slowdowns(endpoint, Slowdowns([0, 0, 0, u64::MAX]));
    }
    let counts = VersionCounts {
        new: counts.clone(),
        old: counts,
    };
    assert_eq!(completion_verdict(&counts), Verdict::Sound);
}
