//! Overload: a surge on one service, and three times what the workers can do.
//!
//! Skyward's tags, notes and schedules share the workers; bookings go to plain hosts. The surge
//! is ten times the usual rate of notes, all of it from one customer, for 60 seconds.

use crate::Seeds;
use crate::engine::full_time;
use crate::report::{Report, quantile};
use crate::sim::{Flow, Job, Policy, Setup, Sim};
use crate::world::{ModelService, Site};
use oatdale_config::{CustomerKey, Key, ServiceKey};
use oatdale_policy::Tuning;

/// Seconds of a run, and from when to when the surge lasts.
const LENGTH: f64 = 120.0;
const SURGE: (f64, f64) = (40.0, 100.0);

/// Seconds after a surge's start, or a run's, that are not counted.
const SETTLE: f64 = 10.0;

/// Flows by their place.
const TAGS: usize = 0;
const NOTES: usize = 1;
const SCHEDULES: usize = 2;
const BOOKINGS: usize = 3;
const SURGING: usize = 4;

/// Requests a second of each flow; the usual ones keep the workers busy to about 45%, and the
/// last is what the surge adds to the notes.
const RATES: [f64; 5] = [6.0, 3.6, 2.4, 20.0, 32.4];

/// Tokens of prompt and answer of each flow.
const TOKENS: [(f64, f64); 5] = [
    (200.0, 20.0),
    (1500.0, 200.0),
    (6000.0, 500.0),
    (0.0, 1.0),
    (1500.0, 200.0),
];

/// Seconds that callers of each flow wait.
const DEADLINES: [f64; 5] = [10.0, 30.0, 60.0, 2.0, 30.0];

const NODES: usize = 3;

pub(crate) fn run(seeds: Seeds) -> Report {
    let mut report = Report::new("Overload: a surge on one service", "p99 of tags / quiet");
    for policy in [Policy::Random, Policy::LeastReported, Policy::Oatdale] {
        for seed in seeds.clone() {
            let quiet = sim(policy, seed, 1.0, false);
            let surge = sim(policy, seed, 1.0, true);
            let name = policy.name();
            report.add("10x notes", name, seed, &surge_figures(&quiet, &surge));
            let crowd = sim(policy, seed, 7.0, false);
            report.add("3x capacity", name, seed, &goodput_figures(&crowd));
        }
    }
    report
}

fn sim(policy: Policy, seed: u64, times: f64, surge: bool) -> Sim {
    Sim::run(Setup {
        site: site(),
        flows: flows(times, surge),
        policy,
        nodes: NODES,
        lag: 0.1,
        length: LENGTH,
        faults: Vec::new(),
        tuning: Tuning::default(),
        attempts: 1,
        comes_back: None,
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
    let mut site = Site::of_today(vec![
        service("tags", DEADLINES[TAGS]),
        service("notes", DEADLINES[NOTES]),
        service("schedules", DEADLINES[SCHEDULES]),
    ]);
    site.prices.truncate(1);
    site
}

fn flows(times: f64, surge: bool) -> Vec<Flow> {
    let usual = |i: usize| flow(i, ServiceKey::from_index(i), times);
    let mut flows: Vec<Flow> = [TAGS, NOTES, SCHEDULES].map(usual).to_vec();
    flows.push(flow(BOOKINGS, ServiceKey::from_index(BOOKINGS), 1.0));
    if surge {
        let mut added = flow(SURGING, ServiceKey::from_index(NOTES), 1e-3);
        added.surge = Some((SURGE.0, SURGE.1, 1e3));
        added.customer = Some(CustomerKey::from_index(0));
        flows.push(added);
    }
    flows
}

fn flow(index: usize, service: ServiceKey, times: f64) -> Flow {
    Flow {
        service,
        rate: RATES[index] * times,
        surge: None,
        input: TOKENS[index].0,
        output: TOKENS[index].1,
        prefixes: 1 << 30,
        deadline: DEADLINES[index],
        customer: None,
        steps: 0,
        until: None,
    }
}

/// What happens to the others during the surge, and to the workers' capacity.
fn surge_figures(quiet: &Sim, surge: &Sim) -> Vec<(&'static str, f64)> {
    let ratio = |flow| p99(surge, flow) / p99(quiet, flow);
    let mut values = vec![
        ("p99 of tags / quiet", ratio(TAGS)),
        ("p99 of schedules / quiet", ratio(SCHEDULES)),
        ("p99 of bookings / quiet", ratio(BOOKINGS)),
        ("p99 of tags ms", 1000.0 * p99(surge, TAGS)),
        (
            "tags and schedules in time",
            answered(surge, &[TAGS, SCHEDULES]),
        ),
        ("surging customer in time", answered(surge, &[SURGING])),
    ];
    values.extend(goodput_figures(surge));
    values
}

fn goodput_figures(sim: &Sim) -> Vec<(&'static str, f64)> {
    let mut refused: Vec<f64> = [NOTES, SURGING]
        .iter()
        .flat_map(|&flow| during(sim, flow))
        .filter_map(|j| j.refused.map(|at| at - j.arrived))
        .collect();
    vec![
        ("goodput / capacity", goodput(sim)),
        ("notes of all customers in time", answered(sim, &[NOTES])),
        ("p99 s until refused", quantile(&mut refused, 0.99)),
    ]
}

fn during(sim: &Sim, flow: usize) -> impl Iterator<Item = &Job> {
    sim.arrived(flow, SURGE.0 + SETTLE, SURGE.1)
}

/// The 99th hundredth of the time to the first byte; one that never came counts as the deadline.
fn p99(sim: &Sim, flow: usize) -> f64 {
    let mut times: Vec<f64> = during(sim, flow)
        .map(|j| j.first_byte_after().unwrap_or(DEADLINES[flow]))
        .collect();
    quantile(&mut times, 0.99)
}

fn answered(sim: &Sim, flows: &[usize]) -> f64 {
    let jobs: Vec<&Job> = flows.iter().flat_map(|&flow| during(sim, flow)).collect();
    let good = jobs.iter().filter(|j| j.is_good()).count();
    good as f64 / jobs.len().max(1) as f64
}

/// Work of answers that ended in time within the surge, over what full workers can do.
fn goodput(sim: &Sim) -> f64 {
    let site = site();
    let from = SURGE.0 + SETTLE;
    let work: f64 = sim
        .jobs
        .iter()
        .filter(|j| j.flow != BOOKINGS && j.is_good())
        .filter(|j| j.done.is_some_and(|at| at >= from && at < SURGE.1))
        .map(|j| {
            let (input, output) = (f64::from(j.work.input), f64::from(j.work.output));
            full_time(input, output, site.worker_concurrency)
        })
        .sum();
    let slots = site.workers as f64 * f64::from(site.worker_concurrency);
    work / (slots * (SURGE.1 - from))
}
