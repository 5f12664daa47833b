//! Concurrent claims, pins and bills under node kills, pauses, partitions, lost responses and
//! outages of the key-value service.
//!
//! `OATDALE_SEEDS=1000..1200 cargo test --release -p oatdale-journal --test history -- --nocapture`
//! runs more seeds than the default, which CI uses.

mod common;
mod run;

use run::Report;
use std::ops::Range;

/// Seeds that run by default, besides [`REGRESSION_SEEDS`].
const DEFAULT_SEEDS: Range<u64> = 1..13;
/// Seeds that have exposed a bug.
///
/// - 1062: a compactor two manifests behind deleted a page of bills that was still listed.
/// - 1236: two consecutive exports gave the same name to pages with different bills.
const REGRESSION_SEEDS: [u64; 2] = [1062, 1236];

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("OATDALE_SEEDS") else {
        return DEFAULT_SEEDS.chain(REGRESSION_SEEDS).collect();
    };
    let (from, to) = text
        .split_once("..")
        .expect("OATDALE_SEEDS is a range such as 1000..1200");
    let (from, to): (u64, u64) = (
        from.parse().expect("start of OATDALE_SEEDS is a number"),
        to.parse().expect("end of OATDALE_SEEDS is a number"),
    );
    (from..to).collect()
}

fn add_report(total: &mut Report, other: &Report) {
    total.operations += other.operations;
    total.bills += other.bills;
    total.errors += other.errors;
    total.faults += other.faults;
    total.lost_responses += other.lost_responses;
    total.kills += other.kills;
    total.pauses += other.pauses;
    total.partitions += other.partitions;
    total.outages += other.outages;
    total.in_flight_at_faults += other.in_flight_at_faults;
}

// Nodes are killed, paused and partitioned, the key-value service fails, and responses are lost
// while callers claim, pin and bill. Guards against a request that runs twice, a session whose
// version changes, and a bill that is missing, duplicated or different in a second export.
#[test]
fn histories_with_faults_keep_all_guarantees() {
    let mut total = Report::default();
    for seed in seeds() {
        let report = run::run_seed(seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        println!("seed {seed}: {report:?}");
        assert!(report.operations > 0 && report.bills > 0, "seed {seed}");
        assert!(report.faults > 0, "seed {seed} injected no fault");
        assert!(
            report.in_flight_at_faults > 0,
            "seed {seed} had no request in flight when a fault was injected"
        );
        add_report(&mut total, &report);
    }
    println!("{} seeds: {total:?}", seeds().len());
    let fault_counts = [total.kills, total.pauses, total.partitions, total.outages];
    assert!(fault_counts.iter().all(|n| *n > 0), "{total:?}");
    assert!(total.lost_responses > 0, "{total:?}");
}
