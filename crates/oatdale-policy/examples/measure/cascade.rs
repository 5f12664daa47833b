//! Cost at the quality target: the router's learned cascade compared with fixed cascades and the
//! optimum.
//!
//! Each request has a hidden difficulty. A version's answer is accepted if the version's ability in
//! the request's class exceeds a mix of that difficulty and noise that is independent for each
//! version. A request that one version fails is therefore harder for the next one too. The optimum
//! knows the true distributions.

mod workload;

use self::workload::{
    ExpectedOutcome, LENGTH_SIGMA, Request, Workload, expected_outcomes, is_accepted,
    random_request, response_seconds, shifted, skyward, tallyrow,
};
use crate::Seeds;
use crate::report::Report;
use crate::site::{ModelService, SimRng, Site, random_customer};
use oatdale_config::{Config, Key, ServiceKey, VersionKey};
use oatdale_policy::{
    AdmissionDecision, AttemptDecision, AttemptResult, Dispatch, NodeIdentity, Outcome,
    RequestInfo, Router, Session, VersionReason,
};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Requests of one run. A shift of the workload, if any, takes place in the middle.
const REQUESTS: usize = 8_000;

/// Requests at the start, from which the router learns. They are excluded from the cost and quality
/// of the steady state; their quality is a metric of its own.
const WARM_UP_REQUESTS: usize = 1_000;

/// Number of requests after which a sampled rating arrives.
const RATING_LAG_REQUESTS: usize = 100;

/// Requests over which quality is averaged to decide whether it is back on target.
const RECOVERY_WINDOW_REQUESTS: usize = 500;

/// Limit of output tokens that callers set.
const MAX_OUTPUT_TOKENS: u32 = 4_000;

/// Result of one request under one policy.
#[derive(Clone, Copy, Default)]
struct RequestResult {
    cost: f64,
    accepted: bool,
    seconds: f64,
}

pub(crate) fn run(seeds: Seeds) -> Report {
    let mut report = Report::new("Cascade: cost at the quality target", "cost / optimum");
    for workload in [skyward(), tallyrow()] {
        let name = workload.name;
        let shifted_workload = shifted(&workload);
        let partly_rated = Workload {
            rated_share: 0.1,
            ..workload.clone()
        };
        let latency_first = Workload {
            latency_weight: 0.5,
            ..workload.clone()
        };
        let conditions = [
            (format!("{name} steady"), &workload, &workload),
            (format!("{name} shift"), &workload, &shifted_workload),
            (format!("{name} 10% rated"), &partly_rated, &partly_rated),
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

/// Runs all policies on the same requests, whose workload changes from `workload` to `after` in the
/// middle.
fn measure(report: &mut Report, condition: &str, workload: &Workload, after: &Workload, seed: u64) {
    let has_shift = condition.ends_with("shift");
    let mut rng = SimRng::new(seed * 1_000_003 + 17);
    let requests: Vec<Request> = (0..REQUESTS)
        .map(|_| random_request(workload, &mut rng))
        .collect();
    let site = site(workload);
    let cfg = Arc::new(site.config());
    let scenario = Scenario {
        cfg: cfg.clone(),
        workloads: [workload.clone(), after.clone()],
        requests,
    };
    let optimum = scenario.optimum(&mut rng);
    let best = scenario.fixed_sequence(&[2]);
    let cheapest = scenario.fixed_sequence(&[0]);
    let fixed_cascade = scenario.fixed_sequence(&[0, 2]);
    let learned = scenario.run_router(&site, seed);
    let policies = [
        ("always best", best),
        ("always cheapest", cheapest),
        ("fixed cascade", fixed_cascade),
        ("oatdale", learned),
        ("optimum", optimum.clone()),
    ];
    for (policy, results) in policies {
        let counted = match has_shift {
            false => WARM_UP_REQUESTS..REQUESTS,
            true => REQUESTS / 2..REQUESTS,
        };
        let (cost, quality) = mean_cost_and_quality(&results[counted.clone()]);
        let (optimum_cost, _) = mean_cost_and_quality(&optimum[counted.clone()]);
        let target_met = f64::from(u8::from(quality >= workload.target));
        let total_seconds: f64 = results[counted.clone()].iter().map(|r| r.seconds).sum();
        let seconds = total_seconds / counted.len() as f64;
        let (_, warm_up_quality) = mean_cost_and_quality(&results[..WARM_UP_REQUESTS]);
        let mut values = vec![
            ("cost / optimum", cost / optimum_cost),
            ("quality", quality),
            ("target met", target_met),
            ("seconds to the answer", seconds),
            ("quality of first 1000", warm_up_quality),
        ];
        if has_shift {
            values.push((
                "requests until back on target",
                recovery_requests(&results, workload.target),
            ));
        }
        report.add(condition, policy, seed, &values);
    }
}

fn site(workload: &Workload) -> Site {
    Site::standard(vec![ModelService {
        name: "model",
        quality: workload.target,
        latency_weight: workload.latency_weight,
        deadline: 60.0,
    }])
}

/// Returns the mean cost and the share of accepted answers.
fn mean_cost_and_quality(results: &[RequestResult]) -> (f64, f64) {
    let n = results.len() as f64;
    let accepted = results.iter().filter(|r| r.accepted).count() as f64;
    (
        results.iter().map(|r| r.cost).sum::<f64>() / n,
        accepted / n,
    )
}

/// Returns the number of requests after the shift until the quality of a window reaches the target
/// less two standard deviations of a window's random variation.
fn recovery_requests(results: &[RequestResult], target: f64) -> f64 {
    let margin = 2.0 * (target * (1.0 - target) / RECOVERY_WINDOW_REQUESTS as f64).sqrt();
    let change = REQUESTS / 2;
    let window_quality =
        |start: usize| mean_cost_and_quality(&results[start..start + RECOVERY_WINDOW_REQUESTS]).1;
    (change..REQUESTS - RECOVERY_WINDOW_REQUESTS)
        .find(|&start| window_quality(start) >= target - margin)
        .map_or((REQUESTS - change) as f64, |start| (start - change) as f64)
}

/// Requests of one run, and the workloads that decide how they are answered.
struct Scenario {
    cfg: Arc<Config>,
    /// Workloads before and after the shift.
    workloads: [Workload; 2],
    requests: Vec<Request>,
}

impl Scenario {
    fn workload(&self, request_index: usize) -> &Workload {
        &self.workloads[usize::from(request_index >= REQUESTS / 2)]
    }

    fn cost(&self, request: &Request, version: usize) -> f64 {
        let price = self.cfg.versions[VersionKey::from_index(version)].price;
        let input = price.input * f64::from(request.input);
        (input + price.output * f64::from(request.output)) / 1e6
    }

    /// Returns the expected cost of a request while the length of its answer is unknown.
    fn expected_cost(&self, request_index: usize, version: usize) -> f64 {
        let request = &self.requests[request_index];
        let median = self.workload(request_index).classes[request.class].output;
        let mean = median * (LENGTH_SIGMA * LENGTH_SIGMA / 2.0).exp();
        let output = mean as u32;
        self.cost(&Request { output, ..*request }, version)
    }

    /// Calls the versions in order until an answer is accepted.
    fn run_sequence(&self, request_index: usize, versions: &[usize]) -> RequestResult {
        let request = &self.requests[request_index];
        let class = &self.workload(request_index).classes[request.class];
        let mut result = RequestResult::default();
        for &version in versions {
            result.cost += self.cost(request, version);
            result.seconds += response_seconds(request, version);
            result.accepted = is_accepted(class, request, version);
            if result.accepted {
                break;
            }
        }
        result
    }

    /// Results of the same sequence of versions for all requests.
    fn fixed_sequence(&self, versions: &[usize]) -> Vec<RequestResult> {
        (0..self.requests.len())
            .map(|request_index| self.run_sequence(request_index, versions))
            .collect()
    }

    /// Results at the lowest expected cost that meets the target, according to the true
    /// distributions: each request uses the sequence of highest net value at a common price of
    /// quality, which is found by bisection.
    fn optimum(&self, rng: &mut SimRng) -> Vec<RequestResult> {
        let half = self.requests.len() / 2;
        let mut results = self.optimum_for(0..half, rng);
        results.extend(self.optimum_for(half..self.requests.len(), rng));
        results
    }

    fn optimum_for(&self, range: std::ops::Range<usize>, rng: &mut SimRng) -> Vec<RequestResult> {
        let workload = self.workload(range.start).clone();
        let outcomes = expected_outcomes(&workload, rng);
        let quality_at = |price: f64| {
            let total: f64 = range
                .clone()
                .map(|i| self.best_sequence(i, &outcomes, price).1)
                .sum();
            total / range.len() as f64
        };
        let (mut low, mut high) = (0.0, 10.0);
        for _ in 0..50 {
            let middle = 0.5 * (low + high);
            match quality_at(middle) < workload.target {
                true => low = middle,
                false => high = middle,
            }
        }
        range
            .clone()
            .map(|i| self.run_sequence(i, self.best_sequence(i, &outcomes, high).0))
            .collect()
    }

    /// Returns the sequence of highest net value for a request, and its expected quality.
    fn best_sequence<'a>(
        &self,
        request_index: usize,
        outcomes: &'a [Vec<ExpectedOutcome>],
        price: f64,
    ) -> (&'a [usize], f64) {
        let request = &self.requests[request_index];
        let net_value = |e: &ExpectedOutcome| {
            let cost: f64 = e
                .reached
                .iter()
                .zip(&e.versions)
                .map(|(reached, &v)| reached * self.expected_cost(request_index, v))
                .sum();
            price * e.quality - cost
        };
        let best = outcomes[request.class]
            .iter()
            .max_by(|a, b| net_value(a).total_cmp(&net_value(b)))
            .expect("at least one sequence");
        (&best.versions, best.quality)
    }

    /// Results of the router, with one request at a time and delayed sampled ratings.
    fn run_router(&self, site: &Site, seed: u64) -> Vec<RequestResult> {
        let identity = NodeIdentity {
            domain: None,
            seed: seed + 1,
        };
        let mut run = RouterRun {
            scenario: self,
            router: Router::new(self.cfg.clone(), identity),
            rng: SimRng::new(seed ^ 0x5eed),
            pending_ratings: VecDeque::new(),
        };
        (0..self.requests.len())
            .map(|request_index| run.serve(request_index, site.customers))
            .collect()
    }
}

/// One run of the router.
struct RouterRun<'a> {
    scenario: &'a Scenario,
    router: Router,
    rng: SimRng,
    pending_ratings: VecDeque<PendingRating>,
}

/// Sampled rating that has not arrived yet.
struct PendingRating {
    /// Index of the request at which it arrives.
    due: usize,
    class: u8,
    version: VersionKey,
    escalated: bool,
    rating: f64,
}

impl RouterRun<'_> {
    fn serve(&mut self, request_index: usize, customers: usize) -> RequestResult {
        let now = Duration::from_millis(100 * request_index as u64);
        self.deliver_ratings(request_index, now);
        let request = self.scenario.requests[request_index];
        let info = RequestInfo {
            customer: random_customer(&mut self.rng, customers),
            service: ServiceKey::from_index(0),
            idempotent: true,
            session: Session::None,
            deadline: now + Duration::from_secs(60),
            input_tokens: request.input,
            output_tokens: MAX_OUTPUT_TOKENS,
            prefix: request.random_hash,
            rollout_hash: request.random_hash,
            stream: false,
            class: request.class as u8,
        };
        let AdmissionDecision::Run(mut dispatch) = self.router.offer(now, &info) else {
            panic!("idle site did not dispatch a request at once");
        };
        let mut result = RequestResult::default();
        loop {
            let outcome = self.attempt(request_index, dispatch, &mut result);
            match self.router.finish(now, dispatch.ticket, &outcome) {
                AttemptDecision::Run(next) => dispatch = next,
                AttemptDecision::Done => return result,
                AttemptDecision::Refuse(refusal) => {
                    panic!("refused without a failed attempt: {refusal:?}")
                }
            }
        }
    }

    /// Runs one attempt, adds its cost and time to the result, and may sample a rating.
    fn attempt(
        &mut self,
        request_index: usize,
        dispatch: Dispatch,
        result: &mut RequestResult,
    ) -> Outcome {
        let scenario = self.scenario;
        let request = &scenario.requests[request_index];
        let version = dispatch.version.expect("model services dispatch a version");
        result.cost += scenario.cost(request, version.index());
        let total = response_seconds(request, version.index());
        result.seconds += total;
        let class = &scenario.workload(request_index).classes[request.class];
        result.accepted = is_accepted(class, request, version.index());
        let rating = f64::from(u8::from(result.accepted));
        if !dispatch.needs_rating && self.rng.uniform() < scenario.workloads[0].rated_share {
            self.pending_ratings.push_back(PendingRating {
                due: request_index + RATING_LAG_REQUESTS,
                class: request.class as u8,
                version,
                escalated: dispatch.version_reason == VersionReason::Escalated,
                rating,
            });
        }
        let total = Duration::from_secs_f64(total);
        Outcome {
            result: AttemptResult::Complete {
                rating: dispatch.needs_rating.then_some(rating),
                output_tokens: request.output,
            },
            forwarded: false,
            first_byte: Some(total),
            total,
        }
    }

    /// Passes the ratings that are due to the router.
    fn deliver_ratings(&mut self, request_index: usize, now: Duration) {
        let service = ServiceKey::from_index(0);
        while self
            .pending_ratings
            .front()
            .is_some_and(|pending| pending.due <= request_index)
        {
            let pending = self.pending_ratings.pop_front().expect("front was checked");
            let (class, version, rating) = (pending.class, pending.version, pending.rating);
            match pending.escalated {
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
