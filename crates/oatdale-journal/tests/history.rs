//! Claims, pins and bills in concurrent runs with kills, pauses, cuts, lost answers and outages.
//!
//! `OATDALE_SEEDS=1000..1200 cargo test --release -p oatdale-journal --test history -- --nocapture`
//! runs more seeds than CI does.

mod common;
mod run;

use run::Report;
use std::ops::Range;

/// The seeds of CI: some, and each that ever showed a fault.
const DEFAULT_SEEDS: Range<u64> = 1..13;
const REGRESSION_SEEDS: [u64; 2] = [
    // A compactor that was two manifests behind deleted a page of bills that was listed.
    1062, // Two exports in a row gave pages of different bills the same name.
    1236,
];

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("OATDALE_SEEDS") else {
        return DEFAULT_SEEDS.chain(REGRESSION_SEEDS).collect();
    };
    let (from, to) = text.split_once("..").expect("a range such as 1000..1200");
    let (from, to): (u64, u64) = (
        from.parse().expect("a number"),
        to.parse().expect("a number"),
    );
    (from..to).collect()
}

fn add_report(total: &mut Report, other: &Report) {
    total.operations += other.operations;
    total.bills += other.bills;
    total.errors += other.errors;
    total.faults += other.faults;
    total.lost_answers += other.lost_answers;
    total.kills += other.kills;
    total.pauses += other.pauses;
    total.partitions += other.partitions;
    total.outages += other.outages;
    total.in_flight_at_faults += other.in_flight_at_faults;
}

// Nodes are killed, held and cut off, the service goes down, and answers are lost, all while
// callers claim, pin and bill. If anything went wrong a user would see a request that ran twice, a
// session that changed its version, or a bill that is missing, doubled or different on a second
// export.
#[test]
fn histories_with_faults_keep_all_guarantees() {
    let mut total = Report::default();
    for seed in seeds() {
        let report = run::run_seed(seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        println!("seed {seed}: {report:?}");
        assert!(report.operations > 0 && report.bills > 0, "seed {seed}");
        assert!(report.faults > 0, "seed {seed} met no fault");
        assert!(
            report.in_flight_at_faults > 0,
            "seed {seed} had nothing under way"
        );
        add_report(&mut total, &report);
    }
    println!("{} seeds: {total:?}", seeds().len());
    let fault_counts = [total.kills, total.pauses, total.partitions, total.outages];
    assert!(fault_counts.iter().all(|n| *n > 0), "{total:?}");
    assert!(total.lost_answers > 0, "{total:?}");
}
