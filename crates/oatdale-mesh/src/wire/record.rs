//! Bill records that nodes hold for one another.

use crate::types::HostId;
use bytes::Bytes;

/// A record held for another node.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "RecordWire", into = "RecordWire")]
pub(crate) struct Record {
    pub(crate) id: u128,
    /// Host that owns the record.
    pub(crate) owner: HostId,
    /// Incarnation of the owner.
    pub(crate) incarnation: u64,
    /// Sequence number assigned by the owner; of two records with the same id the higher one wins.
    pub(crate) seq: u64,
    /// Host id of the other holder, 0 for none.
    pub(crate) other_holder: u64,
    pub(crate) record: Bytes,
}

type RecordWire = (u128, HostId, u64, u64, u64, Bytes);
tuple_conversions!(Record {
    id: u128,
    owner: HostId,
    incarnation: u64,
    seq: u64,
    other_holder: u64,
    record: Bytes,
});

/// Identifies a held record.
#[derive(Clone, Copy, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "HeldIdWire", into = "HeldIdWire")]
pub(crate) struct HeldId {
    pub(crate) owner: HostId,
    pub(crate) incarnation: u64,
    pub(crate) id: u128,
    pub(crate) seq: u64,
}

type HeldIdWire = (HostId, u64, u128, u64);
tuple_conversions!(HeldId {
    owner: HostId,
    incarnation: u64,
    id: u128,
    seq: u64
});

impl HeldId {
    pub(crate) fn of(record: &Record) -> Self {
        HeldId {
            owner: record.owner,
            incarnation: record.incarnation,
            id: record.id,
            seq: record.seq,
        }
    }
}
