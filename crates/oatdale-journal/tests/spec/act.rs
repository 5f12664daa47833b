//! What a node's steps do to the world.

use super::node::{Node, Phase, Publication};
use super::{Break, Manifest, Page, PageName, What, World, Write};
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
    own: Vec<PageName>,
    taken: Vec<PageName>,
) {
    let node = &mut world.nodes[index];
    let wanted = node.manifest.generation;
    let what = What::Manifest(Rc::new(manifest), wanted, taken);
    node.phase = Phase::Publishing(Rc::new(Publication {
        own,
        what: what.clone(),
        silent: false,
    }));
    world.writes.push(Write { from: index, what });
}

pub(super) fn send_again(world: &mut World, index: usize, what: &What) {
    if let Phase::Publishing(publication) = &mut world.nodes[index].phase {
        Rc::make_mut(publication).silent = false;
    }
    world.writes.push(Write {
        from: index,
        what: what.clone(),
    });
}

pub(super) fn load(world: &mut World, index: usize) {
    let node = &mut world.nodes[index];
    let page = node.manifest.state.map(|name| world.pages.get(&name));
    node.fold = match page {
        None => super::empty_fold(),
        Some(Some(Page::State(fold))) => Rc::clone(fold),
        Some(_) => {
            node.phase = Phase::Fresh;
            return;
        }
    };
    node.next = node.manifest.next;
    node.entries.clear();
    node.phase = Phase::Reading;
}

pub(super) fn export(world: &mut World, index: usize) {
    let node = &mut world.nodes[index];
    let mut found = Vec::new();
    for name in &node.manifest.bills {
        let Some(Page::Bills(entries)) = world.pages.get(name) else {
            node.phase = Phase::Fresh;
            return;
        };
        found.extend(entries.iter().map(super::truth::line));
    }
    node.taken = node.manifest.bills.clone();
    world.exported.extend(found);
}

pub(super) fn delete(world: &mut World, index: usize, pages: &[PageName], broken: Break) {
    let node = &world.nodes[index];
    let blind = broken == Break::DeleteOwnPages;
    for page in pages {
        if blind || !node.listed(page) {
            world.pages.remove(page);
        }
    }
}

pub(super) fn give_up(node: &mut Node, at: usize) {
    let Record::Claim { key, by } = node.jobs.remove(at) else {
        return;
    };
    node.given_up.push(by);
    node.jobs.push(Record::Release { key, by });
}
