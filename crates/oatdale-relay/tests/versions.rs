//! Which records are valid after the key-value service was restored from an older backup.

use bytes::Bytes;
use oatdale_relay::{Record, RetentionPolicy, Revision, VersionTracker};
use std::time::Duration;

const ERA1: u64 = 1;
const ERA2: u64 = 2;

fn policy(key: &str) -> RetentionPolicy {
    match key.split('/').next() {
        Some("leased") => RetentionPolicy::WhileLeased,
        Some("node") => RetentionPolicy::Never,
        _ => RetentionPolicy::UntilWritten,
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
fn read_versions(all: Vec<Record>, changes: &[Record]) -> VersionTracker {
    let mut versions = VersionTracker::new(policy);
    versions.apply_snapshot(secs(0), Revision::new(ERA1, 10), all);
    versions.apply_changes(secs(0), Revision::new(ERA1, 20), changes);
    versions
}

/// Returns the values that are valid at `now` if the service shows these records at a revision of
/// the new era.
fn valid_values(
    versions: &mut VersionTracker,
    now: Duration,
    all: Vec<Record>,
) -> Vec<(String, String)> {
    let all = versions.apply_snapshot(now, Revision::new(ERA2, 12), all);
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
fn a_superseded_version_is_ignored_until_it_is_written_again() {
    let old = written("op", ERA1, 5, "old");
    let mut versions = read_versions(vec![old], &[written("op", ERA1, 15, "new")]);
    let backup = vec![written("op", ERA2, 5, "old")];
    assert_eq!(
        valid_values(&mut versions, secs(1), backup.clone()),
        [pair("op", "new")]
    );
    assert_eq!(
        valid_values(&mut versions, secs(3_600), backup),
        [pair("op", "new")]
    );
    let rewritten = vec![written("op", ERA2, 11, "old")];
    assert_eq!(
        valid_values(&mut versions, secs(3_601), rewritten),
        [pair("op", "old")]
    );
    let known = versions.export(secs(3_601));
    assert!(known.iter().all(|versions| versions.kept.is_none()));
}

// Guards against an unchanged record being taken for a new one because it is read in a later era.
#[test]
fn an_unchanged_record_keeps_its_revision_after_a_restore() {
    let mut versions = read_versions(vec![written("op", ERA1, 5, "same")], &[]);
    let all = vec![written("op", ERA2, 5, "same")];
    let all = versions.apply_snapshot(secs(1), Revision::new(ERA2, 12), all);
    assert_eq!(all, [written("op", ERA1, 5, "same")]);
}

// Guards against running endpoints being dropped because the backup lacks them, and against ended
// ones staying for ever.
#[test]
fn a_missing_leased_record_is_kept_for_two_seconds() {
    let mut versions = read_versions(Vec::new(), &[written("leased/a", ERA1, 15, "a")]);
    assert_eq!(
        valid_values(&mut versions, secs(100), Vec::new()),
        [pair("leased/a", "a")]
    );
    assert!(versions.recheck_at().is_some_and(|at| at <= secs(102)));
    assert_eq!(valid_values(&mut versions, secs(102), Vec::new()), []);
    assert_eq!(versions.recheck_at(), None);
    let rewritten = vec![written("leased/a", ERA2, 13, "a")];
    assert_eq!(
        valid_values(&mut versions, secs(103), rewritten),
        [pair("leased/a", "a")]
    );
}

// Guards against an ended endpoint being used because the backup has it, and against a running one
// being dropped.
#[test]
fn a_deleted_record_that_reappears_is_accepted_only_if_it_stays() {
    let existing = written("leased/a", ERA1, 5, "a");
    let mut versions = read_versions(vec![existing], &[deleted("leased/a", ERA1, 15)]);
    let backup = vec![written("leased/a", ERA2, 5, "a")];
    assert_eq!(valid_values(&mut versions, secs(100), backup.clone()), []);
    assert_eq!(valid_values(&mut versions, secs(105), backup.clone()), []);
    assert_eq!(versions.recheck_at(), Some(secs(110)));
    assert_eq!(
        valid_values(&mut versions, secs(111), backup),
        [pair("leased/a", "a")]
    );
}

// Guards against nodes that do not notice the loss of their own record.
#[test]
fn records_that_nodes_rewrite_are_accepted_as_the_service_has_them() {
    let old = written("node/a", ERA1, 5, "old");
    let mut versions = read_versions(
        vec![old],
        &[
            written("node/a", ERA1, 15, "new"),
            written("node/b", ERA1, 16, "b"),
        ],
    );
    let backup = vec![written("node/a", ERA2, 5, "old")];
    assert_eq!(
        valid_values(&mut versions, secs(1), backup),
        [pair("node/a", "old")]
    );
}

// Guards against ordinary reads being taken for a restore: a value may be written again, and a read
// may show a state that was read before.
#[test]
fn records_within_one_era_are_accepted_as_read() {
    let old = written("op", ERA1, 5, "a");
    let mut versions = read_versions(
        vec![old],
        &[written("op", ERA1, 15, "b"), deleted("leased/x", ERA1, 16)],
    );
    let all = vec![
        written("op", ERA1, 21, "a"),
        written("leased/x", ERA1, 22, "x"),
    ];
    let all = versions.apply_snapshot(secs(5), Revision::new(ERA1, 22), all);
    assert_eq!(all.len(), 2);
    let all = versions.apply_snapshot(secs(6), Revision::new(ERA1, 23), Vec::new());
    assert!(all.is_empty());
}

// Guards against a node that starts after a restore and accepts the backup's records although
// another node has later ones.
#[test]
fn a_starting_node_adopts_the_records_that_another_node_keeps() {
    let old = written("op", ERA1, 5, "old");
    let mut versions = read_versions(
        vec![old],
        &[
            written("op", ERA1, 15, "new"),
            written("leased/a", ERA1, 16, "a"),
        ],
    );
    let backup = vec![
        written("op", ERA2, 5, "old"),
        written("leased/b", ERA2, 7, "b"),
    ];
    valid_values(&mut versions, secs(100), backup.clone());
    let mut started = VersionTracker::new(policy);
    started.import(secs(0), versions.export(secs(100)));
    let mut valid = valid_values(&mut started, secs(0), backup);
    valid.sort();
    assert_eq!(
        valid,
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
fn a_starting_node_learns_superseded_versions_from_another_node() {
    let old = written("op", ERA1, 5, "old");
    let versions = read_versions(vec![old], &[written("op", ERA1, 15, "new")]);
    let mut started = VersionTracker::new(policy);
    started.import(secs(0), versions.export(secs(1)));
    let new = vec![written("op", ERA1, 15, "new")];
    started.apply_snapshot(secs(0), Revision::new(ERA1, 20), new);
    let backup = vec![written("op", ERA2, 5, "old")];
    assert_eq!(
        valid_values(&mut started, secs(5), backup),
        [pair("op", "new")]
    );
}

// Guards against the second of two restores in quick succession not being detected.
#[test]
fn each_restore_restarts_the_retention() {
    let mut versions = read_versions(Vec::new(), &[written("leased/a", ERA1, 15, "a")]);
    assert_eq!(valid_values(&mut versions, secs(100), Vec::new()).len(), 1);
    let all_kept = versions.apply_snapshot(secs(101), Revision::new(ERA2 + 1, 12), Vec::new());
    assert_eq!(all_kept.len(), 1);
    let all_kept = versions.apply_snapshot(secs(102), Revision::new(ERA2 + 1, 12), Vec::new());
    assert_eq!(all_kept.len(), 1);
    let all_kept = versions.apply_snapshot(secs(103), Revision::new(ERA2 + 1, 12), Vec::new());
    assert!(all_kept.is_empty());
}

// Guards against a follower that reverts to a record kept by a reader that had read less before the
// restore.
#[test]
fn a_version_older_than_the_newest_is_ignored() {
    let mut versions = read_versions(Vec::new(), &[written("op", ERA1, 15, "new")]);
    let kept_by_another = vec![written("op", ERA1, 5, "old")];
    assert_eq!(
        valid_values(&mut versions, secs(1), kept_by_another),
        [pair("op", "new")]
    );
}

// A node passes the versions that it knows on after each change. If it looked at all records for
// that, each change would cost a large site's node a walk over thousands of endpoints.
#[test]
fn export_looks_only_at_keys_that_have_changed() {
    for count in [200, 2_000] {
        let endpoint = |n: u64| written(&format!("leased/{n}"), ERA1, n, "ready");
        let mut versions = read_versions((0..count).map(endpoint).collect(), &[]);
        assert_eq!(versions.changed_keys(), 0, "{count} endpoints");
        let change = written("leased/7", ERA1, count + 30, "draining");
        let end = deleted("leased/8", ERA1, count + 31);
        let revision = Revision::new(ERA1, count + 31);
        versions.apply_changes(secs(1), revision, &[change, end]);
        assert_eq!(
            (versions.changed_keys(), versions.export(secs(1)).len()),
            (2, 2)
        );
    }
}

// Endpoints are replaced all day, and a follower may never read all records again. What it remembers
// of those that are gone must not grow.
#[test]
fn versions_expire_while_only_changes_are_read() {
    let mut versions = read_versions(Vec::new(), &[]);
    for n in 0..1_000_u64 {
        let (key, number) = (format!("leased/{n}"), 100 + 2 * n);
        let start = written(&key, ERA1, number, "ready");
        let end = deleted(&key, ERA1, number + 1);
        versions.apply_changes(secs(n), Revision::new(ERA1, number + 1), &[start, end]);
    }
    let changed = versions.changed_keys();
    assert!(changed <= 75, "{changed} keys remembered");
}
