//! What hosts promise to callers, checked from outside: `oatdaled` processes between callers and endpoints that
//! log what they do.
//!
//! PROMISES_HOSTS, PROMISES_SECONDS, PROMISES_SEED, PROMISES_RATE, PROMISES_FAULTS, PROMISES_AT_FAULT,
//! PROMISES_OTHERS and PROMISES_TROUBLE (`series`, `overlapping`) set the size of
//! `promises_are_kept_by_a_run_of_any_size`; OATDALED names another binary, and PROMISES_LOGS a folder in which
//! logs are kept.

mod callers;
mod check;
mod endpoint;
mod faults;
mod http;
mod processes;
mod record;
mod serve;
mod slots;
mod trouble;

use callers::Plan;
use check::Report;
use faults::Dose;
use oatdale_adapter_fakes::{CONFIGURATION_KEY, Store};
use processes::{HOST, Hosts};
use record::Record;
use serde_json::{Value, json};
use std::str::FromStr;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use trouble::{Order, Site};

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
    doses: Vec<Dose>,
    /// Endpoints with faults.
    at_fault: usize,
    /// Share of requests whose route allows three endpoints, and of safe ones.
    others: f64,
    trouble: Option<Order>,
}

impl Default for Size {
    fn default() -> Size {
        Size {
            hosts: 5,
            seconds: 8.0,
            seed: 1,
            per_second: 80.0,
            doses: Vec::new(),
            at_fault: 1,
            others: 0.2,
            trouble: None,
        }
    }
}

impl Size {
    /// Returns the size that the environment sets.
    fn from_env() -> Size {
        let default = Size::default();
        let doses = std::env::var("PROMISES_FAULTS").unwrap_or_default();
        let trouble = match std::env::var("PROMISES_TROUBLE").as_deref() {
            Ok("series") => Some(Order::Series),
            Ok("overlapping") => Some(Order::Overlapping),
            _ => None,
        };
        Size {
            hosts: number("PROMISES_HOSTS", default.hosts),
            seconds: number("PROMISES_SECONDS", default.seconds),
            seed: number("PROMISES_SEED", default.seed),
            per_second: number("PROMISES_RATE", default.per_second),
            doses: faults::parse(&doses),
            at_fault: number("PROMISES_AT_FAULT", default.at_fault),
            others: number("PROMISES_OTHERS", default.others),
            trouble,
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
    store.put(CONFIGURATION_KEY, &configuration());
    let hosts = Hosts::new(size.hosts, store.addr());
    let mut site = Site {
        store,
        record: Record::new(),
        hosts,
        endpoints: Vec::new(),
        doses: size.doses.clone(),
        at_fault: size.at_fault,
        seed: size.seed,
    };
    for n in 0..ENDPOINTS {
        site.endpoints.push(None);
        let addr = "127.0.0.1:0".parse().expect("an address");
        site.start_endpoint(n, &format!("i-{n}"), addr).await;
    }
    site.hosts.start().await;
    sleep(PROPAGATION_TIME).await;
    let until = Instant::now() + Duration::from_secs_f64(size.seconds);
    let plan = Plan {
        hosts: site.hosts.callers(),
        per_second: size.per_second,
        until,
        seed: size.seed,
        paths: vec![
            ("/lock/", 1.0 - size.others),
            ("/confirm/", size.others / 2.0),
            ("/look/", size.others / 2.0),
        ],
    };
    let record = site.record.clone();
    let trouble = async {
        if let Some(order) = size.trouble {
            site.disturb(order, size.seed, until).await;
        }
    };
    futures::join!(callers::send_all(&plan, &record), trouble);
    sleep(REST_TIME).await;
    let report = Report::new(&record);
    site.hosts.keep(&record);
    println!("seed {} {:?} {report}", size.seed, size.doses);
    for case in report.cases.iter().take(MAX_PRINTED) {
        println!("{case}");
        for line in site.hosts.lines_of(&[&case.attempt.id]) {
            println!("  {line}");
        }
    }
    report
}

/// Runs with this size and asserts that all promises are kept.
async fn assert_kept(size: Size) {
    let report = run(&size).await;
    assert!(report.runs() > 0, "{report}");
    assert!(report.cases.is_empty(), "{report}");
}

/// Runs with these faults at two of the endpoints.
async fn assert_kept_beside(doses: &str) {
    let size = Size {
        hosts: 3,
        seconds: 5.0,
        at_fault: 2,
        doses: faults::parse(doses),
        ..Size::default()
    };
    assert_kept(size).await;
}

#[tokio::test]
async fn promises_are_kept_by_a_run_of_any_size() {
    assert_kept(Size::from_env()).await;
}

// Guards against a request that runs and is answered as not run, since the rejection of an earlier one on its
// connection came twice.
#[tokio::test]
async fn promises_are_kept_beside_rejections_that_come_twice() {
    assert_kept_beside("shed=0.4,extra-late=0.4,extra-with-next=0.2").await;
}

// The same for rejections that name no request.
#[tokio::test]
async fn promises_are_kept_beside_rejections_that_name_no_request() {
    assert_kept_beside("second-503=0.2,second-400=0.2,second-421=0.2").await;
}

// The same for rejections that name two requests.
#[tokio::test]
async fn promises_are_kept_beside_rejections_that_name_two_requests() {
    assert_kept_beside("repeated-id=0.4").await;
}

// The same for the rest of a body that an endpoint takes for a request of its own.
#[tokio::test]
async fn promises_are_kept_beside_bodies_that_are_not_read() {
    assert_kept_beside("unread-body=0.4").await;
}

// Guards against a request that is sent again, or answered as not run, since its connection broke.
#[tokio::test]
async fn promises_are_kept_beside_connections_that_break() {
    assert_kept_beside("reset-after-run=0.1,truncate=0.1,hang=0.02,close-idle=0.3").await;
}

// The same for hosts and endpoints that stop, die, freeze and return.
#[tokio::test]
async fn promises_are_kept_beside_restarts() {
    let size = Size {
        trouble: Some(Order::Overlapping),
        ..Size::default()
    };
    assert_kept(size).await;
}
