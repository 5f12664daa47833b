//! Tests of `Fold`, the deterministic state of one shard.

mod common;

use common::{START_TIME_MS, close_record, key, open_record};
use oatdale_journal::{
    BillState, FinalEntry, Fold, MAX_CLOCK_STEP_MS, Millis, Record, RequestId, Retention,
};

const START_TIME: Millis = Millis(START_TIME_MS);

fn claim(by: u128) -> Record {
    Record::Claim {
        key: key(1),
        by: RequestId(by),
    }
}

fn release(by: u128) -> Record {
    Record::Release {
        key: key(1),
        by: RequestId(by),
    }
}

// A release written by another node can precede its claim in the log. If the claim took effect,
// the caller's retry would be blocked for a day by a request that never ran.
#[test]
fn claim_applied_after_its_release_has_no_effect() {
    let mut fold = Fold::new(Retention::default());
    fold.apply(START_TIME, &[release(1), claim(1), claim(2)]);
    assert_eq!(fold.claim(key(1)).unwrap().by, RequestId(2));
}

#[test]
fn first_closing_of_a_request_becomes_its_bill() {
    let mut fold = Fold::new(Retention::default());
    let records = [
        open_record(1, START_TIME),
        close_record(1, START_TIME, 10),
        close_record(1, START_TIME, 99),
        open_record(1, START_TIME),
    ];
    let entries = fold.apply(START_TIME, &records.map(Record::Bill));
    assert_eq!(
        entries,
        [FinalEntry::Bill(common::closing(1, START_TIME, 10))]
    );
    assert!(!fold.is_open(RequestId(1)));
}

// The key-value service is down for a day. The journal's clock stops during the outage and then
// advances by at most `MAX_CLOCK_STEP_MS` per segment, so bills that nodes held during the outage
// are not treated as late.
#[test]
fn bill_delayed_by_an_outage_is_not_late() {
    let mut fold = Fold::new(Retention::default());
    fold.apply(START_TIME, &[Record::Bill(close_record(1, START_TIME, 1))]);
    let next_day = Millis(START_TIME_MS + 24 * 3_600_000);
    let entries = fold.apply(next_day, &[Record::Bill(close_record(2, START_TIME, 2))]);
    assert_eq!(
        entries,
        [FinalEntry::Bill(common::closing(2, START_TIME, 2))]
    );
    assert_eq!(fold.clock(), Millis(START_TIME_MS + MAX_CLOCK_STEP_MS));
}

// After an outage of an hour, segments are appended at full rate while one bill holder is still
// partitioned. Its bills from before the outage must still be accepted when it reconnects two
// minutes later.
#[test]
fn bill_is_accepted_two_minutes_after_an_outage() {
    let mut fold = Fold::new(Retention::default());
    fold.apply(START_TIME, &[]);
    let outage_end = START_TIME_MS + 3_600_000;
    for segment in 0..1_200 {
        fold.apply(Millis(outage_end + segment * 100), &[]);
    }
    assert_eq!(
        fold.bill_state(&close_record(1, START_TIME, 1)),
        BillState::New
    );
}

#[test]
fn purge_does_not_change_query_results() {
    let mut fold = Fold::new(Retention::default());
    fold.apply(
        START_TIME,
        &[claim(1), Record::Bill(close_record(1, START_TIME, 1))],
    );
    for segment in 1..=2_000 {
        fold.apply(Millis(START_TIME_MS + segment * MAX_CLOCK_STEP_MS), &[]);
    }
    let mut purged = fold.clone();
    purged.purge();
    let duplicate = common::close_record(1, START_TIME, 9);
    assert_ne!(purged, fold);
    assert_eq!(purged.bill_state(&duplicate), fold.bill_state(&duplicate));
    assert_eq!(purged.claim(key(1)), fold.claim(key(1)));
}
