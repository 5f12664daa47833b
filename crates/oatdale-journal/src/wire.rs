//! CBOR encoding of the journal's values, with short field names since every request writes some.

use crate::error::{JournalError, Result};
use crate::fold::{FinalEntry, HeldClaim, StoredPin};
use crate::record::{
    BillRecord, ClaimKey, Closing, MicroUnits, Millis, Opening, Outcome, Pin, Record, RequestId,
    SessionKey,
};
use serde::{Deserialize, Serialize};

type KeyHalves = (u128, u128);

#[derive(Serialize, Deserialize)]
pub(crate) struct WireSegment {
    #[serde(rename = "n")]
    pub(crate) seq: u64,
    #[serde(rename = "w")]
    pub(crate) writer: u64,
    #[serde(rename = "t")]
    pub(crate) at: u64,
    #[serde(rename = "r")]
    pub(crate) records: Vec<WireRecord>,
}

#[derive(Serialize, Deserialize)]
pub(crate) enum WireRecord {
    #[serde(rename = "c")]
    Claim(KeyHalves, u128),
    #[serde(rename = "r")]
    Release(KeyHalves, u128),
    #[serde(rename = "f")]
    Finish(KeyHalves, u128, bool),
    #[serde(rename = "p")]
    Pin(KeyHalves, Vec<String>, u64),
    #[serde(rename = "o")]
    Open(WireOpening),
    #[serde(rename = "b")]
    Close(WireClosing),
}

/// Request, customer, service, opening time.
type WireOpening = (u128, String, String, u64);

/// Request, customer, service, version, input tokens, output tokens, price, complete, opening time,
/// closing time.
type WireClosing = (
    u128,
    String,
    String,
    Option<String>,
    u64,
    u64,
    u64,
    bool,
    u64,
    u64,
);

/// One item of a page.
#[derive(Serialize, Deserialize)]
pub(crate) enum WireItem {
    /// The fold's clock.
    #[serde(rename = "t")]
    Clock(u64),
    #[serde(rename = "c")]
    Claim(KeyHalves, u128, u64, Option<bool>),
    /// The key's claim was released.
    #[serde(rename = "u")]
    Unclaimed(KeyHalves),
    #[serde(rename = "r")]
    Released(u128, u64),
    #[serde(rename = "p")]
    Pin(KeyHalves, Vec<String>, u64, u64),
    #[serde(rename = "o")]
    Open(WireOpening, u64),
    #[serde(rename = "s")]
    Settled(u128, u64),
    #[serde(rename = "b")]
    Bill(WireClosing),
    #[serde(rename = "l")]
    Late(WireClosing),
}

/// The list of a shard's pages; only the pages that it lists are valid.
#[derive(Clone, Serialize, Deserialize, PartialEq, Eq, Debug, Default)]
pub(crate) struct Manifest {
    /// Number of writes of the manifest.
    #[serde(rename = "g")]
    pub(crate) generation: u64,
    /// The manifest's writer. With the generation it tells a writer whether its own write succeeded
    /// when the response was lost.
    #[serde(rename = "w")]
    pub(crate) writer: u64,
    /// Number of the first segment that the pages do not cover.
    #[serde(rename = "n")]
    pub(crate) next_seq: u64,
    /// Keys of the state pages; each one updates the state of those before.
    #[serde(rename = "s")]
    pub(crate) state: Vec<String>,
    /// Number of incremental compactions since the complete state was last written.
    #[serde(rename = "d", default)]
    pub(crate) incremental_compactions: u64,
    /// Keys of the bill pages that have not been exported and truncated yet, oldest first.
    #[serde(rename = "b")]
    pub(crate) bills: Vec<String>,
}

/// The settings shared by all nodes; the first node writes them.
#[derive(Clone, Copy, Serialize, Deserialize, PartialEq, Eq, Debug)]
pub(crate) struct WireMeta {
    #[serde(rename = "s")]
    pub(crate) shards: u16,
    #[serde(rename = "k")]
    pub(crate) slots: u64,
    #[serde(rename = "c")]
    pub(crate) claims: u64,
    #[serde(rename = "p")]
    pub(crate) pins: u64,
    #[serde(rename = "b")]
    pub(crate) bills: u64,
    #[serde(rename = "o")]
    pub(crate) open: u64,
}

pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("writing to memory can't fail");
    buf
}

pub(crate) fn decode<T: for<'de> Deserialize<'de>>(key: &str, bytes: &[u8]) -> Result<T> {
    ciborium::from_reader(bytes).map_err(|e| corrupt(key, e))
}

/// Decodes the items of a page, which are concatenated.
pub(crate) fn decode_items(key: &str, mut bytes: &[u8]) -> Result<Vec<WireItem>> {
    let mut items = Vec::new();
    while !bytes.is_empty() {
        let item = ciborium::from_reader(&mut bytes).map_err(|e| corrupt(key, e))?;
        items.push(item);
    }
    Ok(items)
}

fn corrupt(key: &str, error: impl std::fmt::Display) -> JournalError {
    JournalError::Corrupt {
        key: key.to_owned(),
        message: error.to_string(),
    }
}

impl From<&Record> for WireRecord {
    fn from(record: &Record) -> Self {
        match record {
            Record::Claim { key, by } => WireRecord::Claim(split_key(key.0), by.0),
            Record::Release { key, by } => WireRecord::Release(split_key(key.0), by.0),
            Record::Finish { key, by, outcome } => {
                WireRecord::Finish(split_key(key.0), by.0, is_complete(*outcome))
            }
            Record::Pin { session, pin } => {
                WireRecord::Pin(split_key(session.0), pin.versions.clone(), pin.opened_at.0)
            }
            Record::Bill(BillRecord::Open(opening)) => WireRecord::Open(opening.into()),
            Record::Bill(BillRecord::Close(closing)) => WireRecord::Close(closing.into()),
        }
    }
}

impl From<WireRecord> for Record {
    fn from(wire: WireRecord) -> Self {
        match wire {
            WireRecord::Claim(key, by) => Record::Claim {
                key: ClaimKey(join_key(key)),
                by: RequestId(by),
            },
            WireRecord::Release(key, by) => Record::Release {
                key: ClaimKey(join_key(key)),
                by: RequestId(by),
            },
            WireRecord::Finish(key, by, complete) => Record::Finish {
                key: ClaimKey(join_key(key)),
                by: RequestId(by),
                outcome: to_outcome(complete),
            },
            WireRecord::Pin(session, versions, at) => Record::Pin {
                session: SessionKey(join_key(session)),
                pin: Pin {
                    versions,
                    opened_at: Millis(at),
                },
            },
            WireRecord::Open(opening) => Record::Bill(BillRecord::Open(opening.into())),
            WireRecord::Close(closing) => Record::Bill(BillRecord::Close(closing.into())),
        }
    }
}

impl From<&Opening> for WireOpening {
    fn from(o: &Opening) -> Self {
        (
            o.request.0,
            o.customer.clone(),
            o.service.clone(),
            o.opened_at.0,
        )
    }
}

impl From<WireOpening> for Opening {
    fn from((request, customer, service, at): WireOpening) -> Self {
        Opening {
            request: RequestId(request),
            customer,
            service,
            opened_at: Millis(at),
        }
    }
}

impl From<&Closing> for WireClosing {
    fn from(c: &Closing) -> Self {
        (
            c.request.0,
            c.customer.clone(),
            c.service.clone(),
            c.version.clone(),
            c.input_tokens,
            c.output_tokens,
            c.price.0,
            is_complete(c.outcome),
            c.opened_at.0,
            c.closed_at.0,
        )
    }
}

impl From<WireClosing> for Closing {
    fn from(wire: WireClosing) -> Self {
        let (request, customer, service, version, input, output, price, complete, opened, closed) =
            wire;
        Closing {
            request: RequestId(request),
            customer,
            service,
            version,
            input_tokens: input,
            output_tokens: output,
            price: MicroUnits(price),
            outcome: to_outcome(complete),
            opened_at: Millis(opened),
            closed_at: Millis(closed),
        }
    }
}

impl From<&FinalEntry> for WireItem {
    fn from(entry: &FinalEntry) -> Self {
        match entry {
            FinalEntry::Bill(closing) => WireItem::Bill(closing.into()),
            FinalEntry::Late(closing) => WireItem::Late(closing.into()),
        }
    }
}

impl WireItem {
    pub(crate) fn claim(key: ClaimKey, held: &HeldClaim) -> Self {
        let finished = held.finished.map(is_complete);
        WireItem::Claim(split_key(key.0), held.by.0, held.at.0, finished)
    }

    pub(crate) fn unclaimed(key: ClaimKey) -> Self {
        WireItem::Unclaimed(split_key(key.0))
    }

    pub(crate) fn pin(session: SessionKey, pinned: &StoredPin) -> Self {
        let Pin {
            versions,
            opened_at,
        } = &pinned.pin;
        WireItem::Pin(
            split_key(session.0),
            versions.clone(),
            opened_at.0,
            pinned.at.0,
        )
    }
}

pub(crate) fn held_claim(by: u128, at: u64, finished: Option<bool>) -> HeldClaim {
    HeldClaim {
        by: RequestId(by),
        at: Millis(at),
        finished: finished.map(to_outcome),
    }
}

/// Splits a key into two numbers, which take 34 bytes in CBOR; a list of 32 bytes takes up to 66.
fn split_key(bytes: [u8; 32]) -> KeyHalves {
    let (high, low) = bytes.split_at(16);
    let number = |half: &[u8]| half.iter().fold(0, |n, b| n << 8 | u128::from(*b));
    (number(high), number(low))
}

pub(crate) fn join_key((high, low): KeyHalves) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..16].copy_from_slice(&high.to_be_bytes());
    bytes[16..].copy_from_slice(&low.to_be_bytes());
    bytes
}

fn is_complete(outcome: Outcome) -> bool {
    outcome == Outcome::Complete
}

fn to_outcome(complete: bool) -> Outcome {
    match complete {
        true => Outcome::Complete,
        false => Outcome::Interrupted,
    }
}

impl BillRecord {
    /// Encodes the record as CBOR, for another node to hold.
    pub fn to_vec(&self) -> Vec<u8> {
        encode(&WireRecord::from(&Record::Bill(self.clone())))
    }

    /// Decodes a record that [`to_vec`](Self::to_vec) encoded.
    ///
    /// # Errors
    ///
    /// [`Corrupt`](JournalError::Corrupt) if `bytes` is anything else.
    pub fn from_slice(bytes: &[u8]) -> Result<Self> {
        const HELD_BILL_KEY: &str = "held bill record";
        match Record::from(decode::<WireRecord>(HELD_BILL_KEY, bytes)?) {
            Record::Bill(record) => Ok(record),
            _ => Err(JournalError::Corrupt {
                key: HELD_BILL_KEY.to_owned(),
                message: "expected a bill record, got a record of another kind".to_owned(),
            }),
        }
    }
}
