//! Two nodes with configuration revisions of their own, sessions that move between them, and an
//! operator who rolls a version out and withdraws it.
//!
//! The rule of what a version takes is the product's own function `admits`; nodes, sessions and
//! the spread of revisions are small stand-ins. The breaks show that the checker would notice.

use oatdale_check::{Spec, explore};
use oatdale_config::VersionState;
use oatdale_policy::{Work, admits};

/// Versions of one model.
const VERSIONS: usize = 2;

/// Nodes that serve.
const NODES: usize = 2;

/// Changes of the text that the operator may make.
const CHANGES: usize = 3;

/// Requests that the callers may make of a session.
const REQUESTS: u8 = 2;

const MOST_STATES: usize = 2_000_000;

/// A version's state, small enough to explore.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum State {
    Canary,
    Serving,
    Draining,
    Withdrawn,
}

impl State {
    fn of_text(self) -> VersionState {
        match self {
            State::Canary => VersionState::Canary { share: 0.5 },
            State::Serving => VersionState::Serving,
            State::Draining => VersionState::Draining,
            State::Withdrawn => VersionState::Withdrawn,
        }
    }
}

/// What is wrong with the system on purpose.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Break {
    None,
    /// Pinned requests run whatever the version's state.
    PinnedIgnoresState,
    /// A request that waits keeps the decision made on its arrival.
    WaitingIsNotCheckedAgain,
    /// A session whose version is gone goes on with another.
    SessionMoves,
    /// A node takes any revision it hears of, also a lower one.
    RevisionMayFall,
}

/// One text: the states of all versions.
type Text = [State; VERSIONS];

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    /// Accepted texts by revision.
    texts: Vec<Text>,
    /// The revision in force at each node, and the highest it ever had.
    revisions: [usize; NODES],
    highest: [usize; NODES],
    /// The version that the session was opened with, if it was.
    pinned: Option<usize>,
    requests: u8,
    /// A request that waits at a node, with the version chosen on its arrival.
    waiting: Option<(usize, usize)>,
    /// What went wrong with the last request that ran.
    wrong: Option<Wrong>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Wrong {
    Withdrawn,
    Moved,
    Opened,
}

struct Rollout {
    fault: Break,
}

impl Rollout {
    fn state(world: &World, node: usize, version: usize) -> State {
        world.texts[world.revisions[node]][version]
    }

    fn admits(world: &World, node: usize, version: usize, work: Work) -> bool {
        admits(Self::state(world, node, version).of_text(), false, work)
    }

    fn changes(world: &World) -> Vec<(String, World)> {
        if world.texts.len() > CHANGES {
            return Vec::new();
        }
        let newest = world.texts[world.texts.len() - 1];
        let states = [
            State::Canary,
            State::Serving,
            State::Draining,
            State::Withdrawn,
        ];
        let mut steps = Vec::new();
        for version in 0..VERSIONS {
            for state in states.into_iter().filter(|&s| s != newest[version]) {
                let mut next = world.clone();
                let mut text = newest;
                text[version] = state;
                next.texts.push(text);
                steps.push((format!("operator makes version {version} {state:?}"), next));
            }
        }
        steps
    }

    fn spread(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        for node in 0..NODES {
            for revision in 0..world.texts.len() {
                let rises = revision > world.revisions[node];
                let falls = revision < world.revisions[node];
                if rises || (falls && self.fault == Break::RevisionMayFall) {
                    let mut next = world.clone();
                    next.revisions[node] = revision;
                    next.highest[node] = next.highest[node].max(revision);
                    steps.push((format!("node {node} takes revision {revision}"), next));
                }
            }
        }
        steps
    }

    fn opens(world: &World) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        for node in (0..NODES).filter(|_| world.pinned.is_none()) {
            for version in 0..VERSIONS {
                if !Self::admits(world, node, version, Work::New) {
                    continue;
                }
                let mut next = world.clone();
                next.pinned = Some(version);
                next.wrong = match Self::state(world, node, version) {
                    State::Draining | State::Withdrawn => Some(Wrong::Opened),
                    State::Canary | State::Serving => None,
                };
                steps.push((format!("session opens at node {node} on {version}"), next));
            }
        }
        steps
    }

    /// The session's next request arrives at a node and waits there.
    fn arrives(&self, world: &World) -> Vec<(String, World)> {
        let Some(pinned) = world.pinned else {
            return Vec::new();
        };
        if world.waiting.is_some() || world.requests == REQUESTS {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for node in 0..NODES {
            let Some(version) = self.version_of(world, node, pinned) else {
                continue;
            };
            let mut next = world.clone();
            next.waiting = Some((node, version));
            next.requests += 1;
            steps.push((format!("a request waits at node {node}"), next));
        }
        steps
    }

    /// The version that a pinned request gets at a node, if any.
    fn version_of(&self, world: &World, node: usize, pinned: usize) -> Option<usize> {
        let is_admitted = Self::admits(world, node, pinned, Work::Pinned);
        let other = (0..VERSIONS).find(|&v| Self::admits(world, node, v, Work::New));
        match self.fault {
            _ if is_admitted => Some(pinned),
            Break::PinnedIgnoresState => Some(pinned),
            Break::SessionMoves => other,
            _ => None,
        }
    }

    /// The waiting request runs or is refused.
    fn runs(&self, world: &World) -> Vec<(String, World)> {
        let Some((node, version)) = world.waiting else {
            return Vec::new();
        };
        let mut next = world.clone();
        next.waiting = None;
        let again = match self.fault {
            Break::WaitingIsNotCheckedAgain => Some(version),
            _ => self.version_of(world, node, version),
        };
        let Some(version) = again else {
            return vec![(format!("node {node} refuses the request"), next)];
        };
        next.wrong = match () {
            () if Some(version) != world.pinned => Some(Wrong::Moved),
            () if Self::state(world, node, version) == State::Withdrawn => Some(Wrong::Withdrawn),
            () => None,
        };
        vec![(format!("node {node} runs the request on {version}"), next)]
    }
}

impl Spec for Rollout {
    type State = World;

    fn initial(&self) -> Vec<World> {
        vec![World {
            texts: vec![[State::Serving, State::Canary]],
            revisions: [0; NODES],
            highest: [0; NODES],
            pinned: None,
            requests: 0,
            waiting: None,
            wrong: None,
        }]
    }

    fn steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Rollout::changes(world);
        steps.extend(self.spread(world));
        steps.extend(Rollout::opens(world));
        steps.extend(self.arrives(world));
        steps.extend(self.runs(world));
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), String> {
        match world.wrong {
            Some(Wrong::Withdrawn) => Err("a withdrawn version received work".to_owned()),
            Some(Wrong::Moved) => Err("a session left its version".to_owned()),
            Some(Wrong::Opened) => Err("a session opened on a closed version".to_owned()),
            None if world.revisions != world.highest => Err("a revision fell".to_owned()),
            None => Ok(()),
        }
    }
}

#[test]
fn versions_and_sessions_keep_their_promises() {
    let states = explore(&Rollout { fault: Break::None }, MOST_STATES)
        .unwrap_or_else(|found| panic!("{found}"));
    println!("roll-out: {states} states");
    assert!(states > 10_000, "{states}");
}

/// The checker must notice each of these faults, by a short run that an engineer can follow.
#[test]
fn each_break_is_found_by_a_short_run() {
    let breaks = [
        (
            Break::PinnedIgnoresState,
            "a withdrawn version received work",
        ),
        (
            Break::WaitingIsNotCheckedAgain,
            "a withdrawn version received work",
        ),
        (Break::SessionMoves, "a session left its version"),
        (Break::RevisionMayFall, "a revision fell"),
    ];
    for (fault, broken) in breaks {
        let found = explore(&Rollout { fault }, MOST_STATES).expect_err("the break is found");
        println!("{fault:?}: {found}");
        assert_eq!(found.broken, broken, "{fault:?}");
        assert!(found.steps.len() <= 6, "{fault:?}: {found}");
    }
}
