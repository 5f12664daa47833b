//! Measures the cost of control traffic per node as the fleet grows.
//!
//! `cargo run --release -p oatdale-mesh --example slopes` prints two tables and some figures.
//! The `core` table runs the state machine alone in simulated time, so all of it but CPU time and
//! memory is reproducible. The `sockets` table runs the mesh task over loopback sockets, with all
//! nodes on one thread; its `full ms` is the first change, sent as a whole document and not as a
//! delta.
//!
//! After `--`, `core`, `sockets` or `rest` prints one part, and a number of nodes after `core` or
//! `sockets` only that row. The memory column needs such a run of its own, because a row reuses
//! memory that the previous one has freed.

#[path = "../tests/support/in_memory.rs"]
mod in_memory;
#[path = "../tests/support/sockets.rs"]
mod sockets;

use bytes::Bytes;
use in_memory::fleet::{Fleet, ms};
use oatdale_mesh::{Command, Event, Input, Intervals, LocalState, VersionCounters, name_hash};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval between configuration changes, at 7,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(12_343);
const WARM_UP: Duration = Duration::from_secs(45);
const MEASURED_SPAN: Duration = Duration::from_secs(124);
const CUSTOMERS: usize = 10;
/// Versions whose evidence is shared at a time: the new one of one rollout and its predecessor.
const ROLLOUT_VERSIONS: usize = 2;

fn main() {
    let section = std::env::args().nth(1);
    let only_hosts = std::env::args()
        .nth(2)
        .and_then(|n| n.parse::<usize>().ok());
    if section.is_none() || section.as_deref() == Some("core") {
        core_table(only_hosts);
    }
    if section.is_none() || section.as_deref() == Some("rest") {
        print_hold_cost();
        print_outage_latencies();
    }
    if section.is_none() || section.as_deref() == Some("sockets") {
        sockets_table(only_hosts);
    }
}

/// A configuration of about 60 KB of which one line differs from change to change.
fn config_text(change_number: u64) -> Bytes {
    let mut text = String::from("endpoints:\n");
    for i in 0..1000 {
        if i == 500 {
            text += &format!("  # change {change_number}\n");
        }
        text += &format!(
            "  - {{name: worker-{i}, address: 10.1.{}.{}:8000}}\n",
            i / 250,
            i % 250
        );
    }
    text.into()
}

fn core_table(only_hosts: Option<usize>) {
    println!(
        "state machine, simulated time, {} s, a change every 12.3 s",
        MEASURED_SPAN.as_secs()
    );
    println!(
        "{:>5} {:>7} {:>6} {:>9} {:>9} {:>9} {:>8} {:>9} {:>8} {:>9} {:>9} {:>9}",
        "nodes",
        "domains",
        "links",
        "sent B/s",
        "max",
        "recv B/s",
        "frames/s",
        "CPU us/s",
        "max",
        "KB/node",
        "median ms",
        "worst ms"
    );
    for (domains, hosts) in [
        (4, 8),
        (3, 9),
        (4, 16),
        (8, 32),
        (8, 64),
        (16, 128),
        (16, 360),
    ] {
        if only_hosts.is_none_or(|n| n == hosts) {
            core_row(domains, hosts);
        }
    }
}

fn core_row(domains: usize, hosts: usize) {
    let before = resident_bytes();
    let mut fleet = Fleet::with_hosts(1, domains, hosts);
    for i in 0..hosts {
        let seeds: Vec<SocketAddr> = fleet
            .seeds()
            .into_iter()
            .step_by(hosts.div_ceil(8))
            .collect();
        fleet.start_with_seeds(i, seeds);
        fleet.run(ms(5));
    }
    apply_load(&mut fleet, WARM_UP);
    assert!(fleet.views_agree(), "{}", fleet.disagreement());
    fleet.measure_processing = true;
    for node in &mut fleet.nodes {
        (node.sent_bytes, node.sent_frames, node.received_bytes) = (0, 0, 0);
        node.processing_time = Duration::ZERO;
    }
    let mut latencies = apply_load(&mut fleet, MEASURED_SPAN);
    latencies.sort_unstable();
    let span = MEASURED_SPAN.as_secs_f64();
    let count = hosts as f64;
    let sum = |f: fn(&in_memory::fleet::SimNode) -> f64| fleet.nodes.iter().map(f).sum::<f64>();
    let max =
        |f: fn(&in_memory::fleet::SimNode) -> f64| fleet.nodes.iter().map(f).fold(0.0, f64::max);
    let links = sum(|n| n.member.as_ref().map_or(0, |m| m.linked_hosts().count()) as f64) / count;
    println!(
        "{hosts:>5} {domains:>7} {links:>6.1} {:>9.0} {:>9.0} {:>9.0} {:>8.1} {:>9.0} {:>8.0} {:>9.0} {:>9} {:>9}",
        sum(|n| n.sent_bytes as f64) / count / span,
        max(|n| n.sent_bytes as f64) / span,
        sum(|n| n.received_bytes as f64) / count / span,
        sum(|n| n.sent_frames as f64) / count / span,
        sum(|n| n.processing_time.as_secs_f64()) * 1e6 / count / span,
        max(|n| n.processing_time.as_secs_f64()) * 1e6 / span,
        (resident_bytes().saturating_sub(before)) as f64 / 1024.0 / count,
        latencies[latencies.len() / 2].as_millis(),
        latencies[latencies.len() - 1].as_millis(),
    );
}

/// Changes load, demand and evidence every second and the configuration every 12.3 s. Returns how
/// long each configuration change took to be in force on every node.
fn apply_load(fleet: &mut Fleet, span: Duration) -> Vec<Duration> {
    let end = fleet.now + span;
    let mut latencies = Vec::new();
    let mut next_change = fleet.now;
    while fleet.now < end {
        for i in 0..fleet.nodes.len() {
            let local = local_state(fleet, i);
            fleet.nodes[i].app.local = local;
            fleet.send_local_state(i);
        }
        let mut remaining = Duration::from_secs(1);
        if fleet.now >= next_change {
            next_change += CHANGE_INTERVAL;
            let revision = fleet.write_config(config_text(fleet.platform.revision));
            let elapsed_time = fleet.run_until(remaining, |f| f.all_at_revision(revision));
            latencies.push(elapsed_time.unwrap_or(Duration::MAX));
            remaining -= elapsed_time.unwrap_or(remaining);
        }
        fleet.run(remaining);
    }
    latencies
}

fn local_state(fleet: &mut Fleet, i: usize) -> LocalState {
    let mut local = fleet.nodes[i].app.local.clone();
    let share = 1.0 / fleet.nodes.len() as f32;
    local.load = fleet.random_below(100) as f32 / 100.0;
    local.demand = (0..CUSTOMERS)
        .map(|c| {
            (
                name_hash(&format!("customer-{c}")),
                share * fleet.random_below(100) as f32 / 50.0,
            )
        })
        .collect();
    local.evidence = (0..ROLLOUT_VERSIONS)
        .map(|v| {
            let previous = local
                .evidence
                .get(v)
                .map_or(vec![0; 5], |e| e.counts.clone());
            let counts = previous
                .into_iter()
                .map(|c| c + fleet.random_below(10))
                .collect();
            VersionCounters {
                version: name_hash(&format!("planner/{v}")),
                counts,
            }
        })
        .collect();
    local
}

/// Prints the traffic that a bill record adds when it is held and released, in a fleet of nine.
fn print_hold_cost() {
    let mut fleet = Fleet::new(1, 3, 3);
    fleet.start_all();
    fleet.run(Duration::from_secs(30));
    let idle_bytes = {
        let before = fleet.stats.bytes;
        fleet.run(Duration::from_secs(30));
        fleet.stats.bytes - before
    };
    let (before, frames) = (fleet.stats.bytes, fleet.stats.frames);
    let count = 300;
    for id in 0..count {
        let record = Bytes::from(vec![7; 120]);
        fleet.deliver_input(0, Input::Hold { id, record });
        fleet.run(ms(80));
        fleet.deliver_input(0, Input::Release(vec![id]));
        fleet.run(ms(20));
    }
    let bytes_per_hold =
        (fleet.stats.bytes - before).saturating_sub(idle_bytes) as f64 / count as f64;
    let frames = fleet.stats.frames - frames;
    println!(
        "\nbill record of 120 bytes, held by two nodes and released: {bytes_per_hold:.0} bytes on all links"
    );
    println!("({frames} frames in 30 s with {count} records, heartbeats included)\n");
}

/// Prints how long a configuration change takes in a fleet of nine when the key-value service is
/// reachable from one node only: right after the other nodes lost it, and 10 s later, once that
/// node watches the key.
fn print_outage_latencies() {
    for (name, settle_time) in [("just now", ms(0)), ("10 s ago", Duration::from_secs(10))] {
        let mut latencies: Vec<Duration> = (0..20)
            .map(|seed| outage_latency(seed, settle_time))
            .collect();
        latencies.sort_unstable();
        println!(
            "9 nodes, service lost by all but one {name}: median {} ms, worst {} ms, 20 seeds",
            latencies[10].as_millis(),
            latencies[19].as_millis()
        );
    }
    println!();
}

fn outage_latency(seed: u64, settle_time: Duration) -> Duration {
    let mut fleet = Fleet::new(seed, 3, 3);
    fleet.start_all();
    fleet.run(Duration::from_secs(10));
    fleet.write_config(config_text(0));
    fleet.run(Duration::from_secs(5));
    let reachable_node = fleet.random_below(9) as usize;
    fleet.set_service_reachable(|i| i == reachable_node);
    fleet.run(settle_time);
    let revision = fleet.write_config(config_text(1));
    fleet
        .run_until(Duration::from_secs(60), |f| f.all_at_revision(revision))
        .unwrap_or(Duration::MAX)
}

fn sockets_table(only_hosts: Option<usize>) {
    println!("mesh task over loopback sockets, all nodes on one thread, 30 s");
    println!(
        "{:>5} {:>7} {:>13} {:>9} {:>9} {:>9} {:>9}",
        "nodes", "domains", "CPU us/s/node", "KB/node", "median ms", "worst ms", "full ms"
    );
    for (domains, hosts) in [(4, 8), (3, 9), (4, 16), (8, 32), (8, 64)] {
        if only_hosts.is_some_and(|n| n != hosts) {
            continue;
        }
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime
            .expect("a Tokio runtime can be built")
            .block_on(sockets_row(domains, hosts));
    }
}

async fn sockets_row(domains: usize, hosts: usize) {
    let before = resident_bytes();
    let mut nodes: Vec<sockets::Node> = Vec::new();
    for i in 0..hosts {
        let seeds: Vec<SocketAddr> = nodes.iter().take(3).map(|n| n.address).collect();
        let mut cfg = sockets::mesh_config(
            &format!("host-{i}"),
            &format!("hall-{}", i % domains),
            &seeds,
        );
        cfg.intervals = Intervals::default();
        nodes.push(sockets::start_with_config(cfg));
    }
    drain_events(&mut nodes, Duration::from_secs(10)).await;
    let memory_bytes = resident_bytes().saturating_sub(before);
    let mut latencies = Vec::new();
    let full_document_time = propagate_change(&mut nodes, 1).await;
    drain_events(&mut nodes, Duration::from_secs(5)).await;
    let (start, cpu) = (Instant::now(), processor_time());
    for revision in 2..=8 {
        latencies.push(propagate_change(&mut nodes, revision).await);
        drain_events(&mut nodes, Duration::from_secs(4)).await;
    }
    let cpu_fraction = (processor_time() - cpu).as_secs_f64() / start.elapsed().as_secs_f64();
    latencies.sort_unstable();
    println!(
        "{hosts:>5} {domains:>7} {:>13.0} {:>9.0} {:>9} {:>9} {:>9}",
        cpu_fraction * 1e6 / hosts as f64,
        memory_bytes as f64 / 1024.0 / hosts as f64,
        latencies[latencies.len() / 2].as_millis(),
        latencies[latencies.len() - 1].as_millis(),
        full_document_time.as_millis(),
    );
}

/// Gives a new revision to one node and returns how long it took until every node has it.
async fn propagate_change(nodes: &mut [sockets::Node], revision: u64) -> Duration {
    let start = Instant::now();
    let document = config_text(revision);
    let adopted = Command::ConfigInForce { revision, document };
    nodes[0]
        .tx
        .send(adopted)
        .await
        .expect("the mesh task is running");
    for node in &mut nodes[1..] {
        let document = node.wait_for_document(revision).await;
        let adopted = Command::ConfigInForce { revision, document };
        node.tx
            .send(adopted)
            .await
            .expect("the mesh task is running");
    }
    start.elapsed()
}

/// Discards events for `span`, so that the channels don't fill up.
async fn drain_events(nodes: &mut [sockets::Node], span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(100)).await;
        for node in nodes.iter_mut() {
            while let Ok(event) = node.rx.try_recv() {
                debug_assert!(!matches!(event, Event::Superseded { .. }));
            }
        }
    }
}

/// Resident memory of this process in bytes, with pages of 4 KiB.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or(0) * 4096
}

/// CPU time of this process, which the kernel reports in hundredths of a second.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|t| t.parse::<u64>().ok());
    Duration::from_millis(ticks.sum::<u64>() * 10)
}
