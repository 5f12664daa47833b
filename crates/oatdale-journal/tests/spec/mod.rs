//! Specification of the journal as a small state machine: two nodes, one shard, and a key-value
//! service whose responses may be late or lost.
//!
//! Records are applied by the crate's own [`Fold`]. The rest models log.rs, compact.rs and
//! export.rs, with each call to the service as a separate step. A write in flight may arrive at any
//! later time, even if its sender has crashed.

mod act;
mod node;
mod truth;

use oatdale_check::Spec;
use oatdale_journal::{FinalEntry, Fold, Millis, Record, RequestId, Retention};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub(crate) use node::Node;
pub(crate) use truth::KEY;

/// Number of slots in the ring.
pub(crate) const SLOTS: u8 = 2;

/// All segments carry the same time, so that nothing expires.
pub(crate) const WRITTEN_AT: Millis = Millis(1_000_000);

/// Design fault that is injected into the specification.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Fault {
    None,
    /// Each segment has its own key, created if absent and deleted once compacted.
    DeleteCompactedSegments,
    /// A segment replaces its slot without a condition.
    UnconditionalAppend,
    /// An append whose response is lost counts as stored.
    AssumeStoredWithoutResponse,
    /// A node dispatches a claim that it released if the claim turns out to be won.
    DispatchAfterRelease,
    /// A segment may replace one that is not compacted yet.
    OverwriteUncompactedSegments,
    /// A compactor whose manifest write lost deletes its pages without checking if they are listed.
    DeletePagesUnchecked,
    /// A compactor reuses the page names of its previous attempt.
    ReusePageNames,
    /// The manifest is replaced without a condition.
    UnconditionalManifest,
    /// Truncation removes all listed bills, also those that were not exported.
    TruncateUnexported,
    /// Truncation drops the record of which requests have a bill.
    ForgetBilledRequests,
    /// A bill is acknowledged when it is sent.
    AcknowledgeBeforeStored,
}

/// Specification: the workload of the nodes, the injected fault and the bounds of the search.
#[derive(Clone)]
pub(crate) struct JournalSpec {
    pub(crate) fault: Fault,
    /// The records that each node writes. After a crash it writes its bill records again.
    pub(crate) workload: [Vec<Record>; 2],
    /// Whether a node may compact.
    pub(crate) can_compact: [bool; 2],
    /// Whether the second node exports.
    pub(crate) second_node_exports: bool,
    /// Whether nodes may release claims.
    pub(crate) can_release_claims: bool,
    /// Maximum number of crashes in total.
    pub(crate) max_crashes: u8,
    /// Maximum number of writes without a response in total.
    pub(crate) max_lost_responses: u8,
    /// Maximum number of segments in the log.
    pub(crate) max_segments: u8,
    /// Highest manifest generation that compactions may reach; truncations may exceed it.
    pub(crate) max_generation: u8,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) struct Segment {
    pub(crate) seq: u8,
    pub(crate) records: Rc<Vec<Record>>,
}

/// Name of a page: generation, writer, attempt, and whether it holds bills.
pub(crate) type PageName = (u8, u8, u8, bool);

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) enum Page {
    State(Rc<Fold>),
    Bills(Rc<Vec<FinalEntry>>),
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
pub(crate) struct Manifest {
    pub(crate) generation: u8,
    pub(crate) writer: u8,
    /// Number of the first segment that the pages do not cover.
    pub(crate) next: u8,
    pub(crate) state: Option<PageName>,
    pub(crate) bills: Vec<PageName>,
}

/// Write in flight.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) struct Write {
    /// Index of the sending node.
    pub(crate) from: usize,
    pub(crate) payload: Payload,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) enum Payload {
    /// A segment, and the number of the segment that its slot must hold.
    Segment(Segment, Option<u8>),
    /// A manifest, the generation that it must replace, and the exported pages that it truncates.
    Manifest(Rc<Manifest>, u8, Vec<PageName>),
}

/// State of the service and the nodes, and the effects that callers and operators have observed.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) struct World {
    pub(crate) slots: BTreeMap<u8, Segment>,
    pub(crate) manifest: Rc<Manifest>,
    pub(crate) pages: BTreeMap<PageName, Page>,
    pub(crate) writes: Vec<Write>,
    pub(crate) nodes: [Node; 2],
    pub(crate) crashes: u8,
    pub(crate) lost_responses: u8,
    /// Requests under the claim key that were dispatched to an endpoint.
    pub(crate) dispatched: BTreeSet<RequestId>,
    /// Requests with a bill record that was acknowledged as durable.
    pub(crate) acknowledged: BTreeSet<RequestId>,
    /// Exported bills: request and output tokens.
    pub(crate) exported: BTreeSet<(RequestId, u64)>,
    /// Requests whose bills were truncated.
    pub(crate) truncated: BTreeSet<RequestId>,
}

impl JournalSpec {
    /// Returns the key under which segment `seq` is stored.
    pub(crate) fn slot_key(&self, seq: u8) -> u8 {
        match self.fault {
            Fault::DeleteCompactedSegments => seq,
            _ => seq % SLOTS,
        }
    }

    /// Delivers a write to the service. Returns whether its condition held and it took effect.
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

    /// Steps in which a write in flight arrives, with or without its response.
    fn delivery_steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        for (index, write) in world.writes.iter().enumerate() {
            let mut next = world.clone();
            next.writes.remove(index);
            let is_awaited = next.nodes[write.from].awaits(write);
            let applied = self.apply_write(&mut next, write);
            let name = format!("{} arrives, applied: {applied}", describe(write));
            if is_awaited && world.lost_responses < self.max_lost_responses {
                let mut unanswered = next.clone();
                unanswered.lost_responses += 1;
                self.time_out(&mut unanswered, write);
                steps.push((format!("{name}, response lost"), unanswered));
            }
            if is_awaited {
                self.receive_response(&mut next, write, applied);
            }
            steps.push((name, next));
        }
        steps
    }

    /// Steps in which a node stops waiting for a write that arrives later or never.
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
            steps.push((
                format!("{} times out and stays in flight", describe(write)),
                delayed,
            ));
            steps.push((
                format!("{} times out and is lost", describe(write)),
                dropped,
            ));
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
