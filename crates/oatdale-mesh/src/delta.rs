//! Line-based deltas between two documents.

use crate::error::{MalformedSnafu, Result};
use bytes::Bytes;
use oatdale_config::{apply_delta, delta};

/// The edits that turn one document into the next.
pub(crate) type Delta = oatdale_config::Delta;

/// Approximate encoded size of an edit without its text.
const EDIT_OVERHEAD_BYTES: usize = 10;

/// Approximate encoded size of a delta without its edits: two digests.
const DELTA_OVERHEAD_BYTES: usize = 70;

/// Returns the delta that turns `from` into `to`, or `None` if either is not valid UTF-8.
pub(crate) fn diff(from: &[u8], to: &[u8]) -> Option<Delta> {
    let from = std::str::from_utf8(from).ok()?;
    let to = std::str::from_utf8(to).ok()?;
    Some(delta(from, to))
}

/// Applies a delta.
///
/// # Errors
///
/// Returns an error if the delta was made from another document.
pub(crate) fn apply(from: &[u8], delta: &Delta) -> Result<Bytes> {
    let text = std::str::from_utf8(from).ok();
    match text.map(|text| apply_delta(text, delta)) {
        Some(Ok(text)) => Ok(text.into()),
        Some(Err(_)) | None => {
            let reason = "delta was made from another document";
            MalformedSnafu { reason }.fail()
        }
    }
}

/// Estimates the encoded size of a delta in bytes.
pub(crate) fn estimated_size(delta: &Delta) -> usize {
    let edits = delta
        .edits
        .iter()
        .map(|e| EDIT_OVERHEAD_BYTES + e.text.len());
    DELTA_OVERHEAD_BYTES + edits.sum::<usize>()
}
