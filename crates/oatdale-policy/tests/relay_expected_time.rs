//! Expected times learned from the responses of one host.

use oatdale_policy::relay::{LoadAhead, ResponseTimes};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;

const HALF_LIFE: Duration = Duration::from_secs(60);

fn ahead(load: f64, weight: f64) -> LoadAhead {
    LoadAhead {
        load,
        weight,
        speed_factor: 1.0,
    }
}

/// Time at an engine of which some requests hardly disturb each other.
fn engine_time_s(load: f64) -> f64 {
    0.06 + 0.09 * (load - 6.0).max(0.0)
}

/// Learns from 8 responses a second, at engines of different speeds with loads around these, each
/// for some seconds.
fn learn(loads: &[(f64, f64)], seed: u64) -> (ResponseTimes, Duration) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let (mut times, mut now) = (ResponseTimes::new(HALF_LIFE), Duration::ZERO);
    for (load, seconds) in loads {
        for _ in 0..(seconds * 8.0) as u64 {
            now += Duration::from_millis(125);
            let load = (load + rng.random_range(-2.0..2.0)).max(0.0);
            let speed_factor = rng.random_range(0.8..2.0);
            let time_s = engine_time_s(load) * speed_factor * rng.random_range(0.5..1.5);
            let mut ahead = ahead(load, 1.0);
            ahead.speed_factor = speed_factor;
            times.record(now, ahead, load, Duration::from_secs_f64(time_s));
        }
    }
    (times, now)
}

// A straight line through these times expects a wait at idle engines and too little at busy ones.
#[test]
fn flat_and_steep_parts_are_both_learned() {
    let loads = [1.0, 4.0, 8.0, 12.0, 16.0, 20.0, 16.0, 12.0, 8.0, 4.0, 1.0];
    let (times, now) = learn(&loads.map(|load| (load, 2.0)), 1);
    let curve = times.curve(now);
    for load in [0.0, 4.0, 8.0, 12.0, 16.0, 20.0] {
        let (time_s, engine_s) = (curve.time_s(ahead(load, 1.0)), engine_time_s(load));
        let is_close = (time_s - engine_s).abs() < 0.4 * engine_s + 0.03;
        assert!(is_close, "{time_s} s at load {load}");
    }
    assert!((5.0..9.0).contains(&curve.knee_load()));
}

// In a burst, loads are reached of which the host knows nothing; a starting host knows nothing at
// all. Few responses must suffice to follow within about a second, and must not make idle engines
// look slow.
#[test]
fn a_burst_is_followed_within_a_second() {
    let prior = ResponseTimes::new(HALF_LIFE).curve(Duration::ZERO);
    assert!(prior.time_s(ahead(0.0, 1.0)) <= 0.15 && prior.time_s(ahead(20.0, 1.0)) > 1.5);
    let (times, now) = learn(&[(2.0, 60.0), (16.0, 1.25)], 2);
    let time_s = |load| times.curve(now).time_s(ahead(load, 1.0));
    assert!((0.6..1.5).contains(&(time_s(16.0) / engine_time_s(16.0))));
    assert!(time_s(0.0) < 0.12, "{} s at an idle engine", time_s(0.0));
}

// Few responses with times of seconds at idle endpoints would make busier ones look better, and
// one load that is not a number would disable the table.
#[test]
fn times_never_fall_with_the_load() {
    let mut rng = Pcg64::seed_from_u64(3);
    let mut times = ResponseTimes::new(HALF_LIFE);
    for _ in 0..2_000 {
        let time = Duration::from_secs_f64(rng.random::<f64>().powi(8) * 20.0);
        for load in [rng.random_range(0.0..40.0), f64::NAN] {
            times.record(Duration::ZERO, ahead(load, 1.0), load, time);
        }
        let curve = times.curve(Duration::ZERO);
        let all = (0..45).map(|n| curve.time_s(ahead(f64::from(n), 1.0)));
        assert!(all.is_sorted(), "{curve:?}");
    }
}

// Long prompts take longer by themselves. If that counted as a wait, endpoints that get them would
// look overloaded.
#[test]
fn own_weight_is_separated_from_the_wait() {
    let mut times = ResponseTimes::new(HALF_LIFE);
    for i in 0..400 {
        let request = ahead(1.0, if i % 10 == 0 { 5.0 } else { 1.0 });
        let time = Duration::from_secs_f64(0.1 * request.weight);
        times.record(Duration::ZERO, request, 1.0, time);
    }
    let curve = times.curve(Duration::ZERO);
    assert!((0.08..0.15).contains(&curve.time_s(ahead(2.0, 1.0))));
    assert!((0.4..0.6).contains(&curve.time_s(ahead(2.0, 5.0))));
}
