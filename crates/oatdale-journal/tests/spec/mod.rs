//! The journal as a small state machine: two nodes, one shard, a service that answers late or not.
//!
//! What the records add up to is the crate's own [`Fold`]; the rest follows log.rs, compact.rs and
//! export.rs step by step, with every call to the service a step of its own. A write that is under
//! way may arrive at any later time, whatever became of its sender.

mod act;
mod node;
mod truth;

use oatdale_check::Spec;
use oatdale_journal::{Entry, Fold, Millis, Record, RequestId, Retention};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub(crate) use node::Node;
pub(crate) use truth::KEY;

/// How many slots the ring has.
pub(crate) const SLOTS: u8 = 2;

/// All segments are written at one time, so that nothing expires.
pub(crate) const WRITTEN_AT: Millis = Millis(1_000_000);

/// A deliberate fault of the design.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Fault {
    None,
    /// Segments are keys of their own, created if absent and deleted once compacted.
    DeleteCompactedSegments,
    /// A segment replaces whatever its slot holds.
    UnconditionalAppend,
    /// An append whose answer is lost counts as stored.
    AssumeStoredWithoutResponse,
    /// A node that gave a claim up dispatches it when it turns out to be won.
    DispatchAfterRelease,
    /// A segment may replace one that no page covers yet.
    OverwriteUncompactedSegments,
    /// A compactor that sees its manifest lose deletes its pages without asking if they are listed.
    DeletePagesUnchecked,
    /// A compactor reuses the names of its last try's pages.
    ReusePageNames,
    /// The manifest is replaced without a condition.
    UnconditionalManifest,
    /// An export truncates all that is listed, not just what it took.
    TruncateUnexported,
    /// Truncation forgets which requests have their bill.
    ForgetBilledRequests,
    /// A bill counts as durable once it is sent.
    AcknowledgeBeforeStored,
}

/// What the nodes have to do and how far the search goes.
#[derive(Clone)]
pub(crate) struct JournalSpec {
    pub(crate) fault: Fault,
    /// The records that each node writes, again if it crashes.
    pub(crate) workload: [Vec<Record>; 2],
    /// Whether a node may compact.
    pub(crate) can_compact: [bool; 2],
    /// Whether the second node exports.
    pub(crate) second_node_exports: bool,
    /// Whether nodes give up on claims.
    pub(crate) can_release_claims: bool,
    /// How many crashes there may be in all.
    pub(crate) max_crashes: u8,
    /// How many writes may lack an answer in all.
    pub(crate) max_lost_responses: u8,
    /// How long the log may get.
    pub(crate) max_segments: u8,
    /// How high the manifest's generation may get.
    pub(crate) max_generation: u8,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) struct Segment {
    pub(crate) seq: u8,
    pub(crate) records: Rc<Vec<Record>>,
}

/// Generation, writer, attempt and whether it holds bills.
pub(crate) type PageName = (u8, u8, u8, bool);

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) enum Page {
    State(Rc<Fold>),
    Bills(Rc<Vec<Entry>>),
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
pub(crate) struct Manifest {
    pub(crate) generation: u8,
    pub(crate) writer: u8,
    pub(crate) next: u8,
    pub(crate) state: Option<PageName>,
    pub(crate) bills: Vec<PageName>,
}

/// A write that is under way.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) struct Write {
    pub(crate) from: usize,
    pub(crate) payload: Payload,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) enum Payload {
    /// A segment, and the segment that its slot must hold.
    Segment(Segment, Option<u8>),
    /// A manifest, and the generation that must be there; with what an export took.
    Manifest(Rc<Manifest>, u8, Vec<PageName>),
}

/// The service, the nodes, and what was promised to callers and operators.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) struct World {
    pub(crate) slots: BTreeMap<u8, Segment>,
    pub(crate) manifest: Rc<Manifest>,
    pub(crate) pages: BTreeMap<PageName, Page>,
    pub(crate) writes: Vec<Write>,
    pub(crate) nodes: [Node; 2],
    pub(crate) crashes: u8,
    pub(crate) lost_responses: u8,
    /// Requests that were sent to an endpoint under the one claim key.
    pub(crate) dispatched: BTreeSet<RequestId>,
    /// Requests whose bill a node was told to be durable.
    pub(crate) acknowledged: BTreeSet<RequestId>,
    /// Bills that operators have.
    pub(crate) exported: BTreeSet<(RequestId, u64)>,
    /// Requests whose bills were removed.
    pub(crate) truncated: BTreeSet<RequestId>,
}

impl JournalSpec {
    pub(crate) fn slot_key(&self, seq: u8) -> u8 {
        match self.fault {
            Fault::DeleteCompactedSegments => seq,
            _ => seq % SLOTS,
        }
    }

    /// A write arrives; true if it takes effect.
    pub(crate) fn apply_write(&self, world: &mut World, write: &Write) -> bool {
        match &write.payload {
            Payload::Segment(segment, expected) => {
                let key = self.slot_key(segment.seq);
                let is_current = world.slots.get(&key).map(|s| s.seq) == *expected;
                let applied = is_current || self.fault == Fault::UnconditionalAppend;
                if applied {
                    world.slots.insert(key, segment.clone());
                }
                applied
            }
            Payload::Manifest(manifest, expected, exported_pages) => {
                let is_current = world.manifest.generation == *expected;
                let applied = is_current || self.fault == Fault::UnconditionalManifest;
                if applied {
                    let removed = truth::requests_on_pages(world, exported_pages);
                    world.truncated.extend(removed);
                    world.manifest = Rc::clone(manifest);
                }
                applied
            }
        }
    }

    fn delivery_steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        for (index, write) in world.writes.iter().enumerate() {
            let mut next = world.clone();
            next.writes.remove(index);
            let is_awaited = next.nodes[write.from].awaits(write);
            let applied = self.apply_write(&mut next, write);
            let name = format!("{} arrives: {applied}", describe(write));
            if is_awaited && world.lost_responses < self.max_lost_responses {
                let mut unanswered = next.clone();
                unanswered.lost_responses += 1;
                self.time_out(&mut unanswered, write);
                steps.push((format!("{name}, its answer is lost"), unanswered));
            }
            if is_awaited {
                self.receive_response(&mut next, write, applied);
            }
            steps.push((name, next));
        }
        steps
    }

    /// A node stops waiting for a write that may arrive later, or never.
    fn timeout_steps(&self, world: &World) -> Vec<(String, World)> {
        if world.lost_responses >= self.max_lost_responses {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for (index, write) in world.writes.iter().enumerate() {
            if !world.nodes[write.from].awaits(write) {
                continue;
            }
            let mut delayed = world.clone();
            delayed.lost_responses += 1;
            self.time_out(&mut delayed, write);
            let mut dropped = delayed.clone();
            dropped.writes.remove(index);
            steps.push((format!("no answer to {} yet", describe(write)), delayed));
            steps.push((format!("{} is lost", describe(write)), dropped));
        }
        steps
    }
}

impl Spec for JournalSpec {
    type State = World;

    fn initial(&self) -> Vec<World> {
        let node = |index: usize| Node::with_records(index, self.workload[index].clone());
        vec![World {
            slots: BTreeMap::new(),
            manifest: Rc::default(),
            pages: BTreeMap::new(),
            writes: Vec::new(),
            nodes: [node(0), node(1)],
            crashes: 0,
            lost_responses: 0,
            dispatched: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            exported: BTreeSet::new(),
            truncated: BTreeSet::new(),
        }]
    }

    fn steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = self.delivery_steps(world);
        steps.extend(self.timeout_steps(world));
        steps.extend(self.node_steps(world, 0));
        steps.extend(self.node_steps(world, 1));
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), String> {
        truth::check_invariant(self, world)
    }
}

pub(crate) fn empty_fold() -> Rc<Fold> {
    Rc::new(Fold::new(Retention::default()))
}

fn describe(write: &Write) -> String {
    let from = write.from;
    match &write.payload {
        Payload::Segment(segment, _) => format!("node {from} segment {}", segment.seq),
        Payload::Manifest(manifest, ..) => format!("node {from} manifest {}", manifest.generation),
    }
}
