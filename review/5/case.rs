//! A machine of the system is stopped as planned while all workers are full, and one worker falls silent for a
//! moment and goes on. Does each client whose stream runs get its whole answer?

#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// How long the worker is silent: "a second or so".
const SILENCE: Duration = Duration::from_millis(1_300);

const ZONES: [&str; 3] = ["thu-duc", "tan-binh", "nha-be"];

/// Streams that the workers run, and further ones that wait there.
const SLOTS: usize = 4;
const QUEUE: usize = 2;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
    let root = PathBuf::from(std::env::args().nth(2).expect("the repository"));
    exit(run(&folder, &root));
}

fn run(folder: &Path, root: &Path) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let Ok(dir) = TempDir::create("5") else { return COULD_NOT_RUN };
    let engine = Engine {
        slots: SLOTS,
        queue: QUEUE,
        prefill: Duration::from_millis(50),
        event: Duration::from_millis(300),
        events: 14,
        crash_part: None,
        down: Duration::ZERO,
        version: "v1",
        is_head_early: false,
    };
    let workers: Vec<_> = (1..=3)
        .map(|n| Worker::start(&format!("w{n}"), "pool", ZONES[n - 1], engine.clone(), &record))
        .collect();
    let store = Store::start();
    store.put("op/config", &config(1));
    for worker in &workers {
        store.put(&format!("servers/{}", worker.id), &worker.entry());
    }
    let Some(relays) = start_relays(root, &dir.0, &ZONES, store.addr) else {
        record.line("the relays have not become ready");
        return COULD_NOT_RUN;
    };
    thread::sleep(Duration::from_secs(4));

    let clients: Vec<_> = (0..3 * (SLOTS + QUEUE))
        .map(|n| {
            let (record, to) = (record.clone(), relays[n % 3].front);
            thread::sleep(Duration::from_millis(30));
            thread::spawn(move || {
                let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + n as u64);
                (n % 3, call(&record, to, &id, &prompt(&id), Duration::from_secs(25)))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_200));
    record.line("front-1 gets SIGTERM");
    relays[0].signal("TERM");
    let term_at = record.ms();
    thread::sleep(Duration::from_millis(300));
    let running: Vec<usize> = workers.iter().map(|worker| worker.running().len()).collect();
    record.line(format!("running at the workers: {running:?}"));
    if has_trouble() {
        workers[0].fall_silent(SILENCE);
    }
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let mut broken = 0;
    for (relay, answer) in &answers {
        let is_cut = answer.status == 200 && !answer.is_complete;
        if is_cut && *relay == 0 && answer.ended > term_at {
            broken += 1;
        }
    }
    let complete = answers.iter().filter(|(_, answer)| answer.is_complete && answer.status == 200).count();
    let cut = answers.iter().filter(|(_, answer)| answer.status == 200 && !answer.is_complete).count();
    record.line(format!("{complete} of {} clients got a whole answer; {cut} answers were cut, {broken} of them at the machine that stops", answers.len()));
    if complete == 0 {
        return COULD_NOT_RUN;
    }
    match broken {
        0 => HELD,
        _ => BROKEN,
    }
}
