//! Messages between nodes and their CBOR encoding, which uses arrays without field names.

/// Implements the conversions between a struct and the tuple it is serialized as.
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

pub(crate) use self::document::{Chunk, DeltaStep, Fetch, RevisionOffer};
pub(crate) use self::record::{HeldId, Record};
pub(crate) use self::summary::{Fraction, HostCounters, Report, ReportMember};

use crate::delta;
use crate::error::{MalformedSnafu, Result};
use crate::types::{HostId, Stop};
use bytes::Bytes;
use std::net::SocketAddr;

/// Maximum frame size in bytes; a peer that sends a larger one is disconnected.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;
/// Maximum size of a held record or a forwarded payload, in bytes.
pub const MAX_RECORD_BYTES: usize = 8 * 1024;
/// Maximum bytes of a configuration in one message.
pub(crate) const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum size of a configuration in bytes; the key-value service stores no larger value.
pub(crate) const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;
/// Size at which a frame is complete and the next one starts. Far enough below
/// [`MAX_FRAME_BYTES`] for the message that exceeds it.
const FRAME_TARGET_BYTES: usize = 48 * 1024;
/// Maximum number of cards in one message.
pub(crate) const MAX_CARDS_PER_MESSAGE: usize = 256;

/// A batch of messages sent over one link.
#[derive(Clone, PartialEq, Debug, serde::Serialize, serde::Deserialize)]
pub struct Frame(pub(crate) Vec<Message>);

impl Frame {
    /// Encodes the frame as CBOR.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(64);
        ciborium::into_writer(self, &mut buf).expect("writing to memory does not fail");
        buf
    }

    /// Decodes a frame from CBOR.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`](crate::Error::Malformed) unless `buf` is exactly one frame.
    pub fn decode(buf: &[u8]) -> Result<Frame> {
        if buf.len() > MAX_FRAME_BYTES {
            let reason = format!("frame of {} bytes exceeds the limit of 128 KiB", buf.len());
            return MalformedSnafu { reason }.fail();
        }
        let mut remaining = buf;
        match ciborium::from_reader(&mut remaining) {
            Ok(frame) if remaining.is_empty() => Ok(frame),
            Ok(_) => MalformedSnafu {
                reason: "trailing bytes after the frame",
            }
            .fail(),
            Err(e) => MalformedSnafu {
                reason: e.to_string(),
            }
            .fail(),
        }
    }

    /// Packs messages into frames of moderate size.
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

/// A message. Each variant is encoded under a one-letter name.
#[derive(Clone, PartialEq, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) enum Message {
    /// Heartbeat, sent periodically on every link.
    #[serde(rename = "b")]
    Heartbeat(Heartbeat),
    /// Cards of hosts that the receiver may not know.
    #[serde(rename = "c")]
    Cards(Vec<Card>),
    /// Requests all cards that the receiver has.
    #[serde(rename = "r")]
    RequestCards,
    /// The sender begins a planned stop.
    #[serde(rename = "l")]
    Leave,
    /// The sender has a newer configuration.
    #[serde(rename = "n")]
    RevisionOffer(RevisionOffer),
    /// Requests the configuration; names the digest of the text that the sender has (0 for none).
    #[serde(rename = "f")]
    Fetch(Fetch),
    /// Deltas from the receiver's text to the newest one.
    #[serde(rename = "s")]
    Steps(Vec<DeltaStep>),
    /// A chunk of the full text.
    #[serde(rename = "k")]
    Chunk(Chunk),
    /// Records that the receiver should hold.
    #[serde(rename = "h")]
    Hold(Vec<Record>),
    /// Confirms that the sender holds these records.
    #[serde(rename = "a")]
    HoldConfirmed(Vec<HeldId>),
    /// Records that no longer need to be held.
    #[serde(rename = "x")]
    Release(Vec<u128>),
    /// The sender's demand by customer as a fraction of the limit; only changed values.
    #[serde(rename = "d")]
    Demand(Vec<(u32, Fraction)>),
    /// Counters of nodes in the sender's failure domain that the receiver may lack.
    #[serde(rename = "e")]
    Evidence(Vec<HostCounters>),
    /// A summary of a failure domain.
    #[serde(rename = "p")]
    Report(Report),
    /// Stops that the receiver may not know.
    #[serde(rename = "t")]
    Stops(Vec<Stop>),
    /// A forwarded payload.
    #[serde(rename = "w")]
    Forward(Bytes),
}

impl Message {
    /// Estimates the encoded size of the message in bytes.
    fn estimated_size(&self) -> usize {
        match self {
            Message::Cards(cards) => cards.len() * 120,
            Message::Steps(steps) => steps
                .iter()
                .map(|s| 40 + delta::estimated_size(&s.delta))
                .sum(),
            Message::Chunk(chunk) => 40 + chunk.bytes.len(),
            Message::Hold(records) => records.iter().map(|r| 64 + r.record.len()).sum(),
            Message::Forward(payload) => payload.len(),
            Message::Report(report) => 40 + 12 * report.members.len() + 16 * report.demand.len(),
            Message::Evidence(list) => list.len() * 64,
            Message::HoldConfirmed(ids) => 48 * ids.len(),
            Message::Release(ids) => 18 * ids.len(),
            _ => 32,
        }
    }
}

/// A heartbeat.
#[derive(Clone, Copy, PartialEq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "HeartbeatWire", into = "HeartbeatWire")]
pub(crate) struct Heartbeat {
    /// Bit set of the `FLAG_` constants.
    pub(crate) flags: u8,
    /// Load from 0 to 255.
    pub(crate) load: u8,
    /// Revision in force at the sender.
    pub(crate) in_force: u64,
    /// Hash over all hosts that the sender knows, so that the receiver notices if the lists differ.
    pub(crate) roster: u32,
}

type HeartbeatWire = (u8, u8, u64, u32);
tuple_conversions!(Heartbeat {
    flags: u8,
    load: u8,
    in_force: u64,
    roster: u32
});

/// The host accepts callers.
pub(crate) const FLAG_ACCEPTING: u8 = 1;
/// The host is in a planned stop.
pub(crate) const FLAG_LEAVING: u8 = 2;
/// The host watched the key-value service and got no response.
pub(crate) const FLAG_SERVICE_DOWN: u8 = 4;
/// The sender wants to keep the link.
pub(crate) const FLAG_WANTED: u8 = 8;
/// In summaries: the reporter suspects the host.
pub(crate) const FLAG_SUSPECT: u8 = 16;

/// Identity and addresses of a process, which do not change while it runs.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "CardWire", into = "CardWire")]
pub struct Card {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Region of the host.
    pub region: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Address on which its mesh listens.
    pub address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
}

type CardWire = (String, String, String, u64, SocketAddr, SocketAddr);
tuple_conversions!(Card {
    host: String,
    domain: String,
    region: String,
    incarnation: u64,
    address: SocketAddr,
    caller_address: SocketAddr,
});

impl Card {
    /// Returns the id of the host.
    pub fn id(&self) -> HostId {
        HostId::of(&self.host)
    }
}
