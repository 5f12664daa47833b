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
const CHANGES: usize = 3;

/// Maximum number of reads of a reader between restarts.
const READS: usize = 2;

const MOST_STATES: usize = 3_000_000;

/// A fault that is injected on purpose.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Break {
    Nothing,
    /// A reader reports the service's revision as its own although its watch delivered less.
    TooFar,
    /// A reader that reaches the service again continues without the changes that it missed.
    SkipsWhatItMissed,
    /// A follower that gets a snapshot keeps records that are not in it.
    KeepsWhatIsGone,
    /// A reader keeps serving its records while the service does not answer it.
    TellsWhileAway,
}

/// One change: a key, and whether it was written (or else deleted). Its revision is its position,
/// from one.
type Change = (usize, bool);

/// One read of a reader.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Read {
    /// A snapshot at this revision.
    All(usize),
    /// The changes after the first revision, up to and including the second.
    Changes(usize, usize),
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Reader {
    read: Vec<Read>,
    /// The revision at which the reader lost the service, if it has.
    away: Option<usize>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Follower {
    after: Option<usize>,
    /// For each key that the follower holds, the revision at which it was written.
    holds: [Option<usize>; KEYS.len()],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct World {
    changes: Vec<Change>,
    readers: [Reader; READERS],
    follower: Follower,
    wrong: Option<&'static str>,
}

struct Spread {
    broken: Break,
}

/// The service's revision with this number.
fn at(number: usize) -> Revision {
    Revision::new(1, number as u64)
}

/// The revision at which a key was written, as of the first `revision` changes; `None` if it does
/// not exist.
fn held(changes: &[Change], revision: usize, key: usize) -> Option<usize> {
    let last = (0..revision).rev().find(|&i| changes[i].0 == key)?;
    changes[last].1.then_some(last + 1)
}

fn record(key: usize, held: Option<usize>, revision: usize) -> Record {
    Record {
        key: KEYS[key].to_owned(),
        value: held.map(|at| Bytes::from(at.to_string())),
        revision: at(revision),
    }
}

fn all(changes: &[Change], revision: usize) -> Vec<Record> {
    let keys = 0..KEYS.len();
    let there = keys.filter_map(|key| Some((key, held(changes, revision, key)?)));
    there.map(|(key, at)| record(key, Some(at), at)).collect()
}

fn between(changes: &[Change], after: usize, upto: usize) -> Vec<Record> {
    let told = (after..upto).map(|i| {
        let (key, is_written) = changes[i];
        record(key, is_written.then_some(i + 1), i + 1)
    });
    told.collect()
}

impl Reader {
    fn revision(&self) -> Option<usize> {
        self.read.last().map(|read| match read {
            Read::All(at) => *at,
            Read::Changes(_, upto) => *upto,
        })
    }
}

impl Spread {
    /// Returns the response of the production replica to a follower of this reader.
    fn told(&self, world: &World, reader: &Reader, after: Option<usize>) -> Option<ReplicaUpdate> {
        let replica = Replica::default();
        replica.set_longest(100);
        for read in &reader.read {
            match *read {
                Read::All(at) => {
                    replica.replace(Topic::Endpoints, self::at(at), &all(&world.changes, at));
                }
                Read::Changes(from, upto) => {
                    let revision = match self.broken {
                        Break::TooFar => world.changes.len(),
                        _ => upto,
                    };
                    let changes = between(&world.changes, from, upto);
                    replica.change(Topic::Endpoints, at(revision), &changes);
                }
            }
        }
        if reader.away.is_some() && self.broken != Break::TellsWhileAway {
            replica.suspend();
        }
        let question = FetchRequest {
            topic: Topic::Endpoints,
            after: after.map(at),
            wait_ms: 0,
            node: None,
        };
        // A request that is held because the records are not loaded yet ends without a response.
        replica.tell(question).now_or_never().flatten()
    }

    /// The follower fetches from a reader.
    fn ask(&self, world: &World, at: usize) -> Option<(String, World)> {
        let reader = &world.readers[at];
        let told = self.told(world, reader, world.follower.after)?;
        let mut next = world.clone();
        if reader.away.is_some_and(|since| since < world.changes.len()) && told.records.is_empty() {
            next.wrong = Some("a reader without the service reports no changes");
        }
        self.take(&mut next, &told);
        Some((format!("the follower fetches from reader {at}"), next))
    }

    fn take(&self, world: &mut World, told: &ReplicaUpdate) {
        let follower = &mut world.follower;
        if told.is_snapshot && self.broken != Break::KeepsWhatIsGone {
            follower.holds = Default::default();
        }
        for record in &told.records {
            let key = KEYS.iter().position(|k| *k == record.key);
            let key = key.expect("the key is one of KEYS");
            follower.holds[key] = match &record.content {
                Content::Value(_) => Some(record.revision.number as usize),
                Content::Deleted | Content::TooLong => None,
            };
        }
        let revision = told.revision.number as usize;
        if follower.after.is_some_and(|after| revision < after) {
            world.wrong = Some("the follower's revision went back");
        }
        follower.after = Some(revision);
    }

    /// The follower reads from the service.
    fn look(world: &World) -> (String, World) {
        let mut next = world.clone();
        let now = world.changes.len();
        next.follower = Follower {
            after: Some(now),
            holds: std::array::from_fn(|key| held(&world.changes, now, key)),
        };
        ("the follower reads from the service".to_owned(), next)
    }

    fn of_reader(&self, world: &World, at: usize) -> Vec<(String, World)> {
        let now = world.changes.len();
        let reader = &world.readers[at];
        let mut steps = Vec::new();
        let mut step = |what: &str, reader: Reader| {
            let mut next = world.clone();
            next.readers[at] = reader;
            steps.push((format!("reader {at} {what}"), next));
        };
        step("dies", Reader::default());
        if reader.away.is_none() && !reader.read.is_empty() {
            let away = Reader {
                away: Some(now),
                ..reader.clone()
            };
            step("loses the service", away);
        }
        if reader.read.len() < READS {
            let and = |read| Reader {
                read: reader.read.iter().cloned().chain([read]).collect(),
                away: None,
            };
            step("reads a snapshot", and(Read::All(now)));
            if self.broken == Break::SkipsWhatItMissed && reader.away.is_some() {
                step("reaches the service again", and(Read::Changes(now, now)));
            }
            let known = reader.revision().filter(|_| reader.away.is_none());
            for upto in known.map_or(0..0, |known| known + 1..now + 1) {
                let from = known.unwrap_or_default();
                step("reads changes", and(Read::Changes(from, upto)));
            }
        }
        steps
    }
}

impl Spec for Spread {
    type State = World;

    fn initial(&self) -> Vec<World> {
        vec![World::default()]
    }

    fn steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        if world.changes.len() < CHANGES {
            for (key, name) in KEYS.iter().enumerate() {
                let is_there = held(&world.changes, world.changes.len(), key).is_some();
                let mut next = world.clone();
                next.changes.push((key, !is_there));
                steps.push((format!("{name} changes"), next));
            }
        }
        for at in 0..READERS {
            steps.extend(self.of_reader(world, at));
            steps.extend(self.ask(world, at));
        }
        steps.push(Self::look(world));
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), String> {
        if let Some(wrong) = world.wrong {
            return Err(wrong.to_owned());
        }
        let Some(after) = world.follower.after else {
            return Ok(());
        };
        // Each key must have its value as of the follower's revision or a later one.
        let is_known = |key: usize| {
            let mut later = after..=world.changes.len();
            later.any(|revision| held(&world.changes, revision, key) == world.follower.holds[key])
        };
        match (0..KEYS.len()).all(is_known) {
            true => Ok(()),
            false => Err("the follower missed a change".to_owned()),
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
    explore(&Spread { broken }, MOST_STATES)
}

#[test]
fn a_follower_misses_nothing_and_never_goes_back() {
    let states = explored(Break::Nothing).unwrap_or_else(|found| panic!("{found}"));
    println!("{states} states of readers and a follower explored");
    assert!(states > 10_000, "{states}");
}

// Each fault is a plausible mistake in a reader or a follower. Its effect would be requests sent to
// endpoints that have left, or routes that are never served.
#[test]
fn each_deliberate_break_is_found() {
    let cases = [
        (Break::TooFar, "the follower missed a change"),
        (Break::SkipsWhatItMissed, "the follower missed a change"),
        (Break::KeepsWhatIsGone, "the follower missed a change"),
        (
            Break::TellsWhileAway,
            "a reader without the service reports no changes",
        ),
    ];
    for (broken, promise) in cases {
        let found = explored(broken).expect_err("the fault is detected");
        println!("{broken:?}: {found}");
        assert_eq!(found.broken, promise, "{broken:?}");
    }
}
