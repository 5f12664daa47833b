//! Cost at the quality target: the learned cascade against simple ones and the optimum.
//!
//! Each request has a hidden difficulty. A version's answer is accepted if the version's ability
//! in the request's class exceeds that difficulty and a noise of its own, so a request that one
//! version fails is harder for the next one too. The optimum knows the true distributions.

mod load;

use self::load::{
    Expected, LENGTH_SIGMA, Load, Request, accepts, request, seconds, shifted, skyward, tallyrow,
    truth,
};
use crate::Seeds;
use crate::report::Report;
use crate::world::{Draw, ModelService, Site, customer};
use oatdale_config::{Config, Key, ServiceKey, VersionKey};
use oatdale_policy::{
    Ask, AttemptResult, Dispatch, Next, Offer, Outcome, Place, Router, Session, VersionReason,
};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Requests of one run; the shift comes in the middle.
const REQUESTS: usize = 8_000;

/// The first requests, from which the router learns, count in neither cost nor quality of the
/// steady state; their quality is given apart.
const WARM_UP: usize = 1_000;

/// Requests after which a sampled rating arrives.
const RATING_LAG: usize = 100;

/// Requests over which quality is averaged to see whether it is back on target.
const WINDOW: usize = 500;

/// Tokens that callers allow an answer to have.
const MOST_OUTPUT: u32 = 4_000;

/// What one policy did with one request.
#[derive(Clone, Copy, Default)]
struct Result {
    cost: f64,
    accepted: bool,
    seconds: f64,
}

pub(crate) fn run(seeds: Seeds) -> Report {
    let mut report = Report::new("Cascade: cost at the quality target", "cost / optimum");
    for load in [skyward(), tallyrow()] {
        let name = load.name;
        let shift = shifted(&load);
        let some_rated = Load {
            sampled: 0.1,
            ..load.clone()
        };
        let latency_first = Load {
            latency_weight: 0.5,
            ..load.clone()
        };
        let conditions = [
            (format!("{name} steady"), &load, &load),
            (format!("{name} shift"), &load, &shift),
            (format!("{name} 10% rated"), &some_rated, &some_rated),
            (
                format!("{name} latency 0.5"),
                &latency_first,
                &latency_first,
            ),
        ];
        for (condition, before, after) in conditions {
            for seed in seeds.clone() {
                measure(&mut report, &condition, before, after, seed);
            }
        }
    }
    report
}

fn measure(report: &mut Report, condition: &str, load: &Load, after: &Load, seed: u64) {
    let shifts = condition.ends_with("shift");
    let mut draw = Draw::new(seed * 1_000_003 + 17);
    let requests: Vec<Request> = (0..REQUESTS).map(|_| request(load, &mut draw)).collect();
    let site = site(load);
    let cfg = Arc::new(site.config());
    let world = World {
        cfg: cfg.clone(),
        loads: [load.clone(), after.clone()],
        requests,
    };
    let optimum = world.optimum(&mut draw);
    let best = world.fixed(&[2]);
    let cheapest = world.fixed(&[0]);
    let fixed = world.fixed(&[0, 2]);
    let learned = world.learned(&site, seed);
    let policies = [
        ("always best", best),
        ("always cheapest", cheapest),
        ("fixed cascade", fixed),
        ("oatdale", learned),
        ("optimum", optimum.clone()),
    ];
    for (policy, results) in policies {
        let judged = match shifts {
            false => WARM_UP..REQUESTS,
            true => REQUESTS / 2..REQUESTS,
        };
        let (cost, quality) = sums(&results[judged.clone()]);
        let (least, _) = sums(&optimum[judged.clone()]);
        let met = f64::from(u8::from(quality >= load.target));
        let taken: f64 = results[judged.clone()].iter().map(|r| r.seconds).sum();
        let seconds = taken / judged.len() as f64;
        let (_, early) = sums(&results[..WARM_UP]);
        let mut values = vec![
            ("cost / optimum", cost / least),
            ("quality", quality),
            ("target met", met),
            ("seconds to the answer", seconds),
            ("quality of first 1000", early),
        ];
        if shifts {
            values.push((
                "requests until back on target",
                recovery(&results, load.target),
            ));
        }
        report.add(condition, policy, seed, &values);
    }
}

fn site(load: &Load) -> Site {
    Site::of_today(vec![ModelService {
        name: "model",
        quality: load.target,
        latency_weight: load.latency_weight,
        deadline: 60.0,
    }])
}

/// Mean cost and share of accepted answers.
fn sums(results: &[Result]) -> (f64, f64) {
    let n = results.len() as f64;
    let accepted = results.iter().filter(|r| r.accepted).count() as f64;
    (
        results.iter().map(|r| r.cost).sum::<f64>() / n,
        accepted / n,
    )
}

/// Requests after the shift until a whole window is on target, less two standard deviations of
/// the window's own chance.
fn recovery(results: &[Result], target: f64) -> f64 {
    let chance = 2.0 * (target * (1.0 - target) / WINDOW as f64).sqrt();
    let from = REQUESTS / 2;
    let window = |start: usize| sums(&results[start..start + WINDOW]).1;
    (from..REQUESTS - WINDOW)
        .find(|&start| window(start) >= target - chance)
        .map_or((REQUESTS - from) as f64, |start| (start - from) as f64)
}

struct World {
    cfg: Arc<Config>,
    /// Before and after the shift.
    loads: [Load; 2],
    requests: Vec<Request>,
}

impl World {
    fn load(&self, at: usize) -> &Load {
        &self.loads[usize::from(at >= REQUESTS / 2)]
    }

    fn cost(&self, request: &Request, version: usize) -> f64 {
        let price = self.cfg.versions[VersionKey::from_index(version)].price;
        let input = price.input * f64::from(request.input);
        (input + price.output * f64::from(request.output)) / 1e6
    }

    /// What a request is expected to cost before its answer's length is known.
    fn expected_cost(&self, at: usize, version: usize) -> f64 {
        let request = &self.requests[at];
        let median = self.load(at).classes[request.class].output;
        let mean = median * (LENGTH_SIGMA * LENGTH_SIGMA / 2.0).exp();
        let output = mean as u32;
        self.cost(&Request { output, ..*request }, version)
    }

    /// Asks the versions in order until one is accepted.
    fn sequence(&self, at: usize, versions: &[usize]) -> Result {
        let request = &self.requests[at];
        let class = &self.load(at).classes[request.class];
        let mut result = Result::default();
        for &version in versions {
            result.cost += self.cost(request, version);
            result.seconds += seconds(request, version);
            result.accepted = accepts(class, request, version);
            if result.accepted {
                break;
            }
        }
        result
    }

    fn fixed(&self, versions: &[usize]) -> Vec<Result> {
        (0..self.requests.len())
            .map(|at| self.sequence(at, versions))
            .collect()
    }

    /// The least cost that meets the target in expectation, by the true distributions: for each
    /// request the sequence that is worth most at one price of quality, which is found by halving.
    fn optimum(&self, draw: &mut Draw) -> Vec<Result> {
        let half = self.requests.len() / 2;
        let mut results = self.optimum_of(0..half, draw);
        results.extend(self.optimum_of(half..self.requests.len(), draw));
        results
    }

    fn optimum_of(&self, part: std::ops::Range<usize>, draw: &mut Draw) -> Vec<Result> {
        let load = self.load(part.start).clone();
        let truth = truth(&load, draw);
        let quality_at = |price: f64| {
            let total: f64 = part
                .clone()
                .map(|at| self.choose(at, &truth, price).1)
                .sum();
            total / part.len() as f64
        };
        let (mut low, mut high) = (0.0, 10.0);
        for _ in 0..50 {
            let middle = 0.5 * (low + high);
            match quality_at(middle) < load.target {
                true => low = middle,
                false => high = middle,
            }
        }
        part.clone()
            .map(|at| self.sequence(at, self.choose(at, &truth, high).0))
            .collect()
    }

    /// The sequence that is worth most to a request, and its expected quality.
    fn choose<'a>(&self, at: usize, truth: &'a [Vec<Expected>], price: f64) -> (&'a [usize], f64) {
        let request = &self.requests[at];
        let worth = |e: &Expected| {
            let cost: f64 = e
                .reached
                .iter()
                .zip(&e.versions)
                .map(|(reached, &v)| reached * self.expected_cost(at, v))
                .sum();
            price * e.quality - cost
        };
        let best = truth[request.class]
            .iter()
            .max_by(|a, b| worth(a).total_cmp(&worth(b)))
            .expect("there are sequences");
        (&best.versions, best.quality)
    }

    /// The real router, one request at a time, with sampled ratings that come late.
    fn learned(&self, site: &Site, seed: u64) -> Vec<Result> {
        let place = Place {
            domain: None,
            seed: seed + 1,
        };
        let mut run = Run {
            world: self,
            router: Router::new(self.cfg.clone(), place),
            draw: Draw::new(seed ^ 0x5eed),
            late: VecDeque::new(),
        };
        (0..self.requests.len())
            .map(|at| run.serve(at, site.customers))
            .collect()
    }
}

/// One run of the real router.
struct Run<'a> {
    world: &'a World,
    router: Router,
    draw: Draw,
    late: VecDeque<Late>,
}

/// A sampled rating on its way.
struct Late {
    due: usize,
    class: u8,
    version: VersionKey,
    escalated: bool,
    rating: f64,
}

impl Run<'_> {
    fn serve(&mut self, at: usize, customers: usize) -> Result {
        let now = Duration::from_millis(100 * at as u64);
        self.deliver(at, now);
        let request = self.world.requests[at];
        let ask = Ask {
            customer: customer(&mut self.draw, customers),
            service: ServiceKey::from_index(0),
            idempotent: true,
            session: Session::None,
            deadline: now + Duration::from_secs(60),
            input_tokens: request.input,
            output_tokens: MOST_OUTPUT,
            prefix: request.draw,
            draw: request.draw,
            stream: false,
            class: request.class as u8,
        };
        let Offer::Run(mut dispatch) = self.router.offer(now, &ask) else {
            panic!("an idle site refuses nothing");
        };
        let mut result = Result::default();
        loop {
            let outcome = self.attempt(at, dispatch, &mut result);
            match self.router.finish(now, dispatch.ticket, &outcome) {
                Next::Run(next) => dispatch = next,
                Next::Done => return result,
                Next::Refuse(refusal) => panic!("nothing fails here: {refusal:?}"),
            }
        }
    }

    fn attempt(&mut self, at: usize, dispatch: Dispatch, result: &mut Result) -> Outcome {
        let world = self.world;
        let request = &world.requests[at];
        let version = dispatch.version.expect("a model service");
        result.cost += world.cost(request, version.index());
        let total = seconds(request, version.index());
        result.seconds += total;
        let class = &world.load(at).classes[request.class];
        result.accepted = accepts(class, request, version.index());
        let rating = f64::from(u8::from(result.accepted));
        if !dispatch.judge && self.draw.unit() < world.loads[0].sampled {
            self.late.push_back(Late {
                due: at + RATING_LAG,
                class: request.class as u8,
                version,
                escalated: dispatch.why_version == VersionReason::Escalated,
                rating,
            });
        }
        let total = Duration::from_secs_f64(total);
        Outcome {
            result: AttemptResult::Complete {
                rating: dispatch.judge.then_some(rating),
                output_tokens: request.output,
            },
            forwarded: false,
            first_byte: Some(total),
            total,
        }
    }

    fn deliver(&mut self, at: usize, now: Duration) {
        let service = ServiceKey::from_index(0);
        while self.late.front().is_some_and(|late| late.due <= at) {
            let late = self.late.pop_front().expect("it was just seen");
            let (class, version, rating) = (late.class, late.version, late.rating);
            match late.escalated {
                true => self
                    .router
                    .observe_escalated_rating(now, service, class, version, rating),
                false => self
                    .router
                    .observe_rating(now, service, class, version, rating),
            }
        }
    }
}
