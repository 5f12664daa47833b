//! One node of the specification.

use super::act::{bill_of, delete_pages, load_state, publish, read_export, release, resend};
use super::{
    Fault, JournalSpec, Manifest, Page, PageName, Payload, SLOTS, Segment, WRITTEN_AT, World, Write,
};
use oatdale_journal::{BillRecord, BillState, FinalEntry, Fold, Record, RequestId};
use std::rc::Rc;

/// Phase of a node.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) enum Phase {
    /// No state loaded.
    Unloaded,
    /// Has read a manifest and reads its state page next.
    Loading,
    /// Reads the next segment of the log.
    Reading,
    /// Has read the log to its end.
    AtEnd,
    /// Waits for the response to a segment write.
    Appending,
    /// Waits for the response to a manifest write.
    Publishing(Rc<Publication>),
    /// The manifest write has won or lost: deletes these pages unless they are listed.
    Deleting(Vec<PageName>),
}

/// Manifest write that awaits its response.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) struct Publication {
    /// Pages that the node wrote for this manifest.
    pub(super) own_pages: Vec<PageName>,
    pub(super) payload: Payload,
    /// Whether the response timed out.
    pub(super) timed_out: bool,
}

/// State of one node.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) struct Node {
    pub(crate) index: usize,
    pub(crate) phase: Phase,
    pub(crate) fold: Rc<Fold>,
    /// Number of the next segment to read or append.
    pub(crate) next: u8,
    pub(crate) manifest: Rc<Manifest>,
    /// Entries that became final since the manifest, with the numbers of their segments.
    pub(crate) entries: Vec<(u8, FinalEntry)>,
    /// Records to be written to the log.
    pub(crate) pending: Vec<Record>,
    /// Requests that won their claim and are not dispatched yet.
    pub(crate) won_claims: Vec<RequestId>,
    /// Requests whose claim the node released.
    pub(crate) released_claims: Vec<RequestId>,
    /// Number of compactions started; part of the page names.
    pub(crate) attempts: u8,
    /// Exported pages that are not truncated yet.
    pub(crate) exported_pages: Vec<PageName>,
}

impl Node {
    pub(crate) fn with_records(index: usize, pending: Vec<Record>) -> Self {
        Node {
            index,
            phase: Phase::Unloaded,
            fold: super::empty_fold(),
            next: 0,
            manifest: Rc::default(),
            entries: Vec::new(),
            pending,
            won_claims: Vec::new(),
            released_claims: Vec::new(),
            attempts: 0,
            exported_pages: Vec::new(),
        }
    }

    /// Whether the node still waits for the response to this write.
    pub(crate) fn awaits(&self, write: &Write) -> bool {
        match (&self.phase, &write.payload) {
            (Phase::Appending, Payload::Segment(segment, _)) => segment.seq == self.next,
            (Phase::Publishing(publication), payload) => publication.payload == *payload,
            _ => false,
        }
    }

    fn apply_segment(&mut self, records: &[Record]) {
        let mut fold = Fold::clone(&self.fold);
        let entries = fold.apply(WRITTEN_AT, records);
        let seq = self.next;
        self.entries.extend(entries.into_iter().map(|e| (seq, e)));
        self.fold = Rc::new(fold);
        self.next += 1;
    }

    pub(super) fn lists(&self, page: &PageName) -> bool {
        self.manifest.state.as_ref() == Some(page) || self.manifest.bills.contains(page)
    }
}

impl JournalSpec {
    /// Handles the response to a write; `applied` tells whether the write took effect.
    pub(crate) fn receive_response(&self, world: &mut World, write: &Write, applied: bool) {
        let stored = Rc::clone(&world.manifest);
        let node = &mut world.nodes[write.from];
        match (&write.payload, node.phase.clone()) {
            (Payload::Segment(segment, _), _) if applied => {
                node.apply_segment(&segment.records);
                node.phase = Phase::Reading;
                self.resolve(world, write.from);
            }
            (Payload::Segment(..), _) => node.phase = Phase::Reading,
            (Payload::Manifest(manifest, ..), Phase::Publishing(_))
                if applied || *stored == **manifest =>
            {
                let old = node.manifest.state;
                node.manifest = Rc::clone(manifest);
                node.entries.retain(|(seq, _)| *seq >= manifest.next);
                node.exported_pages.clear();
                let old = old.filter(|page| !node.lists(page));
                node.phase = Phase::Deleting(old.into_iter().collect());
            }
            (Payload::Manifest(..), Phase::Publishing(publication)) => {
                node.entries.retain(|(seq, _)| *seq >= stored.next);
                node.manifest = stored;
                node.exported_pages.clear();
                node.phase = Phase::Deleting(publication.own_pages.clone());
            }
            _ => {}
        }
    }

    /// Handles a timeout of a write.
    pub(crate) fn time_out(&self, world: &mut World, write: &Write) {
        let node = &mut world.nodes[write.from];
        match &write.payload {
            Payload::Segment(segment, _) if self.fault == Fault::AssumeStoredWithoutResponse => {
                node.apply_segment(&segment.records);
                node.phase = Phase::Reading;
                self.resolve(world, write.from);
            }
            Payload::Segment(..) => node.phase = Phase::Reading,
            Payload::Manifest(..) => {
                if let Phase::Publishing(publication) = &mut node.phase {
                    Rc::make_mut(publication).timed_out = true;
                }
            }
        }
    }

    /// Returns every step that node `index` may take on its own.
    pub(crate) fn node_steps(&self, world: &World, index: usize) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        let mut step = |name: &str, mutate: &dyn Fn(&mut World)| {
            let mut next = world.clone();
            mutate(&mut next);
            steps.push((format!("node {index} {name}"), next));
        };
        let node = &world.nodes[index];
        match &node.phase {
            Phase::Unloaded if self.has_work(node) => {
                step("reads the manifest", &|w| {
                    w.nodes[index].manifest = Rc::clone(&w.manifest);
                    w.nodes[index].phase = Phase::Loading;
                });
            }
            Phase::Loading => step("reads the state page", &|w| load_state(w, index)),
            Phase::Reading => step("reads the next slot", &|w| self.read_next_slot(w, index)),
            Phase::AtEnd => {
                if self.may_append(node) {
                    step("sends a segment", &|w| self.send_segment(w, index));
                }
                if self.may_compact(node) {
                    step("sends a manifest", &|w| self.send_manifest(w, index));
                }
                if self.may_export(node) {
                    step("exports the bill pages", &|w| read_export(w, index));
                }
                if !node.exported_pages.is_empty() {
                    step("truncates the bills", &|w| self.send_truncation(w, index));
                }
                if !node.pending.is_empty() || self.second_node_exports && index == 1 {
                    step("reads the log again", &|w| {
                        w.nodes[index].phase = Phase::Reading;
                    });
                }
            }
            Phase::Deleting(pages) => step("deletes pages", &|w| {
                delete_pages(w, index, pages, self.fault);
                if self.fault == Fault::DeleteCompactedSegments {
                    let covered = w.nodes[index].manifest.next;
                    w.slots.retain(|seq, _| *seq >= covered);
                }
                w.nodes[index].phase = Phase::Reading;
            }),
            Phase::Publishing(publication) if publication.timed_out => {
                step("abandons the manifest write", &|w| {
                    w.nodes[index].phase = Phase::Unloaded;
                });
                step("retries the manifest write", &|w| {
                    resend(w, index, &publication.payload);
                });
            }
            Phase::Publishing(_) | Phase::Appending | Phase::Unloaded => {}
        }
        for by in &node.won_claims {
            step(&format!("dispatches {}", by.0), &|w| {
                w.nodes[index].won_claims.retain(|r| r != by);
                w.dispatched.insert(*by);
            });
        }
        let next_claim = node
            .pending
            .iter()
            .position(|queued| matches!(queued, Record::Claim { .. }));
        if let (true, Some(pos)) = (self.can_release_claims, next_claim) {
            step("releases a claim", &|w| release(&mut w.nodes[index], pos));
        }
        if world.crashes < self.max_crashes {
            step("crashes", &|w| {
                let attempts = w.nodes[index].attempts;
                w.crashes += 1;
                w.nodes[index] = Node::with_records(index, self.records_after_crash(index));
                // A real node draws a new writer number when it restarts. Keeping the attempt count
                // has the same effect here: page names stay unique.
                w.nodes[index].attempts = attempts;
            });
        }
        steps
    }

    fn has_work(&self, node: &Node) -> bool {
        !node.pending.is_empty() || self.second_node_exports && node.index == 1
    }

    /// Returns the records that a node writes after a crash. It repeats no claim, since the caller
    /// retries through another node.
    fn records_after_crash(&self, index: usize) -> Vec<Record> {
        let bills = |record: &&Record| matches!(record, Record::Bill(_));
        self.workload[index].iter().filter(bills).cloned().collect()
    }

    fn may_append(&self, node: &Node) -> bool {
        let has_room = node.next < node.manifest.next + SLOTS;
        let has_room = has_room
            || matches!(
                self.fault,
                Fault::OverwriteUncompactedSegments | Fault::DeleteCompactedSegments
            );
        !node.pending.is_empty() && node.next < self.max_segments && has_room
    }

    fn may_compact(&self, node: &Node) -> bool {
        let has_new_segments = node.next > node.manifest.next;
        has_new_segments
            && self.can_compact[node.index]
            && node.manifest.generation < self.max_generation
    }

    fn may_export(&self, node: &Node) -> bool {
        let can_start =
            self.second_node_exports && node.index == 1 && node.exported_pages.is_empty();
        can_start && node.entries.is_empty() && !node.manifest.bills.is_empty()
    }

    fn read_next_slot(&self, world: &mut World, index: usize) {
        let node = &mut world.nodes[index];
        match world.slots.get(&self.slot_key(node.next)) {
            Some(segment) if segment.seq == node.next => {
                let records = Rc::clone(&segment.records);
                node.apply_segment(&records);
            }
            Some(segment) if segment.seq > node.next => node.phase = Phase::Unloaded,
            Some(_) | None => node.phase = Phase::AtEnd,
        }
        self.resolve(world, index);
    }

    fn send_segment(&self, world: &mut World, index: usize) {
        let node = &mut world.nodes[index];
        let segment = Segment {
            seq: node.next,
            records: Rc::new(node.pending.clone()),
        };
        let replaced = node.next.checked_sub(SLOTS);
        let expected = replaced.filter(|_| self.fault != Fault::DeleteCompactedSegments);
        node.phase = Phase::Appending;
        if self.fault == Fault::AcknowledgeBeforeStored {
            let bills = node.pending.iter().filter_map(bill_of);
            world.acknowledged.extend(bills.map(BillRecord::request));
        }
        world.writes.push(Write {
            from: index,
            payload: Payload::Segment(segment, expected),
        });
    }

    fn send_manifest(&self, world: &mut World, index: usize) {
        let node = &mut world.nodes[index];
        let generation = node.manifest.generation + 1;
        if self.fault != Fault::ReusePageNames {
            node.attempts += 1;
        }
        let name = |bills| (generation, index as u8, node.attempts, bills);
        let entries: Vec<FinalEntry> = node.entries.iter().map(|(_, e)| e.clone()).collect();
        let mut bills = node.manifest.bills.clone();
        let mut own_pages = vec![name(false)];
        world
            .pages
            .insert(name(false), Page::State(Rc::clone(&node.fold)));
        if !entries.is_empty() {
            bills.push(name(true));
            own_pages.push(name(true));
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
        publish(world, index, manifest, own_pages, Vec::new());
    }

    fn send_truncation(&self, world: &mut World, index: usize) {
        let exported_pages = world.nodes[index].exported_pages.clone();
        // The exporter reads the manifest again before it truncates.
        world.nodes[index].manifest = Rc::clone(&world.manifest);
        let mut rest = Manifest::clone(&world.manifest);
        rest.generation += 1;
        rest.writer = index as u8;
        match self.fault {
            Fault::TruncateUnexported => rest.bills.clear(),
            _ => rest.bills.retain(|page| !exported_pages.contains(page)),
        }
        if self.fault == Fault::ForgetBilledRequests {
            rest.state = None;
        }
        publish(world, index, rest, Vec::new(), exported_pages);
    }

    /// Resolves pending records from the fold, as job.rs does.
    fn resolve(&self, world: &mut World, index: usize) {
        let node = &mut world.nodes[index];
        let at_end = node.phase == Phase::AtEnd;
        for record in std::mem::take(&mut node.pending) {
            let is_pending = match &record {
                Record::Claim { key, by } => match node.fold.claim(*key) {
                    Some(held) if held.by == *by => {
                        node.won_claims.push(*by);
                        false
                    }
                    Some(_) => !at_end,
                    None => !node.fold.is_released(*by),
                },
                Record::Release { key, by } => {
                    let held = node.fold.claim(*key);
                    let is_holder = held.is_some_and(|held| held.by == *by);
                    if is_holder && self.fault == Fault::DispatchAfterRelease {
                        node.won_claims.push(*by);
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
            if is_pending {
                node.pending.push(record);
            }
        }
    }
}
