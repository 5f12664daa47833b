//! Exposure: requests that a bad canary serves until it is stopped, against a breaker with a
//! fixed threshold that stops healthy rollouts as rarely.
//!
//! Four nodes share their counts once a second. The breaker sees every outcome at once and stops
//! when too many of the last hundred were bad; its threshold is the lowest that stops at most one
//! in a thousand healthy rollouts, found on streams of their own.

use crate::Seeds;
use crate::report::Report;
use crate::world::{Draw, ModelService, Site};
use oatdale_config::{Config, CustomerKey, Key, ModelKey, ServiceKey, VersionKey, VersionState};
use oatdale_policy::{Ask, AttemptResult, Dispatch, Offer, Outcome, Place, Router, Session};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// The canary's share.
const SHARE: f64 = 0.2;

/// Requests of one rollout at most.
const REQUESTS: usize = 5_000;

/// Requests a second over all nodes.
const RATE: usize = 20;

const NODES: usize = 4;

/// Outcomes that the breaker looks back on.
const WINDOW: usize = 100;

/// Healthy rollouts for each seed, from which false stops are counted.
const HEALTHY: u64 = 500;

/// Healthy streams from which the breaker's thresholds are found.
const CALIBRATION: u64 = 20_000;

/// The share of healthy rollouts that may be stopped, for each of three faults.
const FALSE_STOPS: f64 = 0.001 / 3.0;

/// How a version behaves: the shares of errors, low ratings and slow answers.
#[derive(Clone, Copy)]
struct Behaviour {
    errors: f64,
    low: f64,
    slow: f64,
}

const HEALTHY_VERSION: Behaviour = Behaviour {
    errors: 0.01,
    low: 0.10,
    slow: 0.02,
};

/// What a cause that all versions share, such as a rack that fails, makes of healthy ones.
const BAD_DAY: Behaviour = Behaviour {
    errors: 0.05,
    low: 0.20,
    slow: 0.10,
};

/// Threads for the healthy rollouts.
const THREADS: usize = 4;

/// A breaker and the counts in its windows at which it stops, for errors, low ratings and slow
/// answers.
struct Breaker {
    name: &'static str,
    thresholds: [usize; 3],
}

/// A bad canary, and the seconds until a rating comes.
struct Case {
    name: &'static str,
    canary: Behaviour,
    rating_lag: usize,
}

pub(crate) fn run(seeds: Seeds) -> Report {
    let mut report = Report::new(
        "Exposure: requests served by a bad version until its stop",
        "served until stop",
    );
    let breakers = [
        Breaker::calibrated("breaker, knows the usual shares", HEALTHY_VERSION),
        Breaker::calibrated("breaker, allows for a bad day", BAD_DAY),
    ];
    for case in cases() {
        let canary = case.canary;
        for seed in seeds.clone() {
            let (served, stopped) = sequential(canary, HEALTHY_VERSION, case.rating_lag, seed);
            report.add(case.name, "oatdale", seed, &figures(served, stopped));
            let lag = (case.rating_lag * RATE) as f64 * SHARE;
            for b in &breakers {
                let stopped = breaker(canary, lag as usize, b.thresholds, seed);
                let served = stopped.unwrap_or((REQUESTS as f64 * SHARE) as usize);
                report.add(case.name, b.name, seed, &figures(served, stopped.is_some()));
            }
        }
    }
    false_stops(&mut report, seeds, &breakers);
    report
}

fn cases() -> [Case; 8] {
    let bad = |errors, low, slow| Behaviour { errors, low, slow };
    let case = |name, canary, rating_lag| Case {
        name,
        canary,
        rating_lag,
    };
    [
        case("errors 5%", bad(0.05, 0.10, 0.02), 10),
        case("errors 20%", bad(0.20, 0.10, 0.02), 10),
        case("errors 100%", bad(1.0, 0.10, 0.02), 10),
        case("low ratings 30%, 10 s late", bad(0.01, 0.30, 0.02), 10),
        case("low ratings 60%, 10 s late", bad(0.01, 0.60, 0.02), 10),
        case("low ratings 60%, 60 s late", bad(0.01, 0.60, 0.02), 60),
        case("slow 20%", bad(0.01, 0.10, 0.20), 10),
        case("slow 60%", bad(0.01, 0.10, 0.60), 10),
    ]
}

fn figures(served: usize, stopped: bool) -> [(&'static str, f64); 2] {
    [
        ("served until stop", served as f64),
        ("stopped", f64::from(u8::from(stopped))),
    ]
}

/// How often healthy rollouts are stopped, at the usual shares of bad outcomes and where a cause
/// that all versions share raises them.
fn false_stops(report: &mut Report, seeds: Seeds, breakers: &[Breaker]) {
    let metric = "stopped of 1000 healthy";
    for (name, version) in [("healthy", HEALTHY_VERSION), ("healthy, bad day", BAD_DAY)] {
        let counts = in_threads(seeds.clone(), |seed| {
            let of = |stops: &dyn Fn(u64) -> bool| {
                let runs = (0..HEALTHY).filter(|i| stops(1_000_000 + seed * HEALTHY + i));
                1000.0 * runs.count() as f64 / HEALTHY as f64
            };
            let ours = of(&|s| sequential(version, version, 10, s).1);
            let lag = (10.0 * RATE as f64 * SHARE) as usize;
            let theirs: Vec<f64> = breakers
                .iter()
                .map(|b| of(&|s| breaker(version, lag, b.thresholds, s).is_some()))
                .collect();
            (ours, theirs)
        });
        for (seed, (ours, theirs)) in seeds.clone().zip(counts) {
            report.add(name, "oatdale", seed, &[(metric, ours)]);
            for (b, value) in breakers.iter().zip(theirs) {
                report.add(name, b.name, seed, &[(metric, value)]);
            }
        }
    }
}

/// Runs the seeds on a few threads; the results come in the seeds' order.
fn in_threads<T: Send>(seeds: Seeds, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let seeds: Vec<u64> = seeds.collect();
    let part = seeds.len().div_ceil(THREADS).max(1);
    std::thread::scope(|scope| {
        let run = &run;
        let parts: Vec<_> = seeds
            .chunks(part)
            .map(|seeds| scope.spawn(move || seeds.iter().map(|&s| run(s)).collect::<Vec<T>>()))
            .collect();
        let joined = parts.into_iter().map(|p| p.join().expect("a run panicked"));
        joined.flatten().collect()
    })
}

/// One rollout under the real routers: requests served by the canary, and whether it was stopped.
fn sequential(canary: Behaviour, other: Behaviour, rating_lag: usize, seed: u64) -> (usize, bool) {
    let cfg = Arc::new(config());
    let mut rollout = Rollout {
        routers: (0..NODES as u64)
            .map(|node| {
                let place = Place {
                    domain: None,
                    seed: seed * 16 + node,
                };
                Router::new(cfg.clone(), place)
            })
            .collect(),
        canary,
        other,
        draw: Draw::new(seed * 31 + 7),
        late: VecDeque::new(),
        served: 0,
    };
    for at in 0..REQUESTS {
        let now = Duration::from_millis((1000 * at / RATE) as u64);
        rollout.serve(at, now, rating_lag * RATE);
        if at % RATE == 0 && rollout.gossip(now) {
            return (rollout.served, true);
        }
    }
    (rollout.served, false)
}

struct Rollout {
    routers: Vec<Router>,
    canary: Behaviour,
    other: Behaviour,
    draw: Draw,
    late: VecDeque<(usize, usize, VersionKey, f64)>,
    served: usize,
}

impl Rollout {
    fn serve(&mut self, at: usize, now: Duration, rating_lag: usize) {
        while self.late.front().is_some_and(|late| late.0 <= at) {
            let (_, node, version, rating) = self.late.pop_front().expect("it was just seen");
            self.routers[node].observe_rating(now, service(), 0, version, rating);
        }
        let node = self.draw.below(NODES);
        let ask = Ask {
            customer: CustomerKey::from_index(self.draw.below(10)),
            service: service(),
            idempotent: false,
            session: Session::None,
            deadline: now + Duration::from_secs(60),
            input_tokens: 100,
            output_tokens: 100,
            prefix: self.draw.bits(),
            draw: self.draw.bits(),
            stream: true,
            class: 0,
        };
        let Offer::Run(dispatch) = self.routers[node].offer(now, &ask) else {
            // Endpoints rest after failures in a row, as they do when a version fails always.
            return;
        };
        let outcome = self.outcome(dispatch);
        if let AttemptResult::Complete { .. } = outcome.result {
            let behaviour = self.behaviour(dispatch);
            let rating = f64::from(u8::from(self.draw.unit() >= behaviour.low));
            let version = dispatch.version.expect("a model service");
            self.late
                .push_back((at + rating_lag, node, version, rating));
        }
        self.routers[node].finish(now, dispatch.ticket, &outcome);
    }

    fn behaviour(&self, dispatch: Dispatch) -> Behaviour {
        match dispatch.version == Some(canary()) {
            true => self.canary,
            false => self.other,
        }
    }

    fn outcome(&mut self, dispatch: Dispatch) -> Outcome {
        self.served += usize::from(dispatch.version == Some(canary()));
        let behaviour = self.behaviour(dispatch);
        let result = match self.draw.unit() < behaviour.errors {
            true => AttemptResult::Broken,
            false => AttemptResult::Complete {
                rating: None,
                output_tokens: 100,
            },
        };
        let slow = self.draw.unit() < behaviour.slow;
        let seconds = 0.2 * (0.8 + 0.4 * self.draw.unit()) * if slow { 8.0 } else { 1.0 };
        let first_byte = Duration::from_secs_f64(seconds);
        Outcome {
            result,
            forwarded: false,
            first_byte: Some(first_byte),
            total: first_byte,
        }
    }

    /// Nodes exchange their counts; true once one of them stops the canary.
    fn gossip(&mut self, now: Duration) -> bool {
        let counters: Vec<_> = self.routers.iter().map(Router::evidence).collect();
        let mut stopped = false;
        for (at, router) in self.routers.iter_mut().enumerate() {
            for (from, counters) in counters.iter().enumerate().filter(|(from, _)| *from != at) {
                router.merge_evidence(from as u64, counters);
            }
            let stops = router.take_stops(now);
            stopped |= stops.iter().any(|stop| stop.version == canary());
        }
        stopped
    }
}

/// The breaker on a stream of the canary's outcomes: how many were served until it stopped.
fn breaker(
    canary: Behaviour,
    rating_lag: usize,
    thresholds: [usize; 3],
    seed: u64,
) -> Option<usize> {
    let mut draw = Draw::new(seed * 131 + 5);
    let mut windows = [(); 3].map(|()| Window::default());
    let mut ratings = VecDeque::new();
    for served in 1..=(REQUESTS as f64 * SHARE) as usize {
        let error = draw.unit() < canary.errors;
        let mut over = windows[0].add(error) >= thresholds[0];
        if !error {
            over |= windows[2].add(draw.unit() < canary.slow) >= thresholds[2];
            ratings.push_back((served + rating_lag, draw.unit() < canary.low));
        }
        while ratings.front().is_some_and(|&(due, _)| due <= served) {
            let (_, low) = ratings.pop_front().expect("it was just seen");
            over |= windows[1].add(low) >= thresholds[1];
        }
        if over {
            return Some(served);
        }
    }
    None
}

/// The last outcomes, and how many of them were bad.
#[derive(Default)]
struct Window {
    last: VecDeque<bool>,
    bad: usize,
}

impl Window {
    fn add(&mut self, bad: bool) -> usize {
        if self.last.len() == WINDOW {
            self.bad -= usize::from(self.last.pop_front() == Some(true));
        }
        self.last.push_back(bad);
        self.bad += usize::from(bad);
        self.bad
    }
}

impl Breaker {
    /// The least thresholds that healthy streams with these shares reach rarely enough.
    fn calibrated(name: &'static str, healthy: Behaviour) -> Self {
        let shares = [healthy.errors, healthy.low, healthy.slow];
        let thresholds = shares.map(|share| {
            let mut draw = Draw::new(99);
            let mut most: Vec<usize> = (0..CALIBRATION).map(|_| worst(share, &mut draw)).collect();
            most.sort_unstable();
            let allowed = (CALIBRATION as f64 * FALSE_STOPS) as usize;
            most[most.len() - 1 - allowed] + 1
        });
        Breaker { name, thresholds }
    }
}

/// The most bad outcomes in any window of one healthy rollout.
fn worst(share: f64, draw: &mut Draw) -> usize {
    let mut window = Window::default();
    let served = (REQUESTS as f64 * SHARE) as usize;
    (0..served)
        .map(|_| window.add(draw.unit() < share))
        .max()
        .unwrap_or(0)
}

fn service() -> ServiceKey {
    ServiceKey::from_index(0)
}

fn canary() -> VersionKey {
    VersionKey::from_index(1)
}

/// One model with a serving version and a canary.
fn config() -> Config {
    let mut site = Site::of_today(vec![ModelService {
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
        versions: vec![VersionKey::from_index(0), canary()],
    });
    cfg.models = models;
    let mut versions = oatdale_config::Arena::default();
    for (key, version) in cfg.versions.iter() {
        let mut version = version.clone();
        version.model = ModelKey::from_index(0);
        version.name = format!("{}", key.index());
        if key == canary() {
            version.state = VersionState::Canary { share: SHARE };
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
