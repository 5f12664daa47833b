//! Two nodes with independent configuration revisions, sessions that move between them, and an
//! operator who rolls a version out and withdraws it.
//!
//! Whether a version admits a request is decided by the production function `admits`; nodes,
//! sessions and the replication of revisions are small models. The injected faults show that the
//! checker detects violations.

use oatdale_check::{Spec, explore};
use oatdale_config::VersionState;
use oatdale_policy::{Work, admits};

/// Versions of one model.
const VERSIONS: usize = 2;

/// Serving nodes.
const NODES: usize = 2;

/// Configuration changes that the operator may make.
const MAX_CHANGES: usize = 3;

/// Requests that callers may make in a session.
const MAX_REQUESTS: u8 = 2;

const MAX_STATES: usize = 2_000_000;

/// State of a version, small enough to explore.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum State {
    Canary,
    Serving,
    Draining,
    Withdrawn,
}

impl State {
    fn to_config(self) -> VersionState {
        match self {
            State::Canary => VersionState::Canary { share: 0.5 },
            State::Serving => VersionState::Serving,
            State::Draining => VersionState::Draining,
            State::Withdrawn => VersionState::Withdrawn,
        }
    }
}

/// Fault that is injected into the specification.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    /// Pinned requests run whatever the version's state.
    PinnedIgnoresState,
    /// A queued request keeps the decision made on its arrival.
    QueuedIsNotRechecked,
    /// A session whose version is no longer admitted continues on another one.
    SessionMigrates,
    /// A node applies any revision that it receives, also a lower one.
    RevisionRegresses,
}

/// One configuration: the states of all versions.
type VersionStates = [State; VERSIONS];

/// State of the specified system.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    /// Accepted configurations by revision.
    configs: Vec<VersionStates>,
    /// The revision in force at each node, and the highest one that it ever had.
    revisions: [usize; NODES],
    highest: [usize; NODES],
    /// The version that the session was opened with, if it was.
    pinned: Option<usize>,
    requests: u8,
    /// A queued request: its node, and the version chosen on its arrival.
    waiting: Option<(usize, usize)>,
    /// Violation by the session that opened or the request that ran last.
    violation: Option<Violation>,
}

/// Violation of an invariant.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Violation {
    /// A request ran on a withdrawn version.
    Ran,
    /// A request ran on a version other than the one its session is pinned to.
    ChangedVersion,
    /// A session opened on a closed version, that is, a draining or withdrawn one.
    Opened,
}

struct Rollout {
    fault: Fault,
}

impl Rollout {
    fn state(world: &World, node: usize, version: usize) -> State {
        world.configs[world.revisions[node]][version]
    }

    fn admits(world: &World, node: usize, version: usize, work: Work) -> bool {
        admits(Self::state(world, node, version).to_config(), false, work)
    }

    /// The operator changes the state of a version.
    fn operator_steps(world: &World) -> Vec<(String, World)> {
        if world.configs.len() > MAX_CHANGES {
            return Vec::new();
        }
        let newest = world.configs[world.configs.len() - 1];
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
                let mut config = newest;
                config[version] = state;
                next.configs.push(config);
                steps.push((format!("version {version} becomes {state:?}"), next));
            }
        }
        steps
    }

    /// A node applies a revision.
    fn replication_steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        for node in 0..NODES {
            for revision in 0..world.configs.len() {
                let rises = revision > world.revisions[node];
                let falls = revision < world.revisions[node];
                if rises || (falls && self.fault == Fault::RevisionRegresses) {
                    let mut next = world.clone();
                    next.revisions[node] = revision;
                    next.highest[node] = next.highest[node].max(revision);
                    steps.push((format!("node {node} applies revision {revision}"), next));
                }
            }
        }
        steps
    }

    /// The session opens at a node.
    fn open_steps(world: &World) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        for node in (0..NODES).filter(|_| world.pinned.is_none()) {
            for version in 0..VERSIONS {
                if !Self::admits(world, node, version, Work::New) {
                    continue;
                }
                let mut next = world.clone();
                next.pinned = Some(version);
                next.violation = match Self::state(world, node, version) {
                    State::Draining | State::Withdrawn => Some(Violation::Opened),
                    State::Canary | State::Serving => None,
                };
                steps.push((
                    format!("session opens at node {node} on version {version}"),
                    next,
                ));
            }
        }
        steps
    }

    /// The session's next request arrives at a node and is queued there.
    fn arrival_steps(&self, world: &World) -> Vec<(String, World)> {
        let Some(pinned) = world.pinned else {
            return Vec::new();
        };
        if world.waiting.is_some() || world.requests == MAX_REQUESTS {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for node in 0..NODES {
            let Some(version) = self.version_for(world, node, pinned) else {
                continue;
            };
            let mut next = world.clone();
            next.waiting = Some((node, version));
            next.requests += 1;
            steps.push((format!("a request is queued at node {node}"), next));
        }
        steps
    }

    /// Returns the version that a pinned request gets at a node, if any.
    fn version_for(&self, world: &World, node: usize, pinned: usize) -> Option<usize> {
        let is_admitted = Self::admits(world, node, pinned, Work::Pinned);
        let other = (0..VERSIONS).find(|&v| Self::admits(world, node, v, Work::New));
        match self.fault {
            _ if is_admitted => Some(pinned),
            Fault::PinnedIgnoresState => Some(pinned),
            Fault::SessionMigrates => other,
            _ => None,
        }
    }

    /// The queued request runs or is refused.
    fn execution_steps(&self, world: &World) -> Vec<(String, World)> {
        let Some((node, version)) = world.waiting else {
            return Vec::new();
        };
        let mut next = world.clone();
        next.waiting = None;
        let rechecked = match self.fault {
            Fault::QueuedIsNotRechecked => Some(version),
            _ => self.version_for(world, node, version),
        };
        let Some(version) = rechecked else {
            return vec![(format!("node {node} refuses the request"), next)];
        };
        next.violation = match () {
            () if Some(version) != world.pinned => Some(Violation::ChangedVersion),
            () if Self::state(world, node, version) == State::Withdrawn => Some(Violation::Ran),
            () => None,
        };
        vec![(
            format!("node {node} runs the request on version {version}"),
            next,
        )]
    }
}

impl Spec for Rollout {
    type State = World;

    fn initial(&self) -> Vec<World> {
        vec![World {
            configs: vec![[State::Serving, State::Canary]],
            revisions: [0; NODES],
            highest: [0; NODES],
            pinned: None,
            requests: 0,
            waiting: None,
            violation: None,
        }]
    }

    fn steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Rollout::operator_steps(world);
        steps.extend(self.replication_steps(world));
        steps.extend(Rollout::open_steps(world));
        steps.extend(self.arrival_steps(world));
        steps.extend(self.execution_steps(world));
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), String> {
        match world.violation {
            Some(Violation::Ran) => Err("a withdrawn version received work".to_owned()),
            Some(Violation::ChangedVersion) => Err("a session changed version".to_owned()),
            Some(Violation::Opened) => Err("a session opened on a closed version".to_owned()),
            None if world.revisions != world.highest => Err("a revision decreased".to_owned()),
            None => Ok(()),
        }
    }
}

#[test]
fn invariants_hold_without_faults() {
    let states = explore(&Rollout { fault: Fault::None }, MAX_STATES)
        .unwrap_or_else(|found| panic!("{found}"));
    println!("roll-out: {states} states");
    assert!(states > 10_000, "{states}");
}

/// The checker must detect each of these faults by a run that is short enough for an engineer to
/// follow.
#[test]
fn every_injected_fault_is_detected_within_six_steps() {
    let faults = [
        (
            Fault::PinnedIgnoresState,
            "a withdrawn version received work",
        ),
        (
            Fault::QueuedIsNotRechecked,
            "a withdrawn version received work",
        ),
        (Fault::SessionMigrates, "a session changed version"),
        (Fault::RevisionRegresses, "a revision decreased"),
    ];
    for (fault, expected) in faults {
        let found = explore(&Rollout { fault }, MAX_STATES).expect_err("the fault is detected");
        println!("{fault:?}: {found}");
        assert_eq!(found.violation, expected, "{fault:?}");
        assert!(found.steps.len() <= 6, "{fault:?}: {found}");
    }
}
