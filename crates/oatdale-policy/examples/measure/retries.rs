//! Retries: attempts for each request and success while endpoints fail, with a budget and without.

use crate::Seeds;
use crate::report::{Report, quantile};
use crate::sim::{Flow, Job, Policy, Setup, Sim};
use crate::world::{ModelService, Site};
use oatdale_config::{Key, ServiceKey};
use oatdale_policy::{Retries, Tuning};

/// Seconds of a run; the first few are not counted.
const LENGTH: f64 = 60.0;
const WARM_UP: f64 = 5.0;

/// Requests a second, about 40% of what all workers can do.
const RATE: f64 = 20.0;

pub(crate) fn run(seeds: Seeds) -> Report {
    let mut report = Report::new("Retries: amplification and success", "attempts a request");
    let third = |share: f64| (0..3).map(|e| (e, 1.0, share)).collect::<Vec<_>>();
    let all = |share: f64| (0..9).map(|e| (e, 1.0, share)).collect::<Vec<_>>();
    let conditions = [
        ("a third fails always", third(1.0)),
        ("a third fails by half", third(0.5)),
        ("all fail by half", all(0.5)),
        ("all fail by nine tenths", all(0.9)),
    ];
    let policies = [
        ("random, no retry", Policy::Random, Retries::Budget, 1),
        ("random, 4 attempts", Policy::Random, Retries::Budget, 4),
        ("oatdale, no budget", Policy::Oatdale, Retries::Unlimited, 1),
        ("oatdale", Policy::Oatdale, Retries::Budget, 1),
    ];
    for (condition, faults) in conditions {
        for (name, policy, retries, attempts) in policies {
            for seed in seeds.clone() {
                let sim = Sim::run(Setup {
                    site: site(),
                    flows: vec![flow()],
                    policy,
                    nodes: 3,
                    lag: 0.1,
                    length: LENGTH,
                    faults: faults.clone(),
                    tuning: Tuning {
                        retries,
                        ..Tuning::default()
                    },
                    attempts,
                    comes_back: None,
                    seed,
                });
                report.add(condition, name, seed, &figures(&sim));
            }
        }
    }
    report
}

fn site() -> Site {
    let mut site = Site::of_today(vec![ModelService {
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
        rate: RATE,
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

fn figures(sim: &Sim) -> [(&'static str, f64); 3] {
    let jobs: Vec<&Job> = sim.jobs.iter().filter(|j| j.arrived >= WARM_UP).collect();
    let n = jobs.len() as f64;
    let attempts: f64 = jobs.iter().map(|j| f64::from(j.attempts)).sum();
    let good = jobs.iter().filter(|j| j.is_good()).count() as f64;
    let mut times: Vec<f64> = jobs.iter().filter_map(|j| j.first_byte_after()).collect();
    [
        ("attempts a request", attempts / n),
        ("answered in time", good / n),
        ("p99 ms", 1000.0 * quantile(&mut times, 0.99)),
    ]
}
