//! What a reader with nothing but the service would find, and what must be true of it.

use super::{JournalSpec, Page, PageName, WRITTEN_AT, World};
use oatdale_journal::{ClaimKey, Entry, Fold, RequestId};
use std::collections::BTreeMap;

/// The one key that requests claim.
pub(crate) const KEY: ClaimKey = ClaimKey([7; 32]);

/// A bill as operators see it: its request and something that tells two closings apart.
pub(crate) fn bill_summary(entry: &Entry) -> (RequestId, u64) {
    match entry {
        Entry::Bill(closing) | Entry::Late(closing) => (closing.request, closing.output_tokens),
    }
}

/// The requests on some pages of bills.
pub(crate) fn requests_on_pages(world: &World, pages: &[PageName]) -> Vec<RequestId> {
    let summaries = pages.iter().flat_map(|name| match world.pages.get(name) {
        Some(Page::Bills(entries)) => entries.iter().map(bill_summary).collect(),
        _ => Vec::new(),
    });
    summaries.map(|(request, _)| request).collect()
}

/// The state and the bills that are not exported yet.
fn replay_log(spec: &JournalSpec, world: &World) -> Result<(Fold, Vec<(RequestId, u64)>), String> {
    let manifest = &world.manifest;
    let mut fold = match manifest.state.map(|name| world.pages.get(&name)) {
        None => Fold::clone(&super::empty_fold()),
        Some(Some(Page::State(fold))) => Fold::clone(fold),
        Some(_) => return Err("a listed page of state is missing".to_owned()),
    };
    let mut summaries = Vec::new();
    for name in &manifest.bills {
        let Some(Page::Bills(entries)) = world.pages.get(name) else {
            return Err("a listed page of bills is missing".to_owned());
        };
        summaries.extend(entries.iter().map(bill_summary));
    }
    let mut next = manifest.next;
    while let Some(segment) = world
        .slots
        .get(&spec.slot_key(next))
        .filter(|s| s.seq == next)
    {
        let entries = fold.apply(WRITTEN_AT, &segment.records);
        summaries.extend(entries.iter().map(bill_summary));
        next += 1;
    }
    Ok((fold, summaries))
}

pub(crate) fn check_invariant(spec: &JournalSpec, world: &World) -> Result<(), String> {
    if world.dispatched.len() > 1 {
        return Err("two requests of one key were dispatched".to_owned());
    }
    let (fold, summaries) = replay_log(spec, world)?;
    let holder = fold.claim(KEY).map(|held| held.by);
    if let Some(by) = world.dispatched.iter().find(|by| holder != Some(**by)) {
        return Err(format!("request {} was dispatched without its claim", by.0));
    }
    let mut bills: BTreeMap<RequestId, u64> = BTreeMap::new();
    for (request, tokens) in world.exported.iter().copied() {
        if bills
            .insert(request, tokens)
            .is_some_and(|previous| previous != tokens)
        {
            return Err(format!(
                "the exported bill of request {} changed",
                request.0
            ));
        }
    }
    for (position, (request, tokens)) in summaries.iter().enumerate() {
        if bills
            .insert(*request, *tokens)
            .is_some_and(|previous| previous != *tokens)
        {
            return Err(format!("request {} has two bills", request.0));
        }
        if summaries[..position]
            .iter()
            .any(|(other, _)| other == request)
        {
            return Err(format!("the bill of request {} stands twice", request.0));
        }
        if world.truncated.contains(request) {
            return Err(format!("request {} is billed again", request.0));
        }
    }
    let is_unbilled = |request: &RequestId| fold.is_open(*request);
    let is_kept = |request: &RequestId| bills.contains_key(request) || is_unbilled(request);
    match world.acknowledged.iter().find(|request| !is_kept(request)) {
        Some(request) => Err(format!("the acknowledged bill of {} is lost", request.0)),
        None => Ok(()),
    }
}
