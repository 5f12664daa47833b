//! Messages between nodes and their CBOR form: arrays of numbers, no field names.

/// Gives a type with named fields its form on the wire, a tuple of the same values.
macro_rules! tuple_conversions {
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

mod document;
mod record;
mod summary;

pub(crate) use self::document::{Chunk, Fetch, Newest, Step};
pub(crate) use self::record::{HeldId, Record};
pub(crate) use self::summary::{Fraction, HostCounters, Report, ReportMember};

use crate::delta;
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
const FRAME_TARGET_BYTES: usize = 48 * 1024;
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
        let mut remaining = buf;
        match ciborium::from_reader(&mut remaining) {
            Ok(frame) if remaining.is_empty() => Ok(frame),
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
            size += message.estimated_size();
            frame.push(message);
            if size >= FRAME_TARGET_BYTES {
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
    fn estimated_size(&self) -> usize {
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
tuple_conversions!(Beat {
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
tuple_conversions!(Card {
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
