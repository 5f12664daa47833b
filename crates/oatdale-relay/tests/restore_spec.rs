//! Exhaustive exploration of a model of a service that is restored from older backups. Owners write
//! their values again at any time or not at all; readers read snapshots or changes with delay;
//! responses arrive late; a follower switches between the readers.
//!
//! Which records are valid at a reader and how it responds is decided by the production
//! `VersionTracker` and `Replica`, fed with the reads of the model's reader. The service is a list
//! of writes; a backup is a prefix of it.

use bytes::Bytes;
use futures::FutureExt;
use oatdale_check::{Counterexample, Spec, explore};
use oatdale_relay::{
    Content, FetchRequest, KnownVersions, Record, RecordUpdate, Replica, ReplicaUpdate,
    RetentionPolicy, Revision, Topic, VersionTracker,
};
use std::time::Duration;
use tokio::runtime::Builder;

const READERS: usize = 2;
const KEYS: [&str; 2] = ["a", "b"];

/// The highest value that the owner of each key writes, counting up from one.
const MAX_VALUE: [u8; KEYS.len()] = [2, 1];

/// Maximum number of writes, including repeated ones.
const MAX_WRITES: u8 = 3;

const MAX_RESTORES: u64 = 1;

/// Maximum number of responses that a reader applies.
const MAX_READS: usize = 3;

/// Maximum number of responses with changes that the follower applies.
const MAX_UPDATES: usize = 2;

const MAX_STATES: usize = 6_000_000;

/// The model has no clock: a kept record is kept until it is written again.
const NOW: Duration = Duration::ZERO;

/// A fault that is injected on purpose.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    Absent,
    /// A watch continues from its revision number, whatever the era of the response.
    IgnoresEra,
    /// The records that the service shows after a restore are accepted as they are.
    AcceptsBackup,
    /// The follower accepts a snapshot from whichever reader it asks.
    FollowsAnyReader,
}

/// One write: its key and value.
type Write = (usize, u8);

/// A response of the service.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Response {
    /// A snapshot at this revision.
    Snapshot(Revision, Vec<Record>),
    /// The changes after the first revision, up to and including the second.
    Changes(Revision, Revision, Vec<Record>),
}

/// An input that a reader applies.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Input {
    Response(Response),
    /// The versions that the other reader knows, fetched when this one starts.
    Known(Vec<KnownVersions>),
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Reader {
    inputs: Vec<Input>,
    applied_up_to: Option<Revision>,
    /// The latest era that the reader has seen.
    era: u64,
    in_flight: Option<Response>,
    /// The current value of each key.
    values: [u8; KEYS.len()],
    /// The highest value of each key that was sent to the reader, including the in-flight response.
    max_sent: [u8; KEYS.len()],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Follower {
    applied_up_to: Option<Revision>,
    /// The versions that the follower fetched when it started.
    known: Vec<KnownVersions>,
    received: Vec<Response>,
    values: [u8; KEYS.len()],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Model {
    era: u64,
    writes: Vec<Write>,
    /// Number of writes made, including those that a restore lost.
    write_count: u8,
    /// The value of each key that its owner wants to be stored.
    desired: [u8; KEYS.len()],
    readers: [Reader; READERS],
    follower: Follower,
    violation: Option<&'static str>,
}

struct Restores {
    fault: Fault,
}

fn policy(_: &str) -> RetentionPolicy {
    RetentionPolicy::UntilWritten
}

fn key_index(record_key: &str) -> usize {
    let key = KEYS.iter().position(|key| *key == record_key);
    key.expect("the key is one of KEYS")
}

impl Response {
    fn records(&self) -> &[Record] {
        match self {
            Response::Snapshot(_, records) | Response::Changes(_, _, records) => records,
        }
    }
}

impl Reader {
    fn has_read(&self, record: &Record) -> bool {
        let is_same_write =
            |r: &Record| r.key == record.key && r.revision.number == record.revision.number;
        self.inputs.iter().any(|input| match input {
            Input::Response(response) => response.records().iter().any(is_same_write),
            Input::Known(known) => {
                let known = known.iter().filter(|known| known.key == record.key);
                let mut superseded = known.flat_map(|known| &known.overtaken);
                superseded.any(|(revision, _)| revision.number == record.revision.number)
            }
        })
    }
}

impl Model {
    fn revision(&self) -> Revision {
        Revision::new(self.era, self.writes.len() as u64)
    }

    fn record(&self, at: usize) -> Record {
        let (key, value) = self.writes[at];
        Record {
            key: KEYS[key].to_owned(),
            value: Some(Bytes::copy_from_slice(&[value])),
            revision: Revision::new(self.era, at as u64 + 1),
        }
    }

    /// The value of a key after this number of writes; 0 if it has none.
    fn value(&self, writes: usize, key: usize) -> u8 {
        let mut before = self.writes[..writes].iter().rev();
        before
            .find(|(k, _)| *k == key)
            .map_or(0, |(_, value)| *value)
    }

    /// Whether each reader that has later values has also read those that a backup of this number
    /// of writes would restore. A version that a reader skipped, for instance by reading a
    /// snapshot, cannot be distinguished from one that is written after the restore.
    fn is_distinguishable(&self, writes: usize) -> bool {
        let was_read = |reader: &Reader, key: usize| {
            let last = (0..writes).rev().find(|at| self.writes[*at].0 == key);
            last.is_none_or(|at| reader.has_read(&self.record(at)))
        };
        self.readers.iter().all(|reader| {
            let later_keys =
                (0..KEYS.len()).filter(|key| reader.max_sent[*key] > self.value(writes, *key));
            later_keys.into_iter().all(|key| was_read(reader, key))
        })
    }

    fn snapshot(&self) -> Response {
        let last = |key| {
            (0..self.writes.len())
                .rev()
                .find(|at| self.writes[*at].0 == key)
        };
        let all = (0..KEYS.len()).filter_map(last).map(|at| self.record(at));
        Response::Snapshot(self.revision(), all.collect())
    }

    fn changes(&self, after: Revision) -> Response {
        let from = (after.number as usize).min(self.writes.len());
        let changes = (from..self.writes.len()).map(|at| self.record(at));
        Response::Changes(after, self.revision(), changes.collect())
    }
}

impl Restores {
    /// Returns the production objects after all reads of a reader.
    fn replay(&self, reader: &Reader) -> (VersionTracker, Replica) {
        let mut versions = VersionTracker::new(policy);
        let replica = Replica::default();
        replica.set_max_value_bytes(100);
        for input in &reader.inputs {
            match input {
                Input::Known(known) => versions.import(NOW, known.clone()),
                Input::Response(Response::Snapshot(revision, all)) => {
                    let valid = match self.fault {
                        Fault::AcceptsBackup => all.clone(),
                        _ => versions.apply_snapshot(NOW, *revision, all.clone()),
                    };
                    replica.replace(Topic::Endpoints, *revision, &valid);
                }
                Input::Response(Response::Changes(_, revision, changes)) => {
                    versions.apply_changes(NOW, *revision, changes);
                    replica.apply_changes(Topic::Endpoints, *revision, changes);
                }
            }
        }
        (versions, replica)
    }

    fn fetch_response(&self, reader: &Reader, after: Option<Revision>) -> Option<ReplicaUpdate> {
        let (_, replica) = self.replay(reader);
        let request = FetchRequest {
            topic: Topic::Endpoints,
            after,
            wait_ms: 0,
            accepts_patches: false,
            node: None,
        };
        replica.fetch(request).now_or_never().flatten()
    }

    /// A reader receives the in-flight response.
    fn deliver(&self, model: &Model, index: usize) -> Option<Model> {
        let mut next = model.clone();
        let reader = &mut next.readers[index];
        let response = reader.in_flight.take()?;
        let revision = match &response {
            Response::Snapshot(revision, _) | Response::Changes(_, revision, _) => *revision,
        };
        let is_stale = revision.era < reader.era;
        reader.era = reader.era.max(revision.era);
        let is_from_other_era = match &response {
            Response::Snapshot(..) => false,
            Response::Changes(after, ..) => {
                after.era != revision.era && self.fault != Fault::IgnoresEra
            }
        };
        if is_stale || is_from_other_era {
            return Some(next);
        }
        reader.inputs.push(Input::Response(response));
        let went_back = Some(revision) < reader.applied_up_to;
        reader.applied_up_to = Some(revision);
        let update = self.fetch_response(reader, None)?;
        let before = reader.values;
        reader.values = Default::default();
        apply(&mut reader.values, update);
        if went_back || (0..KEYS.len()).any(|key| reader.values[key] < before[key]) {
            next.violation = Some("a reader went back");
        }
        Some(next)
    }

    fn reader_steps(&self, model: &Model, index: usize) -> Vec<(String, Model)> {
        let reader = &model.readers[index];
        let mut steps = Vec::new();
        let mut send = |action: &str, response: Response, known: Option<Vec<KnownVersions>>| {
            let mut next = model.clone();
            let reader = &mut next.readers[index];
            for record in response.records() {
                let value = record.value.as_ref().map_or(0, |value| value[0]);
                let max_sent = &mut reader.max_sent[key_index(&record.key)];
                *max_sent = value.max(*max_sent);
            }
            reader.in_flight = Some(response);
            next.readers[index].inputs.extend(known.map(Input::Known));
            steps.push((format!("the service answers reader {index} {action}"), next));
        };
        if reader.in_flight.is_none() && reader.inputs.len() < MAX_READS {
            match reader.applied_up_to {
                // A pending watch ends when the reader learns of a later era.
                Some(after) if after.era == reader.era || self.fault == Fault::IgnoresEra => {
                    send("with changes", model.changes(after), None);
                    send("with a snapshot", model.snapshot(), None);
                }
                Some(_) => send("with a snapshot", model.snapshot(), None),
                None => {
                    if let Some(known) = self.known_by_other(model, index) {
                        send("at its start", model.snapshot(), Some(known));
                    }
                }
            }
        }
        if let Some(next) = self.deliver(model, index) {
            steps.push((format!("reader {index} receives a response"), next));
        }
        // The response to another request, such as a lease renewal, carries the era.
        if reader.applied_up_to.is_some() && reader.era < model.era {
            let mut next = model.clone();
            next.readers[index].era = model.era;
            steps.push((format!("reader {index} learns the new era"), next));
        }
        steps
    }

    /// Returns the versions that the other reader knows in this era, for a starting reader. `None`
    /// while the other one has not read in this era, or if it has read nothing and something was
    /// written: then nobody can distinguish the backup's records from later ones.
    fn known_by_other(&self, model: &Model, index: usize) -> Option<Vec<KnownVersions>> {
        let other = &model.readers[(index + 1) % READERS];
        match other.applied_up_to {
            None => (model.write_count == 0).then(Vec::new),
            Some(other_rev) if other_rev.era == model.era => Some(self.replay(other).0.export(NOW)),
            Some(_) => None,
        }
    }

    /// The follower fetches from a reader.
    fn fetch_from(&self, model: &Model, index: usize) -> Option<(String, Model)> {
        let after = match self.fault {
            Fault::FollowsAnyReader => None,
            _ => model.follower.applied_up_to,
        };
        let update = self.fetch_response(&model.readers[index], after)?;
        let has_changes =
            update.is_snapshot || !update.records.is_empty() || Some(update.revision) != after;
        if !has_changes || model.follower.received.len() == MAX_UPDATES {
            return None;
        }
        let mut next = model.clone();
        let follower = &mut next.follower;
        if follower.applied_up_to.is_none() {
            follower.known = self.replay(&model.readers[index]).0.export(NOW);
        }
        let revision = update.revision;
        let records: Vec<_> = update.records.into_iter().map(to_record).collect();
        follower.received.push(match after {
            Some(after) if !update.is_snapshot => Response::Changes(after, revision, records),
            _ => Response::Snapshot(revision, records),
        });
        let values = replay_follower(follower);
        let before = std::mem::replace(&mut follower.values, values);
        let went_back = (0..KEYS.len()).any(|key| follower.values[key] < before[key]);
        if went_back || Some(revision) < follower.applied_up_to {
            next.violation = Some("the follower went back");
        }
        next.follower.applied_up_to = Some(revision);
        Some((format!("the follower fetches from reader {index}"), next))
    }
}

/// Returns the values that the follower holds after all responses that it received.
fn replay_follower(follower: &Follower) -> [u8; KEYS.len()] {
    let mut versions = VersionTracker::new(policy);
    versions.import(NOW, follower.known.clone());
    let mut values = [0; KEYS.len()];
    for response in &follower.received {
        let records = match response {
            Response::Snapshot(revision, all) => {
                values = Default::default();
                versions.apply_snapshot(NOW, *revision, all.clone())
            }
            Response::Changes(_, revision, changes) => {
                versions.apply_changes(NOW, *revision, changes);
                changes.clone()
            }
        };
        for record in records {
            values[key_index(&record.key)] = record.value.map_or(0, |value| value[0]);
        }
    }
    values
}

fn to_record(update: RecordUpdate) -> Record {
    let value = match update.content {
        Content::Value(value) => Some(value),
        Content::Deleted | Content::TooLong | Content::Patch { .. } => None,
    };
    Record {
        key: update.key,
        value,
        revision: update.revision,
    }
}

fn apply(values: &mut [u8; KEYS.len()], update: ReplicaUpdate) {
    for record in update.records.into_iter().map(to_record) {
        values[key_index(&record.key)] = record.value.map_or(0, |value| value[0]);
    }
}

impl Spec for Restores {
    type State = Model;

    fn initial(&self) -> Vec<Model> {
        vec![Model {
            era: 1,
            writes: Vec::new(),
            write_count: 0,
            desired: Default::default(),
            readers: Default::default(),
            follower: Follower::default(),
            violation: None,
        }]
    }

    fn steps(&self, model: &Model) -> Vec<(String, Model)> {
        let mut steps = Vec::new();
        for (key, name) in KEYS.iter().enumerate() {
            let is_stored = model.value(model.writes.len(), key) == model.desired[key];
            let value = model.desired[key] + u8::from(is_stored);
            if model.write_count == MAX_WRITES || value > MAX_VALUE[key] {
                continue;
            }
            let mut next = model.clone();
            next.write_count += 1;
            next.desired[key] = value;
            next.writes.push((key, value));
            steps.push((format!("{name} is written as {value}"), next));
        }
        if model.era <= MAX_RESTORES {
            let backups = 0..=model.writes.len();
            for writes in backups.filter(|writes| model.is_distinguishable(*writes)) {
                let mut next = model.clone();
                next.era += 1;
                next.writes.truncate(writes);
                steps.push((format!("the service is restored to {writes} writes"), next));
            }
        }
        for index in 0..READERS {
            steps.extend(self.reader_steps(model, index));
            steps.extend(self.fetch_from(model, index));
        }
        steps
    }

    fn invariant(&self, model: &Model) -> Result<(), String> {
        if let Some(violation) = model.violation {
            return Err(violation.to_owned());
        }
        // A node that has read up to a revision of the current era must hold the values written up
        // to it, or later ones.
        let lacks = |at: Option<Revision>, values: &[u8; KEYS.len()]| {
            let at = at.filter(|at| at.era == model.era);
            let writes = at.map(|at| at.number as usize);
            writes.is_some_and(|n| (0..KEYS.len()).any(|key| values[key] < model.value(n, key)))
        };
        if model
            .readers
            .iter()
            .any(|r| lacks(r.applied_up_to, &r.values))
        {
            return Err("a reader missed a change".to_owned());
        }
        match lacks(model.follower.applied_up_to, &model.follower.values) {
            true => Err("the follower missed a change".to_owned()),
            false => Ok(()),
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
    explore(&Restores { fault }, MAX_STATES)
}

#[test]
fn no_node_goes_back_or_misses_a_change_across_restores() {
    let states = explore_with(Fault::Absent).unwrap_or_else(|found| panic!("{found}"));
    println!("{states} states of a service with restores explored");
    assert!(states > 10_000, "{states}");
}

// Each fault is a plausible mistake in a reader or a follower. Its effect would be that a revoked
// key is accepted again, or that a configuration never comes into force.
#[test]
fn each_injected_fault_is_detected() {
    let cases = [
        (Fault::IgnoresEra, "missed a change"),
        (Fault::AcceptsBackup, "a reader went back"),
        (Fault::FollowsAnyReader, "the follower went back"),
    ];
    for (fault, expected) in cases {
        let found = explore_with(fault).expect_err("the fault is detected");
        println!("{fault:?}: {found}");
        assert!(found.to_string().contains(expected), "{fault:?}: {found}");
    }
}
