//! A bad version's stop: nodes that decide it, hear of it in any order, and texts that end it.
//!
//! The rules are the product's own `admits` and `stop_holds`. A stop is recorded beside the text
//! with the revision at which it was decided; it ends only by a newer revision that changes what
//! the text says of that version.

use oatdale_check::{Spec, explore};
use oatdale_config::{Revision, VersionState};
use oatdale_policy::{Work, admits, stop_holds};

const NODES: usize = 3;
const REVISIONS: u64 = 4;
const MOST_STATES: usize = 2_000_000;

/// What is wrong with the system on purpose.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Break {
    None,
    /// Any newer revision ends a stop, also one about something else.
    AnyRevisionEnds,
    /// A node that restarts opens sessions before it has read the record of stops.
    RestartForgets,
    /// A stop also refuses sessions that are pinned to the version.
    PinnedIsStopped,
    /// A node whose revision is older than the stop overwrites the record with "no stop".
    StaleNodeClears,
}

/// The platform's record and what nodes know.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    /// The newest revision and the newest one that speaks of the version.
    newest: u64,
    spoken: u64,
    /// The revision at which the recorded stop was decided.
    record: Option<u64>,
    /// Whether a stop was recorded that no newer text has ended.
    due: bool,
    nodes: [Node; NODES],
    wrong: Option<Wrong>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Node {
    revision: u64,
    spoken: u64,
    /// The stop as the node has read it, and whether it has read the record since its start.
    stop: Option<u64>,
    has_read: bool,
    /// Whether the node has had the stop in force; from then on it must hold.
    knew: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Wrong {
    OpenedStopped,
    PinnedRefused,
    RecordLost,
}

struct Stop {
    fault: Break,
}

impl Stop {
    fn holds(&self, node: &Node) -> bool {
        let Some(stopped_at) = node.stop else {
            return false;
        };
        let ended_by = match self.fault {
            Break::AnyRevisionEnds => node.revision,
            _ => node.spoken,
        };
        stop_holds(Revision(stopped_at), Revision(ended_by))
    }

    fn operator(world: &World) -> Vec<(String, World)> {
        if world.newest == REVISIONS {
            return Vec::new();
        }
        let mut other = world.clone();
        other.newest += 1;
        let mut spoken = other.clone();
        spoken.spoken = spoken.newest;
        spoken.due = false;
        spoken.nodes.iter_mut().for_each(|node| node.knew = false);
        vec![
            ("a revision about something else".to_owned(), other),
            ("a revision that speaks of the version".to_owned(), spoken),
        ]
    }

    fn node_steps(&self, world: &World, at: usize) -> Vec<(String, World)> {
        let node = world.nodes[at];
        let mut steps = Vec::new();
        let mut step = |name: &str, change: &dyn Fn(&mut World)| {
            let mut next = world.clone();
            change(&mut next);
            if next != *world {
                steps.push((format!("node {at} {name}"), next));
            }
        };
        step("takes the newest revision", &|w| {
            w.nodes[at].revision = w.newest;
            w.nodes[at].spoken = w.spoken;
        });
        step("reads the record", &|w| {
            let heard = w.record.max(w.nodes[at].stop);
            w.nodes[at].stop = heard;
            w.nodes[at].has_read = true;
            w.nodes[at].knew |= w.due && heard >= Some(w.spoken);
        });
        step("restarts", &|w| {
            w.nodes[at].stop = None;
            w.nodes[at].has_read = false;
            w.nodes[at].knew = w.due && w.record.is_some();
        });
        if node.has_read && node.stop.is_none() {
            step("finds the version bad and records the stop", &|w| {
                // A decision on an old text does not stop what a newer text put in its place.
                w.record = w.record.max(Some(node.revision));
                w.due |= node.revision >= w.spoken;
                w.nodes[at].stop = Some(node.revision);
                w.nodes[at].knew |= node.revision >= w.spoken;
            });
        }
        if self.fault == Break::StaleNodeClears && node.stop.is_none() {
            step("clears the record", &|w| {
                w.wrong = (w.due && w.record.is_some()).then_some(Wrong::RecordLost);
                w.record = None;
            });
        }
        steps
    }

    fn sessions(&self, world: &World, at: usize) -> Vec<(String, World)> {
        let node = world.nodes[at];
        let may_decide = node.has_read || self.fault == Break::RestartForgets;
        let stopped = self.holds(&node);
        let opens = may_decide && admits(VersionState::Serving, stopped, Work::New);
        let goes_on = match self.fault {
            Break::PinnedIsStopped => !stopped,
            _ => admits(VersionState::Serving, stopped, Work::Pinned),
        };
        let mut steps = Vec::new();
        if opens && node.knew && world.due {
            let mut next = world.clone();
            next.wrong = Some(Wrong::OpenedStopped);
            steps.push((format!("node {at} opens a session"), next));
        }
        if !goes_on {
            let mut next = world.clone();
            next.wrong = Some(Wrong::PinnedRefused);
            steps.push((format!("node {at} refuses a pinned session"), next));
        }
        steps
    }
}

impl Spec for Stop {
    type State = World;

    fn initial(&self) -> Vec<World> {
        let node = Node {
            revision: 1,
            spoken: 1,
            stop: None,
            has_read: true,
            knew: false,
        };
        vec![World {
            newest: 1,
            spoken: 1,
            record: None,
            due: false,
            nodes: [node; NODES],
            wrong: None,
        }]
    }

    fn steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Stop::operator(world);
        for at in 0..NODES {
            steps.extend(self.node_steps(world, at));
            steps.extend(self.sessions(world, at));
        }
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), String> {
        match world.wrong {
            Some(Wrong::OpenedStopped) => Err("a stopped version got a new session".to_owned()),
            Some(Wrong::PinnedRefused) => Err("a stop cut off a pinned session".to_owned()),
            Some(Wrong::RecordLost) => Err("a stop ended without a newer text".to_owned()),
            None => Ok(()),
        }
    }
}

#[test]
fn a_stop_holds_until_a_newer_text_speaks_of_the_version() {
    let states = explore(&Stop { fault: Break::None }, MOST_STATES)
        .unwrap_or_else(|found| panic!("{found}"));
    println!("stop: {states} states");
    assert!(states > 1_000, "{states}");
}

/// The checker must notice each of these faults, by a short run that an engineer can follow.
#[test]
fn each_break_is_found_by_a_short_run() {
    let breaks = [
        (
            Break::AnyRevisionEnds,
            "a stopped version got a new session",
        ),
        (Break::RestartForgets, "a stopped version got a new session"),
        (Break::PinnedIsStopped, "a stop cut off a pinned session"),
        (Break::StaleNodeClears, "a stop ended without a newer text"),
    ];
    for (fault, broken) in breaks {
        let found = explore(&Stop { fault }, MOST_STATES).expect_err("the break is found");
        println!("{fault:?}: {found}");
        assert_eq!(found.broken, broken, "{fault:?}");
        assert!(found.steps.len() <= 6, "{fault:?}: {found}");
    }
}
