//! Measures the call rate at the key-value service for several request rates and numbers of nodes,
//! on a paused clock.
//!
//! Each request writes one bill; one in a hundred also claims a key. In mode "forwarded" every
//! record goes to the node that is preferred for its shard, as nodes do over the mesh; in mode
//! "direct" each node appends its own records, as nodes do that can't reach one another. The
//! simulated service responds in 4 ms and accepts 300 writes and 2,000 reads per second. Runs with
//! the same seed print the same table.
//!
//! With the argument `growth` it prints instead how many bytes are written every 40 s while the
//! number of retained bills grows.

use oatdale_fakes::{KvFaults, KvLimits, MemKv};
use oatdale_journal::{
    BillRecord, Claim, ClaimKey, Closing, JournalHandle, MicroUnits, Millis, Outcome, Preferred,
    RequestId, Settings, ShardId, journal, run,
};
use oatdale_platform::Kv;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

const EPOCH_MS: u64 = 1_800_000_000_000;
const RUN_SECONDS: u64 = 20;

/// Which node appends a record.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Mode {
    Forwarded,
    Direct,
}

/// Results of one run.
#[derive(Default)]
struct RunStats {
    bills: u64,
    claims: u64,
    refused: u64,
    claim_ms: Vec<u64>,
    bill_ms: Vec<u64>,
}

fn main() {
    if std::env::args().any(|arg| arg == "growth") {
        return block_on(growth());
    }
    println!(
        "mode       nodes  req/s  writes/s  reads/s  throttled  refused  claim p50/p99 ms  bill p50/p99 ms"
    );
    for mode in [Mode::Forwarded, Mode::Direct] {
        for nodes in [8, 16, 32, 64] {
            for rate in [100, 1_000, 3_400] {
                block_on(measure(mode, nodes, rate));
            }
        }
    }
}

fn block_on(run: impl Future<Output = ()>) {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    rt.expect("building a runtime without I/O must succeed")
        .block_on(run);
}

/// Prints the bytes that 8 nodes write at 1,000 req/s in mode forwarded, over five minutes.
async fn growth() {
    let kv = MemKv::new(1);
    let start = Instant::now();
    let handles = start_nodes(&kv, Mode::Forwarded, 8, start);
    sleep(Duration::from_secs(3)).await;
    for _ in 0..8 {
        let before = kv.counters();
        let mut bills = 0;
        for _ in 0..2 {
            bills += run_load(&handles, Mode::Forwarded, 1_000, start)
                .await
                .bills;
        }
        let bytes = kv.counters().bytes - before.bytes;
        let writes = kv.counters().writes - before.writes;
        println!(
            "{bills} bills: {writes} writes of {bytes} bytes in total, {} bytes per bill",
            bytes / bills
        );
    }
}

async fn measure(mode: Mode, nodes: usize, rate: u64) {
    let kv = MemKv::new(1);
    kv.set_limits(KvLimits {
        writes: 300.0,
        reads: 2_000.0,
    });
    kv.set_faults(KvFaults {
        slow: Duration::from_millis(4),
        ..KvFaults::default()
    });
    let start = Instant::now();
    let handles = start_nodes(&kv, mode, nodes, start);
    sleep(Duration::from_secs(3)).await;
    let before = kv.counters();
    let stats = run_load(&handles, mode, rate, start).await;
    let after = kv.counters();
    let totals = (stats.bills, stats.claims);
    let reads = after.reads + after.watches - before.reads - before.watches;
    println!(
        "{:<10} {:>5}  {:>5}  {:>8.1}  {:>7.1}  {:>9}  {:>7}  {:>16}  {:>15}",
        format!("{mode:?}").to_lowercase(),
        nodes,
        rate,
        (after.writes - before.writes) as f64 / RUN_SECONDS as f64,
        reads as f64 / RUN_SECONDS as f64,
        after.throttled - before.throttled,
        stats.refused,
        quantiles(stats.claim_ms),
        quantiles(stats.bill_ms),
    );
    if mode == Mode::Forwarded && nodes == 8 {
        print_sizes(&kv, &totals).await;
    }
}

/// Prints the sizes of the stored values after a run without an export.
async fn print_sizes(kv: &MemKv, counts: &(u64, u64)) {
    let stored = kv.list("journal/", None, usize::MAX).await;
    let stored = stored.expect("listing fails only with injected faults");
    let count_and_bytes = |key_part: &str| -> (usize, usize) {
        let values = stored.iter().filter(|entry| entry.key.contains(key_part));
        let sizes = values.map(|entry| entry.value.len());
        sizes.fold((0, 0), |(n, bytes), size| (n + 1, bytes + size))
    };
    let (slots, segment_bytes) = count_and_bytes("/slot/");
    let (pages, page_bytes) = count_and_bytes("/page/");
    println!(
        "           stored: {slots} segments of {} bytes on average, {pages} pages of {page_bytes} bytes \
         in total; {} bills, {} claims",
        segment_bytes / slots.max(1),
        counts.0,
        counts.1
    );
}

fn start_nodes(kv: &MemKv, mode: Mode, nodes: usize, start: Instant) -> Vec<JournalHandle> {
    let clock = Arc::new(move || Millis(EPOCH_MS + start.elapsed().as_millis() as u64));
    let shards = Settings::new(0).meta.shards;
    (0..nodes)
        .map(|n| {
            let is_preferred = |s: &u16| mode == Mode::Forwarded && usize::from(*s) % nodes == n;
            let preferred = Preferred((0..shards).filter(is_preferred).map(ShardId).collect());
            let (_, preferred) = watch::channel(preferred);
            let settings = Settings::new(n as u64 + 1);
            let name = format!("node-{n}");
            let (handle, duty) = journal(kv.client(&name), settings, clock.clone(), preferred);
            tokio::spawn(run(duty));
            handle
        })
        .collect()
}

async fn run_load(handles: &[JournalHandle], mode: Mode, rate: u64, start: Instant) -> RunStats {
    // Seeded with the elapsed time, so that a second call sends other requests than the first.
    let mut rng = Pcg64Mcg::seed_from_u64(start.elapsed().as_secs());
    let load_start = Instant::now();
    let mut tasks = Vec::new();
    for n in 0..rate * RUN_SECONDS {
        sleep_until(load_start + Duration::from_secs_f64(n as f64 / rate as f64)).await;
        let at = Millis(EPOCH_MS + start.elapsed().as_millis() as u64);
        let record = BillRecord::Close(closing(rng.random(), at));
        let local_node = rng.random_range(0..handles.len());
        let shard = handles[local_node]
            .shard_of_bill(&record)
            .unwrap_or(ShardId(0));
        let bill_handle = handles[appender_index(mode, local_node, shard, handles.len())].clone();
        let key = (n % 100 == 0).then(|| ClaimKey(rng.random()));
        let claim_handle = key.map(|key| {
            let shard = handles[local_node]
                .shard_of_claim(key)
                .unwrap_or(ShardId(0));
            handles[appender_index(mode, local_node, shard, handles.len())].clone()
        });
        tasks.push(tokio::spawn(send_request(
            bill_handle,
            record,
            key.zip(claim_handle),
        )));
    }
    let mut stats = RunStats::default();
    for task in tasks {
        let (claim, bill) = task.await.expect("request task must not panic");
        stats.add(claim, bill);
    }
    stats
}

fn appender_index(mode: Mode, local_node: usize, shard: ShardId, nodes: usize) -> usize {
    match mode {
        Mode::Forwarded => usize::from(shard.0) % nodes,
        Mode::Direct => local_node,
    }
}

/// Sends one request: its claim, if it has a key, and its bill. Returns for each the milliseconds
/// until it was durable.
async fn send_request(
    bill_handle: JournalHandle,
    record: BillRecord,
    claim: Option<(ClaimKey, JournalHandle)>,
) -> (Option<Result<u64, ()>>, Result<u64, ()>) {
    let started = Instant::now();
    let claim_result = match claim {
        Some((key, handle)) => {
            let result = handle.claim(key, record.request()).await;
            let won = matches!(result, Ok(Claim::Won { .. }));
            Some(won.then(|| started.elapsed().as_millis() as u64).ok_or(()))
        }
        None => None,
    };
    let started = Instant::now();
    let bill_result = bill_handle.bill(vec![record]).await;
    let elapsed_ms = started.elapsed().as_millis() as u64;
    (
        claim_result,
        bill_result.map(|()| elapsed_ms).map_err(|_| ()),
    )
}

impl RunStats {
    fn add(&mut self, claim: Option<Result<u64, ()>>, bill: Result<u64, ()>) {
        match claim {
            Some(Ok(ms)) => {
                self.claims += 1;
                self.claim_ms.push(ms);
            }
            Some(Err(())) => self.refused += 1,
            None => {}
        }
        match bill {
            Ok(ms) => {
                self.bills += 1;
                self.bill_ms.push(ms);
            }
            Err(()) => self.refused += 1,
        }
    }
}

fn quantiles(mut ms: Vec<u64>) -> String {
    ms.sort_unstable();
    let at = |q: f64| ms.get((ms.len() as f64 * q) as usize).copied();
    match (at(0.5), at(0.99)) {
        (Some(p50), Some(p99)) => format!("{p50}/{p99}"),
        _ => "-".to_owned(),
    }
}

fn closing(request: u128, at: Millis) -> Closing {
    Closing {
        request: RequestId(request),
        customer: "hanoi-cubesat".to_owned(),
        service: "planner".to_owned(),
        version: Some("planner/2026-11".to_owned()),
        input_tokens: 900,
        output_tokens: 400,
        price: MicroUnits(1_234),
        outcome: Outcome::Complete,
        opened_at: at,
        closed_at: at,
    }
}
