//! What a reader with nothing but the service would find, and what must be true of it.

use super::{AT, Journal, Page, PageName, World};
use oatdale_journal::{ClaimKey, Entry, Fold, RequestId};
use std::collections::BTreeMap;

/// The one key that requests claim.
pub(crate) const KEY: ClaimKey = ClaimKey([7; 32]);

/// A bill as operators see it: its request and something that tells two closings apart.
pub(crate) fn line(entry: &Entry) -> (RequestId, u64) {
    match entry {
        Entry::Bill(closing) | Entry::Late(closing) => (closing.request, closing.output_tokens),
    }
}

/// The requests on some pages of bills.
pub(crate) fn requests(world: &World, pages: &[PageName]) -> Vec<RequestId> {
    let lines = pages.iter().flat_map(|name| match world.pages.get(name) {
        Some(Page::Bills(entries)) => entries.iter().map(line).collect(),
        _ => Vec::new(),
    });
    lines.map(|(request, _)| request).collect()
}

/// The state and the bills that are not exported yet.
fn read(spec: &Journal, world: &World) -> Result<(Fold, Vec<(RequestId, u64)>), String> {
    let manifest = &world.manifest;
    let mut fold = match manifest.state.map(|name| world.pages.get(&name)) {
        None => Fold::clone(&super::empty_fold()),
        Some(Some(Page::State(fold))) => Fold::clone(fold),
        Some(_) => return Err("a listed page of state is missing".to_owned()),
    };
    let mut lines = Vec::new();
    for name in &manifest.bills {
        let Some(Page::Bills(entries)) = world.pages.get(name) else {
            return Err("a listed page of bills is missing".to_owned());
        };
        lines.extend(entries.iter().map(line));
    }
    let mut next = manifest.next;
    while let Some(segment) = world.slots.get(&spec.key(next)).filter(|s| s.seq == next) {
        let entries = fold.apply(AT, &segment.records);
        lines.extend(entries.iter().map(line));
        next += 1;
    }
    Ok((fold, lines))
}

pub(crate) fn check(spec: &Journal, world: &World) -> Result<(), String> {
    if world.dispatched.len() > 1 {
        return Err("two requests of one key were dispatched".to_owned());
    }
    let (fold, lines) = read(spec, world)?;
    let holder = fold.claim(KEY).map(|held| held.by);
    if let Some(by) = world.dispatched.iter().find(|by| holder != Some(**by)) {
        return Err(format!("request {} was dispatched without its claim", by.0));
    }
    let mut bills: BTreeMap<RequestId, u64> = BTreeMap::new();
    for (request, what) in world.exported.iter().copied() {
        if bills.insert(request, what).is_some_and(|old| old != what) {
            return Err(format!(
                "the exported bill of request {} changed",
                request.0
            ));
        }
    }
    for (at, (request, what)) in lines.iter().enumerate() {
        if bills
            .insert(*request, *what)
            .is_some_and(|old| old != *what)
        {
            return Err(format!("request {} has two bills", request.0));
        }
        if lines[..at].iter().any(|(other, _)| other == request) {
            return Err(format!("the bill of request {} stands twice", request.0));
        }
        if world.truncated.contains(request) {
            return Err(format!("request {} is billed again", request.0));
        }
    }
    let open = |request: &RequestId| fold.is_open(*request);
    let kept = |request: &RequestId| bills.contains_key(request) || open(request);
    match world.acknowledged.iter().find(|request| !kept(request)) {
        Some(request) => Err(format!("the acknowledged bill of {} is lost", request.0)),
        None => Ok(()),
    }
}
