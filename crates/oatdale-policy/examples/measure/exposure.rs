//! Exposure: requests that a bad canary serves until it is stopped, compared with a circuit breaker
//! whose fixed threshold stops healthy rollouts equally rarely.
//!
//! Four nodes exchange their counts once a second. The breaker receives every outcome immediately
//! and stops the canary when too many of the last hundred were bad. Its threshold is the lowest one
//! that stops at most one in a thousand healthy rollouts, calibrated on separate random streams.

use crate::Seeds;
use crate::report::Report;
use crate::site::{ModelService, SimRng, Site};
use oatdale_config::{Config, CustomerKey, Key, ModelKey, ServiceKey, VersionKey, VersionState};
use oatdale_policy::{
    AdmissionDecision, AttemptResult, Dispatch, NodeIdentity, Outcome, RequestInfo, Router, Session,
};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Share of the requests that go to the canary.
const CANARY_SHARE: f64 = 0.2;

/// Requests after which a rollout ends if it was not stopped.
const MAX_REQUESTS: usize = 5_000;

/// Request rate over all nodes.
const REQUESTS_PER_S: usize = 20;

const NODES: usize = 4;

/// Number of most recent outcomes that the breaker counts.
const WINDOW_OUTCOMES: usize = 100;

/// Healthy rollouts among which false stops are counted.
const HEALTHY_ROLLOUTS_PER_SEED: u64 = 500;

/// Healthy rollouts on which the breaker's thresholds are calibrated.
const CALIBRATION_ROLLOUTS: u64 = 20_000;

/// Share of healthy rollouts that the breaker may stop for each of the three faults.
const MAX_FALSE_STOP_SHARE: f64 = 0.001 / 3.0;

/// Behaviour of a version: its shares of errors, low ratings and slow responses.
#[derive(Clone, Copy)]
struct Behaviour {
    error_share: f64,
    low_rating_share: f64,
    slow_share: f64,
}

const HEALTHY_VERSION: Behaviour = Behaviour {
    error_share: 0.01,
    low_rating_share: 0.10,
    slow_share: 0.02,
};

/// Behaviour of healthy versions under a fault that affects all versions, such as a failing rack.
const SHARED_FAULT: Behaviour = Behaviour {
    error_share: 0.05,
    low_rating_share: 0.20,
    slow_share: 0.10,
};

/// Threads that run healthy rollouts.
const THREADS: usize = 4;

/// Circuit breaker with the counts in its windows at which it stops a rollout, for errors, low
/// ratings and slow responses.
struct Breaker {
    name: &'static str,
    thresholds: [usize; 3],
}

/// Bad canary, and the time until a rating arrives.
struct Case {
    name: &'static str,
    canary: Behaviour,
    rating_lag_s: usize,
}

pub(crate) fn run(seeds: Seeds) -> Report {
    let mut report = Report::new(
        "Exposure: requests served by a bad version until its stop",
        "served until stop",
    );
    let breakers = [
        Breaker::calibrated("breaker, calibrated to usual rates", HEALTHY_VERSION),
        Breaker::calibrated("breaker, calibrated to a shared fault", SHARED_FAULT),
    ];
    for case in cases() {
        let canary = case.canary;
        for seed in seeds.clone() {
            let (served, stopped) = run_rollout(canary, HEALTHY_VERSION, case.rating_lag_s, seed);
            report.add(case.name, "oatdale", seed, &metrics(served, stopped));
            // The breaker counts the lag in requests to the canary.
            let lag = (case.rating_lag_s * REQUESTS_PER_S) as f64 * CANARY_SHARE;
            for b in &breakers {
                let stopped = run_breaker(canary, lag as usize, b.thresholds, seed);
                let served = stopped.unwrap_or((MAX_REQUESTS as f64 * CANARY_SHARE) as usize);
                report.add(case.name, b.name, seed, &metrics(served, stopped.is_some()));
            }
        }
    }
    report_false_stops(&mut report, seeds, &breakers);
    report
}

fn cases() -> [Case; 8] {
    let faulty = |error_share, low_rating_share, slow_share| Behaviour {
        error_share,
        low_rating_share,
        slow_share,
    };
    let case = |name, canary, rating_lag_s| Case {
        name,
        canary,
        rating_lag_s,
    };
    [
        case("errors 5%", faulty(0.05, 0.10, 0.02), 10),
        case("errors 20%", faulty(0.20, 0.10, 0.02), 10),
        case("errors 100%", faulty(1.0, 0.10, 0.02), 10),
        case("low ratings 30%, 10 s late", faulty(0.01, 0.30, 0.02), 10),
        case("low ratings 60%, 10 s late", faulty(0.01, 0.60, 0.02), 10),
        case("low ratings 60%, 60 s late", faulty(0.01, 0.60, 0.02), 60),
        case("slow 20%", faulty(0.01, 0.10, 0.20), 10),
        case("slow 60%", faulty(0.01, 0.10, 0.60), 10),
    ]
}

fn metrics(served: usize, stopped: bool) -> [(&'static str, f64); 2] {
    [
        ("served until stop", served as f64),
        ("stopped", f64::from(u8::from(stopped))),
    ]
}

/// Adds the number of stops per 1000 healthy rollouts, at the usual shares of bad outcomes and
/// under a fault of all versions that raises them.
fn report_false_stops(report: &mut Report, seeds: Seeds, breakers: &[Breaker]) {
    let metric = "stopped of 1000 healthy";
    for (name, version) in [
        ("healthy", HEALTHY_VERSION),
        ("healthy, shared fault", SHARED_FAULT),
    ] {
        let counts = run_in_threads(seeds.clone(), |seed| {
            let per_1000 = |is_stopped: &dyn Fn(u64) -> bool| {
                let stopped_runs = (0..HEALTHY_ROLLOUTS_PER_SEED)
                    .filter(|i| is_stopped(1_000_000 + seed * HEALTHY_ROLLOUTS_PER_SEED + i));
                1000.0 * stopped_runs.count() as f64 / HEALTHY_ROLLOUTS_PER_SEED as f64
            };
            let router_stops = per_1000(&|s| run_rollout(version, version, 10, s).1);
            let lag = (10.0 * REQUESTS_PER_S as f64 * CANARY_SHARE) as usize;
            let breaker_stops: Vec<f64> = breakers
                .iter()
                .map(|b| per_1000(&|s| run_breaker(version, lag, b.thresholds, s).is_some()))
                .collect();
            (router_stops, breaker_stops)
        });
        for (seed, (router_stops, breaker_stops)) in seeds.clone().zip(counts) {
            report.add(name, "oatdale", seed, &[(metric, router_stops)]);
            for (b, value) in breakers.iter().zip(breaker_stops) {
                report.add(name, b.name, seed, &[(metric, value)]);
            }
        }
    }
}

/// Runs the seeds on several threads and returns the results in the order of the seeds.
fn run_in_threads<T: Send>(seeds: Seeds, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let seeds: Vec<u64> = seeds.collect();
    let chunk_len = seeds.len().div_ceil(THREADS).max(1);
    std::thread::scope(|scope| {
        let run = &run;
        let handles: Vec<_> = seeds
            .chunks(chunk_len)
            .map(|seeds| scope.spawn(move || seeds.iter().map(|&s| run(s)).collect::<Vec<T>>()))
            .collect();
        let joined = handles
            .into_iter()
            .map(|p| p.join().expect("worker thread panicked"));
        joined.flatten().collect()
    })
}

/// Runs a rollout with the router. Returns the number of requests that the canary served, and
/// whether it was stopped.
fn run_rollout(
    canary: Behaviour,
    serving: Behaviour,
    rating_lag_s: usize,
    seed: u64,
) -> (usize, bool) {
    let cfg = Arc::new(config());
    let mut rollout = Rollout {
        routers: (0..NODES as u64)
            .map(|node| {
                let identity = NodeIdentity {
                    domain: None,
                    seed: seed * 16 + node,
                };
                Router::new(cfg.clone(), identity)
            })
            .collect(),
        canary,
        serving,
        rng: SimRng::new(seed * 31 + 7),
        pending_ratings: VecDeque::new(),
        served: 0,
    };
    for request_index in 0..MAX_REQUESTS {
        let now = Duration::from_millis((1000 * request_index / REQUESTS_PER_S) as u64);
        rollout.serve(request_index, now, rating_lag_s * REQUESTS_PER_S);
        if request_index % REQUESTS_PER_S == 0 && rollout.gossip(now) {
            return (rollout.served, true);
        }
    }
    (rollout.served, false)
}

/// State of one rollout.
struct Rollout {
    routers: Vec<Router>,
    canary: Behaviour,
    serving: Behaviour,
    rng: SimRng,
    /// Index of the request at which a rating arrives, node, version and rating.
    pending_ratings: VecDeque<(usize, usize, VersionKey, f64)>,
    served: usize,
}

impl Rollout {
    fn serve(&mut self, request_index: usize, now: Duration, rating_lag_requests: usize) {
        while self
            .pending_ratings
            .front()
            .is_some_and(|pending| pending.0 <= request_index)
        {
            let (_, node, version, rating) =
                self.pending_ratings.pop_front().expect("front was checked");
            self.routers[node].observe_rating(now, service(), 0, version, rating);
        }
        let node = self.rng.below(NODES);
        let info = RequestInfo {
            customer: CustomerKey::from_index(self.rng.below(10)),
            service: service(),
            idempotent: false,
            session: Session::None,
            deadline: now + Duration::from_secs(60),
            input_tokens: 100,
            output_tokens: 100,
            prefix: self.rng.random_bits(),
            rollout_hash: self.rng.random_bits(),
            stream: true,
            class: 0,
        };
        let AdmissionDecision::Run(dispatch) = self.routers[node].offer(now, &info) else {
            // Endpoints are avoided for a while after consecutive failures, which happens if a
            // version always fails.
            return;
        };
        let outcome = self.outcome(dispatch);
        if let AttemptResult::Complete { .. } = outcome.result {
            let behaviour = self.behaviour(dispatch);
            let rating = f64::from(u8::from(self.rng.uniform() >= behaviour.low_rating_share));
            let version = dispatch.version.expect("model services dispatch a version");
            self.pending_ratings.push_back((
                request_index + rating_lag_requests,
                node,
                version,
                rating,
            ));
        }
        self.routers[node].finish(now, dispatch.ticket, &outcome);
    }

    fn behaviour(&self, dispatch: Dispatch) -> Behaviour {
        match dispatch.version == Some(canary_version()) {
            true => self.canary,
            false => self.serving,
        }
    }

    /// Draws the outcome of an attempt and counts the attempts of the canary.
    fn outcome(&mut self, dispatch: Dispatch) -> Outcome {
        self.served += usize::from(dispatch.version == Some(canary_version()));
        let behaviour = self.behaviour(dispatch);
        let result = match self.rng.uniform() < behaviour.error_share {
            true => AttemptResult::Broken,
            false => AttemptResult::Complete {
                rating: None,
                output_tokens: 100,
            },
        };
        let slow = self.rng.uniform() < behaviour.slow_share;
        let seconds = 0.2 * (0.8 + 0.4 * self.rng.uniform()) * if slow { 8.0 } else { 1.0 };
        let first_byte = Duration::from_secs_f64(seconds);
        Outcome {
            result,
            forwarded: false,
            first_byte: Some(first_byte),
            total: first_byte,
        }
    }

    /// Exchanges the counts between the nodes and returns whether one of them stops the canary.
    fn gossip(&mut self, now: Duration) -> bool {
        let counters: Vec<_> = self.routers.iter().map(Router::evidence).collect();
        let mut stopped = false;
        for (to, router) in self.routers.iter_mut().enumerate() {
            for (from, counters) in counters.iter().enumerate().filter(|(from, _)| *from != to) {
                router.merge_evidence(from as u64, counters);
            }
            let stops = router.take_stops(now);
            stopped |= stops.iter().any(|stop| stop.version == canary_version());
        }
        stopped
    }
}

/// Runs the breaker on a stream of the canary's outcomes. Returns the number of requests served
/// until it stopped the rollout, or `None` if it did not.
///
/// `rating_lag_served` is the number of requests to the canary after which a rating arrives.
fn run_breaker(
    canary: Behaviour,
    rating_lag_served: usize,
    thresholds: [usize; 3],
    seed: u64,
) -> Option<usize> {
    let mut rng = SimRng::new(seed * 131 + 5);
    let mut windows = [(); 3].map(|()| Window::default());
    let mut ratings = VecDeque::new();
    for served in 1..=(MAX_REQUESTS as f64 * CANARY_SHARE) as usize {
        let error = rng.uniform() < canary.error_share;
        let mut is_over = windows[0].add(error) >= thresholds[0];
        if !error {
            is_over |= windows[2].add(rng.uniform() < canary.slow_share) >= thresholds[2];
            ratings.push_back((
                served + rating_lag_served,
                rng.uniform() < canary.low_rating_share,
            ));
        }
        while ratings.front().is_some_and(|&(due, _)| due <= served) {
            let (_, low) = ratings.pop_front().expect("front was checked");
            is_over |= windows[1].add(low) >= thresholds[1];
        }
        if is_over {
            return Some(served);
        }
    }
    None
}

/// Most recent outcomes, and the number of bad ones.
#[derive(Default)]
struct Window {
    outcomes: VecDeque<bool>,
    bad_count: usize,
}

impl Window {
    /// Adds an outcome and returns the number of bad outcomes in the window.
    fn add(&mut self, is_bad: bool) -> usize {
        if self.outcomes.len() == WINDOW_OUTCOMES {
            self.bad_count -= usize::from(self.outcomes.pop_front() == Some(true));
        }
        self.outcomes.push_back(is_bad);
        self.bad_count += usize::from(is_bad);
        self.bad_count
    }
}

impl Breaker {
    /// Returns the breaker with the lowest thresholds that healthy rollouts with these shares reach
    /// rarely enough.
    fn calibrated(name: &'static str, healthy: Behaviour) -> Self {
        let shares = [
            healthy.error_share,
            healthy.low_rating_share,
            healthy.slow_share,
        ];
        let thresholds = shares.map(|share| {
            let mut rng = SimRng::new(99);
            let mut worst_counts: Vec<usize> = (0..CALIBRATION_ROLLOUTS)
                .map(|_| max_bad_in_window(share, &mut rng))
                .collect();
            worst_counts.sort_unstable();
            let allowed_stops = (CALIBRATION_ROLLOUTS as f64 * MAX_FALSE_STOP_SHARE) as usize;
            worst_counts[worst_counts.len() - 1 - allowed_stops] + 1
        });
        Breaker { name, thresholds }
    }
}

/// Returns the maximum number of bad outcomes in any window of one healthy rollout.
fn max_bad_in_window(share: f64, rng: &mut SimRng) -> usize {
    let mut window = Window::default();
    let served = (MAX_REQUESTS as f64 * CANARY_SHARE) as usize;
    (0..served)
        .map(|_| window.add(rng.uniform() < share))
        .max()
        .unwrap_or(0)
}

fn service() -> ServiceKey {
    ServiceKey::from_index(0)
}

fn canary_version() -> VersionKey {
    VersionKey::from_index(1)
}

/// Returns a configuration of one model with a serving version and a canary.
fn config() -> Config {
    let mut site = Site::standard(vec![ModelService {
        name: "model",
        quality: 0.5,
        latency_weight: 0.0,
        deadline: 60.0,
    }]);
    site.prices.truncate(2);
    let mut cfg = site.config();
    let mut models = oatdale_config::Arena::default();
    models.push(oatdale_config::Model {
        name: "m".to_owned(),
        versions: vec![VersionKey::from_index(0), canary_version()],
    });
    cfg.models = models;
    let mut versions = oatdale_config::Arena::default();
    for (key, version) in cfg.versions.iter() {
        let mut version = version.clone();
        version.model = ModelKey::from_index(0);
        version.name = format!("{}", key.index());
        if key == canary_version() {
            version.state = VersionState::Canary {
                share: CANARY_SHARE,
            };
        }
        versions.push(version);
    }
    cfg.versions = versions;
    let mut services = oatdale_config::Arena::default();
    for (_, item) in cfg.services.iter() {
        let mut item = item.clone();
        if let oatdale_config::ServiceKind::Model { models, .. } = &mut item.kind {
            models.truncate(1);
        }
        services.push(item);
    }
    cfg.services = services;
    cfg
}
