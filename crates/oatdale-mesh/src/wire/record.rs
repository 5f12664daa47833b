//! Bill records that nodes hold for one another.

use crate::types::HostId;
use bytes::Bytes;

/// A held record.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "RecordWire", into = "RecordWire")]
pub(crate) struct Record {
    pub(crate) id: u128,
    /// The host whose request it is.
    pub(crate) owner: HostId,
    /// That host's incarnation.
    pub(crate) incarnation: u64,
    /// The owner's count of records; the higher replaces the lower of the same id.
    pub(crate) seq: u64,
    /// The other holder, 0 for none.
    pub(crate) other: u64,
    pub(crate) record: Bytes,
}

type RecordWire = (u128, HostId, u64, u64, u64, Bytes);
tuple_conversions!(Record {
    id: u128,
    owner: HostId,
    incarnation: u64,
    seq: u64,
    other: u64,
    record: Bytes,
});

/// Names a held record.
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
