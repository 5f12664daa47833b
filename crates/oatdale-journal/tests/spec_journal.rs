//! The journal's specification, explored exhaustively, and the breaks that it must find.

mod common;
mod spec;

use common::{bill, opening};
use oatdale_check::{Counterexample, explore};
use oatdale_journal::{Millis, Record, RequestId};
use spec::{AT, Break, Journal};

/// More states than any of these searches may visit.
const MAX_STATES: usize = 3_000_000;

fn claim(by: u128) -> Record {
    Record::Claim {
        key: spec::KEY,
        by: RequestId(by),
    }
}

fn close(request: u128, tokens: u64) -> Record {
    Record::Bill(bill(request, AT, tokens))
}

fn open(request: u128) -> Record {
    Record::Bill(opening(request, Millis(AT.0)))
}

/// Two nodes claim one key, each for a request of its own.
fn claims(broken: Break) -> Journal {
    Journal {
        broken,
        jobs: [vec![claim(1)], vec![claim(2)]],
        compacts: [true, false],
        exports: false,
        gives_up: true,
        crashes: 1,
        lost: 2,
        segments: 4,
        generations: 2,
    }
}

/// A node and a holder close one request differently, while the holder also exports.
fn bills(broken: Break) -> Journal {
    Journal {
        broken,
        jobs: [
            vec![open(1), close(1, 10)],
            vec![close(1, 99), close(2, 20)],
        ],
        compacts: [true, true],
        exports: true,
        gives_up: false,
        crashes: 1,
        lost: 1,
        segments: 3,
        generations: 3,
    }
}

fn found(spec: &Journal) -> Counterexample {
    let found = explore(spec, MAX_STATES).expect_err("the break must be found");
    assert!(!found.steps.is_empty(), "{found}");
    println!("{:?}: {found}", spec.broken);
    found
}

/// The breaks that two claims show, and those that bills show.
const CLAIM_BREAKS: [Break; 5] = [
    Break::DeletedSegments,
    Break::BlindAppend,
    Break::TrustLostAnswer,
    Break::DispatchAfterGivingUp,
    Break::RingOverrun,
];
const BILL_BREAKS: [Break; 6] = [
    Break::DeleteOwnPages,
    Break::ReusedPageNames,
    Break::BlindManifest,
    Break::TruncateAll,
    Break::ForgetSettled,
    Break::AckWhenSent,
];

#[test]
fn each_break_of_claims_is_found() {
    for broken in CLAIM_BREAKS {
        let steps = found(&claims(broken)).steps.len();
        assert!(steps <= 24, "{broken:?} takes {steps} steps");
    }
}

#[test]
fn each_break_of_bills_is_found() {
    for broken in BILL_BREAKS {
        let steps = found(&bills(broken)).steps.len();
        assert!(steps <= 24, "{broken:?} takes {steps} steps");
    }
}

#[test]
fn claims_hold() {
    let states = explore(&claims(Break::None), MAX_STATES).unwrap_or_else(|e| panic!("{e}"));
    println!("claims: {states} states");
}

#[test]
fn bills_hold() {
    let states = explore(&bills(Break::None), MAX_STATES).unwrap_or_else(|e| panic!("{e}"));
    println!("bills: {states} states");
}
