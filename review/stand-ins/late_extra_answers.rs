//! Workers send second answers late, among them second rejections.

use crate::client::{Client, Request};
use crate::random::Random;
use crate::record::{Record, What};
use crate::relay::{self, Bounds};
use crate::store::Store;
use crate::worker::{Options, Worker};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["tx-central-a", "tx-central-b", "tx-central-c"];

/// Zones in which a relay runs.
const RELAY_ZONES: [&str; 2] = ["tx-central-a", "tx-central-b"];
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Share of a faulty worker's answers that are sent twice, and share of the requests that a grey worker
/// rejects.
const EXTRA_SHARE: f64 = 0.03;
const SHED_SHARE: f64 = 0.45;

/// Number of times in which workers are faulty and grey, and how long each of them lasts.
const TURNS: usize = 20;
const TURN_TIME: Duration = Duration::from_secs(5);

/// Number of clients that enroll households, and how many households all of them enroll in a second.
const CLIENTS: usize = 60;
const ENROLLED_PER_SECOND: f64 = 28.5;

/// How long a client keeps an idle connection.
const IDLE_TIME: Duration = Duration::from_secs(10);

const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"enroll-switch","host":"ficu95.example","prefix":"/enroll/","kind":"unsafe","timeout_ms":3000,
"target_latency_ms":300,"priority":2,"service":"switch-api","max_attempts":1,"public":false}],
"services":[{"name":"switch-api","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// Runs the case and returns whether the rule held.
pub fn run(dir: &Path, temp: &Path, with_trouble: bool) -> io::Result<bool> {
    let record = Record::new();
    let store = Store::start()?;
    store.put("op/config", CONFIGURATION);
    let workers: io::Result<Vec<Worker>> = ZONES
        .iter()
        .enumerate()
        .map(|(i, zone)| {
            let options = Options {
                id: format!("i-7f3a91c{i}"),
                service: "switch-api".to_owned(),
                zone: (*zone).to_owned(),
                slots: 6,
                queue: 24,
                work_ms: (40, 80),
                extra_share: EXTRA_SHARE,
                shed_share: SHED_SHARE,
            };
            Worker::start(options, record.clone())
        })
        .collect();
    let workers = workers?;
    for worker in &workers {
        let (key, value) = worker.entry();
        store.put(&key, &value);
    }
    let mut relays = relay::prepare(
        temp,
        &RELAY_ZONES,
        store.addr(),
        Bounds { repeat_slack: 54 },
    )?;
    for relay in &mut relays {
        relay.start()?;
    }
    for relay in &relays {
        relay.wait_ready(Duration::from_secs(15))?;
    }
    thread::sleep(Duration::from_secs(2));
    let fronts: Vec<SocketAddr> = relays.iter().map(|r| r.addrs.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let households = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, households, record) = (stop.clone(), households.clone(), record.clone());
            let fronts = fronts.clone();
            thread::spawn(move || enroll(number, &fronts, &stop, &households, record))
        })
        .collect();
    for turn in 0..TURNS {
        // Share 0.6 of the workers, which are two of three; one of them, share 0.14 rounded up, sheds.
        let faulty: Vec<&Worker> = workers.iter().cycle().skip(turn).take(2).collect();
        if with_trouble {
            for worker in &faulty {
                record.add(
                    &worker.options.id,
                    What::Event,
                    "-",
                    "garble (extra late) for 5 s",
                );
                worker.set_faulty(true);
            }
            record.add(
                &faulty[0].options.id,
                What::Event,
                "-",
                "srv_grey (shed) for 5 s",
            );
            faulty[0].set_shedding(true);
        }
        thread::sleep(TURN_TIME);
        for worker in &faulty {
            worker.set_faulty(false);
            worker.set_shedding(false);
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(2));
    drop(relays);
    let (answers, extras) = workers.iter().fold((0, 0), |(a, e), w| {
        (
            a + w.answers.load(Ordering::Relaxed),
            e + w.extras.load(Ordering::Relaxed),
        )
    });
    let (mut findings, held) = judge(&record);
    findings.push(format!(
        "answers of workers: {answers}; second answers among them that were sent: {extras}"
    ));
    for line in &findings {
        println!("{line}");
    }
    record.write(&dir.join("record.txt"), &findings)?;
    Ok(held)
}

/// A client: enrolls one household after the other. After a promise that a request has not run it tries
/// once more, after the time that the answer says.
fn enroll(
    number: usize,
    fronts: &[SocketAddr],
    stop: &AtomicBool,
    households: &AtomicU64,
    record: Record,
) {
    let mut random = Random::new(number as u64 + 1);
    let front = fronts[number % fronts.len()];
    let mut client = Client::new(&format!("client-{number}"), front, record);
    let mut idle_since = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        // Connections are used again only within four fifths of the time that they may be idle.
        if idle_since.elapsed() > IDLE_TIME {
            client.close();
        }
        let household = format!("household {}", households.fetch_add(1, Ordering::Relaxed));
        let began = Instant::now();
        let time = Duration::from_secs(3);
        for attempt in 0..2 {
            let id = format!("{:016x}", random.next());
            let req = Request {
                method: "POST",
                path: "/enroll/2f",
                host: HOST,
                key: KEY,
                id: &id,
                deadline: time.saturating_sub(began.elapsed()),
                body: &household,
            };
            let Ok(res) = client.send(&req) else {
                client.close();
                break;
            };
            let is_promise = [408, 421, 429, 503].contains(&res.status());
            if !is_promise || attempt > 0 {
                break;
            }
            client.close();
            let wait = res
                .header("retry-after")
                .and_then(|s| s.parse().ok())
                .unwrap_or(0.05);
            let left = time.saturating_sub(began.elapsed());
            thread::sleep(Duration::from_secs_f64(wait).min(left / 3));
        }
        idle_since = Instant::now();
        // Pauses of random length, so that requests come independently of each other.
        let mean = CLIENTS as f64 / ENROLLED_PER_SECOND;
        let pause = -mean * (1.0 - random.fraction()).ln();
        let next_at = Instant::now() + Duration::from_secs_f64(pause);
        while Instant::now() < next_at && !stop.load(Ordering::Relaxed) {
            thread::sleep(
                Duration::from_millis(10).min(next_at.saturating_duration_since(Instant::now())),
            );
        }
    }
}

/// REFUSED: a request that isn't idempotent is answered 429, 503, 408 or 421 and has run, or runs later.
fn judge(record: &Record) -> (Vec<String>, bool) {
    let entries = record.entries();
    let ran: BTreeMap<&str, &str> = entries
        .iter()
        .filter(|e| e.what == What::Ran)
        .map(|e| (e.id.as_str(), e.who.as_str()))
        .collect();
    let mut findings = Vec::new();
    let mut broken = 0;
    let mut answered: BTreeMap<u16, usize> = BTreeMap::new();
    for entry in &entries {
        let What::Answered(status) = entry.what else {
            continue;
        };
        *answered.entry(status).or_default() += 1;
        let Some(worker) = ran.get(entry.id.as_str()) else {
            continue;
        };
        if [408, 421, 429, 503].contains(&status) {
            broken += 1;
            findings.push(format!(
                "REFUSED broken: {} got {status} for {} at {} ms, which has run at {worker}",
                entry.who, entry.id, entry.at_ms
            ));
        }
    }
    // A client that is told that its request has not run sends it again.
    let mut runs: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for entry in entries.iter().filter(|e| e.what == What::Ran) {
        runs.entry(&entry.note).or_default().insert(&entry.id);
    }
    let doubled = runs.values().filter(|ids| ids.len() > 1).count();
    findings.push(format!("answers by status (0: none): {answered:?}"));
    findings.push(format!("households enrolled twice: {doubled}"));
    let verdict = match broken {
        0 => "REFUSED held".to_owned(),
        _ => format!("REFUSED broken {broken} times"),
    };
    findings.insert(0, verdict);
    (findings, broken == 0)
}
