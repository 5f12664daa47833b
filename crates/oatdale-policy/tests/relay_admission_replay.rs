//! Replays bursts at a service, with what its callers get with and without admission control, and the
//! release of waiting requests by many hosts.

use oatdale_policy::relay::{
    AdmissionDecision, AdmissionRequest, LoadGrowth, Prospect, Rejections, ReleaseShare,
    ServiceOutlook, SpareCapacity, admit,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time by which the sums of the load lag, in steps of 10 ms: between one and two intervals.
const LAG: usize = 37;

/// Target of a call and time that its caller waits, in milliseconds.
const TARGET: u64 = 1_500;
const TIME: u64 = 15_000;

/// Calls that the endpoints serve in a step of 10 ms.
type Capacity<'a> = &'a dyn Fn(usize) -> f64;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A call that is not placed yet; times in milliseconds.
#[derive(Clone, Copy)]
struct Call {
    /// When it arrived, and when its caller first sent it.
    arrival: u64,
    first: u64,
    has_waited: Option<Prospect>,
}

/// Returns the fraction of the callers that are served in time, and of those that are never served,
/// if `arrivals` calls per 10 ms reach endpoints that serve `capacity` of them in that time.
fn replay(admission: bool, arrivals: &[u32], capacity: Capacity<'_>) -> (f64, f64) {
    let mut rng = Pcg64::seed_from_u64(41);
    let mut due: BTreeMap<usize, Vec<Call>> = BTreeMap::new();
    let (mut in_time, mut unserved, mut callers) = (0, 0, 0);
    let (mut loads, mut growth) = (LoadGrowth::default(), 0.0);
    let (mut backlog, mut waits) = (0.0, VecDeque::from(vec![0.0; LAG]));
    for step in 0..arrivals.len() + 2_000 {
        let now = 10 * step as u64;
        let wait = |backlog: f64| 10.0 * backlog / capacity(step);
        let seen = waits.pop_front().unwrap_or(0.0);
        waits.push_back(wait(backlog));
        if step % 25 == 0 {
            growth = loads.record(ms(now), seen);
        }
        let new = arrivals.get(step).copied().unwrap_or(0);
        callers += new;
        let call = Call {
            arrival: now,
            first: now,
            has_waited: None,
        };
        let calls = due.remove(&step).unwrap_or_default().into_iter();
        for call in calls.chain((0..new).map(|_| call)) {
            let request = AdmissionRequest {
                target: Some(ms(TARGET)),
                elapsed: ms(now - call.arrival),
                time_left: ms((call.first + TIME).saturating_sub(now)),
                has_returned: call.first < call.arrival,
                has_waited: call.has_waited,
                is_behind: false,
                urgent_target: None,
            };
            let outlook = ServiceOutlook {
                expected: ms(seen as u64),
                idle: ms(0),
                utilization: admission.then_some(1.0),
                growth,
            };
            let at = |delay: Duration| (now + delay.as_millis() as u64).div_ceil(10) as usize;
            match admit(&request, &outlook, rng.random_range(0.0..1.0)) {
                AdmissionDecision::Place => {
                    backlog += 1.0;
                    in_time += u32::from(now - call.arrival + wait(backlog) as u64 <= TARGET);
                }
                AdmissionDecision::Wait { prospect, limit } => {
                    let call = Call {
                        has_waited: Some(prospect),
                        ..call
                    };
                    due.entry(at(limit).max(step + 1)).or_default().push(call);
                }
                AdmissionDecision::Refuse { .. } if request.has_returned => unserved += 1,
                AdmissionDecision::Refuse { retry_after, .. } => {
                    let at = at(retry_after).max(step + 1);
                    let call = Call {
                        arrival: 10 * at as u64,
                        has_waited: None,
                        ..call
                    };
                    due.entry(at).or_default().push(call);
                }
            }
        }
        backlog = f64::max(backlog - capacity(step), 0.0);
    }
    let share = |n: u32| f64::from(n) / f64::from(callers);
    (share(in_time), share(unserved))
}

/// Calls per 10 ms: `usual` for 20 s, and `burst` in addition from the second to the fourth second.
fn burst(usual: u32, burst: u32) -> Vec<u32> {
    let is_burst = |step| (200..400).contains(&step);
    (0..2_000)
        .map(|step| usual + if is_burst(step) { burst } else { 0 })
        .collect()
}

// Guards against late responses to callers that could be served in time a few seconds later: a burst
// at half of the engines, the loss of a third of the endpoints during a burst, and a return of all
// callers within a second.
#[test]
fn refused_callers_are_served_in_time_later() {
    let returning: Vec<u32> = (0..1_000)
        .map(|step| if step < 100 { 40 } else { 4 })
        .collect();
    let lost = |step: usize| if step < 300 { 14.0 } else { 9.3 };
    let cases: [(&str, Vec<u32>, Capacity<'_>); 4] = [
        ("a burst", burst(5, 28), &|_| 14.0),
        ("half of the engines", burst(3, 14), &|_| 7.0),
        ("a third lost", burst(5, 18), &lost),
        ("all return", returning, &|_| 14.0),
    ];
    for (name, arrivals, capacity) in cases {
        let (without, _) = replay(false, &arrivals, capacity);
        let (with, unserved) = replay(true, &arrivals, capacity);
        println!(
            "{name}: {without:.3} in time without admission, {with:.3} with, {unserved:.3} unserved"
        );
        assert!(with > 0.95 && without < 0.95, "{name}: {with}, {without}");
        assert!(unserved < 0.001, "{name}: {unserved}");
    }
}

/// Returns the fraction of the callers of a plain service that are rejected twice in a burst, with or
/// without callers spread over the time for which the overload has lasted.
fn replay_rejections(is_spread: bool) -> f64 {
    let mut rng = Pcg64::seed_from_u64(5);
    let mut due: BTreeMap<usize, u32> = BTreeMap::new();
    // As each host sees them; all see about the same.
    let mut rejections = Rejections::default();
    let (mut queued, mut callers, mut lost) = (0, 0, 0);
    for step in 0..600 {
        // Four endpoints with six places and a queue of 24 serve 800 requests in a second.
        queued = u32::saturating_sub(queued, 8);
        let now = ms(10 * step as u64);
        let (new, returned) = (if step < 100 { 16 } else { 3 }, due.remove(&step));
        callers += new;
        for n in 0..new + returned.unwrap_or(0) {
            match queued < 120 {
                true => queued += 1,
                false if n >= new => lost += 1,
                false => {
                    rejections.record(now);
                    let mut delay = ms(150).mul_f64(rng.random_range(0.4..1.2));
                    if is_spread {
                        delay += rejections.delay(now, rng.random_range(0.0..1.0));
                    }
                    let delay = delay.min(ms(2_500 / 3)).as_millis() as usize / 10;
                    *due.entry(step + delay.max(1)).or_default() += 1;
                }
            }
        }
    }
    f64::from(lost) / f64::from(callers)
}

// Guards against callers of a plain service that return while it still rejects requests.
#[test]
fn fewer_callers_are_rejected_twice_if_they_return_over_the_length_of_the_overload() {
    let (without, with) = (replay_rejections(false), replay_rejections(true));
    println!("rejected twice: {without:.3} without a spread, {with:.3} with");
    assert!(with < without / 2.0, "{with} {without}");
}

// Guards against hosts that each release what fits into the spare capacity, because all of them see
// the same sums half a second late; and against leaving it unused.
#[test]
fn hosts_together_release_no_more_than_the_spare_capacity() {
    for hosts in [9, 59, 86, 295, 985, 2_000] {
        let mut rng = Pcg64::seed_from_u64(hosts as u64);
        let capacity = 4.0 * hosts as f64;
        let mut shares = vec![ReleaseShare::default(); hosts];
        // Each host's last sum; a datagram in ten is lost.
        let mut seen = vec![(0, 0.0); hosts];
        let mut history = vec![0.0];
        let (mut load, mut peak, mut used) = (0.0_f64, 0.0_f64, 0.0);
        for tick in 0..200_u64 {
            for host in 0..hosts {
                if (tick + host as u64).is_multiple_of(5) && rng.random_range(0.0..1.0) < 0.9 {
                    let lag = rng.random_range(5..=10);
                    let at = tick.saturating_sub(lag);
                    seen[host] = (50 * at, history[at as usize]);
                }
                // Hosts that have joined or left are not known to all others.
                let known = (hosts as f64 * rng.random_range(0.95..1.05)).round() as usize;
                let spare = SpareCapacity {
                    load: capacity - seen[host].1,
                    summed_until: ms(seen[host].0),
                    hosts: known,
                };
                shares[host].grant(ms(50 * tick), spare, &mut rng);
                while shares[host].take(1.0) {
                    load += 1.0;
                }
            }
            peak = peak.max(load);
            used += load / 200.0;
            history.push(load);
            // A request takes two seconds.
            load -= load / 40.0;
        }
        assert!(peak < 1.2 * capacity, "{hosts} hosts: {peak} of {capacity}");
        assert!(used > 0.5 * capacity, "{hosts} hosts: {used} of {capacity}");
    }
}
