//! Messages between nodes that append for each other: a version byte, then CBOR.

use crate::append::{Answer, Ask};
use bytes::Bytes;
use oatdale_journal::{
    BillRecord, ClaimKey, JournalError, Millis, Outcome, Pin, RequestId, SessionKey,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Another release's messages are dropped; its node then appends for itself.
const VERSION: u8 = 1;

/// What one node sends to another.
#[derive(Debug)]
pub(super) enum Message {
    Ask(Ask),
    Answer(Answer),
}

/// Why a payload can't be read.
#[derive(Debug)]
pub(super) enum Unreadable {
    /// It is empty or another release's.
    Version(Option<u8>),
    /// It is not what the version says.
    Content(String),
}

/// The call's number and what is said.
#[derive(Serialize, Deserialize)]
struct Wire(u128, WireMessage);

#[derive(Serialize, Deserialize)]
enum WireMessage {
    #[serde(rename = "c")]
    Claim([u8; 32], u128),
    #[serde(rename = "f")]
    Finish([u8; 32], u128, bool),
    #[serde(rename = "p")]
    Pin([u8; 32], WirePin),
    /// Each as the journal writes it for holders.
    #[serde(rename = "b")]
    Bill(Vec<Bytes>),
    #[serde(rename = "W")]
    Won,
    /// By whom, and whether that one ended and was complete.
    #[serde(rename = "L")]
    Lost(u128, Option<bool>),
    #[serde(rename = "P")]
    Pinned(WirePin),
    #[serde(rename = "D")]
    Done,
    /// Milliseconds to wait.
    #[serde(rename = "T")]
    Throttled(u64),
    #[serde(rename = "O")]
    Overloaded(u64),
    #[serde(rename = "l")]
    TooLate(u128),
    #[serde(rename = "R")]
    Released(u128),
    #[serde(rename = "F")]
    Failed,
}

/// Versions and opening time.
type WirePin = (Vec<String>, u64);

pub(super) fn to_vec(call: u128, message: &Message) -> Vec<u8> {
    let mut buf = vec![VERSION];
    let wire = Wire(call, message.into());
    ciborium::into_writer(&wire, &mut buf).expect("writing to memory can't fail");
    buf
}

pub(super) fn from_slice(bytes: &[u8]) -> Result<(u128, Message), Unreadable> {
    let Some((&VERSION, rest)) = bytes.split_first() else {
        return Err(Unreadable::Version(bytes.first().copied()));
    };
    let Wire(call, wire) =
        ciborium::from_reader(rest).map_err(|err| Unreadable::Content(err.to_string()))?;
    Ok((call, wire.try_into()?))
}

impl From<&Message> for WireMessage {
    fn from(message: &Message) -> Self {
        match message {
            Message::Ask(ask) => ask.into(),
            Message::Answer(answer) => answer.into(),
        }
    }
}

impl From<&Ask> for WireMessage {
    fn from(ask: &Ask) -> Self {
        match ask {
            Ask::Claim { key, by } => WireMessage::Claim(key.0, by.0),
            Ask::Finish { key, by, outcome } => {
                WireMessage::Finish(key.0, by.0, *outcome == Outcome::Complete)
            }
            Ask::Pin { session, pin } => WireMessage::Pin(session.0, from_pin(pin)),
            Ask::Bill(records) => {
                let bytes = records.iter().map(BillRecord::to_vec);
                WireMessage::Bill(bytes.map(Bytes::from).collect())
            }
        }
    }
}

impl From<&Answer> for WireMessage {
    fn from(answer: &Answer) -> Self {
        match answer {
            Answer::Won => WireMessage::Won,
            Answer::Lost { by, finished } => {
                WireMessage::Lost(by.0, finished.map(|end| end == Outcome::Complete))
            }
            Answer::Pinned(pin) => WireMessage::Pinned(from_pin(pin)),
            Answer::Done => WireMessage::Done,
            Answer::Refused(err) => err.into(),
        }
    }
}

impl From<&JournalError> for WireMessage {
    fn from(err: &JournalError) -> Self {
        match err {
            JournalError::Throttled { retry_after } => WireMessage::Throttled(millis(*retry_after)),
            JournalError::Overloaded { retry_after } => {
                WireMessage::Overloaded(millis(*retry_after))
            }
            JournalError::TooLate { request } => WireMessage::TooLate(request.0),
            JournalError::Released { request } => WireMessage::Released(request.0),
            // What keeps one node from appending need not keep another.
            JournalError::Unavailable { .. }
            | JournalError::TooLarge { .. }
            | JournalError::Corrupt { .. }
            | JournalError::Full { .. }
            | JournalError::Stopped => WireMessage::Failed,
        }
    }
}

impl TryFrom<WireMessage> for Message {
    type Error = Unreadable;

    fn try_from(wire: WireMessage) -> Result<Self, Unreadable> {
        Ok(match wire {
            WireMessage::Claim(key, by) => Message::Ask(Ask::Claim {
                key: ClaimKey(key),
                by: RequestId(by),
            }),
            WireMessage::Finish(key, by, complete) => Message::Ask(Ask::Finish {
                key: ClaimKey(key),
                by: RequestId(by),
                outcome: outcome(complete),
            }),
            WireMessage::Pin(session, pin) => Message::Ask(Ask::Pin {
                session: SessionKey(session),
                pin: to_pin(pin),
            }),
            WireMessage::Bill(records) => Message::Ask(Ask::Bill(bills(&records)?)),
            answer => Message::Answer(to_answer(answer)),
        })
    }
}

fn to_answer(wire: WireMessage) -> Answer {
    match wire {
        WireMessage::Won => Answer::Won,
        WireMessage::Lost(by, finished) => Answer::Lost {
            by: RequestId(by),
            finished: finished.map(outcome),
        },
        WireMessage::Pinned(pin) => Answer::Pinned(to_pin(pin)),
        WireMessage::Done => Answer::Done,
        WireMessage::Throttled(after) => Answer::Refused(JournalError::Throttled {
            retry_after: Duration::from_millis(after),
        }),
        WireMessage::Overloaded(after) => Answer::Refused(JournalError::Overloaded {
            retry_after: Duration::from_millis(after),
        }),
        WireMessage::TooLate(request) => Answer::Refused(JournalError::TooLate {
            request: RequestId(request),
        }),
        WireMessage::Released(request) => Answer::Refused(JournalError::Released {
            request: RequestId(request),
        }),
        WireMessage::Claim(..)
        | WireMessage::Finish(..)
        | WireMessage::Pin(..)
        | WireMessage::Bill(..)
        | WireMessage::Failed => Answer::Refused(JournalError::Stopped),
    }
}

fn bills(records: &[Bytes]) -> Result<Vec<BillRecord>, Unreadable> {
    let read = records.iter().map(|bytes| BillRecord::from_slice(bytes));
    read.collect::<Result<_, _>>()
        .map_err(|err| Unreadable::Content(err.to_string()))
}

fn from_pin(pin: &Pin) -> WirePin {
    (pin.versions.clone(), pin.opened_at.0)
}

fn to_pin((versions, opened_at): WirePin) -> Pin {
    Pin {
        versions,
        opened_at: Millis(opened_at),
    }
}

fn outcome(complete: bool) -> Outcome {
    match complete {
        true => Outcome::Complete,
        false => Outcome::Interrupted,
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
