//! Overload: a surge on one service, and a load of three times the workers' capacity.
//!
//! Skyward's tags, notes and schedules share the workers; bookings use plain hosts. The surge
//! raises the rate of notes to ten times the usual one for 60 seconds; one customer sends all of
//! the added requests.

use crate::Seeds;
use crate::engine::full_batch_seconds;
use crate::report::{Report, quantile};
use crate::sim::{Flow, Job, Policy, Setup, Sim};
use crate::site::{ModelService, Site};
use oatdale_config::{CustomerKey, Key, ServiceKey};
use oatdale_policy::Tuning;

/// Length of a run, and start and end of the surge.
const RUN_LENGTH_S: f64 = 120.0;
const SURGE_S: (f64, f64) = (40.0, 100.0);

/// Time after the start of the surge that is not counted, also in runs without a surge.
const SETTLE_S: f64 = 10.0;

/// Indices of the flows.
const TAGS: usize = 0;
const NOTES: usize = 1;
const SCHEDULES: usize = 2;
const BOOKINGS: usize = 3;
const SURGING: usize = 4;

/// Request rate of each flow. The usual flows use about 45% of the workers' capacity; the last is
/// the rate that the surge adds to the notes.
const REQUESTS_PER_S: [f64; 5] = [6.0, 3.6, 2.4, 20.0, 32.4];

/// Median prompt and output tokens of each flow.
const TOKENS: [(f64, f64); 5] = [
    (200.0, 20.0),
    (1500.0, 200.0),
    (6000.0, 500.0),
    (0.0, 1.0),
    (1500.0, 200.0),
];

/// Time that the callers of each flow wait.
const DEADLINES_S: [f64; 5] = [10.0, 30.0, 60.0, 2.0, 30.0];

const NODES: usize = 3;

pub(crate) fn run(seeds: Seeds) -> Report {
    let mut report = Report::new("Overload: a surge on one service", "p99 of tags / quiet");
    for policy in [Policy::Random, Policy::LeastReported, Policy::Oatdale] {
        for seed in seeds.clone() {
            let quiet = simulate(policy, seed, 1.0, false);
            let surge = simulate(policy, seed, 1.0, true);
            let name = policy.name();
            report.add("10x notes", name, seed, &surge_metrics(&quiet, &surge));
            // Seven times the usual load is about three times the capacity.
            let overloaded = simulate(policy, seed, 7.0, false);
            report.add("3x capacity", name, seed, &goodput_metrics(&overloaded));
        }
    }
    report
}

fn simulate(policy: Policy, seed: u64, load_factor: f64, has_surge: bool) -> Sim {
    Sim::run(Setup {
        site: site(),
        flows: flows(load_factor, has_surge),
        policy,
        nodes: NODES,
        lag: 0.1,
        length: RUN_LENGTH_S,
        faults: Vec::new(),
        tuning: Tuning::default(),
        baseline_attempts: 1,
        fixed_retry_delay: None,
        seed,
    })
}

fn site() -> Site {
    let service = |name, deadline| ModelService {
        name,
        quality: 0.1,
        latency_weight: 0.5,
        deadline,
    };
    let mut site = Site::standard(vec![
        service("tags", DEADLINES_S[TAGS]),
        service("notes", DEADLINES_S[NOTES]),
        service("schedules", DEADLINES_S[SCHEDULES]),
    ]);
    site.prices.truncate(1);
    site
}

fn flows(load_factor: f64, has_surge: bool) -> Vec<Flow> {
    let usual_flow = |i: usize| flow(i, ServiceKey::from_index(i), load_factor);
    let mut flows: Vec<Flow> = [TAGS, NOTES, SCHEDULES].map(usual_flow).to_vec();
    flows.push(flow(BOOKINGS, ServiceKey::from_index(BOOKINGS), 1.0));
    if has_surge {
        // Hardly any requests outside the surge: the surge's factor cancels the 1e-3.
        let mut surge_flow = flow(SURGING, ServiceKey::from_index(NOTES), 1e-3);
        surge_flow.surge = Some((SURGE_S.0, SURGE_S.1, 1e3));
        surge_flow.customer = Some(CustomerKey::from_index(0));
        flows.push(surge_flow);
    }
    flows
}

fn flow(index: usize, service: ServiceKey, load_factor: f64) -> Flow {
    Flow {
        service,
        rate: REQUESTS_PER_S[index] * load_factor,
        surge: None,
        input: TOKENS[index].0,
        output: TOKENS[index].1,
        prefixes: 1 << 30,
        deadline: DEADLINES_S[index],
        customer: None,
        steps: 0,
        until: None,
    }
}

/// Metrics of the other flows during the surge, and of the use of the workers' capacity.
fn surge_metrics(quiet: &Sim, surge: &Sim) -> Vec<(&'static str, f64)> {
    let ratio = |flow| p99_first_byte(surge, flow) / p99_first_byte(quiet, flow);
    let mut values = vec![
        ("p99 of tags / quiet", ratio(TAGS)),
        ("p99 of schedules / quiet", ratio(SCHEDULES)),
        ("p99 of bookings / quiet", ratio(BOOKINGS)),
        ("p99 of tags ms", 1000.0 * p99_first_byte(surge, TAGS)),
        (
            "tags and schedules in time",
            in_time_share(surge, &[TAGS, SCHEDULES]),
        ),
        ("surging customer in time", in_time_share(surge, &[SURGING])),
    ];
    values.extend(goodput_metrics(surge));
    values
}

fn goodput_metrics(sim: &Sim) -> Vec<(&'static str, f64)> {
    let mut refused: Vec<f64> = [NOTES, SURGING]
        .iter()
        .flat_map(|&flow| surge_arrivals(sim, flow))
        .filter_map(|j| j.refused_at.map(|at| at - j.arrived_at))
        .collect();
    vec![
        ("goodput / capacity", goodput(sim)),
        (
            "notes of all customers in time",
            in_time_share(sim, &[NOTES]),
        ),
        ("p99 s until refused", quantile(&mut refused, 0.99)),
    ]
}

/// Requests that arrived during the surge, or in the same span of a run without one.
fn surge_arrivals(sim: &Sim, flow: usize) -> impl Iterator<Item = &Job> {
    sim.arrivals(flow, SURGE_S.0 + SETTLE_S, SURGE_S.1)
}

/// Returns the 99th percentile of the time to the first byte. A request without a response counts
/// with its deadline.
fn p99_first_byte(sim: &Sim, flow: usize) -> f64 {
    let mut times: Vec<f64> = surge_arrivals(sim, flow)
        .map(|j| j.time_to_first_byte().unwrap_or(DEADLINES_S[flow]))
        .collect();
    quantile(&mut times, 0.99)
}

/// Share of the requests of these flows whose response was complete by the deadline.
fn in_time_share(sim: &Sim, flows: &[usize]) -> f64 {
    let jobs: Vec<&Job> = flows
        .iter()
        .flat_map(|&flow| surge_arrivals(sim, flow))
        .collect();
    let in_time = jobs.iter().filter(|j| j.met_deadline()).count();
    in_time as f64 / jobs.len().max(1) as f64
}

/// Engine time of the responses that were completed during the surge and by their deadline, as a
/// share of the capacity of workers with full batches.
fn goodput(sim: &Sim) -> f64 {
    let site = site();
    let from = SURGE_S.0 + SETTLE_S;
    let useful_seconds: f64 = sim
        .jobs
        .iter()
        .filter(|j| j.flow != BOOKINGS && j.met_deadline())
        .filter(|j| j.done_at.is_some_and(|at| at >= from && at < SURGE_S.1))
        .map(|j| {
            let (input, output) = (f64::from(j.work.input), f64::from(j.work.output));
            full_batch_seconds(input, output, site.worker_concurrency)
        })
        .sum();
    let slots = site.workers as f64 * f64::from(site.worker_concurrency);
    useful_seconds / (slots * (SURGE_S.1 - from))
}
