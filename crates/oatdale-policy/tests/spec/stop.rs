//! Stop of a bad version: nodes decide it and learn of it in any order, and configuration changes
//! end it.
//!
//! The rules are the production functions `admits` and `stop_holds`. A stop is recorded beside the
//! configuration with the revision at which it was decided; it ends only by a newer revision that
//! changes the configuration of that version.

use oatdale_check::{Spec, explore};
use oatdale_config::{Revision, VersionState};
use oatdale_policy::{Work, admits, stop_holds};

const NODES: usize = 3;
const MAX_REVISION: u64 = 4;
const MAX_STATES: usize = 2_000_000;

/// Fault that is injected into the specification.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    /// Any newer revision ends a stop, also one that does not change the version.
    AnyRevisionEnds,
    /// A node that restarts opens sessions before it has read the stop record.
    RestartForgets,
    /// A stop also refuses sessions that are pinned to the version.
    PinnedIsStopped,
    /// A node whose revision is older than the stop overwrites the record with "no stop".
    StaleNodeClears,
}

/// The platform's stop record and the state of the nodes.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    /// The newest revision, and the newest one that changed the version.
    newest: u64,
    changed_at: u64,
    /// The revision at which the recorded stop was decided.
    record: Option<u64>,
    /// Whether a stop was recorded that no newer revision has ended.
    is_stop_active: bool,
    nodes: [Node; NODES],
    violation: Option<Violation>,
}

/// State of one node.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Node {
    revision: u64,
    changed_at: u64,
    /// The stop that the node knows of, and whether it has read the record since its start.
    stop: Option<u64>,
    has_read: bool,
    /// Whether the stop has been in force at the node; from then on it must hold.
    has_applied_stop: bool,
}

/// Violation of an invariant.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Violation {
    /// A stopped version got a new session.
    OpenedStopped,
    /// A stop refused a pinned session.
    PinnedRefused,
    /// The record of an active stop was cleared without a newer revision.
    RecordLost,
}

struct Stop {
    fault: Fault,
}

impl Stop {
    /// Whether the stop is in force at a node.
    fn is_stopped(&self, node: &Node) -> bool {
        let Some(stopped_at) = node.stop else {
            return false;
        };
        let ended_by = match self.fault {
            Fault::AnyRevisionEnds => node.revision,
            _ => node.changed_at,
        };
        stop_holds(Revision(stopped_at), Revision(ended_by))
    }

    /// The operator publishes a revision, which may change the version.
    fn operator_steps(world: &World) -> Vec<(String, World)> {
        if world.newest == MAX_REVISION {
            return Vec::new();
        }
        let mut unrelated = world.clone();
        unrelated.newest += 1;
        let mut relevant = unrelated.clone();
        relevant.changed_at = relevant.newest;
        relevant.is_stop_active = false;
        relevant
            .nodes
            .iter_mut()
            .for_each(|node| node.has_applied_stop = false);
        vec![
            ("revision does not change the version".to_owned(), unrelated),
            ("revision changes the version".to_owned(), relevant),
        ]
    }

    /// A node applies a revision, restarts, or reads or writes the stop record.
    fn node_steps(&self, world: &World, index: usize) -> Vec<(String, World)> {
        let node = world.nodes[index];
        let mut steps = Vec::new();
        let mut step = |name: &str, change: &dyn Fn(&mut World)| {
            let mut next = world.clone();
            change(&mut next);
            if next != *world {
                steps.push((format!("node {index} {name}"), next));
            }
        };
        step("applies the newest revision", &|w| {
            w.nodes[index].revision = w.newest;
            w.nodes[index].changed_at = w.changed_at;
        });
        step("reads the stop record", &|w| {
            let known_stop = w.record.max(w.nodes[index].stop);
            w.nodes[index].stop = known_stop;
            w.nodes[index].has_read = true;
            w.nodes[index].has_applied_stop |= w.is_stop_active && known_stop >= Some(w.changed_at);
        });
        step("restarts", &|w| {
            w.nodes[index].stop = None;
            w.nodes[index].has_read = false;
            w.nodes[index].has_applied_stop = w.is_stop_active && w.record.is_some();
        });
        if node.has_read && node.stop.is_none() {
            step("finds the version bad and records the stop", &|w| {
                // A decision at an old revision does not stop the version as changed by a newer
                // one.
                w.record = w.record.max(Some(node.revision));
                w.is_stop_active |= node.revision >= w.changed_at;
                w.nodes[index].stop = Some(node.revision);
                w.nodes[index].has_applied_stop |= node.revision >= w.changed_at;
            });
        }
        if self.fault == Fault::StaleNodeClears && node.stop.is_none() {
            step("clears the stop record", &|w| {
                w.violation =
                    (w.is_stop_active && w.record.is_some()).then_some(Violation::RecordLost);
                w.record = None;
            });
        }
        steps
    }

    /// A node opens a session or refuses a pinned one against the invariant.
    fn session_steps(&self, world: &World, index: usize) -> Vec<(String, World)> {
        let node = world.nodes[index];
        let may_decide = node.has_read || self.fault == Fault::RestartForgets;
        let stopped = self.is_stopped(&node);
        let admits_new = may_decide && admits(VersionState::Serving, stopped, Work::New);
        let admits_pinned = match self.fault {
            Fault::PinnedIsStopped => !stopped,
            _ => admits(VersionState::Serving, stopped, Work::Pinned),
        };
        let mut steps = Vec::new();
        if admits_new && node.has_applied_stop && world.is_stop_active {
            let mut next = world.clone();
            next.violation = Some(Violation::OpenedStopped);
            steps.push((format!("node {index} opens a session"), next));
        }
        if !admits_pinned {
            let mut next = world.clone();
            next.violation = Some(Violation::PinnedRefused);
            steps.push((format!("node {index} refuses a pinned session"), next));
        }
        steps
    }
}

impl Spec for Stop {
    type State = World;

    fn initial(&self) -> Vec<World> {
        let node = Node {
            revision: 1,
            changed_at: 1,
            stop: None,
            has_read: true,
            has_applied_stop: false,
        };
        vec![World {
            newest: 1,
            changed_at: 1,
            record: None,
            is_stop_active: false,
            nodes: [node; NODES],
            violation: None,
        }]
    }

    fn steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Stop::operator_steps(world);
        for index in 0..NODES {
            steps.extend(self.node_steps(world, index));
            steps.extend(self.session_steps(world, index));
        }
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), String> {
        match world.violation {
            Some(Violation::OpenedStopped) => Err("a stopped version got a new session".to_owned()),
            Some(Violation::PinnedRefused) => Err("a stop refused a pinned session".to_owned()),
            Some(Violation::RecordLost) => Err("a stop ended without a revision".to_owned()),
            None => Ok(()),
        }
    }
}

#[test]
fn stop_holds_until_a_newer_revision_changes_the_version() {
    let states =
        explore(&Stop { fault: Fault::None }, MAX_STATES).unwrap_or_else(|found| panic!("{found}"));
    println!("stop: {states} states");
    assert!(states > 1_000, "{states}");
}

/// The checker must detect each of these faults by a run that is short enough for an engineer to
/// follow.
#[test]
fn every_injected_fault_is_detected_within_six_steps() {
    let faults = [
        (
            Fault::AnyRevisionEnds,
            "a stopped version got a new session",
        ),
        (Fault::RestartForgets, "a stopped version got a new session"),
        (Fault::PinnedIsStopped, "a stop refused a pinned session"),
        (Fault::StaleNodeClears, "a stop ended without a revision"),
    ];
    for (fault, expected) in faults {
        let found = explore(&Stop { fault }, MAX_STATES).expect_err("the fault is detected");
        println!("{fault:?}: {found}");
        assert_eq!(found.violation, expected, "{fault:?}");
        assert!(found.steps.len() <= 6, "{fault:?}: {found}");
    }
}
