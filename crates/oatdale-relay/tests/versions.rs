//! Which records are valid after the key-value service was restored from an older backup.

use bytes::Bytes;
use oatdale_relay::{Keep, Record, Revision, Versions};
use std::time::Duration;

const OLD: u64 = 1;
const NEW: u64 = 2;

fn keep(key: &str) -> Keep {
    match key.split('/').next() {
        Some("leased") => Keep::WhileLeased,
        Some("ours") => Keep::Never,
        _ => Keep::UntilWritten,
    }
}

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn written(key: &str, era: u64, number: u64, value: &str) -> Record {
    Record {
        key: key.to_owned(),
        value: Some(Bytes::copy_from_slice(value.as_bytes())),
        revision: Revision::new(era, number),
    }
}

fn deleted(key: &str, era: u64, number: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: None,
        revision: Revision::new(era, number),
    }
}

/// Versions after a read of all records in the old era, followed by some changes.
fn read(all: Vec<Record>, changes: &[Record]) -> Versions {
    let mut versions = Versions::new(keep);
    versions.take_all(secs(0), Revision::new(OLD, 10), all);
    versions.take_changes(secs(0), Revision::new(OLD, 20), changes);
    versions
}

/// Returns the values that are valid at `now` if the service shows these records at a revision of
/// the new era.
fn counting(versions: &mut Versions, now: Duration, all: Vec<Record>) -> Vec<(String, String)> {
    let all = versions.take_all(now, Revision::new(NEW, 12), all);
    all.into_iter()
        .map(|r| {
            (
                r.key,
                String::from_utf8_lossy(&r.value.unwrap_or_default()).into_owned(),
            )
        })
        .collect()
}

fn pair(key: &str, value: &str) -> (String, String) {
    (key.to_owned(), value.to_owned())
}

// Guards against a superseded value becoming valid again, and against a new write of the same value
// being taken for the one from the backup.
#[test]
fn an_older_version_does_not_count_until_the_key_is_written_again() {
    let old = written("op", OLD, 5, "old");
    let mut versions = read(vec![old], &[written("op", OLD, 15, "new")]);
    let copy = vec![written("op", NEW, 5, "old")];
    assert_eq!(
        counting(&mut versions, secs(1), copy.clone()),
        [pair("op", "new")]
    );
    assert_eq!(
        counting(&mut versions, secs(3_600), copy),
        [pair("op", "new")]
    );
    let again = vec![written("op", NEW, 11, "old")];
    assert_eq!(
        counting(&mut versions, secs(3_601), again),
        [pair("op", "old")]
    );
    let known = versions.known(secs(3_601));
    assert!(known.iter().all(|versions| versions.kept.is_none()));
}

// Guards against an unchanged record being taken for a new one because it is read in a later era.
#[test]
fn the_newest_version_keeps_its_place() {
    let mut versions = read(vec![written("op", OLD, 5, "same")], &[]);
    let all = vec![written("op", NEW, 5, "same")];
    let all = versions.take_all(secs(1), Revision::new(NEW, 12), all);
    assert_eq!(all, [written("op", OLD, 5, "same")]);
}

// Guards against running endpoints being dropped because the backup lacks them, and against dead
// ones staying for ever.
#[test]
fn a_missing_record_under_a_lease_counts_for_two_seconds() {
    let mut versions = read(Vec::new(), &[written("leased/a", OLD, 15, "a")]);
    assert_eq!(
        counting(&mut versions, secs(100), Vec::new()),
        [pair("leased/a", "a")]
    );
    assert!(versions.recheck_at().is_some_and(|at| at <= secs(102)));
    assert_eq!(counting(&mut versions, secs(102), Vec::new()), []);
    assert_eq!(versions.recheck_at(), None);
    let again = vec![written("leased/a", NEW, 13, "a")];
    assert_eq!(
        counting(&mut versions, secs(103), again),
        [pair("leased/a", "a")]
    );
}

// Guards against an ended endpoint being used because the backup has it, and against a running one
// being left out.
#[test]
fn a_record_that_was_deleted_counts_only_if_it_stays() {
    let there = written("leased/a", OLD, 5, "a");
    let mut versions = read(vec![there], &[deleted("leased/a", OLD, 15)]);
    let copy = vec![written("leased/a", NEW, 5, "a")];
    assert_eq!(counting(&mut versions, secs(100), copy.clone()), []);
    assert_eq!(counting(&mut versions, secs(105), copy.clone()), []);
    assert_eq!(versions.recheck_at(), Some(secs(110)));
    assert_eq!(
        counting(&mut versions, secs(111), copy),
        [pair("leased/a", "a")]
    );
}

// Guards against nodes that do not notice the loss of their own record.
#[test]
fn records_that_nodes_write_again_are_as_the_service_has_them() {
    let old = written("ours/a", OLD, 5, "old");
    let mut versions = read(
        vec![old],
        &[
            written("ours/a", OLD, 15, "new"),
            written("ours/b", OLD, 16, "b"),
        ],
    );
    let copy = vec![written("ours/a", NEW, 5, "old")];
    assert_eq!(
        counting(&mut versions, secs(1), copy),
        [pair("ours/a", "old")]
    );
}

// Guards against ordinary reads being taken for a restore: a value may be written again, and a read
// may show a state that was read before.
#[test]
fn in_one_era_everything_counts_as_it_is_read() {
    let old = written("op", OLD, 5, "a");
    let mut versions = read(
        vec![old],
        &[written("op", OLD, 15, "b"), deleted("leased/x", OLD, 16)],
    );
    let all = vec![
        written("op", OLD, 21, "a"),
        written("leased/x", OLD, 22, "x"),
    ];
    let all = versions.take_all(secs(5), Revision::new(OLD, 22), all);
    assert_eq!(all.len(), 2);
    let all = versions.take_all(secs(6), Revision::new(OLD, 23), Vec::new());
    assert!(all.is_empty());
}

// Guards against a node that starts after a restore and accepts the backup's records although
// another node has later ones.
#[test]
fn a_node_that_starts_takes_over_what_another_one_keeps() {
    let old = written("op", OLD, 5, "old");
    let mut versions = read(
        vec![old],
        &[
            written("op", OLD, 15, "new"),
            written("leased/a", OLD, 16, "a"),
        ],
    );
    let copy = vec![
        written("op", NEW, 5, "old"),
        written("leased/b", NEW, 7, "b"),
    ];
    counting(&mut versions, secs(100), copy.clone());
    let mut started = Versions::new(keep);
    started.learn(secs(0), versions.known(secs(100)));
    let mut count = counting(&mut started, secs(0), copy);
    count.sort();
    assert_eq!(
        count,
        [
            pair("leased/a", "a"),
            pair("leased/b", "b"),
            pair("op", "new")
        ]
    );
}

// Guards against a node that started after the backup was made and takes its records for new ones,
// because it never read the superseded versions.
#[test]
fn a_node_that_starts_learns_what_was_overtaken_before() {
    let old = written("op", OLD, 5, "old");
    let versions = read(vec![old], &[written("op", OLD, 15, "new")]);
    let mut started = Versions::new(keep);
    started.learn(secs(0), versions.known(secs(1)));
    let new = vec![written("op", OLD, 15, "new")];
    started.take_all(secs(0), Revision::new(OLD, 20), new);
    let copy = vec![written("op", NEW, 5, "old")];
    assert_eq!(counting(&mut started, secs(5), copy), [pair("op", "new")]);
}

// Guards against the second of two restores in quick succession not being detected.
#[test]
fn each_restore_begins_anew() {
    let mut versions = read(Vec::new(), &[written("leased/a", OLD, 15, "a")]);
    assert_eq!(counting(&mut versions, secs(100), Vec::new()).len(), 1);
    let again = versions.take_all(secs(101), Revision::new(NEW + 1, 12), Vec::new());
    assert_eq!(again.len(), 1);
    let again = versions.take_all(secs(102), Revision::new(NEW + 1, 12), Vec::new());
    assert_eq!(again.len(), 1);
    let again = versions.take_all(secs(103), Revision::new(NEW + 1, 12), Vec::new());
    assert!(again.is_empty());
}

// Guards against a follower that reverts to a record kept by a reader that had read less before the
// restore.
#[test]
fn what_stands_before_the_newest_version_does_not_count() {
    let mut versions = read(Vec::new(), &[written("op", OLD, 15, "new")]);
    let kept_by_another = vec![written("op", OLD, 5, "old")];
    assert_eq!(
        counting(&mut versions, secs(1), kept_by_another),
        [pair("op", "new")]
    );
}
