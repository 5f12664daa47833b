//! A machine is stopped and started again while a new version is brought in. Do its clients get their whole answers
//! when the old version stops?

#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 3] = ["thu-duc", "tan-binh", "nha-be"];

/// How long the order gives the system to bring in the version.
const ORDER_S: u64 = 16;

/// When the machine gets SIGTERM, after the order.
const TERM_MS: u64 = 8_000;

/// The rule: planned work lasts from SIGTERM until 1 s after `grace_s`.
const PLANNED_MS: u64 = 9_000;

/// A worker writes its entry once in this time, and is slow for so long after its start.
const HEARTBEAT_MS: u64 = 1_200;
const COLD_MS: u64 = 30_000;

/// Time from one client of a machine to the next.
const GAP: Duration = Duration::from_millis(200);

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
    let root = PathBuf::from(std::env::args().nth(2).expect("the repository"));
    exit(run(&folder, &root));
}

fn run(folder: &Path, root: &Path) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let Ok(dir) = TempDir::create("4") else { return COULD_NOT_RUN };
    let engine = Engine {
        slots: 64,
        queue: 192,
        prefill: Duration::from_millis(30),
        event: Duration::from_millis(120),
        events: 15,
        crash_part: None,
        down: Duration::ZERO,
        version: "v1",
        is_head_early: false,
    };
    let store = Store::start();
    store.put("op/config", &config(1));
    let start = |version: &'static str| -> Vec<Arc<Worker>> {
        let engine = Engine { version, ..engine.clone() };
        let start = |zone: &&str| {
            let worker = Worker::start(&format!("{version}-{zone}"), "pool", zone, engine.clone(), &record);
            store.put(&format!("servers/{}", worker.id), &worker.entry());
            worker
        };
        ZONES.iter().map(start).collect()
    };
    let old = start("v1");
    let Some(mut relays) = start_relays(root, &dir.0, &ZONES, store.addr) else {
        record.line("the relays have not become ready");
        return COULD_NOT_RUN;
    };
    thread::sleep(Duration::from_secs(4));

    let new = start("v2");
    let order = format!(r#"{{"service":"pool","target":"v2","duration_s":{ORDER_S}}}"#);
    store.put("op/rollout/pool", &order);
    let ordered_at = record.ms();
    record.line(format!("the operator orders v2 within {ORDER_S} s"));

    // The new workers write their entries again and again, which change as long as they are slow.
    for (i, worker) in new.into_iter().enumerate() {
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(HEARTBEAT_MS * i as u64 / 3));
            for seq in 2.. {
                let cold_left = COLD_MS.saturating_sub(record.ms() - ordered_at);
                store.put(&format!("servers/{}", worker.id), &worker.entry_with(seq, cold_left));
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }
    // At `completed` the old workers stop at once, without draining.
    let completed: Arc<Mutex<Option<u64>>> = Arc::default();
    {
        let (store, record, completed) = (store.clone(), record.clone(), completed.clone());
        thread::spawn(move || {
            while !store.get("status/rollout/pool").unwrap_or_default().contains("completed") {
                thread::sleep(Duration::from_millis(10));
            }
            *completed.lock().unwrap() = Some(record.ms());
            record.line("the system has written `completed`: the old workers stop");
            for worker in &old {
                worker.stop();
                store.delete(&format!("servers/{}", worker.id));
            }
        });
    }

    let mut clients = Vec::new();
    let (mut n, mut term_at, mut is_restarted) = (0_u64, None, false);
    let end = ordered_at + ORDER_S * 1_000 + 2_500;
    while record.ms() < end {
        for (machine, relay) in relays.iter().enumerate() {
            // Clients leave a machine that is not ready.
            if machine == 0 && term_at.is_some() && !is_restarted {
                continue;
            }
            let (record, to) = (record.clone(), relay.front);
            n += 1;
            let id = format!("{:016x}", 0x7000_0000_u64 + n);
            clients.push(thread::spawn(move || {
                let headers = format!("{}Session: s-{id}\r\n", prompt(&id));
                (machine, call(&record, to, &id, &headers, Duration::from_secs(20)))
            }));
        }
        if has_trouble() && term_at.is_none() && record.ms() >= ordered_at + TERM_MS {
            record.line("front-1 gets SIGTERM");
            relays[0].signal("TERM");
            term_at = Some(record.ms());
        }
        if term_at.is_some() && !is_restarted && relays[0].has_ended() {
            record.line("front-1 has ended and is started again");
            if relays[0].start_again().is_err() || !relays[0].wait_ready(Duration::from_secs(5)) {
                return COULD_NOT_RUN;
            }
            record.line("front-1 is ready");
            is_restarted = true;
        }
        thread::sleep(GAP);
    }
    let completed_at = *completed.lock().unwrap();
    let Some(completed_at) = completed_at else {
        record.line("the system has not completed the order in time");
        return COULD_NOT_RUN;
    };
    // Without the stop, the same time counts.
    let planned_from = term_at.unwrap_or(ordered_at + TERM_MS);
    let planned = planned_from..planned_from + PLANNED_MS;
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let is_cut = |answer: &Answer| answer.status == 200 && !answer.is_complete;
    for machine in 0..3 {
        let own: Vec<_> = answers.iter().filter(|(at, _)| *at == machine).map(|(_, answer)| answer).collect();
        let cut = own.iter().filter(|answer| is_cut(answer)).count();
        let refused = own.iter().filter(|answer| answer.status != 200).count();
        record.line(format!("front-{}: {} requests, {cut} answers cut, {refused} without one", machine + 1, own.len()));
    }
    let broken = answers.iter().filter(|(machine, answer)| {
        *machine == 0 && is_cut(answer) && answer.ended >= completed_at && planned.contains(&answer.ended)
    });
    let broken = broken.count();
    record.line(format!("{broken} answers were cut at front-1 from {completed_at} ms to {} ms", planned.end));
    match broken {
        0 => HELD,
        _ => BROKEN,
    }
}
