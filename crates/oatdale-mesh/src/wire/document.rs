//! Messages that distribute the configuration.

use crate::delta::Delta;
use bytes::Bytes;

/// Announces which configuration the sender holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub(crate) struct RevisionOffer {
    pub(crate) revision: u64,
    pub(crate) digest: u64,
}
tuple_conversions!(RevisionOffer {
    revision: u64,
    digest: u64
});

/// Requests a configuration.
#[derive(Clone, Copy, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "(u64, u64, u32)", into = "(u64, u64, u32)")]
pub(crate) struct Fetch {
    /// Digest of the full text that the sender has, 0 for none.
    pub(crate) held_digest: u64,
    /// Digest of the text that the sender has received in part, 0 for none.
    pub(crate) partial: u64,
    /// Number of bytes of the partial text received so far.
    pub(crate) offset: u32,
}
tuple_conversions!(Fetch {
    held_digest: u64,
    partial: u64,
    offset: u32
});

/// A delta from one revision of the configuration to a later one.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "DeltaStepWire", into = "DeltaStepWire")]
pub(crate) struct DeltaStep {
    /// Digest of the text before the delta.
    pub(crate) from: u64,
    /// Revision after the delta.
    pub(crate) revision: u64,
    /// Digest of the text after the delta.
    pub(crate) digest: u64,
    pub(crate) delta: Delta,
}

type DeltaStepWire = (u64, u64, u64, Delta);
tuple_conversions!(DeltaStep {
    from: u64,
    revision: u64,
    digest: u64,
    delta: Delta
});

/// A chunk of the text of a configuration.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "ChunkWire", into = "ChunkWire")]
pub(crate) struct Chunk {
    pub(crate) revision: u64,
    /// Digest of the full text.
    pub(crate) digest: u64,
    /// Length of the full text in bytes.
    pub(crate) total: u32,
    pub(crate) offset: u32,
    pub(crate) bytes: Bytes,
}

type ChunkWire = (u64, u64, u32, u32, Bytes);
tuple_conversions!(Chunk {
    revision: u64,
    digest: u64,
    total: u32,
    offset: u32,
    bytes: Bytes
});
