//! Session progress as priority, an idea of a related paper: requests of sessions with more
//! completed steps run first, compared with arrival order, while many callers open sessions at
//! once.
//!
//! A session has four requests. As in the paper, a caller whose request is refused or late restarts
//! its session: after the advised retry delay, or after one second regardless of the advice.

use crate::Seeds;
use crate::report::Report;
use crate::sim::{Flow, Policy, Setup, Sim};
use crate::site::{ModelService, Site};
use oatdale_config::{Key, ServiceKey};
use oatdale_policy::{Order, Tuning};

/// Time in which sessions are opened, and time by which all must be completed.
const SESSION_ARRIVALS_S: f64 = 30.0;
const RUN_LENGTH_S: f64 = 400.0;

const STEPS_PER_SESSION: u32 = 4;

/// Sessions that the workers can serve per second: 144 slots, four requests of about 3.2 s each.
const CAPACITY_SESSIONS_PER_S: f64 = 11.0;

pub(crate) fn run(seeds: Seeds) -> Report {
    let mut report = Report::new(
        "Progress of a session as priority, against arrival order",
        "seconds until 95% are completed",
    );
    let retry_delays = [("as advised", None), ("after 1 s", Some(1.0))];
    let orders = [("arrival", Order::Arrival), ("progress", Order::Progress)];
    for load_factor in [0.8, 2.0, 3.0, 6.0] {
        for (retry_label, fixed_retry_delay) in retry_delays {
            for (name, order) in orders {
                for seed in seeds.clone() {
                    let sim = Sim::run(setup(load_factor, fixed_retry_delay, order, seed));
                    let condition = format!("{load_factor}x, retry {retry_label}");
                    report.add(condition, name, seed, &metrics(&sim));
                }
            }
        }
    }
    report
}

fn setup(load_factor: f64, fixed_retry_delay: Option<f64>, order: Order, seed: u64) -> Setup {
    let mut site = Site::standard(vec![ModelService {
        name: "notes",
        quality: 0.1,
        latency_weight: 0.0,
        deadline: 12.0,
    }]);
    site.prices.truncate(1);
    Setup {
        site,
        flows: vec![Flow {
            service: ServiceKey::from_index(0),
            rate: CAPACITY_SESSIONS_PER_S * load_factor,
            surge: None,
            input: 500.0,
            output: 100.0,
            prefixes: 1 << 30,
            deadline: 12.0,
            customer: None,
            steps: STEPS_PER_SESSION,
            until: Some(SESSION_ARRIVALS_S),
        }],
        policy: Policy::Oatdale,
        nodes: 3,
        lag: 0.1,
        length: RUN_LENGTH_S,
        faults: Vec::new(),
        tuning: Tuning {
            order,
            ..Tuning::default()
        },
        baseline_attempts: 1,
        fixed_retry_delay,
        seed,
    }
}

fn metrics(sim: &Sim) -> [(&'static str, f64); 4] {
    let mut completion_times: Vec<f64> =
        sim.sessions.iter().filter_map(|s| s.completed_at).collect();
    completion_times.sort_unstable_by(f64::total_cmp);
    let required = (sim.sessions.len() as f64 * 0.95) as usize;
    let recovered = completion_times
        .get(required)
        .copied()
        .unwrap_or(RUN_LENGTH_S);
    let completed_by = |time: f64| completion_times.iter().filter(|&&at| at <= time).count() as f64;
    let answered = sim.jobs.iter().filter(|j| j.done_at.is_some()).count() as f64;
    let useful = completion_times.len() as f64 * f64::from(STEPS_PER_SESSION);
    [
        ("seconds until 95% are completed", recovered),
        ("completed in 60 s", completed_by(60.0)),
        (
            "completed",
            completion_times.len() as f64 / sim.sessions.len() as f64,
        ),
        ("useful answers", useful / answered.max(1.0)),
    ]
}
