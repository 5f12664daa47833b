//! The related paper's idea: requests of sessions that have come far go first, against arrival
//! order, while many callers open sessions at once.
//!
//! A session is four requests. A caller whose request is refused or late begins its session
//! again, as in the paper: after the time it was told, or after one second whatever it was told.

use crate::Seeds;
use crate::report::Report;
use crate::sim::{Flow, Policy, Setup, Sim};
use crate::world::{ModelService, Site};
use oatdale_config::{Key, ServiceKey};
use oatdale_policy::{Order, Tuning};

/// Seconds in which sessions are opened, and in which all must end.
const STORM: f64 = 30.0;
const LENGTH: f64 = 400.0;

/// Requests of one session.
const STEPS: u32 = 4;

/// Sessions a second that the workers can serve: 144 places, four requests of about 3.2 s.
const CAPACITY: f64 = 11.0;

pub(crate) fn run(seeds: Seeds) -> Report {
    let mut report = Report::new(
        "Progress of a session as priority, against arrival order",
        "seconds until 95% are completed",
    );
    let callers = [("as told", None), ("after 1 s", Some(1.0))];
    let orders = [("arrival", Order::Arrival), ("progress", Order::Progress)];
    for times in [0.8, 2.0, 3.0, 6.0] {
        for (back, comes_back) in callers {
            for (name, order) in orders {
                for seed in seeds.clone() {
                    let sim = Sim::run(setup(times, comes_back, order, seed));
                    let condition = format!("{times}x, back {back}");
                    report.add(condition, name, seed, &figures(&sim));
                }
            }
        }
    }
    report
}

fn setup(times: f64, comes_back: Option<f64>, order: Order, seed: u64) -> Setup {
    let mut site = Site::of_today(vec![ModelService {
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
            rate: CAPACITY * times,
            surge: None,
            input: 500.0,
            output: 100.0,
            prefixes: 1 << 30,
            deadline: 12.0,
            customer: None,
            steps: STEPS,
            until: Some(STORM),
        }],
        policy: Policy::Oatdale,
        nodes: 3,
        lag: 0.1,
        length: LENGTH,
        faults: Vec::new(),
        tuning: Tuning {
            order,
            ..Tuning::default()
        },
        attempts: 1,
        comes_back,
        seed,
    }
}

fn figures(sim: &Sim) -> [(&'static str, f64); 4] {
    let mut ends: Vec<f64> = sim.sessions.iter().filter_map(|s| s.completed).collect();
    ends.sort_unstable_by(f64::total_cmp);
    let enough = (sim.sessions.len() as f64 * 0.95) as usize;
    let recovered = ends.get(enough).copied().unwrap_or(LENGTH);
    let by = |time: f64| ends.iter().filter(|&&at| at <= time).count() as f64;
    let answered = sim.jobs.iter().filter(|j| j.done.is_some()).count() as f64;
    let used = ends.len() as f64 * f64::from(STEPS);
    [
        ("seconds until 95% are completed", recovered),
        ("completed in 60 s", by(60.0)),
        ("completed", ends.len() as f64 / sim.sessions.len() as f64),
        ("answers of use", used / answered.max(1.0)),
    ]
}
