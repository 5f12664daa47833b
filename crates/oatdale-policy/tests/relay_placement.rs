//! Replays of placement by many hosts at endpoints of different speeds. The hosts decide by sums of
//! loads that lag by up to half a second.

use oatdale_policy::relay::{
    CachedPrefix, Candidate, LoadAhead, Placement, PrefixShares, ResponseTimes, TimedCandidate,
    choose, choose_cached, choose_of_two,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// Each host sends a 59th of the requests; its own load is not known before the sums have it.
const HOSTS: usize = 59;
const ENDPOINTS: usize = 90;
const PLACES: usize = 16;

/// Prefixes of prompts; the first are the most popular.
const PREFIXES: f64 = 200.0;

/// Duration of a step, and the number of steps between two sums of loads. Sums arrive one interval
/// after they were taken.
const STEP_S: f64 = 0.01;
const SUM_STEPS: u64 = 25;

/// Seconds to read the shared prefix and the rest of a prompt, and to generate, at usual speed.
const PREFIX_S: f64 = 0.1;
const READ_S: f64 = 0.06;
const GENERATE_S: f64 = 0.7;

#[derive(Default)]
struct Endpoint {
    speed_factor: f64,
    is_released: bool,
    /// When the places become free, in seconds.
    places: [f64; PLACES],
    /// When its requests end, in seconds.
    ends: Vec<f64>,
    cached: HashSet<u64>,
    /// Times to the first event, in seconds.
    times_s: Vec<f64>,
}

impl Endpoint {
    /// Runs a request and returns the seconds until its first event. Prompts are read in turn with
    /// the steps of the other requests.
    fn run(&mut self, now_s: f64, prefix: u64, noise: f64) -> f64 {
        let others = self.ends.len().min(PLACES) as f64 / PLACES as f64;
        let prefix_s = PREFIX_S * f64::from(self.cached.insert(prefix));
        let read_s = (READ_S + prefix_s) * (1.0 + 3.0 * others * others);
        let place = self.places.iter_mut().min_by(|a, b| a.total_cmp(b));
        let place = place.expect("an endpoint has places");
        let first_s = now_s.max(*place) + read_s * self.speed_factor * noise;
        *place = first_s + GENERATE_S * self.speed_factor * noise;
        self.ends.push(*place);
        self.times_s.push(first_s - now_s);
        first_s - now_s
    }
}

struct Replay {
    /// Whether hosts place requests by time, or by their number as without load control.
    by_time: bool,
    rng: Pcg64,
    step: u64,
    now: Duration,
    endpoints: Vec<Endpoint>,
    /// Loads as the hosts know them, and the next ones, under way.
    sums: [Vec<f64>; 2],
    hosts: Vec<(ResponseTimes, PrefixShares)>,
    /// Responses by the step at which a host receives them.
    responses: BTreeMap<u64, Vec<(usize, usize, LoadAhead, f64)>>,
}

impl Replay {
    fn new(by_time: bool, seed: u64) -> Replay {
        let endpoint = |i: usize| Endpoint {
            speed_factor: 1.0 / (0.4 + 0.9 * i as f64 / ENDPOINTS as f64),
            ..Endpoint::default()
        };
        let host = (
            ResponseTimes::new(Duration::from_secs(60)),
            PrefixShares::default(),
        );
        Replay {
            by_time,
            rng: Pcg64::seed_from_u64(seed),
            step: 0,
            now: Duration::ZERO,
            endpoints: (0..ENDPOINTS).map(endpoint).collect(),
            sums: [vec![0.0; ENDPOINTS], vec![0.0; ENDPOINTS]],
            hosts: vec![host; HOSTS],
            responses: BTreeMap::new(),
        }
    }

    /// Sends `per_second` requests a second for some seconds.
    fn send(&mut self, seconds: f64, per_second: f64) {
        for _ in 0..(seconds / STEP_S) as u64 {
            self.step += 1;
            let now_s = self.step as f64 * STEP_S;
            self.now = Duration::from_secs_f64(now_s);
            for endpoint in &mut self.endpoints {
                endpoint.ends.retain(|end| *end > now_s);
            }
            if self.step.is_multiple_of(SUM_STEPS) {
                let loads = self.endpoints.iter().map(|e| e.ends.len() as f64);
                self.sums = [std::mem::take(&mut self.sums[1]), loads.collect()];
            }
            let received = self.responses.remove(&self.step);
            for (host, endpoint, ahead, time_s) in received.into_iter().flatten() {
                let time = Duration::from_secs_f64(time_s);
                self.hosts[host]
                    .0
                    .record(self.now, ahead, self.sums[0][endpoint], time);
            }
            let requests = (per_second * STEP_S + self.rng.random::<f64>()) as u64;
            for _ in 0..requests {
                self.request();
            }
        }
    }

    fn request(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        let prefix = PREFIXES.powf(self.rng.random::<f64>()) as u64;
        let indices = (0..ENDPOINTS).filter(|&i| !self.endpoints[i].is_released);
        let indices: Vec<usize> = indices.collect();
        let mut candidate = |&i: &usize| {
            let estimate_error = self.rng.random_range(0.85..1.15);
            let speed_factor = self.endpoints[i].speed_factor * estimate_error;
            candidate(self.sums[0][i], speed_factor, affinity(prefix, i))
        };
        let all: Vec<_> = indices.iter().map(&mut candidate).collect();
        let chosen = self.choose(host, &all, prefix).expect("endpoints are left");
        let (endpoint, ahead) = (indices[chosen], ahead(&all[chosen]));
        self.hosts[host].1.record(self.now, prefix, 1.0);
        let noise = self.rng.random_range(0.7..1.3);
        let time_s = self.endpoints[endpoint].run(self.now.as_secs_f64(), prefix, noise);
        let received = self.step + 1 + (time_s / STEP_S) as u64;
        let response = (host, endpoint, ahead, time_s);
        self.responses.entry(received).or_default().push(response);
    }

    fn choose(&mut self, host: usize, all: &[TimedCandidate], prefix: u64) -> Option<usize> {
        if !self.by_time {
            let by_count = |c: &TimedCandidate| Candidate {
                in_flight: c.load + 0.1,
                affinity: c.affinity,
                ..Candidate::default()
            };
            let all: Vec<_> = all.iter().map(by_count).collect();
            return choose(&all, Placement::Affinity, 0);
        }
        let curve = self.hosts[host].0.curve(self.now);
        let prefix = CachedPrefix {
            read_s: PREFIX_S,
            share: self.hosts[host].1.share(self.now, prefix, 1.0),
        };
        choose_cached(all, &[], |c| curve.time_s(ahead(c)), prefix, &mut self.rng)
    }

    /// Returns the median time at the slowest quarter of the endpoints relative to the fastest one,
    /// and the share of times above half a second, and forgets the times.
    fn take_results(&mut self) -> (f64, f64) {
        let times = self.endpoints.iter_mut();
        let times: Vec<_> = times.map(|e| std::mem::take(&mut e.times_s)).collect();
        let all = times.concat();
        let late = all.iter().filter(|t| **t > 0.5).count() as f64;
        let median = |times: &[Vec<f64>]| {
            let mut times = times.concat();
            times.sort_by(f64::total_cmp);
            times[times.len() / 2]
        };
        let quarter = ENDPOINTS / 4;
        let slowest = median(&times[..quarter]);
        let fastest = median(&times[ENDPOINTS - quarter..]);
        (slowest / fastest, late / all.len() as f64)
    }
}

fn ahead(candidate: &TimedCandidate) -> LoadAhead {
    LoadAhead {
        load: candidate.load,
        weight: 1.0,
        speed_factor: candidate.speed_factor,
    }
}

fn candidate(load: f64, speed_factor: f64, affinity: u64) -> TimedCandidate {
    TimedCandidate {
        load,
        speed_factor,
        health_factor: 1.0,
        same_domain: true,
        affinity,
    }
}

fn affinity(prefix: u64, endpoint: usize) -> u64 {
    let mixed = (prefix << 32 | endpoint as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Returns the results by count and by time: `prepare` is followed by some seconds at a rate.
fn compare(seed: u64, prepare: fn(&mut Replay), seconds: f64, rate: f64) -> [(f64, f64); 2] {
    [false, true].map(|by_time| {
        let mut replay = Replay::new(by_time, seed);
        prepare(&mut replay);
        replay.take_results();
        replay.send(seconds, rate);
        replay.take_results()
    })
}

// With equal counts, endpoints at 0.4 of the usual speed have long queues while those at 1.3 have
// none. In a burst, all hosts follow the same sums.
#[test]
fn slow_endpoints_keep_nobody_waiting_in_a_burst() {
    for seed in 1..4 {
        let results = compare(seed, |replay| replay.send(10.0, 300.0), 4.0, 1_200.0);
        let [(count_ratio, count_late), (time_ratio, time_late)] = results;
        assert!(count_ratio > 1.5 && time_ratio <= 1.5, "{results:?}");
        assert!(time_late < count_late, "{results:?}");
    }
}

// A release takes a third of the endpoints away. The others have not cached their prefixes, and
// their next ones in rendezvous order get all their requests at once.
#[test]
fn a_release_of_a_third_of_the_endpoints_is_absorbed() {
    for seed in 1..4 {
        let release = |replay: &mut Replay| {
            replay.send(10.0, 500.0);
            let endpoints = replay.endpoints.iter_mut();
            endpoints.step_by(3).for_each(|e| e.is_released = true);
        };
        let results = compare(seed, release, 4.0, 500.0);
        let [(_, count_late), (_, time_late)] = results;
        assert!(time_late < count_late && time_late < 0.05, "{results:?}");
    }
}

/// Returns how often each of some idle endpoints is chosen by as many hosts with the same sums.
fn picks(
    speeds: &[f64],
    choose: impl Fn(&[TimedCandidate], &mut Pcg64) -> Option<usize>,
) -> Vec<usize> {
    let mut rng = Pcg64::seed_from_u64(7);
    let speeds = speeds.iter().enumerate();
    let all: Vec<_> = speeds
        .map(|(i, speed)| candidate(0.0, 1.0 / speed, affinity(1, i)))
        .collect();
    let mut counts = vec![0; all.len()];
    for _ in 0..1_000 {
        counts[choose(&all, &mut rng).expect("there are endpoints")] += 1;
    }
    counts
}

// If all hosts took the best endpoint by the same sums, it would get everything until the next sums
// arrive. An unpopular prefix must still go to one endpoint, which then has it cached.
#[test]
fn hosts_with_the_same_sums_spread_their_requests() {
    let speeds: Vec<f64> = (0..90).map(|i| 0.4 + 0.01 * f64::from(i)).collect();
    let counts = picks(&speeds, choose_of_two);
    assert!(counts.iter().all(|n| *n < 50), "{counts:?}");
    // At plain services, where only the own load is known, a slow endpoint gets its part by speed:
    // not nothing while the others reject requests.
    let counts = picks(&[0.55, 1.2, 1.2, 1.2], choose_of_two);
    assert!((100..200).contains(&counts[0]), "{counts:?}");
    let cached = |share| {
        let prefix = CachedPrefix { read_s: 1.0, share };
        let counts = picks(&speeds, |all, rng| {
            choose_cached(all, &[], |_| 0.1, prefix, rng)
        });
        counts.into_iter().filter(|n| *n > 0).count()
    };
    assert_eq!(cached(0.0), 1);
    assert!((9..30).contains(&cached(0.1)));
}
