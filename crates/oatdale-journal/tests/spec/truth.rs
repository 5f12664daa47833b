//! The journal as a reader without local state finds it at the service, and the invariant on it.

use super::{JournalSpec, Page, PageName, WRITTEN_AT, World};
use oatdale_journal::{ClaimKey, FinalEntry, Fold, RequestId};
use std::collections::BTreeMap;

/// The key that all requests claim.
pub(crate) const KEY: ClaimKey = ClaimKey([7; 32]);

/// Returns the request of a bill and its output tokens, which distinguish closings of a request.
pub(crate) fn bill_summary(entry: &FinalEntry) -> (RequestId, u64) {
    match entry {
        FinalEntry::Bill(closing) | FinalEntry::Late(closing) => {
            (closing.request, closing.output_tokens)
        }
    }
}

/// Returns the requests whose bills are on the given pages.
pub(crate) fn requests_on_pages(world: &World, pages: &[PageName]) -> Vec<RequestId> {
    let summaries = pages.iter().flat_map(|name| match world.pages.get(name) {
        Some(Page::Bills(entries)) => entries.iter().map(bill_summary).collect(),
        _ => Vec::new(),
    });
    summaries.map(|(request, _)| request).collect()
}

/// Returns the state and the bills that are not truncated yet.
fn replay_log(spec: &JournalSpec, world: &World) -> Result<(Fold, Vec<(RequestId, u64)>), String> {
    let manifest = &world.manifest;
    let mut fold = match manifest.state.map(|name| world.pages.get(&name)) {
        None => Fold::clone(&super::empty_fold()),
        Some(Some(Page::State(fold))) => Fold::clone(fold),
        Some(_) => return Err("a listed state page is missing".to_owned()),
    };
    let mut summaries = Vec::new();
    for name in &manifest.bills {
        let Some(Page::Bills(entries)) = world.pages.get(name) else {
            return Err("a listed bill page is missing".to_owned());
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
        return Err("two requests with the same key were dispatched".to_owned());
    }
    let (fold, summaries) = replay_log(spec, world)?;
    let holder = fold.claim(KEY).map(|held| held.by);
    if let Some(by) = world.dispatched.iter().find(|by| holder != Some(**by)) {
        return Err(format!(
            "request {} was dispatched without holding its claim",
            by.0
        ));
    }
    let mut bills: BTreeMap<RequestId, u64> = BTreeMap::new();
    for (request, tokens) in world.exported.iter().copied() {
        if bills
            .insert(request, tokens)
            .is_some_and(|previous| previous != tokens)
        {
            return Err(format!(
                "the bill of request {} differs between exports",
                request.0
            ));
        }
    }
    for (position, (request, tokens)) in summaries.iter().enumerate() {
        if bills
            .insert(*request, *tokens)
            .is_some_and(|previous| previous != *tokens)
        {
            return Err(format!("request {} has two different bills", request.0));
        }
        if summaries[..position]
            .iter()
            .any(|(other, _)| other == request)
        {
            return Err(format!("the bill of request {} is stored twice", request.0));
        }
        if world.truncated.contains(request) {
            return Err(format!(
                "request {} is billed again after truncation",
                request.0
            ));
        }
    }
    let is_unbilled = |request: &RequestId| fold.is_open(*request);
    let is_kept = |request: &RequestId| bills.contains_key(request) || is_unbilled(request);
    match world.acknowledged.iter().find(|request| !is_kept(request)) {
        Some(request) => Err(format!(
            "the acknowledged bill of request {} is lost",
            request.0
        )),
        None => Ok(()),
    }
}
