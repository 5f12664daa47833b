//! Machines are stopped in turn while the model workers have more requests than slots.

use crate::batch_worker::{BatchWorker, EVENTS};
use crate::http::{Conn, encode};
use crate::json::Json;
use crate::random::Random;
use crate::record::{Entry, Record, What};
use crate::relay::{self, Bounds, Relay};
use crate::store::Store;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["thu-duc", "tan-binh", "nha-be"];
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const SERVICE: &str = "oatdale-pool";

/// Number of model workers, their slots, and the requests that each of them lets wait.
const WORKERS: usize = 3;
const SLOTS: usize = 16;
const QUEUE: usize = 64;

/// Requests a second, from the start to the end.
const REQUESTS_PER_SECOND: f64 = 20.0;

/// Time from the start of traffic to the first stop, and from one stop to the next.
const WARM_UP: Duration = Duration::from_secs(12);
const STOP_INTERVAL: Duration = Duration::from_secs(16);

/// `grace_s` of the site, and until when after a SIGTERM it counts as planned work.
const GRACE_MS: u128 = 8_000;
const PLANNED_MS: u128 = GRACE_MS + 1_000;

/// How long a client waits for the answer, and for the next event: eight times the pause of 1,500 ms.
const DEADLINE: Duration = Duration::from_secs(25);
const LONGEST_GAP: Duration = Duration::from_secs(12);

const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"pass-plan","host":"ficu95.example","prefix":"/plan/","kind":"streaming","timeout_ms":25000,
"target_latency_ms":3000,"priority":1,"sizes":["m0","m1","m2"],"service":"oatdale-pool","max_attempts":3,
"public":false,"sticky":true,"resumable":true,"target_gap_ms":1500}],
"services":[{"name":"oatdale-pool","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,
"engine":{"slots":16,"kv_capacity_tokens":430365,"kv_token_bytes":163840,"link_mbps":550000.0,"moves":true,
"backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
"models":[{"name":"m0","cost":0.023},{"name":"m1","cost":0.18},{"name":"m2","cost":0.35}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// The addresses that clients were told last.
type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

/// Runs the case and returns whether the rule held.
pub fn run(dir: &Path, temp: &Path, with_trouble: bool) -> io::Result<bool> {
    let record = Record::new();
    let store = Store::start()?;
    store.put("op/config", CONFIGURATION);
    for number in 0..WORKERS {
        let id = format!("i-7f3a91c{number}");
        let worker = BatchWorker::start(&id, SLOTS, QUEUE, record.clone())?;
        let (key, value) = worker.entry(SERVICE, ZONES[number % ZONES.len()]);
        store.put(&key, &value);
    }
    let mut relays = relay::prepare(temp, &ZONES, store.addr(), Bounds { repeat_slack: 58 })?;
    for relay in &mut relays {
        relay.start()?;
    }
    for relay in &relays {
        relay.wait_ready(Duration::from_secs(15))?;
    }
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicUsize::new(0));
    let addresses = follow_addresses(&relays, &stop);
    let traffic = {
        let (stop, open, record) = (stop.clone(), open.clone(), record.clone());
        thread::spawn(move || send_requests(&addresses, &stop, &open, &record))
    };
    thread::sleep(WARM_UP);
    for relay in &mut relays {
        let next_at = Instant::now() + STOP_INTERVAL;
        if with_trouble {
            record.add(
                &relay.addrs.callers.to_string(),
                What::Event,
                "-",
                "SIGTERM",
            );
            relay.terminate();
            while !relay.has_ended() && Instant::now() < next_at {
                thread::sleep(Duration::from_millis(10));
            }
            record.add(
                &relay.addrs.callers.to_string(),
                What::Event,
                "-",
                "the process has ended",
            );
            relay.start()?;
        }
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    stop.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    let until = Instant::now() + Duration::from_secs(30);
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
    }
    drop(relays);
    let (findings, held) = judge(&record);
    for line in &findings {
        println!("{line}");
    }
    record.write(&dir.join("record.txt"), &findings)?;
    Ok(held)
}

/// Asks the relays where to connect, as often as their answers say.
fn follow_addresses(relays: &[Relay], stop: &Arc<AtomicBool>) -> Addresses {
    let known: Addresses = Arc::new(Mutex::new(relays.iter().map(|r| r.addrs.callers).collect()));
    let directories: Vec<SocketAddr> = relays.iter().map(|r| r.addrs.addresses).collect();
    let (addresses, stop) = (known.clone(), stop.clone());
    thread::spawn(move || {
        let mut turn = 0;
        while !stop.load(Ordering::Relaxed) {
            let mut wait = Duration::from_millis(200);
            for _ in 0..directories.len() {
                turn += 1;
                if let Ok((told, ttl)) = resolve(directories[turn % directories.len()])
                    && !told.is_empty()
                {
                    *known.lock().expect("no thread panics with the lock") = told;
                    wait = ttl;
                    break;
                }
            }
            thread::sleep(wait);
        }
    });
    addresses
}

fn resolve(directory: SocketAddr) -> io::Result<(Vec<SocketAddr>, Duration)> {
    let mut conn = Conn::connect(directory)?;
    conn.set_read_timeout(Some(Duration::from_secs(1)))?;
    let start = format!("GET /resolve?name={HOST}&region=hcm&zone=thu-duc HTTP/1.1");
    conn.write(&encode(&start, &[("Host", HOST)], b""))?;
    let res = conn.read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = Json::parse(&String::from_utf8_lossy(&res.body)).unwrap_or(Json::Null);
    let told = body.get("addresses").map_or(&[][..], Json::list);
    let told = told
        .iter()
        .filter_map(|addr| addr.text().parse().ok())
        .collect();
    Ok((
        told,
        Duration::from_secs(body.get("ttl_s").map_or(1, Json::number).max(1)),
    ))
}

fn send_requests(
    addresses: &Addresses,
    stop: &AtomicBool,
    open: &Arc<AtomicUsize>,
    record: &Record,
) {
    let mut random = Random::new(7);
    while !stop.load(Ordering::Relaxed) {
        let seed = random.next();
        let (addresses, open, record) = (addresses.clone(), open.clone(), record.clone());
        open.fetch_add(1, Ordering::Relaxed);
        thread::spawn(move || {
            request_plan(seed, &addresses, &record);
            open.fetch_sub(1, Ordering::Relaxed);
        });
        let pause = -(1.0 - random.fraction()).ln() / REQUESTS_PER_SECOND;
        thread::sleep(Duration::from_secs_f64(pause));
    }
}

/// A client: asks for one plan, and once more after a promise that nothing has run.
fn request_plan(seed: u64, addresses: &Addresses, record: &Record) {
    let mut random = Random::new(seed);
    let began = Instant::now();
    for attempt in 0..2 {
        let id = format!("{:016x}", random.next());
        let left = DEADLINE.saturating_sub(began.elapsed());
        let front = {
            let known = addresses.lock().expect("no thread panics with the lock");
            known[random.next() as usize % known.len()]
        };
        let (status, note, retry_after) = read_plan(front, &id, left, record);
        record.add(&front.to_string(), What::Answered(status), &id, note);
        if ![429, 503].contains(&status) || attempt > 0 {
            return;
        }
        let left = DEADLINE.saturating_sub(began.elapsed());
        thread::sleep(Duration::from_secs_f64(retry_after).min(left / 3));
    }
}

/// Sends a request and reads its answer. Returns the status, 0 without one, how the answer ended, and
/// when to try again.
fn read_plan(front: SocketAddr, id: &str, left: Duration, record: &Record) -> (u16, String, f64) {
    let until = Instant::now() + left;
    let Ok(mut conn) = Conn::connect(front) else {
        return (0, "not connected".to_owned(), 0.0);
    };
    let req = format!(
        "POST /plan/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: *\r\nToken-Counts: 1460,384\r\n\
         Prompt-Prefix: 5c1e07a2:512,91bd3f06:400,{}:548\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\nplan",
        &id[..8],
        left.as_millis()
    );
    record.add(&front.to_string(), What::Sent, id, "");
    if conn.write(req.as_bytes()).is_err() {
        return (0, "not sent".to_owned(), 0.0);
    }
    let gap = || {
        Some(
            LONGEST_GAP
                .min(until.saturating_duration_since(Instant::now()))
                .max(Duration::from_millis(1)),
        )
    };
    let ended = |err: &io::Error| match err.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => "the client has left",
        _ => "the connection ended",
    };
    let _ = conn.set_read_timeout(gap());
    let head = match conn.read_head() {
        Ok(Some(head)) => head,
        Ok(None) => return (0, "the connection ended".to_owned(), 0.0),
        Err(err) => return (0, ended(&err).to_owned(), 0.0),
    };
    if head.status() != 200 {
        let retry_after = head.header("retry-after").and_then(|s| s.parse().ok());
        return (
            head.status(),
            "complete".to_owned(),
            retry_after.unwrap_or(0.5),
        );
    }
    let mut text = String::new();
    loop {
        let _ = conn.set_read_timeout(gap());
        match conn.read_chunk() {
            Ok(Some(chunk)) => text += &String::from_utf8_lossy(&chunk),
            Ok(None) => return (200, "complete".to_owned(), 0.0),
            Err(err) => {
                let events = text.matches("\n\n").count();
                return (
                    200,
                    format!("{} after {events} of {EVENTS} events", ended(&err)),
                    0.0,
                );
            }
        }
    }
}

/// LOST: around a SIGTERM of the machine that took a request from the client, a process has read the
/// whole request, it has been passed on to a worker, and the connection ends without a complete answer.
/// Not counted: the worker was still at work on it in the last sixth of the grace time, and it was sent
/// no later than 3 s after the SIGTERM.
fn judge(record: &Record) -> (Vec<String>, bool) {
    let entries = record.entries();
    let mut by_id: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in &entries {
        by_id.entry(&entry.id).or_default().push(entry);
    }
    let stops: Vec<&Entry> = entries.iter().filter(|e| e.note == "SIGTERM").collect();
    let mut findings = Vec::new();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let (mut lost, mut excused) = (0, 0);
    for entry in &entries {
        let What::Answered(status) = entry.what else {
            continue;
        };
        let end = entry.note.split(" after").next().unwrap_or("").to_owned();
        *ends.entry(format!("{status} {end}")).or_default() += 1;
        let stop = stops.iter().find(|stop| {
            stop.who == entry.who && (stop.at_ms..stop.at_ms + PLANNED_MS).contains(&entry.at_ms)
        });
        let Some(stop) = stop.filter(|_| entry.note.starts_with("the connection ended")) else {
            continue;
        };
        let all = &by_id[entry.id.as_str()];
        let sent_ms = all
            .iter()
            .find(|e| e.what == What::Sent)
            .map_or(0, |e| e.at_ms);
        let reached: Vec<_> = all.iter().filter(|e| e.what == What::Reached).collect();
        if reached.is_empty() {
            continue;
        }
        let last_sixth = stop.at_ms + GRACE_MS * 5 / 6;
        let was_at_work = all.iter().any(|run| {
            let end = all
                .iter()
                .find(|e| e.what == What::RunEnded && e.who == run.who && e.at_ms >= run.at_ms);
            run.what == What::Ran && end.is_none_or(|end| end.at_ms >= last_sixth)
        });
        if was_at_work && sent_ms <= stop.at_ms + 3_000 {
            excused += 1;
            continue;
        }
        lost += 1;
        let workers: Vec<String> = reached
            .iter()
            .map(|e| format!("{} at {} ms", e.who, e.at_ms))
            .collect();
        let ran = all.iter().any(|e| e.what == What::Ran);
        findings.push(format!(
            "LOST broken: {} sent to {} at {} ms, which got SIGTERM at {} ms; passed on to {}; {}; {} at {} ms",
            entry.id,
            entry.who,
            sent_ms,
            stop.at_ms,
            workers.join(", "),
            if ran { "begun by a worker" } else { "begun by no worker" },
            entry.note,
            entry.at_ms
        ));
    }
    findings.push(format!(
        "cut off while a worker was at work, which is excused: {excused}"
    ));
    findings.push(format!("answers by status (0: none) and end: {ends:?}"));
    let verdict = match lost {
        0 => "LOST held".to_owned(),
        _ => format!("LOST broken {lost} times"),
    };
    findings.insert(0, verdict);
    (findings, lost == 0)
}
