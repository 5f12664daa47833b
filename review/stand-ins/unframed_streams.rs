//! Model workers are killed, some of whose streams have neither a length nor chunks.

use crate::engine::{EVENTS, Engine};
use crate::http::Conn;
use crate::random::Random;
use crate::record::{Record, What};
use crate::relay::{self, Bounds};
use crate::store::Store;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["tx-central-a", "tx-central-b", "tx-central-c"];
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const SERVICE: &str = "oatdale-pool";

/// Number of model workers, and of those that are killed at once: a share of 0.25.
const ENGINES: usize = 12;
const KILLED_AT_ONCE: usize = 3;

/// Workers, a share of half of them, that send some of their streams without framing, and which share.
const UNFRAMING_ENGINES: usize = 6;
const UNFRAMED_SHARE: f64 = 0.05;

/// Number of times at which workers are killed, how long they are down, and the time in between.
const KILLS: usize = 12;
const DOWN_TIME: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_secs(5);

/// Number of clients, each with one stream at a time.
const CLIENTS: usize = 144;

const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"pass-plan","host":"ficu95.example","prefix":"/plan/","kind":"streaming","timeout_ms":25000,
"target_latency_ms":3000,"priority":1,"sizes":["m0","m1","m2"],"service":"oatdale-pool","max_attempts":3,
"public":false,"sticky":true,"resumable":true,"target_gap_ms":1500}],
"services":[{"name":"oatdale-pool","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_capacity_tokens":430365,"kv_token_bytes":163840,"link_mbps":550000.0,"moves":true,
"backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
"models":[{"name":"m0","cost":0.023},{"name":"m1","cost":0.18},{"name":"m2","cost":0.35}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// Runs the case and returns whether the rule held.
pub fn run(dir: &Path, temp: &Path, with_trouble: bool) -> io::Result<bool> {
    let record = Record::new();
    let store = Store::start()?;
    store.put("op/config", CONFIGURATION);
    let mut started = 0;
    let mut engines = Vec::new();
    for slot in 0..ENGINES {
        engines.push(start_engine(slot, &mut started, &store, &record)?);
    }
    let mut relays = relay::prepare(temp, &ZONES, store.addr(), Bounds { repeat_slack: 54 })?;
    for relay in &mut relays {
        relay.start()?;
    }
    for relay in &relays {
        relay.wait_ready(Duration::from_secs(15))?;
    }
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record) = (stop.clone(), record.clone());
            let front = relays[number % relays.len()].addrs.callers;
            thread::spawn(move || read_streams(number, front, &stop, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    for turn in 0..KILLS {
        if with_trouble {
            let slots = (0..KILLED_AT_ONCE).map(|n| (turn * KILLED_AT_ONCE + n) % ENGINES);
            let slots: Vec<usize> = slots.collect();
            for &slot in &slots {
                record.add(&engines[slot].id, What::Event, "-", "srv_crash: killed");
                engines[slot].kill();
            }
            thread::sleep(DOWN_TIME);
            for &slot in &slots {
                // The entry of the killed one would be removed after three heartbeats.
                let gone = format!("servers/{}", engines[slot].id);
                engines[slot] = start_engine(slot, &mut started, &store, &record)?;
                let store = store.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(1_600));
                    store.delete(&gone);
                });
            }
        } else {
            thread::sleep(DOWN_TIME);
        }
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(relays);
    drop(engines);
    let (findings, held) = judge(&record);
    for line in &findings {
        println!("{line}");
    }
    record.write(&dir.join("record.txt"), &findings)?;
    Ok(held)
}

fn start_engine(
    slot: usize,
    started: &mut usize,
    store: &Store,
    record: &Record,
) -> io::Result<Engine> {
    *started += 1;
    let share = if slot % 2 == 1 && slot / 2 < UNFRAMING_ENGINES {
        UNFRAMED_SHARE
    } else {
        0.0
    };
    let engine = Engine::start(
        &format!("i-{:08x}", 0x7f3a_9000 + *started),
        share,
        record.clone(),
    )?;
    let (key, value) = engine.entry(SERVICE, ZONES[slot % ZONES.len()]);
    store.put(&key, &value);
    Ok(engine)
}

/// A client: reads one stream after the other, each on a new connection.
fn read_streams(number: usize, front: SocketAddr, stop: &AtomicBool, record: &Record) {
    let mut random = Random::new(number as u64 + 1);
    let who = format!("client-{number}");
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{:016x}", random.next());
        record.add(&who, What::Sent, &id, "");
        let part = random.next();
        match read_stream(front, &id, part) {
            Ok((status, end, last, is_in_order)) => {
                let order = if is_in_order {
                    "in order"
                } else {
                    "NOT in order"
                };
                record.add(
                    &who,
                    What::Answered(status),
                    &id,
                    format!("{end} after event {last}, {order}"),
                );
            }
            Err(err) => record.add(&who, What::Answered(0), &id, err.to_string()),
        }
        thread::sleep(Duration::from_millis(random.next() % 200));
    }
}

/// Sends a request and reads its stream. Returns the status, how the stream ended, the last event, and
/// whether each event was the next one.
fn read_stream(
    front: SocketAddr,
    id: &str,
    part: u64,
) -> io::Result<(u16, &'static str, u64, bool)> {
    let mut conn = Conn::connect(front)?;
    conn.set_read_timeout(Some(Duration::from_secs(12)))?;
    let began = Instant::now();
    let req = format!(
        "POST /plan/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: *\r\nToken-Counts: 1460,384\r\n\
         Prompt-Prefix: 5c1e07a2:512,91bd3f06:400,{:08x}:548\r\nDeadline-Ms: 25000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\nplan",
        part as u32
    );
    conn.write(req.as_bytes())?;
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        return Ok((head.status(), "refused", 0, true));
    }
    let (mut text, mut last, mut is_in_order) = (String::new(), 0, true);
    let end = loop {
        if began.elapsed() > Duration::from_secs(25) {
            break "given up";
        }
        let chunk = match head.header("transfer-encoding") {
            Some(_) => conn.read_chunk(),
            None => return Err(io::Error::other("an answer without chunks")),
        };
        match chunk {
            Ok(Some(chunk)) => text += &String::from_utf8_lossy(&chunk),
            Ok(None) => break "complete",
            Err(_) => break "broken off",
        }
        while let Some((event, rest)) = text.split_once("\n\n") {
            let number = event
                .strip_prefix("id: ")
                .and_then(|e| e.split('\n').next()?.parse().ok());
            let number: u64 = number.unwrap_or(0);
            is_in_order &= number == last + 1;
            last = number;
            text = rest.to_owned();
        }
    };
    Ok((200, end, last, is_in_order))
}

/// ORDER: in a stream a piece is missing or comes twice, or the stream ends as complete before its last
/// piece.
fn judge(record: &Record) -> (Vec<String>, bool) {
    let entries = record.entries();
    let mut findings = Vec::new();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let mut broken = 0;
    let complete = format!("complete after event {EVENTS}, in order");
    for entry in &entries {
        let What::Answered(status) = entry.what else {
            continue;
        };
        let is_early = entry.note.starts_with("complete after") && entry.note != complete;
        if is_early || entry.note.ends_with("NOT in order") {
            broken += 1;
            let runs = entries
                .iter()
                .filter(|e| e.what == What::Ran && e.id == entry.id);
            let runs: Vec<String> = runs.map(|e| format!("{} ({})", e.who, e.note)).collect();
            findings.push(format!(
                "ORDER broken: the stream {} of {} ended as {} of {EVENTS}; run by {}",
                entry.id,
                entry.who,
                entry.note,
                runs.join(", ")
            ));
        }
        let end = entry.note.split(" after").next().unwrap_or("").to_owned();
        *ends.entry(format!("{status} {end}")).or_default() += 1;
    }
    findings.push(format!("streams by their end: {ends:?}"));
    let verdict = match broken {
        0 => "ORDER held".to_owned(),
        _ => format!("ORDER broken {broken} times"),
    };
    findings.insert(0, verdict);
    (findings, broken == 0)
}
