//! Choice of an endpoint: time to the first token with delayed load reports, with a slow endpoint
//! and with prefix caches.

use crate::Seeds;
use crate::report::{Report, quantile};
use crate::sim::{Flow, Job, Policy, Setup, Sim};
use crate::site::{ModelService, Site};
use oatdale_config::{Key, ServiceKey};
use oatdale_policy::Tuning;

/// Length of a run; requests that arrive during the warm-up are not counted.
const RUN_LENGTH_S: f64 = 60.0;
const WARM_UP_S: f64 = 10.0;

/// Request rate, about 70% of the workers' capacity.
const REQUESTS_PER_S: f64 = 19.0;

/// Nodes that share the workers.
const NODES: usize = 8;

const POLICIES: [Policy; 4] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastReported,
    Policy::Oatdale,
];

pub(crate) fn run(seeds: Seeds) -> Report {
    let mut report = Report::new("Endpoint choice: time to the first token", "p99 ms");
    let slow_endpoint = vec![(4, 5.0, 0.0)];
    let conditions = [
        ("lag 0 ms", 0.0, Vec::new(), 0),
        ("lag 100 ms", 0.1, Vec::new(), 0),
        ("lag 1000 ms", 1.0, Vec::new(), 0),
        ("slow endpoint, lag 100 ms", 0.1, slow_endpoint.clone(), 0),
        ("slow endpoint, lag 1000 ms", 1.0, slow_endpoint, 0),
        ("prefix caches, lag 100 ms", 0.1, Vec::new(), 60),
    ];
    for (name, lag, faults, prefixes) in conditions {
        for policy in POLICIES {
            for seed in seeds.clone() {
                let sim = Sim::run(Setup {
                    site: site(),
                    flows: flows(prefixes),
                    policy,
                    nodes: NODES,
                    lag,
                    length: RUN_LENGTH_S,
                    faults: faults.clone(),
                    tuning: Tuning::default(),
                    baseline_attempts: 1,
                    fixed_retry_delay: None,
                    seed,
                });
                report.add(name, policy.name(), seed, &metrics(&sim));
            }
        }
    }
    report
}

fn site() -> Site {
    let mut site = Site::standard(vec![ModelService {
        name: "model",
        quality: 0.1,
        latency_weight: 0.0,
        deadline: 60.0,
    }]);
    // A single version, so that the policies differ in the choice of an endpoint only.
    site.prices.truncate(1);
    site
}

/// Short, medium and long requests, each with `prefixes` distinct prompt prefixes; 0 stands for
/// prompts that practically never share a prefix.
fn flows(prefixes: usize) -> Vec<Flow> {
    let flow = |share: f64, input: f64, output: f64| Flow {
        service: ServiceKey::from_index(0),
        rate: REQUESTS_PER_S * share,
        surge: None,
        input,
        output,
        prefixes: if prefixes == 0 { 1 << 30 } else { prefixes },
        deadline: 60.0,
        customer: None,
        steps: 0,
        until: None,
    };
    vec![
        flow(0.5, 200.0, 20.0),
        flow(0.3, 1500.0, 200.0),
        flow(0.2, 6000.0, 500.0),
    ]
}

fn metrics(sim: &Sim) -> [(&'static str, f64); 4] {
    let mut times: Vec<f64> = sim
        .jobs
        .iter()
        .filter(|j| j.arrived_at >= WARM_UP_S)
        .filter_map(Job::time_to_first_byte)
        .collect();
    let counted = sim
        .jobs
        .iter()
        .filter(|j| j.arrived_at >= WARM_UP_S)
        .count();
    let hits: u64 = sim.engines.iter().map(|e| e.cache_hits).sum();
    let lookups: u64 = sim.engines.iter().map(|e| e.cache_lookups).sum();
    [
        ("p50 ms", 1000.0 * quantile(&mut times, 0.5)),
        ("p99 ms", 1000.0 * quantile(&mut times, 0.99)),
        ("cache hits", hits as f64 / lookups.max(1) as f64),
        ("answered", times.len() as f64 / counted as f64),
    ]
}
