//! Readers and a follower, explored: the service's records change, readers read late, in batches or everything anew,
//! are cut off, die and come back, and the follower goes from one to the other and to the service.
//!
//! What a reader tells is the product's own `Replica`, given what the model's reader has read. The service is a list
//! of changes, of which each has the next revision.

use bytes::Bytes;
use futures::FutureExt;
use oatdale_check::{Counterexample, Spec, explore};
use oatdale_relay::{Content, FetchRequest, Record, Replica, ReplicaUpdate, Revision, Topic};
use tokio::runtime::Builder;

const READERS: usize = 2;

/// Keys that are written and deleted.
const KEYS: [&str; 2] = ["a", "b"];

/// Changes that are made at the most.
const CHANGES: usize = 3;

/// Times that a reader reads at the most in one life.
const READS: usize = 2;

const MOST_STATES: usize = 3_000_000;

/// What is wrong on purpose.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Break {
    Nothing,
    /// A reader says that it has read up to the service's revision, though its watch told of less.
    TooFar,
    /// A reader that the service answers again goes on without what it missed.
    SkipsWhatItMissed,
    /// A follower that is told everything keeps what is not there any more.
    KeepsWhatIsGone,
    /// A reader goes on telling what it has while the service does not answer it.
    TellsWhileAway,
}

/// One change: a key, and whether it was written or deleted. Its revision is its place, from one.
type Change = (usize, bool);

/// What a reader has read, in order.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Read {
    /// Everything, at this revision.
    All(usize),
    /// The changes after the first and up to the second revision.
    Changes(usize, usize),
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Reader {
    read: Vec<Read>,
    /// Since which revision the service does not answer it, if it does not.
    away: Option<usize>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Follower {
    after: Option<usize>,
    /// The revisions at which the keys were written that it holds.
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

/// The place of a change in the service's history.
fn at(number: usize) -> Revision {
    Revision::new(1, number as u64)
}

/// What a key holds after the first `revision` changes.
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
    /// What the product's replica tells a follower after a reader has read this.
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
        // A question that is held for records that are not read yet tells nothing in the end.
        replica.tell(question).now_or_never().flatten()
    }

    /// The follower asks a reader.
    fn ask(&self, world: &World, at: usize) -> Option<(String, World)> {
        let reader = &world.readers[at];
        let told = self.told(world, reader, world.follower.after)?;
        let mut next = world.clone();
        if reader.away.is_some_and(|since| since < world.changes.len()) && told.records.is_empty() {
            next.wrong = Some("a reader that is away says that nothing is new");
        }
        self.take(&mut next, &told);
        Some((format!("the follower asks reader {at}"), next))
    }

    fn take(&self, world: &mut World, told: &ReplicaUpdate) {
        let follower = &mut world.follower;
        if told.is_snapshot && self.broken != Break::KeepsWhatIsGone {
            follower.holds = Default::default();
        }
        for record in &told.records {
            let key = KEYS.iter().position(|k| *k == record.key);
            let key = key.expect("it is one of them");
            follower.holds[key] = match &record.content {
                Content::Value(_) => Some(record.revision.number as usize),
                Content::Deleted | Content::TooLong => None,
            };
        }
        let revision = told.revision.number as usize;
        if follower.after.is_some_and(|after| revision < after) {
            world.wrong = Some("a follower went back");
        }
        follower.after = Some(revision);
    }

    /// The follower reads at the service.
    fn look(world: &World) -> (String, World) {
        let mut next = world.clone();
        let now = world.changes.len();
        next.follower = Follower {
            after: Some(now),
            holds: std::array::from_fn(|key| held(&world.changes, now, key)),
        };
        ("the follower reads at the service".to_owned(), next)
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
            step("is cut off from the service", away);
        }
        if reader.read.len() < READS {
            let and = |read| Reader {
                read: reader.read.iter().cloned().chain([read]).collect(),
                away: None,
            };
            step("reads everything", and(Read::All(now)));
            if self.broken == Break::SkipsWhatItMissed && reader.away.is_some() {
                step("is answered again", and(Read::Changes(now, now)));
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
        // Each key is as it was at the follower's revision or later.
        let is_known = |key: usize| {
            let mut later = after..=world.changes.len();
            later.any(|revision| held(&world.changes, revision, key) == world.follower.holds[key])
        };
        match (0..KEYS.len()).all(is_known) {
            true => Ok(()),
            false => Err("a follower missed a change".to_owned()),
        }
    }
}

/// Explores with a clock for the product's waits, which stands still.
fn explored(broken: Break) -> Result<usize, Counterexample> {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime starts");
    let _clock = runtime.enter();
    explore(&Spread { broken }, MOST_STATES)
}

#[test]
fn a_follower_misses_nothing_and_never_goes_back() {
    let states = explored(Break::Nothing).unwrap_or_else(|found| panic!("{found}"));
    println!("{states} states of readers and a follower");
    assert!(states > 10_000, "{states}");
}

// Each mistake is one that somebody could make in a reader or a follower. Users would see requests at endpoints that
// have left, or routes that are never served.
#[test]
fn each_deliberate_break_is_found() {
    let cases = [
        (Break::TooFar, "a follower missed a change"),
        (Break::SkipsWhatItMissed, "a follower missed a change"),
        (Break::KeepsWhatIsGone, "a follower missed a change"),
        (
            Break::TellsWhileAway,
            "a reader that is away says that nothing is new",
        ),
    ];
    for (broken, promise) in cases {
        let found = explored(broken).expect_err("the break is found");
        println!("{broken:?}: {found}");
        assert_eq!(found.broken, promise, "{broken:?}");
    }
}
