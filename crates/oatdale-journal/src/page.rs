//! Pages: a shard's state and its final bills, each below the service's limit for a value.

use crate::error::Result;
use crate::fold::{Entry, Fold, Pinned};
use crate::record::{ClaimKey, Millis, Pin, RequestId, SessionKey};
use crate::wire::{WireItem, decode_items, encode, held, join};

/// The size that a page may reach; the service takes a megabyte.
pub(crate) const MAX_PAGE: usize = 900_000;

/// Packs items into as few pages as hold them.
pub(crate) fn pack(items: impl Iterator<Item = WireItem>) -> Vec<Vec<u8>> {
    let mut pages: Vec<Vec<u8>> = Vec::new();
    for item in items {
        let bytes = encode(&item);
        match pages.last_mut() {
            Some(page) if page.len() + bytes.len() <= MAX_PAGE => page.extend(bytes),
            _ => pages.push(bytes),
        }
    }
    pages
}

/// The items that [`unpack_state`] makes the fold of again.
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

/// Adds a page of state to a fold.
pub(crate) fn unpack_state(fold: &mut Fold, key: &str, bytes: &[u8]) -> Result<()> {
    for item in decode_items(key, bytes)? {
        add(fold, item);
    }
    Ok(())
}

/// Reads a page of bills.
pub(crate) fn unpack_bills(key: &str, bytes: &[u8]) -> Result<Vec<Entry>> {
    let entry = |item| match item {
        WireItem::Bill(closing) => Some(Entry::Bill(closing.into())),
        WireItem::Late(closing) => Some(Entry::Late(closing.into())),
        _ => None,
    };
    Ok(decode_items(key, bytes)?
        .into_iter()
        .filter_map(entry)
        .collect())
}

fn add(fold: &mut Fold, item: WireItem) {
    match item {
        WireItem::Clock(at) => fold.clock = Millis(at),
        WireItem::Claim(key, by, at, finished) => {
            let key = ClaimKey(join(key));
            fold.claims.insert(key, held(by, at, finished));
        }
        WireItem::Released(request, at) => {
            fold.released.insert(RequestId(request), Millis(at));
        }
        WireItem::Pin(session, versions, opened_at, at) => {
            let pin = Pin {
                versions,
                opened_at: Millis(opened_at),
            };
            let pinned = Pinned {
                pin,
                at: Millis(at),
            };
            fold.pins.insert(SessionKey(join(session)), pinned);
        }
        WireItem::Open(opening, at) => {
            let request = RequestId(opening.0);
            fold.open_order.insert((Millis(at), request));
            fold.open.insert(request, (opening.into(), Millis(at)));
        }
        WireItem::Settled(request, opened) => {
            fold.settled.insert(RequestId(request), Millis(opened));
        }
        // Bills stand on pages of their own.
        WireItem::Bill(_) | WireItem::Late(_) => {}
    }
}
