//! Compression of what readers pass on to their followers.
//!
//! Endpoints' records differ in little more than their ids and addresses, and a new version of a
//! long record, such as a configuration or a list of nodes, differs little from the last one. Each
//! change goes to all nodes, so that what is saved counts as often as there are nodes.

use std::io::{self, Read, Write};

/// Name of the content encoding.
pub(crate) const ZSTD: &str = "zstd";

/// Compression level: the fastest one, since a reader has a fraction of a core.
const LEVEL: i32 = 1;

/// Maximum length of decompressed data: several times the largest topic.
const MAX_DECOMPRESSED_BYTES: u64 = 32 << 20;

/// Binary logarithm of the smallest window of the format, and of the largest that is accepted.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 24;

/// Compresses a response.
pub(crate) fn compress(data: &[u8]) -> io::Result<Vec<u8>> {
    make_patch(&[], data)
}

/// Decompresses a response.
pub(crate) fn decompress(data: &[u8]) -> io::Result<Vec<u8>> {
    apply_patch(&[], data)
}

/// Returns a patch that turns `base` into `value`.
pub(crate) fn make_patch(base: &[u8], value: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = zstd::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.window_log(window_log(base.len() + value.len()))?;
    encoder.include_checksum(true)?;
    encoder.write_all(value)?;
    encoder.finish()
}

/// Returns the value that a patch of `base` makes.
///
/// # Errors
///
/// The patch is damaged, was made for another base, or makes a value longer than any record.
pub(crate) fn apply_patch(base: &[u8], patch: &[u8]) -> io::Result<Vec<u8>> {
    let mut decoder = zstd::Decoder::with_ref_prefix(patch, base)?;
    // Otherwise the data decides how much memory is allocated.
    decoder.window_log_max(MAX_WINDOW_LOG)?;
    let mut value = Vec::new();
    decoder
        .take(MAX_DECOMPRESSED_BYTES + 1)
        .read_to_end(&mut value)?;
    if value.len() as u64 > MAX_DECOMPRESSED_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the decompressed data is too long",
        ));
    }
    Ok(value)
}

/// Returns the binary logarithm of a window that reaches back over this many bytes, if that is
/// allowed.
fn window_log(bytes: usize) -> u32 {
    let log = bytes.max(1).next_power_of_two().ilog2();
    log.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)
}
