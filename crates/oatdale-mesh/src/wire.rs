//! Messages between nodes and their CBOR form: arrays of numbers, no field names.

use crate::delta::{self, Delta};
use crate::error::{MalformedSnafu, Result};
use crate::types::{HostId, Stop};
use bytes::Bytes;
use std::net::SocketAddr;

/// Largest frame in bytes; a peer that sends a larger one is dropped.
pub const MAX_FRAME: usize = 128 * 1024;
/// Largest record that may be held or forwarded, in bytes.
pub const MAX_RECORD: usize = 8 * 1024;
/// Bytes of a configuration that travel in one message.
pub(crate) const CHUNK: usize = 16 * 1024;
/// Largest configuration; the key-value service holds no larger value.
pub(crate) const MAX_DOCUMENT: usize = 1024 * 1024;
/// Size at which a frame is closed and the next one begun; leaves room for one more message.
const FRAME_TARGET: usize = 48 * 1024;
/// Cards in one message.
pub(crate) const CARDS: usize = 256;

/// Messages that travel together on one link.
#[derive(Clone, PartialEq, Debug, serde::Serialize, serde::Deserialize)]
pub struct Frame(pub(crate) Vec<Message>);

impl Frame {
    /// The CBOR form.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(64);
        ciborium::into_writer(self, &mut buf).expect("writing to memory does not fail");
        buf
    }

    /// Reads the CBOR form.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`](crate::Error::Malformed) on anything but one whole frame.
    pub fn decode(buf: &[u8]) -> Result<Frame> {
        if buf.len() > MAX_FRAME {
            let reason = format!("{} bytes are more than a frame may have", buf.len());
            return MalformedSnafu { reason }.fail();
        }
        let mut rest = buf;
        match ciborium::from_reader(&mut rest) {
            Ok(frame) if rest.is_empty() => Ok(frame),
            Ok(_) => MalformedSnafu {
                reason: "bytes after the frame",
            }
            .fail(),
            Err(e) => MalformedSnafu {
                reason: e.to_string(),
            }
            .fail(),
        }
    }

    /// Puts messages into frames of moderate size.
    pub(crate) fn pack(messages: Vec<Message>) -> Vec<Frame> {
        let mut frames = Vec::with_capacity(1);
        let mut frame = Vec::new();
        let mut size = 0;
        for message in messages {
            size += message.weight();
            frame.push(message);
            if size >= FRAME_TARGET {
                frames.push(Frame(std::mem::take(&mut frame)));
                size = 0;
            }
        }
        if !frame.is_empty() {
            frames.push(Frame(frame));
        }
        frames
    }
}

/// One message. Variants travel under one letter.
#[derive(Clone, PartialEq, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) enum Message {
    /// Sent on every link at every heartbeat.
    #[serde(rename = "b")]
    Beat(Beat),
    /// Hosts that the receiver may not know.
    #[serde(rename = "c")]
    Cards(Vec<Card>),
    /// Send me every card that you have.
    #[serde(rename = "r")]
    AskCards,
    /// The sender stops as planned.
    #[serde(rename = "l")]
    Leave,
    /// The sender has a newer configuration.
    #[serde(rename = "n")]
    Newest(Newest),
    /// Send the configuration to one who has the text of this digest (0 for none).
    #[serde(rename = "f")]
    Fetch(Fetch),
    /// The deltas from the receiver's text to the newest.
    #[serde(rename = "s")]
    Steps(Vec<Step>),
    /// A piece of the whole text.
    #[serde(rename = "k")]
    Chunk(Chunk),
    /// Keep these.
    #[serde(rename = "h")]
    Hold(Vec<Record>),
    /// These are kept.
    #[serde(rename = "a")]
    Held(Vec<HeldId>),
    /// These need not be kept.
    #[serde(rename = "x")]
    Release(Vec<u128>),
    /// The sender's demand by customer as a fraction of the limit, where it has changed.
    #[serde(rename = "d")]
    Demand(Vec<(u32, Fraction)>),
    /// Counters of nodes in the sender's failure domain that the receiver may not have.
    #[serde(rename = "e")]
    Evidence(Vec<HostCounters>),
    /// A summary of a failure domain.
    #[serde(rename = "p")]
    Report(Report),
    /// Stops that the receiver may not know.
    #[serde(rename = "t")]
    Stops(Vec<Stop>),
    /// A payload from node to node.
    #[serde(rename = "w")]
    Forward(Bytes),
}

impl Message {
    /// About how many bytes the message takes.
    fn weight(&self) -> usize {
        match self {
            Message::Cards(cards) => cards.len() * 120,
            Message::Steps(steps) => steps.iter().map(|s| 40 + delta::size(&s.delta)).sum(),
            Message::Chunk(chunk) => 40 + chunk.bytes.len(),
            Message::Hold(records) => records.iter().map(|r| 64 + r.record.len()).sum(),
            Message::Forward(payload) => payload.len(),
            Message::Report(report) => 40 + 12 * report.members.len() + 16 * report.demand.len(),
            Message::Evidence(list) => list.len() * 64,
            Message::Held(ids) => 48 * ids.len(),
            Message::Release(ids) => 18 * ids.len(),
            _ => 32,
        }
    }
}

macro_rules! tuple_form {
    ($name:ident { $($field:ident: $type:ty),* $(,)? }) => {
        impl From<$name> for ($($type,)*) {
            fn from(v: $name) -> Self {
                ($(v.$field,)*)
            }
        }

        impl From<($($type,)*)> for $name {
            fn from(($($field,)*): ($($type,)*)) -> Self {
                $name { $($field),* }
            }
        }
    };
}

/// A part of a limit in ten-thousandths, up to about six and a half limits.
#[derive(Clone, Copy, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub(crate) struct Fraction(u16);

impl From<f32> for Fraction {
    fn from(part: f32) -> Self {
        // The cast saturates, and takes what is not a number for 0.
        Fraction((part * 10_000.0).round() as u16)
    }
}

impl From<Fraction> for f32 {
    fn from(part: Fraction) -> Self {
        f32::from(part.0) / 10_000.0
    }
}

/// A heartbeat.
#[derive(Clone, Copy, PartialEq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "BeatWire", into = "BeatWire")]
pub(crate) struct Beat {
    /// See the `FLAG_` constants.
    pub(crate) flags: u8,
    /// Load in 255ths.
    pub(crate) load: u8,
    /// The revision in force.
    pub(crate) in_force: u64,
    /// A hash over all hosts that the sender knows, to notice a missing one.
    pub(crate) roster: u32,
}

type BeatWire = (u8, u8, u64, u32);
tuple_form!(Beat {
    flags: u8,
    load: u8,
    in_force: u64,
    roster: u32
});

/// Callers may be sent to the host.
pub(crate) const FLAG_ACCEPTING: u8 = 1;
/// The host stops as planned.
pub(crate) const FLAG_LEAVING: u8 = 2;
/// The host watched the key-value service and got no answer.
pub(crate) const FLAG_SERVICE_DOWN: u8 = 4;
/// The sender wants to keep this link.
pub(crate) const FLAG_WANTED: u8 = 8;
/// In summaries: the reporter suspects the host.
pub(crate) const FLAG_SUSPECT: u8 = 16;

/// What does not change while a process runs.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "CardWire", into = "CardWire")]
pub struct Card {
    /// The host's name.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// The incarnation of the process.
    pub incarnation: u64,
    /// Where its mesh listens.
    pub address: SocketAddr,
    /// Where callers reach it.
    pub caller: SocketAddr,
}

type CardWire = (String, String, String, u64, SocketAddr, SocketAddr);
tuple_form!(Card {
    host: String,
    domain: String,
    region: String,
    incarnation: u64,
    address: SocketAddr,
    caller: SocketAddr,
});

impl Card {
    /// The host's id.
    pub fn id(&self) -> HostId {
        HostId::of(&self.host)
    }
}

/// Says which configuration the sender holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub(crate) struct Newest {
    pub(crate) revision: u64,
    pub(crate) digest: u64,
}
tuple_form!(Newest {
    revision: u64,
    digest: u64
});

/// Asks for a configuration.
#[derive(Clone, Copy, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "(u64, u64, u32)", into = "(u64, u64, u32)")]
pub(crate) struct Fetch {
    /// Digest of the text that the sender has, 0 for none.
    pub(crate) have: u64,
    /// Digest of the text of which the sender has a part, 0 for none.
    pub(crate) partial: u64,
    /// How many bytes of it.
    pub(crate) offset: u32,
}
tuple_form!(Fetch {
    have: u64,
    partial: u64,
    offset: u32
});

/// One delta of the configuration.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "StepWire", into = "StepWire")]
pub(crate) struct Step {
    /// Digest of the text before.
    pub(crate) from: u64,
    /// Revision after.
    pub(crate) revision: u64,
    /// Digest of the text after.
    pub(crate) digest: u64,
    pub(crate) delta: Delta,
}

type StepWire = (u64, u64, u64, Delta);
tuple_form!(Step {
    from: u64,
    revision: u64,
    digest: u64,
    delta: Delta
});

/// A piece of a configuration.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "ChunkWire", into = "ChunkWire")]
pub(crate) struct Chunk {
    pub(crate) revision: u64,
    /// Digest of the whole text.
    pub(crate) digest: u64,
    /// Length of the whole text.
    pub(crate) total: u32,
    pub(crate) offset: u32,
    pub(crate) bytes: Bytes,
}

type ChunkWire = (u64, u64, u32, u32, Bytes);
tuple_form!(Chunk {
    revision: u64,
    digest: u64,
    total: u32,
    offset: u32,
    bytes: Bytes
});

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
tuple_form!(Record {
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
tuple_form!(HeldId {
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

/// The counters of one process.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "HostCountersWire", into = "HostCountersWire")]
pub(crate) struct HostCounters {
    pub(crate) host: HostId,
    pub(crate) incarnation: u64,
    /// By version.
    pub(crate) counts: Vec<(u32, Vec<u64>)>,
}

type HostCountersWire = (HostId, u64, Vec<(u32, Vec<u64>)>);
tuple_form!(HostCounters { host: HostId, incarnation: u64, counts: Vec<(u32, Vec<u64>)> });

/// A summary of a failure domain, made by one of its nodes and passed on within another.
#[derive(Clone, PartialEq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "ReportWire", into = "ReportWire")]
pub(crate) struct Report {
    /// [`name_hash`](crate::name_hash) of the failure domain.
    pub(crate) domain: u32,
    /// The highest revision in force there.
    pub(crate) revision: u64,
    /// Its hosts.
    pub(crate) members: Vec<ReportMember>,
    /// Demand of the hosts that the reporter hears, and the share kept for the others.
    pub(crate) demand: Vec<(u32, Fraction, Fraction)>,
    /// Sums over its hosts that changed since the last report of this reporter.
    pub(crate) counts: Vec<(u32, Vec<u64>)>,
}

type ReportWire = (
    u32,
    u64,
    Vec<ReportMember>,
    Vec<(u32, Fraction, Fraction)>,
    Vec<(u32, Vec<u64>)>,
);
tuple_form!(Report {
    domain: u32,
    revision: u64,
    members: Vec<ReportMember>,
    demand: Vec<(u32, Fraction, Fraction)>,
    counts: Vec<(u32, Vec<u64>)>,
});

/// One host of a summary.
#[derive(Clone, Copy, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "(u32, u8, u8, u64)", into = "(u32, u8, u8, u64)")]
pub(crate) struct ReportMember {
    /// See [`HostId::short`].
    pub(crate) short: u32,
    pub(crate) flags: u8,
    pub(crate) load: u8,
    /// How far its revision is behind the report's.
    pub(crate) behind: u64,
}
tuple_form!(ReportMember {
    short: u32,
    flags: u8,
    load: u8,
    behind: u64
});
