//! Rollouts of endpoint pools: schedule, evidence and pace of streams.

use oatdale_policy::relay::{
    BaselineTime, Counts, CountsByOrigin, ExposureLimit, Origin, Phase, Schedule, StreamPace,
    Verdict, VersionCounts, completion_verdict, trial_share, uses_new_version, verdict,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

const EXPOSURE_LIMIT: ExposureLimit = ExposureLimit {
    share: 0.15,
    slack: 30.0,
};

// A version is bad in a way that its trial never shows, for example under a load that does not
// occur. By the end of the rollout it must not have received more requests than operators allow.
#[test]
fn undetected_bad_version_stays_within_the_exposure_limit() {
    for duration in [5, 9, 12, 16, 24, 60, 600].map(secs) {
        for rate in [1.0, 5.0, 20.0, 75.0, 400.0] {
            let schedule = Schedule::new(duration);
            let share = trial_share(EXPOSURE_LIMIT, rate, &schedule);
            let step = Duration::from_millis(50);
            let mut exposed = 0.0;
            let mut now = Duration::ZERO;
            while now < duration {
                exposed += rate
                    * 0.05
                    * match schedule.phase(now, Verdict::Sound) {
                        Phase::Announced => 0.0,
                        Phase::Trial => share,
                        Phase::Switched | Phase::Done => 1.0,
                    };
                now += step;
            }
            let allowed =
                EXPOSURE_LIMIT.share * rate * duration.as_secs_f64() + EXPOSURE_LIMIT.slack;
            // On short orders with the highest rates, the requests after the switch alone exceed
            // that.
            let after_switch = schedule.switch_lead().as_secs_f64() * rate;
            assert!(
                exposed <= allowed.max(after_switch * 1.2),
                "{duration:?} at {rate}: {exposed:.0} of {allowed:.0}"
            );
        }
    }
}

// The request rate rises late in the trial, for example to twice the planned one. If the switch
// came as planned, a bad version would get more requests than operators allow.
#[test]
fn burst_during_the_trial_delays_the_switch() {
    let mut schedule = Schedule::new(secs(16));
    let default_lead = schedule.switch_lead();
    schedule.adjust_to_rate(secs(14), 70.0, 90.0);
    assert!(schedule.switch_lead() < default_lead, "{schedule:?}");
    // Never so late that requests on the old version cannot end or the completion cannot be
    // recorded.
    schedule.adjust_to_rate(secs(14), 70.0, 700.0);
    assert_eq!(schedule.switch_lead(), Duration::from_millis(700));
    assert_eq!(
        schedule.completion_deadline(),
        Duration::from_millis(15_500)
    );
    // After the switch its time is fixed.
    schedule.adjust_to_rate(Duration::from_millis(15_400), 70.0, 70.0);
    assert_eq!(schedule.switch_lead(), Duration::from_millis(700));
    // A lower rate does not move the switch earlier, since it may rise again.
    let mut schedule = Schedule::new(secs(16));
    schedule.adjust_to_rate(secs(14), 70.0, 20.0);
    assert_eq!(schedule.switch_lead(), default_lead);
}

#[test]
fn phases_advance_in_order_and_a_bad_version_stays_in_trial() {
    let schedule = Schedule::new(secs(20));
    let all: Vec<_> = (0..=200)
        .map(|n| schedule.phase(Duration::from_millis(n * 100), Verdict::Sound))
        .collect();
    let mut seen = all.clone();
    seen.dedup();
    assert_eq!(
        seen,
        [Phase::Announced, Phase::Trial, Phase::Switched, Phase::Done]
    );
    assert_eq!(schedule.phase(secs(19), Verdict::Bad), Phase::Trial);
    assert!(uses_new_version(Phase::Switched, 0.0, u64::MAX));
    assert!(!uses_new_version(Phase::Announced, 1.0, 0));
}

/// Builds counts of all, failed, timed and slow responses, by route and endpoint.
fn counts_by_origin(all: &[(u32, u32, [u64; 4])]) -> CountsByOrigin {
    let counts = |[answers, failed, timed, slow]: [u64; 4]| Counts {
        answers,
        failed,
        timed,
        slow,
    };
    let origin = |route, endpoint| Origin { route, endpoint };
    all.iter()
        .map(|&(route, endpoint, values)| (origin(route, endpoint), counts(values)))
        .collect()
}

/// Builds counts of responses on one route; those of the new version are divided between two
/// endpoints.
fn version_counts(new: [u64; 4], old: [u64; 4]) -> VersionCounts {
    let halves = [new.map(|n| n / 2), new.map(|n| n - n / 2)];
    VersionCounts {
        new: counts_by_origin(&[(1, 1, halves[0]), (1, 2, halves[1])]),
        old: counts_by_origin(&[(1, 0, old)]),
    }
}

#[test]
fn verdict_compares_the_new_version_with_the_old_one() {
    let cases = [
        // Four failures among ten responses, while the old version has hardly any.
        (
            version_counts([10, 4, 8, 0], [200, 1, 150, 2]),
            Verdict::Bad,
        ),
        // A fault that affects both versions alike.
        (
            version_counts([20, 6, 15, 0], [200, 60, 150, 2]),
            Verdict::Sound,
        ),
        // A service that fails one response in seven is slow now; its failures must not hide that.
        (
            version_counts([40, 5, 30, 12], [200, 28, 150, 4]),
            Verdict::Bad,
        ),
        // A single failure is chance.
        (
            version_counts([3, 1, 2, 0], [100, 1, 80, 1]),
            Verdict::Sound,
        ),
        (version_counts([0, 0, 0, 0], [0, 0, 0, 0]), Verdict::Sound),
    ];
    for (version_counts, expected) in cases {
        assert_eq!(verdict(&version_counts), expected, "{version_counts:?}");
    }
}

/// Recorded pauses, in milliseconds, between the first events of streams from engines that also
/// read long prompts: two for each stream.
const GOOD_PAUSES_MS: [[u64; 2]; 30] = [
    [122, 60],
    [131, 162],
    [24, 24],
    [317, 13],
    [126, 246],
    [21, 1071],
    [107, 12],
    [82, 24],
    [33, 13],
    [24, 25],
    [27, 34],
    [24, 16],
    [105, 25],
    [41, 13],
    [813, 522],
    [989, 422],
    [25, 25],
    [26, 26],
    [26, 29],
    [21, 31],
    [26, 17],
    [42, 26],
    [406, 55],
    [38, 13],
    [246, 97],
    [104, 14],
    [130, 29],
    [121, 15],
    [54, 28],
    [72, 29],
];

/// Pauses of a version that is several times slower.
const SLOW_PAUSES_MS: [[u64; 2]; 12] = [
    [64, 65],
    [77, 78],
    [65, 77],
    [102, 187],
    [167, 81],
    [81, 81],
    [362, 81],
    [877, 879],
    [452, 2009],
    [2009, 1202],
    [2351, 95],
    [119, 95],
];

/// Replays streams with these pauses, counts those that are slow, and learns the baseline time from
/// them.
fn count_slow_streams(pauses: &[[u64; 2]], baseline: &mut BaselineTime) -> usize {
    let is_slow = |pace: Duration, baseline: &BaselineTime| {
        baseline.slow_threshold().is_some_and(|b| pace > b)
    };
    let mut slow = 0;
    for [first, second] in pauses {
        let mut stream = StreamPace::default();
        let ends = [0, *first, first + second].map(Duration::from_millis);
        let paces: Vec<_> = ends
            .iter()
            .filter_map(|&now| stream.record_event(now))
            .collect();
        assert_eq!(paces.len(), 1);
        slow += usize::from(is_slow(paces[0], baseline));
        baseline.record(paces[0]);
    }
    slow
}

// Engines that read long prompts make streams wait, some for a second. A version that is several
// times slower than the one before must stand out from that, or it is completed and every stream is
// slow. Comparing the sum of both pauses with 2.5 times its mean finds only 4 of these 12 streams
// slow, and 3 of the 30 others.
#[test]
fn slow_version_is_distinguished_from_waits_behind_long_prompts() {
    let mut baseline = BaselineTime::default();
    count_slow_streams(&GOOD_PAUSES_MS, &mut baseline);
    let good = count_slow_streams(&GOOD_PAUSES_MS, &mut baseline);
    assert!(
        good * 5 <= GOOD_PAUSES_MS.len(),
        "{good} of {} are slow",
        GOOD_PAUSES_MS.len()
    );
    let slow = SLOW_PAUSES_MS.iter().filter(|s| {
        let mut baseline = baseline.clone();
        count_slow_streams(&[**s], &mut baseline) == 1
    });
    assert!(slow.count() >= 11);
}

#[test]
fn stream_counts_as_slow_before_its_next_event() {
    let ms = Duration::from_millis;
    let mut stream = StreamPace::default();
    assert_eq!(stream.record_event(ms(100)), None);
    assert_eq!(stream.slow_at(ms(50)), None);
    assert_eq!(stream.record_event(ms(400)), None);
    assert_eq!(stream.slow_at(ms(50)), Some(ms(450)));
    stream.mark_slow();
    assert_eq!(stream.record_event(ms(900)), None);
    // A single pause that is not slow decides the pace.
    let mut stream = StreamPace::default();
    stream.record_event(ms(100));
    stream.record_event(ms(130));
    assert_eq!(stream.slow_at(ms(50)), None);
}

// A version fails half of the requests of one route, which has a sixth of all. Among thirty
// responses of all routes its few failures look like chance; it would be completed, and that
// route's callers would get failures from then on.
#[test]
fn version_that_is_bad_on_one_route_is_detected() {
    let old = counts_by_origin(&[
        (1, 0, [300, 0, 0, 0]),
        (2, 0, [100, 0, 0, 0]),
        (3, 0, [100, 0, 0, 0]),
    ]);
    let bad = counts_by_origin(&[
        (1, 1, [9, 0, 0, 0]),
        (1, 2, [10, 0, 0, 0]),
        (2, 1, [4, 2, 0, 0]),
        (2, 2, [3, 2, 0, 0]),
        (3, 2, [6, 0, 0, 0]),
    ]);
    let version_counts_of = |new| VersionCounts {
        new,
        old: old.clone(),
    };
    assert_eq!(verdict(&version_counts_of(bad)), Verdict::Bad);
    // Three failures spread over the routes, at most one in six on each, are chance.
    let spread = counts_by_origin(&[
        (1, 1, [9, 1, 0, 0]),
        (1, 2, [10, 1, 0, 0]),
        (2, 1, [4, 0, 0, 0]),
        (3, 2, [6, 1, 0, 0]),
    ]);
    assert_eq!(verdict(&version_counts_of(spread)), Verdict::Sound);
}

// One endpoint that runs the new version fails half of its requests, or is slow, while the others
// are healthy. The endpoint is at fault: the version must not be rolled back for it.
#[test]
fn single_bad_endpoint_does_not_make_the_version_bad() {
    let old = counts_by_origin(&[(1, 0, [300, 3, 200, 15])]);
    let with_endpoint = |bad: [u64; 4]| VersionCounts {
        new: counts_by_origin(&[(1, 1, [12, 0, 9, 1]), (1, 2, bad), (1, 3, [11, 0, 8, 0])]),
        old: old.clone(),
    };
    assert_eq!(verdict(&with_endpoint([14, 8, 3, 0])), Verdict::Sound);
    assert_eq!(verdict(&with_endpoint([14, 0, 12, 12])), Verdict::Sound);
    let both_bad = VersionCounts {
        new: counts_by_origin(&[(1, 1, [12, 5, 9, 1]), (1, 2, [14, 8, 3, 0])]),
        old: old.clone(),
    };
    assert_eq!(verdict(&both_bad), Verdict::Bad);
    // With a single endpoint of the version there is nothing to compare it with.
    let with_single_endpoint = |failed| VersionCounts {
        new: counts_by_origin(&[(1, 1, [20, failed, 0, 0])]),
        old: old.clone(),
    };
    assert_eq!(verdict(&with_single_endpoint(8)), Verdict::Sound);
    assert_eq!(verdict(&with_single_endpoint(12)), Verdict::Bad);
}

// A service has more routes and endpoints than a datagram can list separately. None may be left out
// of the counts.
#[test]
fn excess_routes_and_endpoints_share_counts() {
    let mut counts_by_origin = CountsByOrigin::default();
    for route in 1..=20 {
        for endpoint in 1..=9 {
            counts_by_origin.entry(Origin { route, endpoint }).answers += 1;
        }
    }
    assert_eq!(counts_by_origin.total().answers, 180);
    assert!(
        counts_by_origin.iter().count() <= 35,
        "{}",
        counts_by_origin.iter().count()
    );
}

/// Rollouts of good versions that are simulated, and those that may be rolled back: one in 100.
const GOOD_ROLL_OUTS: usize = 1_000;
const MAX_FALSE_ROLLBACKS: usize = GOOD_ROLL_OUTS / 100;

/// Simulates the responses of a version at six endpoints, of which the first one may fail by itself.
fn simulated_counts(rng: &mut StdRng, requests: u64, bad_endpoint: Option<f64>) -> CountsByOrigin {
    let mut counts = CountsByOrigin::default();
    for _ in 0..requests {
        let route = [1, 1, 1, 2, 2, 3][rng.random_range(0..6)];
        let endpoint = rng.random_range(1..=6);
        let failure_share = bad_endpoint.filter(|_| endpoint == 1).unwrap_or(0.02);
        let entry = counts.entry(Origin { route, endpoint });
        entry.answers += 1;
        entry.failed += u64::from(rng.random_bool(failure_share));
        if rng.random_bool(0.6) {
            entry.timed += 1;
            entry.slow += u64::from(rng.random_bool(0.05));
        }
    }
    counts
}

// Guards against rollbacks of good versions when they are to be completed, also of those with an
// endpoint that fails by itself.
#[test]
fn good_versions_are_completed() {
    let mut rng = StdRng::seed_from_u64(7);
    for bad_endpoint in [None, Some(0.3)] {
        for requests in [20, 80, 400] {
            let rolled_back = (0..GOOD_ROLL_OUTS).filter(|_| {
                let counts = VersionCounts {
                    new: simulated_counts(&mut rng, requests, bad_endpoint),
                    old: simulated_counts(&mut rng, requests * 10, None),
                };
                completion_verdict(&counts) == Verdict::Bad
            });
            let rolled_back = rolled_back.count();
            assert!(
                rolled_back <= MAX_FALSE_ROLLBACKS,
                "{rolled_back} of {GOOD_ROLL_OUTS}: {requests} requests, {bad_endpoint:?}"
            );
        }
    }
}
