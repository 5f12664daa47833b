//! Pages of a shard's state and of its final bills, each below the service's value size limit.

use crate::error::Result;
use crate::fold::{FinalEntry, Fold, StoredPin};
use crate::record::{ClaimKey, Millis, Pin, Record, RequestId, SessionKey};
use crate::wire::{WireItem, decode_items, encode, held_claim, join_key};
use std::collections::BTreeSet;

/// Maximum size of a page in bytes; the service accepts values of up to a megabyte.
pub(crate) const MAX_PAGE_BYTES: usize = 900_000;

/// Packs encoded items into pages in order, and starts a new page when the next item does not fit.
pub(crate) fn pack_pages(items: impl Iterator<Item = WireItem>) -> Vec<Vec<u8>> {
    let mut pages: Vec<Vec<u8>> = Vec::new();
    for item in items {
        let bytes = encode(&item);
        match pages.last_mut() {
            Some(page) if page.len() + bytes.len() <= MAX_PAGE_BYTES => page.extend(bytes),
            _ => pages.push(bytes),
        }
    }
    pages
}

/// Returns the items from which [`apply_state_page`] rebuilds the fold.
pub(crate) fn state_items(fold: &Fold) -> impl Iterator<Item = WireItem> {
    let clock = std::iter::once(WireItem::Clock(fold.clock.0));
    let claims = fold.claims.iter().map(|(k, h)| WireItem::claim(*k, h));
    let released = fold.released.iter();
    let released = released.map(|(r, at)| WireItem::Released(r.0, at.0));
    let pins = fold.pins.iter().map(|(k, p)| WireItem::pin(*k, p));
    let open = fold.open.values();
    let open = open.map(|(opening, at)| WireItem::Open(opening.into(), at.0));
    let settled = fold.settled.iter();
    let settled = settled.map(|(r, opened)| WireItem::Settled(r.0, opened.0));
    clock
        .chain(claims)
        .chain(released)
        .chain(pins)
        .chain(open)
        .chain(settled)
}

/// Key of the fold's state that a record or an entry may have changed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum StateKey {
    Claim(ClaimKey),
    Released(RequestId),
    Pin(SessionKey),
    Request(RequestId),
}

impl StateKey {
    /// Returns the keys that a record may change.
    pub(crate) fn of_record(record: &Record) -> impl Iterator<Item = StateKey> {
        let (first, second) = match record {
            Record::Claim { key, .. } | Record::Finish { key, .. } => (StateKey::Claim(*key), None),
            Record::Release { key, by } => (StateKey::Claim(*key), Some(StateKey::Released(*by))),
            Record::Pin { session, .. } => (StateKey::Pin(*session), None),
            Record::Bill(bill) => (StateKey::Request(bill.request()), None),
        };
        std::iter::once(first).chain(second)
    }

    /// Returns the key of a final entry, which need not come from a record.
    pub(crate) fn of_entry(entry: &FinalEntry) -> StateKey {
        match entry {
            FinalEntry::Bill(closing) | FinalEntry::Late(closing) => {
                StateKey::Request(closing.request)
            }
        }
    }

    /// Returns the item that brings this key from its previous state to its state in `fold`, if one
    /// is needed.
    fn delta_item(self, fold: &Fold) -> Option<WireItem> {
        match self {
            StateKey::Claim(key) => Some(match fold.claims.get(&key) {
                Some(held) => WireItem::claim(key, held),
                None => WireItem::unclaimed(key),
            }),
            StateKey::Released(request) => {
                let at = fold.released.get(&request)?;
                Some(WireItem::Released(request.0, at.0))
            }
            StateKey::Pin(session) => {
                let pinned = fold.pins.get(&session)?;
                Some(WireItem::pin(session, pinned))
            }
            StateKey::Request(request) => match fold.open.get(&request) {
                Some((opening, at)) => Some(WireItem::Open(opening.into(), at.0)),
                None => {
                    let opened = fold.settled.get(&request)?;
                    Some(WireItem::Settled(request.0, opened.0))
                }
            },
        }
    }
}

/// Returns the items that bring the previous state pages up to date for the changed keys.
pub(crate) fn delta_items(
    fold: &Fold,
    changed_keys: impl Iterator<Item = StateKey>,
) -> impl Iterator<Item = WireItem> {
    let changed_keys: BTreeSet<StateKey> = changed_keys.collect();
    let clock = std::iter::once(WireItem::Clock(fold.clock.0));
    clock.chain(changed_keys.into_iter().filter_map(|t| t.delta_item(fold)))
}

/// Applies a state page to a fold.
pub(crate) fn apply_state_page(fold: &mut Fold, key: &str, bytes: &[u8]) -> Result<()> {
    for item in decode_items(key, bytes)? {
        apply_item(fold, item);
    }
    Ok(())
}

/// Decodes a bill page.
pub(crate) fn decode_bill_page(key: &str, bytes: &[u8]) -> Result<Vec<FinalEntry>> {
    let entry = |item| match item {
        WireItem::Bill(closing) => Some(FinalEntry::Bill(closing.into())),
        WireItem::Late(closing) => Some(FinalEntry::Late(closing.into())),
        _ => None,
    };
    Ok(decode_items(key, bytes)?
        .into_iter()
        .filter_map(entry)
        .collect())
}

fn apply_item(fold: &mut Fold, item: WireItem) {
    match item {
        WireItem::Clock(at) => fold.clock = Millis(at),
        WireItem::Claim(key, by, at, finished) => {
            let key = ClaimKey(join_key(key));
            fold.claims.insert(key, held_claim(by, at, finished));
        }
        WireItem::Released(request, at) => {
            fold.released.insert(RequestId(request), Millis(at));
        }
        WireItem::Unclaimed(key) => {
            fold.claims.remove(&ClaimKey(join_key(key)));
        }
        WireItem::Pin(session, versions, opened_at, at) => {
            let pin = Pin {
                versions,
                opened_at: Millis(opened_at),
            };
            let pinned = StoredPin {
                pin,
                at: Millis(at),
            };
            fold.pins.insert(SessionKey(join_key(session)), pinned);
        }
        WireItem::Open(opening, at) => {
            let request = RequestId(opening.0);
            fold.open_order.insert((Millis(at), request));
            fold.open.insert(request, (opening.into(), Millis(at)));
        }
        WireItem::Settled(request, opened) => {
            let request = RequestId(request);
            if let Some((_, at)) = fold.open.remove(&request) {
                fold.open_order.remove(&(at, request));
            }
            fold.settled.insert(request, Millis(opened));
        }
        // Bills are stored on separate pages.
        WireItem::Bill(_) | WireItem::Late(_) => {}
    }
}
