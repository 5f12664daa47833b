//! What records add up to.

mod common;

use common::{EPOCH, bill, key, opening};
use oatdale_journal::{BillState, Entry, Fold, MAX_TICK, Millis, Record, RequestId, Retention};

const AT: Millis = Millis(EPOCH);

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

// A release overtakes the claim that it gives back, since another node wrote it. If the claim
// stood, the caller's next try would wait a day for a request that never ran.
#[test]
fn a_claim_after_its_release_is_void() {
    let mut fold = Fold::new(Retention::default());
    fold.apply(AT, &[release(1), claim(1), claim(2)]);
    assert_eq!(fold.claim(key(1)).unwrap().by, RequestId(2));
}

#[test]
fn the_first_closing_is_the_bill() {
    let mut fold = Fold::new(Retention::default());
    let records = [
        opening(1, AT),
        bill(1, AT, 10),
        bill(1, AT, 99),
        opening(1, AT),
    ];
    let entries = fold.apply(AT, &records.map(Record::Bill));
    assert_eq!(entries, [Entry::Bill(common::closing(1, AT, 10))]);
    assert!(!fold.is_open(RequestId(1)));
}

// The service is down for a day. The journal's clock stands still meanwhile and catches up slowly,
// so bills that nodes kept through the outage are not taken for late ones.
#[test]
fn an_outage_makes_nothing_late() {
    let mut fold = Fold::new(Retention::default());
    fold.apply(AT, &[Record::Bill(bill(1, AT, 1))]);
    let day = Millis(EPOCH + 24 * 3_600_000);
    let entries = fold.apply(day, &[Record::Bill(bill(2, AT, 2))]);
    assert_eq!(entries, [Entry::Bill(common::closing(2, AT, 2))]);
    assert_eq!(fold.clock(), Millis(EPOCH + MAX_TICK));
}

// After an outage of an hour the shard is written at full pace while one holder is still cut off.
// Its bills from the time before must not be late as soon as that holder is back two minutes on.
#[test]
fn a_holder_has_minutes_after_an_outage() {
    let mut fold = Fold::new(Retention::default());
    fold.apply(AT, &[]);
    let end = EPOCH + 3_600_000;
    for segment in 0..1_200 {
        fold.apply(Millis(end + segment * 100), &[]);
    }
    assert_eq!(fold.bill_state(&bill(1, AT, 1)), BillState::New);
}

#[test]
fn purging_changes_no_answer() {
    let mut fold = Fold::new(Retention::default());
    fold.apply(AT, &[claim(1), Record::Bill(bill(1, AT, 1))]);
    for tick in 1..=2_000 {
        fold.apply(Millis(EPOCH + tick * MAX_TICK), &[]);
    }
    let mut purged = fold.clone();
    purged.purge();
    let again = common::bill(1, AT, 9);
    assert_ne!(purged, fold);
    assert_eq!(purged.bill_state(&again), fold.bill_state(&again));
    assert_eq!(purged.claim(key(1)), fold.claim(key(1)));
}
