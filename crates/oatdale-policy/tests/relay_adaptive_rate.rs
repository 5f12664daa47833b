//! Replays the rate of requests to an endpoint that must not reject many.

use oatdale_policy::relay::{
    AdaptiveRate, IssuerRank, IssuerView, PermitIssuer, PermitReply, PermitRequest,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Time within which the endpoint does not fail yet.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Length of the replayed time.
const END: Duration = Duration::from_secs(30);

const STEP: Duration = Duration::from_millis(1);

/// Rejections per second above which the endpoint fails.
const MAX_REJECTIONS: usize = 5;

/// Times that it may fail.
const MAX_FAILURES: usize = 2;

/// Share of its capacity that is used under overload.
const MIN_USED: f64 = 0.6;

/// An endpoint and its requests from all nodes.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests per second that it runs.
    capacity: f64,
    /// Requests that may wait or run; a third of it from half of the time on.
    room: f64,
    /// Requests per second that callers send, as a multiple of the capacity.
    demand: f64,
    /// Delay of a request and of the report that it was rejected, each.
    delay: Duration,
    /// Share of the reports that are lost.
    lost: f64,
}

#[derive(Debug, Default)]
struct Outcome {
    rejected_at: Vec<Duration>,
    accepted: u32,
}

fn replay(load: Load, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut issuer = PermitIssuer::default();
    let mut rate = AdaptiveRate::default();
    let mut outcome = Outcome::default();
    let (mut arrivals, mut reports): (Vec<Duration>, Vec<Duration>) = (Vec::new(), Vec::new());
    let mut queued = 0.0_f64;
    // The endpoint has stated for long that it must not reject many.
    let start = SETTLE_TIME * 2;
    let mut now = start;
    while now < start + END {
        queued = (queued - load.capacity * STEP.as_secs_f64()).max(0.0);
        let is_late = now >= start + END / 2;
        let room = if is_late { load.room / 3.0 } else { load.room };
        arrivals.retain(|at| {
            let has_arrived = *at <= now;
            if has_arrived && queued + 1.0 > room {
                outcome.rejected_at.push(now - start);
                if !rng.random_bool(load.lost) {
                    reports.push(now + load.delay);
                }
            } else if has_arrived {
                queued += 1.0;
                outcome.accepted += 1;
            }
            !has_arrived
        });
        reports.retain(|at| {
            let has_arrived = *at <= now;
            if has_arrived && let Some(until) = rate.record_rejection(now) {
                issuer.hold_until(until);
            }
            !has_arrived
        });
        if rng.random_bool((load.capacity * load.demand * STEP.as_secs_f64()).min(1.0)) {
            let view = IssuerView {
                rank: Some(IssuerRank::First),
                first_since: Duration::ZERO,
                is_listed: true,
            };
            let request = PermitRequest {
                per_second: rate.limit(now).unwrap_or(999.0).min(999.0),
                refused: 0,
                is_remote: true,
                is_optional: false,
            };
            if issuer.decide(now, &view, &request) == PermitReply::Granted {
                rate.record_allowed(now);
                arrivals.push(now + load.delay);
            }
        }
        now += STEP;
    }
    outcome
}

/// Number of times that more than the allowed rejections fall into a second.
fn failures(rejected_at: &[Duration]) -> usize {
    let mut failures = 0;
    let mut recent: Vec<Duration> = Vec::new();
    for at in rejected_at.iter().filter(|at| **at >= SETTLE_TIME) {
        recent.retain(|earlier| *at < *earlier + Duration::from_secs(1));
        recent.push(*at);
        if recent.len() > MAX_REJECTIONS {
            failures += 1;
            recent.clear();
        }
    }
    failures
}

fn loads() -> impl Iterator<Item = Load> {
    let sizes = [(20.0, 30.0), (60.0, 30.0), (300.0, 30.0), (8.0, 250.0)];
    let delays = [(2, 0.0), (10, 0.05), (50, 0.0)];
    let demands = [0.5, 1.2, 2.0, 5.0];
    sizes.into_iter().flat_map(move |(capacity, room)| {
        delays.into_iter().flat_map(move |(delay, lost)| {
            demands.into_iter().map(move |demand| Load {
                capacity,
                room,
                demand,
                delay: Duration::from_millis(delay),
                lost,
            })
        })
    })
}

// Guards against endpoints that fail because requests go on while they reject them, and against rates
// so low that most of the endpoint idles.
#[test]
fn endpoint_stays_up_and_in_use_under_overload() {
    for load in loads() {
        for seed in 1..4 {
            let outcome = replay(load, seed);
            let failures = failures(&outcome.rejected_at);
            assert!(failures <= MAX_FAILURES, "{load:?}: {failures}");
            let offered = load.capacity * load.demand.min(1.0) * END.as_secs_f64();
            let used = f64::from(outcome.accepted) / offered;
            assert!(used >= MIN_USED, "{load:?}: {used:.2}");
        }
    }
}

// Guards against an endpoint that stays slowed down after its overload has ended.
#[test]
fn rate_recovers_after_the_overload() {
    let mut rate = AdaptiveRate::default();
    let secs = Duration::from_secs;
    (0..100).for_each(|n| rate.record_allowed(Duration::from_millis(n * 10)));
    assert!(rate.record_rejection(secs(1)).is_some());
    let lowered = rate.limit(secs(1)).unwrap_or_default();
    assert!(lowered < 120.0, "{lowered}");
    assert!(rate.limit(secs(8)).unwrap_or_default() > 999.0);
}
