//! One node of the specification.

use super::act::{bill_of, delete, export, give_up, load, publish, send_again};
use super::{AT, Break, Journal, Manifest, Page, PageName, SLOTS, Segment, What, World, Write};
use oatdale_journal::{BillRecord, BillState, Entry, Fold, Record, RequestId};
use std::rc::Rc;

/// What a node does.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) enum Phase {
    /// It knows nothing.
    Fresh,
    /// It has read a manifest and reads its page next.
    Loading,
    /// It reads the log's next segment.
    Reading,
    /// It has read all there was.
    AtEnd,
    /// It waits for a segment's answer.
    Appending,
    /// It waits for a manifest's answer.
    Publishing(Rc<Publication>),
    /// Its manifest won or lost: these pages go unless they are listed.
    Deleting(Vec<PageName>),
}

/// A manifest on its way.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) struct Publication {
    /// Pages of its own that it lists.
    pub(super) own: Vec<PageName>,
    pub(super) what: What,
    /// Whether no answer came in time.
    pub(super) silent: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) struct Node {
    pub(crate) index: usize,
    pub(crate) phase: Phase,
    pub(crate) fold: Rc<Fold>,
    pub(crate) next: u8,
    pub(crate) manifest: Rc<Manifest>,
    /// What became final since the manifest.
    pub(crate) entries: Vec<(u8, Entry)>,
    /// Records that it wants in the log.
    pub(crate) jobs: Vec<Record>,
    /// Claims that it was told to have won and has not dispatched.
    pub(crate) won: Vec<RequestId>,
    /// Claims that it gave up.
    pub(crate) given_up: Vec<RequestId>,
    pub(crate) attempts: u8,
    /// Pages that its export holds and has not truncated.
    pub(crate) taken: Vec<PageName>,
}

impl Node {
    pub(crate) fn fresh(index: usize, jobs: Vec<Record>) -> Self {
        Node {
            index,
            phase: Phase::Fresh,
            fold: super::empty_fold(),
            next: 0,
            manifest: Rc::default(),
            entries: Vec::new(),
            jobs,
            won: Vec::new(),
            given_up: Vec::new(),
            attempts: 0,
            taken: Vec::new(),
        }
    }

    /// Whether the node still waits for this write's answer.
    pub(crate) fn waits_for(&self, write: &Write) -> bool {
        match (&self.phase, &write.what) {
            (Phase::Appending, What::Segment(segment, _)) => segment.seq == self.next,
            (Phase::Publishing(publication), what) => publication.what == *what,
            _ => false,
        }
    }

    fn take(&mut self, records: &[Record]) {
        let mut fold = Fold::clone(&self.fold);
        let entries = fold.apply(AT, records);
        let seq = self.next;
        self.entries.extend(entries.into_iter().map(|e| (seq, e)));
        self.fold = Rc::new(fold);
        self.next += 1;
    }

    pub(super) fn listed(&self, page: &PageName) -> bool {
        self.manifest.state.as_ref() == Some(page) || self.manifest.bills.contains(page)
    }
}

impl Journal {
    /// Takes an answer in.
    pub(crate) fn answer(&self, world: &mut World, write: &Write, effect: bool) {
        let stored = Rc::clone(&world.manifest);
        let node = &mut world.nodes[write.from];
        match (&write.what, node.phase.clone()) {
            (What::Segment(segment, _), _) if effect => {
                node.take(&segment.records);
                node.phase = Phase::Reading;
                self.resolve(world, write.from);
            }
            (What::Segment(..), _) => node.phase = Phase::Reading,
            (What::Manifest(manifest, ..), Phase::Publishing(_))
                if effect || *stored == **manifest =>
            {
                let old = node.manifest.state;
                node.manifest = Rc::clone(manifest);
                node.entries.retain(|(seq, _)| *seq >= manifest.next);
                node.taken.clear();
                let old = old.filter(|page| !node.listed(page));
                node.phase = Phase::Deleting(old.into_iter().collect());
            }
            (What::Manifest(..), Phase::Publishing(publication)) => {
                node.entries.retain(|(seq, _)| *seq >= stored.next);
                node.manifest = stored;
                node.taken.clear();
                node.phase = Phase::Deleting(publication.own.clone());
            }
            _ => {}
        }
    }

    /// A node stops waiting for an answer.
    pub(crate) fn no_answer(&self, world: &mut World, write: &Write) {
        let node = &mut world.nodes[write.from];
        match &write.what {
            What::Segment(segment, _) if self.broken == Break::TrustLostAnswer => {
                node.take(&segment.records);
                node.phase = Phase::Reading;
                self.resolve(world, write.from);
            }
            What::Segment(..) => node.phase = Phase::Reading,
            What::Manifest(..) => {
                if let Phase::Publishing(publication) = &mut node.phase {
                    Rc::make_mut(publication).silent = true;
                }
            }
        }
    }

    /// Every step that node `index` may take by itself.
    pub(crate) fn node_steps(&self, world: &World, index: usize) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        let mut step = |name: &str, act: &dyn Fn(&mut World)| {
            let mut next = world.clone();
            act(&mut next);
            steps.push((format!("node {index} {name}"), next));
        };
        let node = &world.nodes[index];
        match &node.phase {
            Phase::Fresh if self.wants_work(node) => {
                step("reads the manifest", &|w| {
                    w.nodes[index].manifest = Rc::clone(&w.manifest);
                    w.nodes[index].phase = Phase::Loading;
                });
            }
            Phase::Loading => step("reads the page of state", &|w| load(w, index)),
            Phase::Reading => step("reads the next slot", &|w| self.read(w, index)),
            Phase::AtEnd => {
                if self.may_append(node) {
                    step("sends a segment", &|w| self.send_segment(w, index));
                }
                if self.may_compact(node) {
                    step("sends a manifest", &|w| self.send_manifest(w, index));
                }
                if self.may_export(node) {
                    step("reads the pages of bills", &|w| export(w, index));
                }
                if !node.taken.is_empty() {
                    step("truncates", &|w| self.send_truncation(w, index));
                }
                if !node.jobs.is_empty() || self.exports && index == 1 {
                    step("looks at the log's end again", &|w| {
                        w.nodes[index].phase = Phase::Reading;
                    });
                }
            }
            Phase::Deleting(pages) => step("deletes pages", &|w| {
                delete(w, index, pages, self.broken);
                if self.broken == Break::DeletedSegments {
                    let covered = w.nodes[index].manifest.next;
                    w.slots.retain(|seq, _| *seq >= covered);
                }
                w.nodes[index].phase = Phase::Reading;
            }),
            Phase::Publishing(publication) if publication.silent => {
                step("gives the manifest up", &|w| {
                    w.nodes[index].phase = Phase::Fresh;
                });
                step("sends the manifest again", &|w| {
                    send_again(w, index, &publication.what);
                });
            }
            Phase::Publishing(_) | Phase::Appending | Phase::Fresh => {}
        }
        for by in &node.won {
            step(&format!("dispatches {}", by.0), &|w| {
                w.nodes[index].won.retain(|r| r != by);
                w.dispatched.insert(*by);
            });
        }
        let claim = node
            .jobs
            .iter()
            .position(|j| matches!(j, Record::Claim { .. }));
        if let (true, Some(at)) = (self.gives_up, claim) {
            step("gives its claim up", &|w| give_up(&mut w.nodes[index], at));
        }
        if world.crashes < self.crashes {
            step("crashes", &|w| {
                let attempts = w.nodes[index].attempts;
                w.crashes += 1;
                w.nodes[index] = Node::fresh(index, self.after_crash(index));
                // A new incarnation draws a new writer; counting on has the same effect here.
                w.nodes[index].attempts = attempts;
            });
        }
        steps
    }

    fn wants_work(&self, node: &Node) -> bool {
        !node.jobs.is_empty() || self.exports && node.index == 1
    }

    /// A node that crashed asks for no claim again: its caller does, elsewhere.
    fn after_crash(&self, index: usize) -> Vec<Record> {
        let bills = |job: &&Record| matches!(job, Record::Bill(_));
        self.jobs[index].iter().filter(bills).cloned().collect()
    }

    fn may_append(&self, node: &Node) -> bool {
        let room = node.next < node.manifest.next + SLOTS;
        let room = room || matches!(self.broken, Break::RingOverrun | Break::DeletedSegments);
        !node.jobs.is_empty() && node.next < self.segments && room
    }

    fn may_compact(&self, node: &Node) -> bool {
        let news = node.next > node.manifest.next;
        news && self.compacts[node.index] && node.manifest.generation < self.generations
    }

    fn may_export(&self, node: &Node) -> bool {
        let here = self.exports && node.index == 1 && node.taken.is_empty();
        here && node.entries.is_empty() && !node.manifest.bills.is_empty()
    }

    fn read(&self, world: &mut World, index: usize) {
        let node = &mut world.nodes[index];
        match world.slots.get(&self.key(node.next)) {
            Some(segment) if segment.seq == node.next => {
                let records = Rc::clone(&segment.records);
                node.take(&records);
            }
            Some(segment) if segment.seq > node.next => node.phase = Phase::Fresh,
            Some(_) | None => node.phase = Phase::AtEnd,
        }
        self.resolve(world, index);
    }

    fn send_segment(&self, world: &mut World, index: usize) {
        let node = &mut world.nodes[index];
        let segment = Segment {
            seq: node.next,
            records: Rc::new(node.jobs.clone()),
        };
        let holds = node.next.checked_sub(SLOTS);
        let wanted = holds.filter(|_| self.broken != Break::DeletedSegments);
        node.phase = Phase::Appending;
        if self.broken == Break::AckWhenSent {
            let bills = node.jobs.iter().filter_map(bill_of);
            world.acknowledged.extend(bills.map(BillRecord::request));
        }
        world.writes.push(Write {
            from: index,
            what: What::Segment(segment, wanted),
        });
    }

    fn send_manifest(&self, world: &mut World, index: usize) {
        let node = &mut world.nodes[index];
        let generation = node.manifest.generation + 1;
        if self.broken != Break::ReusedPageNames {
            node.attempts += 1;
        }
        let name = |bills| (generation, index as u8, node.attempts, bills);
        let entries: Vec<Entry> = node.entries.iter().map(|(_, e)| e.clone()).collect();
        let mut bills = node.manifest.bills.clone();
        let mut own = vec![name(false)];
        world
            .pages
            .insert(name(false), Page::State(Rc::clone(&node.fold)));
        if !entries.is_empty() {
            bills.push(name(true));
            own.push(name(true));
            world
                .pages
                .insert(name(true), Page::Bills(Rc::new(entries)));
        }
        let manifest = Manifest {
            generation,
            writer: index as u8,
            next: node.next,
            state: Some(name(false)),
            bills,
        };
        publish(world, index, manifest, own, Vec::new());
    }

    fn send_truncation(&self, world: &mut World, index: usize) {
        let taken = world.nodes[index].taken.clone();
        // The exporter reads the manifest anew before it truncates.
        world.nodes[index].manifest = Rc::clone(&world.manifest);
        let mut rest = Manifest::clone(&world.manifest);
        rest.generation += 1;
        rest.writer = index as u8;
        match self.broken {
            Break::TruncateAll => rest.bills.clear(),
            _ => rest.bills.retain(|page| !taken.contains(page)),
        }
        if self.broken == Break::ForgetSettled {
            rest.state = None;
        }
        publish(world, index, rest, Vec::new(), taken);
    }

    /// Answers jobs from the fold, as job.rs does.
    fn resolve(&self, world: &mut World, index: usize) {
        let node = &mut world.nodes[index];
        let at_end = node.phase == Phase::AtEnd;
        for job in std::mem::take(&mut node.jobs) {
            let keep = match &job {
                Record::Claim { key, by } => match node.fold.claim(*key) {
                    Some(held) if held.by == *by => {
                        node.won.push(*by);
                        false
                    }
                    Some(_) => !at_end,
                    None => !node.fold.is_released(*by),
                },
                Record::Release { key, by } => {
                    let held = node.fold.claim(*key);
                    let mine = held.is_some_and(|held| held.by == *by);
                    if mine && self.broken == Break::DispatchAfterGivingUp {
                        node.won.push(*by);
                    }
                    !node.fold.is_released(*by)
                }
                Record::Bill(bill) => {
                    let known = node.fold.bill_state(bill) == BillState::Known;
                    if known {
                        world.acknowledged.insert(bill.request());
                    }
                    !known
                }
                Record::Finish { .. } | Record::Pin { .. } => false,
            };
            if keep {
                node.jobs.push(job);
            }
        }
    }
}
