//! The difference between two documents, as changed lines.

use crate::error::{MalformedSnafu, Result};
use bytes::Bytes;
use oatdale_config::{apply_delta, delta};

/// What turns one document into the next.
pub(crate) type Delta = oatdale_config::Delta;

/// Bytes of an edit beside its text.
const EDIT_OVERHEAD_BYTES: usize = 10;

/// Bytes of a delta beside its edits: two digests.
const DELTA_OVERHEAD_BYTES: usize = 70;

/// The delta that turns `from` into `to`, unless either is no text.
pub(crate) fn between(from: &[u8], to: &[u8]) -> Option<Delta> {
    let from = std::str::from_utf8(from).ok()?;
    let to = std::str::from_utf8(to).ok()?;
    Some(delta(from, to))
}

/// Applies a delta.
///
/// # Errors
///
/// Refuses a delta of another text.
pub(crate) fn apply(from: &[u8], delta: &Delta) -> Result<Bytes> {
    let text = std::str::from_utf8(from).ok();
    match text.map(|text| apply_delta(text, delta)) {
        Some(Ok(text)) => Ok(text.into()),
        Some(Err(_)) | None => {
            let reason = "a delta does not fit the document";
            MalformedSnafu { reason }.fail()
        }
    }
}

/// About how many bytes a delta has on the wire.
pub(crate) fn size(delta: &Delta) -> usize {
    let edits = delta
        .edits
        .iter()
        .map(|e| EDIT_OVERHEAD_BYTES + e.text.len());
    DELTA_OVERHEAD_BYTES + edits.sum::<usize>()
}
