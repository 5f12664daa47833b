//! Exhaustive check of the journal's specification, and of injected faults that the check must
//! detect.

mod common;
mod spec;

use common::{close_record, open_record};
use oatdale_check::{Counterexample, explore};
use oatdale_journal::{Millis, Record, RequestId};
use spec::{Fault, JournalSpec, WRITTEN_AT};

/// Upper bound on the states of one search.
const MAX_STATES: usize = 3_000_000;

fn claim(by: u128) -> Record {
    Record::Claim {
        key: spec::KEY,
        by: RequestId(by),
    }
}

fn close(request: u128, tokens: u64) -> Record {
    Record::Bill(close_record(request, WRITTEN_AT, tokens))
}

fn open(request: u128) -> Record {
    Record::Bill(open_record(request, Millis(WRITTEN_AT.0)))
}

/// Two nodes claim the same key for different requests.
fn claims_spec(fault: Fault) -> JournalSpec {
    JournalSpec {
        fault,
        workload: [vec![claim(1)], vec![claim(2)]],
        can_compact: [true, false],
        second_node_exports: false,
        can_release_claims: true,
        max_crashes: 1,
        max_lost_responses: 2,
        max_segments: 4,
        max_generation: 2,
    }
}

/// A node and a bill holder close the same request with different usage; the bill holder also
/// exports.
fn bills_spec(fault: Fault) -> JournalSpec {
    JournalSpec {
        fault,
        workload: [
            vec![open(1), close(1, 10)],
            vec![close(1, 99), close(2, 20)],
        ],
        can_compact: [true, true],
        second_node_exports: true,
        can_release_claims: false,
        max_crashes: 1,
        max_lost_responses: 1,
        max_segments: 3,
        max_generation: 3,
    }
}

fn find_counterexample(spec: &JournalSpec) -> Counterexample {
    let counterexample =
        explore(spec, MAX_STATES).expect_err("an injected fault must violate the invariant");
    assert!(!counterexample.steps.is_empty(), "{counterexample}");
    println!("{:?}: {counterexample}", spec.fault);
    counterexample
}

/// Faults that [`claims_spec`] must detect.
const CLAIM_FAULTS: [Fault; 5] = [
    Fault::DeleteCompactedSegments,
    Fault::UnconditionalAppend,
    Fault::AssumeStoredWithoutResponse,
    Fault::DispatchAfterRelease,
    Fault::OverwriteUncompactedSegments,
];
/// Faults that [`bills_spec`] must detect.
const BILL_FAULTS: [Fault; 6] = [
    Fault::DeletePagesUnchecked,
    Fault::ReusePageNames,
    Fault::UnconditionalManifest,
    Fault::TruncateUnexported,
    Fault::ForgetBilledRequests,
    Fault::AcknowledgeBeforeStored,
];

#[test]
fn each_claim_fault_has_a_short_counterexample() {
    for fault in CLAIM_FAULTS {
        let steps = find_counterexample(&claims_spec(fault)).steps.len();
        assert!(
            steps <= 24,
            "{fault:?}: counterexample has {steps} steps, expected at most 24"
        );
    }
}

#[test]
fn each_bill_fault_has_a_short_counterexample() {
    for fault in BILL_FAULTS {
        let steps = find_counterexample(&bills_spec(fault)).steps.len();
        assert!(
            steps <= 24,
            "{fault:?}: counterexample has {steps} steps, expected at most 24"
        );
    }
}

#[test]
fn claims_without_fault_keep_the_invariant() {
    let states = explore(&claims_spec(Fault::None), MAX_STATES).unwrap_or_else(|e| panic!("{e}"));
    println!("claims: {states} states");
}

#[test]
fn bills_without_fault_keep_the_invariant() {
    let states = explore(&bills_spec(Fault::None), MAX_STATES).unwrap_or_else(|e| panic!("{e}"));
    println!("bills: {states} states");
}
