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
pub(crate) const AT: Millis = Millis(1_000_000);

/// A deliberate fault of the design.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Break {
    None,
    /// Segments are keys of their own, created if absent and deleted once compacted.
    DeletedSegments,
    /// A segment replaces whatever its slot holds.
    BlindAppend,
    /// An append whose answer is lost counts as stored.
    TrustLostAnswer,
    /// A node that gave a claim up dispatches it when it turns out to be won.
    DispatchAfterGivingUp,
    /// A segment may replace one that no page covers yet.
    RingOverrun,
    /// A compactor that sees its manifest lose deletes its pages without asking if they are listed.
    DeleteOwnPages,
    /// A compactor reuses the names of its last try's pages.
    ReusedPageNames,
    /// The manifest is replaced without a condition.
    BlindManifest,
    /// An export truncates all that is listed, not just what it took.
    TruncateAll,
    /// Truncation forgets which requests have their bill.
    ForgetSettled,
    /// A bill counts as durable once it is sent.
    AckWhenSent,
}

/// What the nodes have to do and how far the search goes.
#[derive(Clone)]
pub(crate) struct Journal {
    pub(crate) broken: Break,
    /// The records that each node writes, again if it crashes.
    pub(crate) jobs: [Vec<Record>; 2],
    /// Whether a node may compact.
    pub(crate) compacts: [bool; 2],
    /// Whether the second node exports.
    pub(crate) exports: bool,
    /// Whether nodes give up on claims.
    pub(crate) gives_up: bool,
    /// How many crashes there may be in all.
    pub(crate) crashes: u8,
    /// How many writes may lack an answer in all.
    pub(crate) lost: u8,
    /// How long the log may get.
    pub(crate) segments: u8,
    /// How high the manifest's generation may get.
    pub(crate) generations: u8,
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
    pub(crate) what: What,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) enum What {
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
    pub(crate) lost: u8,
    /// Requests that were sent to an endpoint under the one claim key.
    pub(crate) dispatched: BTreeSet<RequestId>,
    /// Requests whose bill a node was told to be durable.
    pub(crate) acknowledged: BTreeSet<RequestId>,
    /// Bills that operators have.
    pub(crate) exported: BTreeSet<(RequestId, u64)>,
    /// Requests whose bills were removed.
    pub(crate) truncated: BTreeSet<RequestId>,
}

impl Journal {
    pub(crate) fn key(&self, seq: u8) -> u8 {
        match self.broken {
            Break::DeletedSegments => seq,
            _ => seq % SLOTS,
        }
    }

    /// A write arrives; true if it takes effect.
    pub(crate) fn arrive(&self, world: &mut World, write: &Write) -> bool {
        match &write.what {
            What::Segment(segment, wanted) => {
                let key = self.key(segment.seq);
                let holds = world.slots.get(&key).map(|s| s.seq) == *wanted;
                let effect = holds || self.broken == Break::BlindAppend;
                if effect {
                    world.slots.insert(key, segment.clone());
                }
                effect
            }
            What::Manifest(manifest, wanted, taken) => {
                let holds = world.manifest.generation == *wanted;
                let effect = holds || self.broken == Break::BlindManifest;
                if effect {
                    let removed = truth::requests(world, taken);
                    world.truncated.extend(removed);
                    world.manifest = Rc::clone(manifest);
                }
                effect
            }
        }
    }

    fn arrivals(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        for (index, write) in world.writes.iter().enumerate() {
            let mut next = world.clone();
            next.writes.remove(index);
            let waits = next.nodes[write.from].waits_for(write);
            let effect = self.arrive(&mut next, write);
            let name = format!("{} arrives: {effect}", describe(write));
            if waits && world.lost < self.lost {
                let mut silent = next.clone();
                silent.lost += 1;
                self.no_answer(&mut silent, write);
                steps.push((format!("{name}, its answer is lost"), silent));
            }
            if waits {
                self.answer(&mut next, write, effect);
            }
            steps.push((name, next));
        }
        steps
    }

    /// A node stops waiting for a write that may arrive later, or never.
    fn silences(&self, world: &World) -> Vec<(String, World)> {
        if world.lost >= self.lost {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for (index, write) in world.writes.iter().enumerate() {
            if !world.nodes[write.from].waits_for(write) {
                continue;
            }
            let mut late = world.clone();
            late.lost += 1;
            self.no_answer(&mut late, write);
            let mut never = late.clone();
            never.writes.remove(index);
            steps.push((format!("no answer to {} yet", describe(write)), late));
            steps.push((format!("{} is lost", describe(write)), never));
        }
        steps
    }
}

impl Spec for Journal {
    type State = World;

    fn initial(&self) -> Vec<World> {
        let node = |index: usize| Node::fresh(index, self.jobs[index].clone());
        vec![World {
            slots: BTreeMap::new(),
            manifest: Rc::default(),
            pages: BTreeMap::new(),
            writes: Vec::new(),
            nodes: [node(0), node(1)],
            crashes: 0,
            lost: 0,
            dispatched: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            exported: BTreeSet::new(),
            truncated: BTreeSet::new(),
        }]
    }

    fn steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = self.arrivals(world);
        steps.extend(self.silences(world));
        steps.extend(self.node_steps(world, 0));
        steps.extend(self.node_steps(world, 1));
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), String> {
        truth::check(self, world)
    }
}

pub(crate) fn empty_fold() -> Rc<Fold> {
    Rc::new(Fold::new(Retention::default()))
}

fn describe(write: &Write) -> String {
    let from = write.from;
    match &write.what {
        What::Segment(segment, _) => format!("node {from}'s segment {}", segment.seq),
        What::Manifest(manifest, ..) => format!("node {from}'s manifest {}", manifest.generation),
    }
}
