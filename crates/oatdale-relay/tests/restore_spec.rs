//! Exhaustive exploration of a model of a service that is restored from older backups. Owners write
//! their values again at any time or not at all; readers read snapshots or changes with delay;
//! responses arrive late; a follower switches between the readers.
//!
//! Which records are valid at a reader and how it responds is decided by the production `Versions`
//! and `Replica`, fed with the reads of the model's reader. The service is a list of writes; a
//! backup is a prefix of it.

use bytes::Bytes;
use futures::FutureExt;
use oatdale_check::{Counterexample, Spec, explore};
use oatdale_relay::{
    Content, FetchRequest, Keep, KnownVersions, Record, RecordUpdate, Replica, ReplicaUpdate,
    Revision, Topic, Versions,
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
const MAX_HEARD: usize = 2;

const MAX_STATES: usize = 6_000_000;

/// The model has no clock: a kept record is kept until it is written again.
const NOW: Duration = Duration::ZERO;

/// A fault that is injected on purpose.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Break {
    Nothing,
    /// A watch continues from its revision number, whatever the era of the response.
    IgnoresEra,
    /// The records that the service shows after a restore are accepted as they are.
    TrustsTheCopy,
    /// The follower accepts a snapshot from whichever reader it asks.
    FollowsAnyReader,
}

/// One write: its key and value.
type Write = (usize, u8);

/// A response of the service.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Answer {
    /// A snapshot at this revision.
    All(Revision, Vec<Record>),
    /// The changes after the first revision, up to and including the second.
    Changes(Revision, Revision, Vec<Record>),
}

/// An input that a reader applies.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Read {
    Answer(Answer),
    /// The versions that the other reader knows, fetched when this one starts.
    Known(Vec<KnownVersions>),
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Reader {
    read: Vec<Read>,
    at: Option<Revision>,
    /// The latest era that the reader has seen.
    era: u64,
    under_way: Option<Answer>,
    /// The current value of each key.
    holds: [u8; KEYS.len()],
    /// The highest value of each key that was sent to the reader, including the in-flight response.
    best: [u8; KEYS.len()],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Follower {
    at: Option<Revision>,
    /// The versions that the follower fetched when it started.
    known: Vec<KnownVersions>,
    heard: Vec<Answer>,
    holds: [u8; KEYS.len()],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    era: u64,
    writes: Vec<Write>,
    made: u8,
    /// The value of each key that its owner wants to be stored.
    wanted: [u8; KEYS.len()],
    readers: [Reader; READERS],
    follower: Follower,
    wrong: Option<&'static str>,
}

struct Restores {
    broken: Break,
}

fn keep(_: &str) -> Keep {
    Keep::UntilWritten
}

fn key_of(record_key: &str) -> usize {
    let key = KEYS.iter().position(|key| *key == record_key);
    key.expect("the key is one of KEYS")
}

impl Answer {
    fn records(&self) -> &[Record] {
        match self {
            Answer::All(_, records) | Answer::Changes(_, _, records) => records,
        }
    }
}

impl Reader {
    fn has_read(&self, record: &Record) -> bool {
        let is_it = |r: &Record| r.key == record.key && r.revision.number == record.revision.number;
        self.read.iter().any(|read| match read {
            Read::Answer(answer) => answer.records().iter().any(is_it),
            Read::Known(known) => {
                let known = known.iter().filter(|known| known.key == record.key);
                let mut overtaken = known.flat_map(|known| &known.overtaken);
                overtaken.any(|(revision, _)| revision.number == record.revision.number)
            }
        })
    }
}

impl World {
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
    fn can_be_told(&self, writes: usize) -> bool {
        let was_read = |reader: &Reader, key: usize| {
            let last = (0..writes).rev().find(|at| self.writes[*at].0 == key);
            last.is_none_or(|at| reader.has_read(&self.record(at)))
        };
        self.readers.iter().all(|reader| {
            let better = (0..KEYS.len()).filter(|key| reader.best[*key] > self.value(writes, *key));
            better.into_iter().all(|key| was_read(reader, key))
        })
    }

    fn all(&self) -> Answer {
        let last = |key| {
            (0..self.writes.len())
                .rev()
                .find(|at| self.writes[*at].0 == key)
        };
        let all = (0..KEYS.len()).filter_map(last).map(|at| self.record(at));
        Answer::All(self.revision(), all.collect())
    }

    fn changes(&self, after: Revision) -> Answer {
        let from = (after.number as usize).min(self.writes.len());
        let changes = (from..self.writes.len()).map(|at| self.record(at));
        Answer::Changes(after, self.revision(), changes.collect())
    }
}

impl Restores {
    /// Returns the production objects after all reads of a reader.
    fn replay(&self, reader: &Reader) -> (Versions, Replica) {
        let mut versions = Versions::new(keep);
        let replica = Replica::default();
        replica.set_longest(100);
        for read in &reader.read {
            match read {
                Read::Known(known) => versions.learn(NOW, known.clone()),
                Read::Answer(Answer::All(revision, all)) => {
                    let counting = match self.broken {
                        Break::TrustsTheCopy => all.clone(),
                        _ => versions.take_all(NOW, *revision, all.clone()),
                    };
                    replica.replace(Topic::Endpoints, *revision, &counting);
                }
                Read::Answer(Answer::Changes(_, revision, changes)) => {
                    versions.take_changes(NOW, *revision, changes);
                    replica.change(Topic::Endpoints, *revision, changes);
                }
            }
        }
        (versions, replica)
    }

    fn told(&self, reader: &Reader, after: Option<Revision>) -> Option<ReplicaUpdate> {
        let (_, replica) = self.replay(reader);
        let question = FetchRequest {
            topic: Topic::Endpoints,
            after,
            wait_ms: 0,
            node: None,
        };
        replica.tell(question).now_or_never().flatten()
    }

    /// A reader receives the in-flight response.
    fn deliver(&self, world: &World, at: usize) -> Option<World> {
        let mut next = world.clone();
        let reader = &mut next.readers[at];
        let answer = reader.under_way.take()?;
        let revision = match &answer {
            Answer::All(revision, _) | Answer::Changes(_, revision, _) => *revision,
        };
        let is_late = revision.era < reader.era;
        reader.era = reader.era.max(revision.era);
        let is_of_another = match &answer {
            Answer::All(..) => false,
            Answer::Changes(after, ..) => {
                after.era != revision.era && self.broken != Break::IgnoresEra
            }
        };
        if is_late || is_of_another {
            return Some(next);
        }
        reader.read.push(Read::Answer(answer));
        let went_back = Some(revision) < reader.at;
        reader.at = Some(revision);
        let told = self.told(reader, None)?;
        let before = reader.holds;
        reader.holds = Default::default();
        take(&mut reader.holds, told);
        if went_back || (0..KEYS.len()).any(|key| reader.holds[key] < before[key]) {
            next.wrong = Some("a reader went back");
        }
        Some(next)
    }

    fn of_reader(&self, world: &World, at: usize) -> Vec<(String, World)> {
        let reader = &world.readers[at];
        let mut steps = Vec::new();
        let mut send = |what: &str, answer: Answer, known: Option<Vec<KnownVersions>>| {
            let mut next = world.clone();
            let reader = &mut next.readers[at];
            for record in answer.records() {
                let value = record.value.as_ref().map_or(0, |value| value[0]);
                let best = &mut reader.best[key_of(&record.key)];
                *best = value.max(*best);
            }
            reader.under_way = Some(answer);
            next.readers[at].read.extend(known.map(Read::Known));
            steps.push((format!("the service responds to reader {at} {what}"), next));
        };
        if reader.under_way.is_none() && reader.read.len() < MAX_READS {
            match reader.at {
                // A pending watch ends when the reader learns of a later era.
                Some(after) if after.era == reader.era || self.broken == Break::IgnoresEra => {
                    send("with changes", world.changes(after), None);
                    send("with a snapshot", world.all(), None);
                }
                Some(_) => send("with a snapshot", world.all(), None),
                None => {
                    if let Some(known) = self.known_by_other(world, at) {
                        send("at its start", world.all(), Some(known));
                    }
                }
            }
        }
        if let Some(next) = self.deliver(world, at) {
            steps.push((format!("reader {at} receives a response"), next));
        }
        // The response to another request, such as a lease renewal, carries the era.
        if reader.at.is_some() && reader.era < world.era {
            let mut next = world.clone();
            next.readers[at].era = world.era;
            steps.push((format!("reader {at} learns the new era"), next));
        }
        steps
    }

    /// Returns the versions that the other reader knows in this era, for a starting reader. `None`
    /// while the other one has not read in this era, or if it has read nothing and something was
    /// written: then nobody can distinguish the backup's records from later ones.
    fn known_by_other(&self, world: &World, at: usize) -> Option<Vec<KnownVersions>> {
        let other = &world.readers[(at + 1) % READERS];
        match other.at {
            None => (world.made == 0).then(Vec::new),
            Some(other_at) if other_at.era == world.era => Some(self.replay(other).0.known(NOW)),
            Some(_) => None,
        }
    }

    /// The follower fetches from a reader.
    fn ask(&self, world: &World, at: usize) -> Option<(String, World)> {
        let after = match self.broken {
            Break::FollowsAnyReader => None,
            _ => world.follower.at,
        };
        let told = self.told(&world.readers[at], after)?;
        let is_news = told.is_snapshot || !told.records.is_empty() || Some(told.revision) != after;
        if !is_news || world.follower.heard.len() == MAX_HEARD {
            return None;
        }
        let mut next = world.clone();
        let follower = &mut next.follower;
        if follower.at.is_none() {
            follower.known = self.replay(&world.readers[at]).0.known(NOW);
        }
        let revision = told.revision;
        let records: Vec<_> = told.records.into_iter().map(record_of).collect();
        follower.heard.push(match after {
            Some(after) if !told.is_snapshot => Answer::Changes(after, revision, records),
            _ => Answer::All(revision, records),
        });
        let holds = held(follower);
        let before = std::mem::replace(&mut follower.holds, holds);
        let went_back = (0..KEYS.len()).any(|key| follower.holds[key] < before[key]);
        if went_back || Some(revision) < follower.at {
            next.wrong = Some("the follower went back");
        }
        next.follower.at = Some(revision);
        Some((format!("the follower fetches from reader {at}"), next))
    }
}

/// Returns the values that the follower holds after all responses that it received.
fn held(follower: &Follower) -> [u8; KEYS.len()] {
    let mut versions = Versions::new(keep);
    versions.learn(NOW, follower.known.clone());
    let mut holds = [0; KEYS.len()];
    for answer in &follower.heard {
        let records = match answer {
            Answer::All(revision, all) => {
                holds = Default::default();
                versions.take_all(NOW, *revision, all.clone())
            }
            Answer::Changes(_, revision, changes) => {
                versions.take_changes(NOW, *revision, changes);
                changes.clone()
            }
        };
        for record in records {
            holds[key_of(&record.key)] = record.value.map_or(0, |value| value[0]);
        }
    }
    holds
}

fn record_of(told: RecordUpdate) -> Record {
    let value = match told.content {
        Content::Value(value) => Some(value),
        Content::Deleted | Content::TooLong => None,
    };
    Record {
        key: told.key,
        value,
        revision: told.revision,
    }
}

fn take(holds: &mut [u8; KEYS.len()], told: ReplicaUpdate) {
    for record in told.records.into_iter().map(record_of) {
        holds[key_of(&record.key)] = record.value.map_or(0, |value| value[0]);
    }
}

impl Spec for Restores {
    type State = World;

    fn initial(&self) -> Vec<World> {
        vec![World {
            era: 1,
            writes: Vec::new(),
            made: 0,
            wanted: Default::default(),
            readers: Default::default(),
            follower: Follower::default(),
            wrong: None,
        }]
    }

    fn steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        for (key, name) in KEYS.iter().enumerate() {
            let is_there = world.value(world.writes.len(), key) == world.wanted[key];
            let value = world.wanted[key] + u8::from(is_there);
            if world.made == MAX_WRITES || value > MAX_VALUE[key] {
                continue;
            }
            let mut next = world.clone();
            next.made += 1;
            next.wanted[key] = value;
            next.writes.push((key, value));
            steps.push((format!("{name} is written as {value}"), next));
        }
        if world.era <= MAX_RESTORES {
            let copies = 0..=world.writes.len();
            for writes in copies.filter(|writes| world.can_be_told(*writes)) {
                let mut next = world.clone();
                next.era += 1;
                next.writes.truncate(writes);
                steps.push((format!("the service is restored to {writes} writes"), next));
            }
        }
        for at in 0..READERS {
            steps.extend(self.of_reader(world, at));
            steps.extend(self.ask(world, at));
        }
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), String> {
        if let Some(wrong) = world.wrong {
            return Err(wrong.to_owned());
        }
        // A node that has read up to a revision of the current era must hold the values written up
        // to it, or later ones.
        let lacks = |at: Option<Revision>, holds: &[u8; KEYS.len()]| {
            let at = at.filter(|at| at.era == world.era);
            let writes = at.map(|at| at.number as usize);
            writes.is_some_and(|n| (0..KEYS.len()).any(|key| holds[key] < world.value(n, key)))
        };
        if world.readers.iter().any(|r| lacks(r.at, &r.holds)) {
            return Err("a reader missed a change".to_owned());
        }
        match lacks(world.follower.at, &world.follower.holds) {
            true => Err("the follower missed a change".to_owned()),
            false => Ok(()),
        }
    }
}

/// Explores the model with a paused clock, on which the production code's timeouts run.
fn explored(broken: Break) -> Result<usize, Counterexample> {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts");
    let _clock = runtime.enter();
    explore(&Restores { broken }, MAX_STATES)
}

#[test]
fn nobody_goes_back_or_misses_a_change_over_restores() {
    let states = explored(Break::Nothing).unwrap_or_else(|found| panic!("{found}"));
    println!("{states} states of a service with restores explored");
    assert!(states > 10_000, "{states}");
}

// Each fault is a plausible mistake in a reader or a follower. Its effect would be that a revoked
// key is accepted again, or that a configuration never comes into force.
#[test]
fn each_deliberate_break_is_found() {
    let cases = [
        (Break::IgnoresEra, "missed a change"),
        (Break::TrustsTheCopy, "a reader went back"),
        (Break::FollowsAnyReader, "the follower went back"),
    ];
    for (broken, promise) in cases {
        let found = explored(broken).expect_err("the fault is detected");
        println!("{broken:?}: {found}");
        assert!(found.to_string().contains(promise), "{broken:?}: {found}");
    }
}
