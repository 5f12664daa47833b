//! The ninth of ten parts of some prompts crashes each worker that begins to answer on it. Do requests with it stop to reach
//! workers?

#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 3] = ["thu-duc", "tan-binh", "nha-be"];
const WORKERS: usize = 9;

/// The part that crashes workers.
const BAD_PART: &str = "badbadba";

/// How long requests come.
const TRAFFIC_MS: u64 = 40_000;

/// Time from one request to the next, and how many of them are sound for each with the part.
const GAP: Duration = Duration::from_millis(120);
const SOUND_FOR_EACH: usize = 5;

/// A worker is back so long after a crash, and its entry goes after three heartbeats of 1.2 s.
const DOWN: Duration = Duration::from_secs(2);
const ENTRY_MS: u64 = 3_600;

/// The rule: `stable_window_ms` after the fifth crash no more than three requests may reach workers.
const CRASHES: usize = 5;
const WINDOW_MS: u64 = 3_000;
const ALLOWED: usize = 3;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
    let root = PathBuf::from(std::env::args().nth(2).expect("the repository"));
    exit(run(&folder, &root));
}

/// Parts of a prompt: a number of shared ones, one that tells the kind, and the request's own.
fn headers(id: &str, kind: &str) -> String {
    let before: usize = std::env::var("PARTS_BEFORE").ok().and_then(|n| n.parse().ok()).unwrap_or(8);
    let shared: Vec<String> = (0..before).map(|n| format!("5c1e07a{n}:100")).collect();
    format!(
        "Model: m1\r\nToken-Counts: 1300,60\r\nPrompt-Prefix: {},{kind}:100,{id}:100\r\n",
        shared.join(",")
    )
}

fn run(folder: &Path, root: &Path) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let Ok(dir) = TempDir::create("7") else { return COULD_NOT_RUN };
    let engine = Engine {
        slots: 64,
        queue: 192,
        prefill: Duration::from_millis(40),
        event: Duration::from_millis(60),
        events: 6,
        crash_part: has_trouble().then(|| BAD_PART.to_owned()),
        down: DOWN,
        version: "v1",
        is_head_early: false,
    };
    let store = Store::start();
    store.put("op/config", &config(1));
    let workers: Arc<Mutex<Vec<Arc<Worker>>>> = Arc::default();
    let start = {
        let (store, workers, record) = (store.clone(), workers.clone(), record.clone());
        let count = AtomicUsize::new(0);
        move |zone: &str| {
            let id = format!("i-{:04}", count.fetch_add(1, Ordering::SeqCst));
            let worker = Worker::start(&id, "pool", zone, engine.clone(), &record);
            store.put(&format!("servers/{id}"), &worker.entry());
            workers.lock().unwrap().push(worker);
        }
    };
    (0..WORKERS).for_each(|n| start(ZONES[n % 3]));
    let Some(relays) = start_relays(root, &dir.0, &ZONES, store.addr) else {
        record.line("the relays have not become ready");
        return COULD_NOT_RUN;
    };
    thread::sleep(Duration::from_secs(4));

    // Starts crashed workers again, each with a new id, and removes the entries of the old ones.
    let keeper = {
        let (store, workers, record) = (store.clone(), workers.clone(), record.clone());
        move || {
            let (mut replaced, mut removed) = (0, 0);
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut crashed: Vec<_> = {
                    let all = workers.lock().unwrap();
                    all.iter().filter_map(|w| Some((w.crashed_at()?, w.zone.clone(), w.id.clone()))).collect()
                };
                crashed.sort();
                while crashed.get(replaced).is_some_and(|(at, ..)| record.ms() >= at + DOWN.as_millis() as u64) {
                    start(&crashed[replaced].1);
                    replaced += 1;
                }
                while crashed.get(removed).is_some_and(|(at, ..)| record.ms() >= at + ENTRY_MS) {
                    store.delete(&format!("servers/{}", crashed[removed].2));
                    removed += 1;
                }
            }
        }
    };
    thread::spawn(keeper);

    let began = record.ms();
    let mut clients = Vec::new();
    let mut n = 0;
    while record.ms() < began + TRAFFIC_MS {
        let is_bad = n % (SOUND_FOR_EACH + 1) == SOUND_FOR_EACH;
        let (record, to) = (record.clone(), relays[n % 3].front);
        clients.push(thread::spawn(move || {
            let id = format!("{:08x}{:08x}", if is_bad { 0xbad } else { 0x50 }, n);
            let kind = if is_bad { BAD_PART } else { "50505050" };
            (is_bad, call(&record, to, &id, &headers(&id, kind), Duration::from_secs(5)))
        }));
        n += 1;
        thread::sleep(GAP);
    }
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let sound: Vec<_> = answers.iter().filter(|(is_bad, _)| !is_bad).collect();
    let whole = sound.iter().filter(|(_, answer)| answer.is_complete && answer.status == 200).count();
    let cut = sound.iter().filter(|(_, answer)| answer.status == 200 && !answer.is_complete).count();
    record.line(format!("{whole} of {} sound requests got a whole answer, {cut} were cut", sound.len()));
    if whole == 0 {
        return COULD_NOT_RUN;
    }

    let workers = workers.lock().unwrap();
    let mut crashes: Vec<u64> = workers.iter().filter_map(|worker| worker.crashed_at()).collect();
    crashes.sort_unstable();
    record.line(format!("{} crashes", crashes.len()));
    let Some(fifth) = crashes.get(CRASHES - 1) else { return HELD };
    let arrivals = workers.iter().flat_map(|worker| worker.arrivals());
    let late = arrivals.filter(|(at, id)| id.starts_with("00000bad") && *at > fifth + WINDOW_MS).count();
    record.line(format!(
        "the fifth crash was at {fifth} ms; {late} requests with the part have reached workers later than {WINDOW_MS} ms after it"
    ));
    match late > ALLOWED {
        true => BROKEN,
        false => HELD,
    }
}
