//! The difference between two texts: what to keep at both ends and what to put between.

use crate::error::{MalformedSnafu, Result};
use bytes::Bytes;

/// Replaces the middle of a text.
///
/// One edit by an operator touches one place, so the common ends are nearly the whole text. Two
/// edits far apart cost the text between them, which the snapshot would cost as well.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "DeltaWire", into = "DeltaWire")]
pub(crate) struct Delta {
    /// Bytes kept at the start.
    pub(crate) head: u32,
    /// Bytes kept at the end.
    pub(crate) tail: u32,
    /// What stands between them.
    pub(crate) middle: Bytes,
}

type DeltaWire = (u32, u32, Bytes);

impl From<Delta> for DeltaWire {
    fn from(d: Delta) -> Self {
        (d.head, d.tail, d.middle)
    }
}

impl From<DeltaWire> for Delta {
    fn from((head, tail, middle): DeltaWire) -> Self {
        Delta { head, tail, middle }
    }
}

/// The delta that turns `from` into `to`.
pub(crate) fn between(from: &[u8], to: &[u8]) -> Delta {
    let head = common(from.iter(), to.iter());
    let (from, rest) = (&from[head..], &to[head..]);
    let tail = common(from.iter().rev(), rest.iter().rev());
    Delta {
        head: head as u32,
        tail: tail as u32,
        middle: Bytes::copy_from_slice(&rest[..rest.len() - tail]),
    }
}

/// Applies a delta.
pub(crate) fn apply(from: &[u8], delta: &Delta) -> Result<Bytes> {
    let (head, tail) = (delta.head as usize, delta.tail as usize);
    if head.saturating_add(tail) > from.len() {
        let reason = "a delta keeps more than there is";
        return MalformedSnafu { reason }.fail();
    }
    let mut text = Vec::with_capacity(head + delta.middle.len() + tail);
    text.extend_from_slice(&from[..head]);
    text.extend_from_slice(&delta.middle);
    text.extend_from_slice(&from[from.len() - tail..]);
    Ok(text.into())
}

fn common<'a>(a: impl Iterator<Item = &'a u8>, b: impl Iterator<Item = &'a u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}
