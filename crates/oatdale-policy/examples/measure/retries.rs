//! Retries: attempts per request and success rate while endpoints fail, with and without a retry
//! budget.

use crate::Seeds;
use crate::report::{Report, quantile};
use crate::sim::{Flow, Job, Policy, Setup, Sim};
use crate::site::{ModelService, Site};
use oatdale_config::{Key, ServiceKey};
use oatdale_policy::{Retries, Tuning};

/// Length of a run; requests that arrive during the warm-up are not counted.
const RUN_LENGTH_S: f64 = 60.0;
const WARM_UP_S: f64 = 5.0;

/// Request rate, about 40% of the capacity of all workers.
const REQUESTS_PER_S: f64 = 20.0;

pub(crate) fn run(seeds: Seeds) -> Report {
    let mut report = Report::new("Retries: amplification and success", "attempts per request");
    let third_failing =
        |failure_rate: f64| (0..3).map(|e| (e, 1.0, failure_rate)).collect::<Vec<_>>();
    let all_failing =
        |failure_rate: f64| (0..9).map(|e| (e, 1.0, failure_rate)).collect::<Vec<_>>();
    let conditions = [
        ("1/3 of endpoints at 100% failures", third_failing(1.0)),
        ("1/3 of endpoints at 50% failures", third_failing(0.5)),
        ("all endpoints at 50% failures", all_failing(0.5)),
        ("all endpoints at 90% failures", all_failing(0.9)),
    ];
    let policies = [
        ("random, no retry", Policy::Random, Retries::Budget, 1),
        ("random, 4 attempts", Policy::Random, Retries::Budget, 4),
        ("oatdale, no budget", Policy::Oatdale, Retries::Unlimited, 1),
        ("oatdale", Policy::Oatdale, Retries::Budget, 1),
    ];
    for (condition, faults) in conditions {
        for (name, policy, retries, baseline_attempts) in policies {
            for seed in seeds.clone() {
                let sim = Sim::run(Setup {
                    site: site(),
                    flows: vec![flow()],
                    policy,
                    nodes: 3,
                    lag: 0.1,
                    length: RUN_LENGTH_S,
                    faults: faults.clone(),
                    tuning: Tuning {
                        retries,
                        ..Tuning::default()
                    },
                    baseline_attempts,
                    fixed_retry_delay: None,
                    seed,
                });
                report.add(condition, name, seed, &metrics(&sim));
            }
        }
    }
    report
}

fn site() -> Site {
    let mut site = Site::standard(vec![ModelService {
        name: "notes",
        quality: 0.1,
        latency_weight: 0.0,
        deadline: 20.0,
    }]);
    site.prices.truncate(1);
    site
}

fn flow() -> Flow {
    Flow {
        service: ServiceKey::from_index(0),
        rate: REQUESTS_PER_S,
        surge: None,
        input: 500.0,
        output: 100.0,
        prefixes: 1 << 30,
        deadline: 20.0,
        customer: None,
        steps: 0,
        until: None,
    }
}

fn metrics(sim: &Sim) -> [(&'static str, f64); 3] {
    let jobs: Vec<&Job> = sim
        .jobs
        .iter()
        .filter(|j| j.arrived_at >= WARM_UP_S)
        .collect();
    let n = jobs.len() as f64;
    let attempts: f64 = jobs.iter().map(|j| f64::from(j.attempts)).sum();
    let in_time = jobs.iter().filter(|j| j.met_deadline()).count() as f64;
    let mut times: Vec<f64> = jobs.iter().filter_map(|j| j.time_to_first_byte()).collect();
    [
        ("attempts per request", attempts / n),
        ("answered in time", in_time / n),
        ("p99 ms", 1000.0 * quantile(&mut times, 0.99)),
    ]
}
