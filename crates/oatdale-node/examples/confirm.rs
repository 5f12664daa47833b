//! Measures confirmations with an `Idempotency-Key` through three nodes: how long each takes, and
//! how often the nodes call the key-value service meanwhile.
//!
//! `cargo run -p oatdale-node --example confirm`
//!
//! The nodes, the desk and the key-value service run in this process. Most of the time is waited
//! for the journal's pace, so a build without optimisation shows much the same.

#[path = "../tests/support/site.rs"]
mod site;

use futures::future::join_all;
use hdrhistogram::Histogram;
use site::{Site, until};
use std::time::{Duration, Instant};
use tokio::runtime::Builder;

const NODES: usize = 3;
const RATES: [u32; 3] = [2, 20, 100];
const LENGTH: Duration = Duration::from_secs(15);

fn main() {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let site = Site::start(NODES).await;
        for node in 0..NODES {
            acquainted(&site, node).await;
        }
        println!("req/s  p50 ms  p99 ms  failed  writes/s  reads/s  throttled");
        // The first load only settles the journal.
        load(&site, 0, 20, Duration::from_secs(3)).await;
        for (n, rate) in RATES.into_iter().enumerate() {
            let line = load(&site, n + 1, rate, LENGTH).await;
            println!("{rate:5}  {line}");
        }
    });
}

async fn acquainted(site: &Site, node: usize) {
    let admin = site.nodes[node].addresses().admin;
    until("the node knows the others", async || {
        let status = site.get(admin, "/v1/status", &[]).await.json();
        let peers = status["peers"].as_array().map_or(0, |peers| {
            peers.iter().filter(|p| p["state"] == "serving").count()
        });
        peers == NODES - 1
    })
    .await;
}

/// Sends `rate` confirmations a second, evenly, whatever becomes of those before.
async fn load(site: &Site, run: usize, rate: u32, length: Duration) -> String {
    let before = site.stand_ins.kv().counters();
    let count = (length.as_secs_f64() * f64::from(rate)) as u32;
    let all = (0..count).map(|n| async move {
        tokio::time::sleep(Duration::from_secs(1) * n / rate).await;
        confirm(site, n as usize % NODES, &format!("{run}-{n}")).await
    });
    let results = join_all(all).await;
    let after = site.stand_ins.kv().counters();
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    for took in results.iter().flatten() {
        times.record(*took).expect("in range");
    }
    let each = |a: u64, b: u64| (b - a) as f64 / length.as_secs_f64();
    format!(
        "{:6}  {:6}  {:6}  {:8.1}  {:7.1}  {:9}",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        results.iter().filter(|took| took.is_none()).count(),
        each(before.writes, after.writes),
        each(before.reads, after.reads),
        after.throttled - before.throttled
    )
}

/// Milliseconds that a confirmation took, if it succeeded.
async fn confirm(site: &Site, node: usize, name: &str) -> Option<u64> {
    let path = format!("/slots/{name}/confirm");
    let began = Instant::now();
    let headers = [("idempotency-key", name)];
    let got = site.desk(node, "POST", &path, &headers).await;
    let took = u64::try_from(began.elapsed().as_millis()).ok()?;
    got.status.is_success().then_some(took)
}
