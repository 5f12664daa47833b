//! Exhaustive exploration of a model of two readers and a follower. The service's records change;
//! readers read with delay, in batches or as a snapshot, lose the service, die and restart; the
//! follower switches between the readers and the service.
//!
//! A reader's responses come from the production `Replica`, fed with the reads of the model's
//! reader. The service is a list of changes, each of which has the next revision.

use bytes::Bytes;
use futures::FutureExt;
use oatdale_check::{Counterexample, Spec, explore};
use oatdale_relay::{Content, FetchRequest, Record, Replica, ReplicaUpdate, Revision, Topic};
use tokio::runtime::Builder;

const READERS: usize = 2;

/// Keys that the model writes and deletes.
const KEYS: [&str; 2] = ["a", "b"];

/// Maximum number of changes.
const MAX_CHANGES: usize = 3;

/// Maximum number of reads of a reader between restarts.
const MAX_READS: usize = 2;

const MAX_STATES: usize = 3_000_000;

/// A fault that is injected on purpose.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    Absent,
    /// A reader reports the service's revision as its own although its watch delivered less.
    OverstatedRevision,
    /// A reader that reaches the service again continues without the changes that it missed.
    SkipsMissedChanges,
    /// A follower that gets a snapshot keeps records that are not in it.
    KeepsDeletedKeys,
    /// A reader keeps serving its records while the service does not answer it.
    ServesWhileUnreachable,
}

/// One change: a key, and whether it was written (or else deleted). Its revision is its position,
/// from one.
type Change = (usize, bool);

/// One read of a reader.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Read {
    /// A snapshot at this revision.
    Snapshot(usize),
    /// The changes after the first revision, up to and including the second.
    Changes(usize, usize),
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Reader {
    reads: Vec<Read>,
    /// The revision at which the reader lost the service, if it has.
    unreachable_since: Option<usize>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Follower {
    after: Option<usize>,
    /// For each key that the follower holds, the revision at which it was written.
    values: [Option<usize>; KEYS.len()],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Model {
    changes: Vec<Change>,
    readers: [Reader; READERS],
    follower: Follower,
    violation: Option<&'static str>,
}

struct Replication {
    fault: Fault,
}

/// The service's revision with this number, in its first era.
fn rev(number: usize) -> Revision {
    Revision::new(1, number as u64)
}

/// The revision at which a key was written, as of the first `revision` changes; `None` if it does
/// not exist.
fn written_at(changes: &[Change], revision: usize, key: usize) -> Option<usize> {
    let last = (0..revision).rev().find(|&i| changes[i].0 == key)?;
    changes[last].1.then_some(last + 1)
}

fn record(key: usize, written_at: Option<usize>, revision: usize) -> Record {
    Record {
        key: KEYS[key].to_owned(),
        value: written_at.map(|at| Bytes::from(at.to_string())),
        revision: rev(revision),
    }
}

/// The records that exist at a revision.
fn records(changes: &[Change], revision: usize) -> Vec<Record> {
    let keys = 0..KEYS.len();
    let existing = keys.filter_map(|key| Some((key, written_at(changes, revision, key)?)));
    existing
        .map(|(key, at)| record(key, Some(at), at))
        .collect()
}

fn changes_between(changes: &[Change], after: usize, to: usize) -> Vec<Record> {
    let changed = (after..to).map(|i| {
        let (key, is_written) = changes[i];
        record(key, is_written.then_some(i + 1), i + 1)
    });
    changed.collect()
}

impl Reader {
    fn revision(&self) -> Option<usize> {
        self.reads.last().map(|read| match read {
            Read::Snapshot(at) => *at,
            Read::Changes(_, to) => *to,
        })
    }
}

impl Replication {
    /// Returns the response of the production replica to a follower of this reader.
    fn reply(&self, model: &Model, reader: &Reader, after: Option<usize>) -> Option<ReplicaUpdate> {
        let replica = Replica::default();
        replica.set_max_value_bytes(100);
        for read in &reader.reads {
            match *read {
                Read::Snapshot(n) => {
                    replica.replace(Topic::Endpoints, self::rev(n), &records(&model.changes, n));
                }
                Read::Changes(from, to) => {
                    let revision = match self.fault {
                        Fault::OverstatedRevision => model.changes.len(),
                        _ => to,
                    };
                    let changes = changes_between(&model.changes, from, to);
                    replica.apply_changes(Topic::Endpoints, rev(revision), &changes);
                }
            }
        }
        if reader.unreachable_since.is_some() && self.fault != Fault::ServesWhileUnreachable {
            replica.suspend();
        }
        let request = FetchRequest {
            topic: Topic::Endpoints,
            after: after.map(rev),
            wait_ms: 0,
            accepts_patches: false,
            node: None,
        };
        // A request that is held because the records are not loaded yet ends without a response.
        replica.fetch(request).now_or_never().flatten()
    }

    /// The follower fetches from a reader.
    fn fetch_from(&self, model: &Model, index: usize) -> Option<(String, Model)> {
        let reader = &model.readers[index];
        let update = self.reply(model, reader, model.follower.after)?;
        let mut next = model.clone();
        if reader
            .unreachable_since
            .is_some_and(|since| since < model.changes.len())
            && update.records.is_empty()
        {
            next.violation = Some("a reader without the service reports no changes");
        }
        self.apply(&mut next, &update);
        Some((format!("the follower fetches from reader {index}"), next))
    }

    fn apply(&self, model: &mut Model, update: &ReplicaUpdate) {
        let follower = &mut model.follower;
        if update.is_snapshot && self.fault != Fault::KeepsDeletedKeys {
            follower.values = Default::default();
        }
        for record in &update.records {
            let key = KEYS.iter().position(|k| *k == record.key);
            let key = key.expect("the key is one of KEYS");
            follower.values[key] = match &record.content {
                Content::Value(_) => Some(record.revision.number as usize),
                Content::Deleted | Content::TooLong | Content::Patch { .. } => None,
            };
        }
        let revision = update.revision.number as usize;
        if follower.after.is_some_and(|after| revision < after) {
            model.violation = Some("the follower's revision went back");
        }
        follower.after = Some(revision);
    }

    /// The follower reads from the service.
    fn read_service(model: &Model) -> (String, Model) {
        let mut next = model.clone();
        let now = model.changes.len();
        next.follower = Follower {
            after: Some(now),
            values: std::array::from_fn(|key| written_at(&model.changes, now, key)),
        };
        ("the follower reads from the service".to_owned(), next)
    }

    fn reader_steps(&self, model: &Model, index: usize) -> Vec<(String, Model)> {
        let now = model.changes.len();
        let reader = &model.readers[index];
        let mut steps = Vec::new();
        let mut step = |action: &str, reader: Reader| {
            let mut next = model.clone();
            next.readers[index] = reader;
            steps.push((format!("reader {index} {action}"), next));
        };
        step("dies", Reader::default());
        if reader.unreachable_since.is_none() && !reader.reads.is_empty() {
            let disconnected = Reader {
                unreachable_since: Some(now),
                ..reader.clone()
            };
            step("loses the service", disconnected);
        }
        if reader.reads.len() < MAX_READS {
            let with = |read| Reader {
                reads: reader.reads.iter().cloned().chain([read]).collect(),
                unreachable_since: None,
            };
            step("reads a snapshot", with(Read::Snapshot(now)));
            if self.fault == Fault::SkipsMissedChanges && reader.unreachable_since.is_some() {
                step("reaches the service again", with(Read::Changes(now, now)));
            }
            let known = reader
                .revision()
                .filter(|_| reader.unreachable_since.is_none());
            for to in known.map_or(0..0, |known| known + 1..now + 1) {
                let from = known.unwrap_or_default();
                step("reads changes", with(Read::Changes(from, to)));
            }
        }
        steps
    }
}

impl Spec for Replication {
    type State = Model;

    fn initial(&self) -> Vec<Model> {
        vec![Model::default()]
    }

    fn steps(&self, model: &Model) -> Vec<(String, Model)> {
        let mut steps = Vec::new();
        if model.changes.len() < MAX_CHANGES {
            for (key, name) in KEYS.iter().enumerate() {
                let exists = written_at(&model.changes, model.changes.len(), key).is_some();
                let mut next = model.clone();
                next.changes.push((key, !exists));
                steps.push((format!("{name} changes"), next));
            }
        }
        for index in 0..READERS {
            steps.extend(self.reader_steps(model, index));
            steps.extend(self.fetch_from(model, index));
        }
        steps.push(Self::read_service(model));
        steps
    }

    fn invariant(&self, model: &Model) -> Result<(), String> {
        if let Some(violation) = model.violation {
            return Err(violation.to_owned());
        }
        let Some(after) = model.follower.after else {
            return Ok(());
        };
        // Each key must have its value as of the follower's revision or a later one.
        let is_current = |key: usize| {
            let mut later = after..=model.changes.len();
            later.any(|n| written_at(&model.changes, n, key) == model.follower.values[key])
        };
        match (0..KEYS.len()).all(is_current) {
            true => Ok(()),
            false => Err("the follower missed a change".to_owned()),
        }
    }
}

/// Explores the model with a paused clock, on which the production code's timeouts run.
fn explore_with(fault: Fault) -> Result<usize, Counterexample> {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts");
    let _clock = runtime.enter();
    explore(&Replication { fault }, MAX_STATES)
}

#[test]
fn a_follower_never_misses_a_change_or_goes_back() {
    let states = explore_with(Fault::Absent).unwrap_or_else(|found| panic!("{found}"));
    println!("{states} states of readers and a follower explored");
    assert!(states > 10_000, "{states}");
}

// Each fault is a plausible mistake in a reader or a follower. Its effect would be requests sent to
// endpoints that have left, or routes that are never served.
#[test]
fn each_injected_fault_is_detected() {
    let cases = [
        (Fault::OverstatedRevision, "the follower missed a change"),
        (Fault::SkipsMissedChanges, "the follower missed a change"),
        (Fault::KeepsDeletedKeys, "the follower missed a change"),
        (
            Fault::ServesWhileUnreachable,
            "a reader without the service reports no changes",
        ),
    ];
    for (fault, expected) in cases {
        let found = explore_with(fault).expect_err("the fault is detected");
        println!("{fault:?}: {found}");
        assert_eq!(found.violation, expected, "{fault:?}");
    }
}
