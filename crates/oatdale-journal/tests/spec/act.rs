//! Effects of a node's steps on the state of the system.

use super::node::{Node, Phase, Publication};
use super::{Fault, Manifest, Page, PageName, Payload, World, Write};
use oatdale_journal::{BillRecord, Record};
use std::rc::Rc;

pub(super) fn bill_of(record: &Record) -> Option<&BillRecord> {
    match record {
        Record::Bill(bill) => Some(bill),
        _ => None,
    }
}

pub(super) fn publish(
    world: &mut World,
    index: usize,
    manifest: Manifest,
    own_pages: Vec<PageName>,
    exported_pages: Vec<PageName>,
) {
    let node = &mut world.nodes[index];
    let expected_generation = node.manifest.generation;
    let payload = Payload::Manifest(Rc::new(manifest), expected_generation, exported_pages);
    node.phase = Phase::Publishing(Rc::new(Publication {
        own_pages,
        payload: payload.clone(),
        timed_out: false,
    }));
    world.writes.push(Write {
        from: index,
        payload,
    });
}

pub(super) fn resend(world: &mut World, index: usize, payload: &Payload) {
    if let Phase::Publishing(publication) = &mut world.nodes[index].phase {
        Rc::make_mut(publication).timed_out = false;
    }
    world.writes.push(Write {
        from: index,
        payload: payload.clone(),
    });
}

pub(super) fn load_state(world: &mut World, index: usize) {
    let node = &mut world.nodes[index];
    let page = node.manifest.state.map(|name| world.pages.get(&name));
    node.fold = match page {
        None => super::empty_fold(),
        Some(Some(Page::State(fold))) => Rc::clone(fold),
        Some(_) => {
            node.phase = Phase::Unloaded;
            return;
        }
    };
    node.next = node.manifest.next;
    node.entries.clear();
    node.phase = Phase::Reading;
}

pub(super) fn read_export(world: &mut World, index: usize) {
    let node = &mut world.nodes[index];
    let mut summaries = Vec::new();
    for name in &node.manifest.bills {
        let Some(Page::Bills(entries)) = world.pages.get(name) else {
            node.phase = Phase::Unloaded;
            return;
        };
        summaries.extend(entries.iter().map(super::truth::bill_summary));
    }
    node.exported_pages = node.manifest.bills.clone();
    world.exported.extend(summaries);
}

pub(super) fn delete_pages(world: &mut World, index: usize, pages: &[PageName], fault: Fault) {
    let node = &world.nodes[index];
    let unchecked = fault == Fault::DeletePagesUnchecked;
    for page in pages {
        if unchecked || !node.lists(page) {
            world.pages.remove(page);
        }
    }
}

pub(super) fn release(node: &mut Node, claim_index: usize) {
    let Record::Claim { key, by } = node.pending.remove(claim_index) else {
        return;
    };
    node.released_claims.push(by);
    node.pending.push(Record::Release { key, by });
}
