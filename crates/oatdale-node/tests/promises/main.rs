//! What hosts promise to callers, checked from outside: `oatdaled` processes between callers and endpoints that
//! log what they do.
//!
//! PROMISES_HOSTS, PROMISES_SECONDS, PROMISES_SEED, PROMISES_RATE and PROMISES_FAULTS set the size of
//! `promises_of_a_run`, OATDALED names another binary, and PROMISES_LOGS a folder in which logs are kept.

mod callers;
mod check;
mod endpoint;
mod faults;
mod http;
mod processes;
mod record;

use callers::Plan;
use check::Report;
use endpoint::Endpoint;
use faults::Dose;
use oatdale_adapter_fakes::{CONFIGURATION_KEY, Store};
use processes::{HOST, Hosts};
use record::Record;
use serde_json::{Value, json};
use std::str::FromStr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const ENDPOINTS: usize = 4;

/// Time in which hosts learn of records.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_500);

/// Time in which requests end that began before the last response.
const REST_TIME: Duration = Duration::from_millis(500);

/// Cases and log lines that are printed.
const MAX_PRINTED: usize = 20;

/// Size of a run.
struct Size {
    hosts: usize,
    seconds: f64,
    seed: u64,
    per_second: f64,
    /// Faults of the first endpoint.
    doses: Vec<Dose>,
    /// Share of requests whose route allows three endpoints, and of safe ones.
    others: f64,
}

impl Size {
    /// Returns the size that the environment sets.
    fn from_env(doses: &str) -> Size {
        let doses = std::env::var("PROMISES_FAULTS").unwrap_or_else(|_| doses.to_owned());
        Size {
            hosts: number("PROMISES_HOSTS", 5),
            seconds: number("PROMISES_SECONDS", 8.0),
            seed: number("PROMISES_SEED", 1),
            per_second: number("PROMISES_RATE", 80.0),
            doses: faults::parse(&doses),
            others: number("PROMISES_OTHERS", 0.2),
        }
    }
}

fn number<T: FromStr>(name: &str, default: T) -> T {
    match std::env::var(name) {
        Ok(text) => text.parse().ok().expect("it is a number"),
        Err(_) => default,
    }
}

fn configuration() -> Value {
    let route = |name: &str, kind: &str, max_attempts: u32| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "service": "desk", "timeout_ms": 2500, "target_latency_ms": 400, "priority": 1,
            "max_attempts": max_attempts,
        })
    };
    json!({
        "version": 1,
        "routes": [route("lock", "unsafe", 1), route("confirm", "unsafe", 3), route("look", "safe", 3)],
        "services": [{"name": "desk", "max_conns": 400}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                   "header_timeout_ms": 2000, "idle_timeout_ms": 20000},
    })
}

/// Runs hosts, endpoints and callers, and returns what came of it.
async fn run(size: &Size) -> Report {
    let store = Store::start().await.expect("a port is free");
    let record = Record::new();
    let mut endpoints = Vec::new();
    for n in 0..ENDPOINTS {
        let (id, seed) = (format!("i-{n}"), size.seed.wrapping_add(n as u64));
        let addr = "127.0.0.1:0".parse().expect("an address");
        let endpoint = Endpoint::start(&id, addr, seed, record.clone()).await;
        let endpoint = endpoint.expect("a port is free");
        endpoint.register(&store, 1);
        endpoints.push(endpoint);
    }
    store.put(CONFIGURATION_KEY, &configuration());
    let hosts = Hosts::start(size.hosts, store.addr()).await;
    sleep(PROPAGATION_TIME).await;
    endpoints[0].set_doses(&size.doses);
    let plan = Plan {
        hosts: hosts.callers(),
        per_second: size.per_second,
        until: Instant::now() + Duration::from_secs_f64(size.seconds),
        seed: size.seed,
        paths: vec![
            ("/lock/", 1.0 - size.others),
            ("/confirm/", size.others / 2.0),
            ("/look/", size.others / 2.0),
        ],
    };
    callers::send_all(&plan, &record).await;
    sleep(REST_TIME).await;
    let report = Report::new(&record);
    hosts.keep(&record);
    println!("{:?} {report}", size.doses);
    for case in report.cases.iter().take(MAX_PRINTED) {
        println!("{case}");
        for line in hosts.lines_of(&[&case.attempt.id]) {
            println!("  {line}");
        }
    }
    report
}

/// Runs with these faults at one of the endpoints, and asserts that all promises are kept.
async fn assert_kept(doses: &str) {
    let report = run(&Size::from_env(doses)).await;
    assert!(report.cases.is_empty(), "{report}");
}

#[tokio::test]
async fn promises_of_a_run() {
    assert_kept("").await;
}
