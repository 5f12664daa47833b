//! Who is at the other end: both sides prove that they hold the key.
//!
//! The dialer sends a hello with a nonce and its card; the acceptor answers with its own and a
//! proof over both; the dialer sends its proof. A proof names the direction, so one can't be sent
//! back to its maker, and it covers both cards, so it is of no use to another incarnation. Each
//! later frame carries a tag under a key of that connection and direction, with a counter: a frame
//! that was changed, repeated, dropped or put elsewhere ends the connection. Nothing is encrypted.

use crate::error::{Error, MalformedSnafu, Result, VersionSnafu};
use crate::wire::Card;
use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The version of the protocol.
pub(crate) const PROTOCOL_VERSION: u8 = 1;
/// Largest frame before the other side has proved itself.
pub(crate) const MAX_HELLO_BYTES: usize = 4096;
/// Bytes of a frame's tag.
pub(crate) const TAG_BYTES: usize = 8;
const NONCE_BYTES: usize = 32;

/// Which side of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Side {
    Dialer,
    Acceptor,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Side::Dialer => b"dialer",
            Side::Acceptor => b"acceptor",
        }
    }

    fn other(self) -> Side {
        match self {
            Side::Dialer => Side::Acceptor,
            Side::Acceptor => Side::Dialer,
        }
    }
}

/// The first frame of each side.
#[derive(Clone, PartialEq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "HelloWire", into = "HelloWire")]
pub(crate) struct Hello {
    /// Lowest and highest version that the sender speaks.
    low: u8,
    high: u8,
    nonce: Bytes,
    pub(crate) card: Card,
}

type HelloWire = (u8, u8, Bytes, Card);

impl From<Hello> for HelloWire {
    fn from(h: Hello) -> Self {
        (h.low, h.high, h.nonce, h.card)
    }
}

impl From<HelloWire> for Hello {
    fn from((low, high, nonce, card): HelloWire) -> Self {
        Hello {
            low,
            high,
            nonce,
            card,
        }
    }
}

impl Hello {
    pub(crate) fn new(card: Card) -> Self {
        let nonce: [u8; NONCE_BYTES] = rand::random();
        Hello {
            low: PROTOCOL_VERSION,
            high: PROTOCOL_VERSION,
            nonce: Bytes::copy_from_slice(&nonce),
            card,
        }
    }

    pub(crate) fn encode(&self) -> Bytes {
        let mut buf = Vec::new();
        ciborium::into_writer(self, &mut buf).expect("writing to memory does not fail");
        buf.into()
    }

    pub(crate) fn decode(buf: &[u8]) -> Result<Hello> {
        let decoded: Result<Hello, _> = ciborium::from_reader(buf);
        let hello = match decoded {
            Ok(hello) if hello.nonce.len() == NONCE_BYTES => hello,
            Ok(_) => {
                return MalformedSnafu {
                    reason: "a nonce has 32 bytes",
                }
                .fail();
            }
            Err(e) => {
                return MalformedSnafu {
                    reason: e.to_string(),
                }
                .fail();
            }
        };
        let (low, high) = (hello.low, hello.high);
        match (low..=high).contains(&PROTOCOL_VERSION) {
            true => Ok(hello),
            false => VersionSnafu {
                low,
                high,
                supported: PROTOCOL_VERSION,
            }
            .fail(),
        }
    }
}

/// What both sides know after the hellos.
pub(crate) struct Transcript<'a> {
    pub(crate) key: &'a [u8],
    pub(crate) dialer: &'a [u8],
    pub(crate) acceptor: &'a [u8],
}

impl Transcript<'_> {
    /// What `side` must show.
    pub(crate) fn proof(&self, side: Side) -> Bytes {
        Bytes::copy_from_slice(&self.derive(b"oatdale-mesh proof", side))
    }

    /// Checks what the other side shows, in constant time.
    pub(crate) fn verify_proof(&self, side: Side, proof: &[u8]) -> Result<()> {
        use subtle::ConstantTimeEq;
        match bool::from(self.derive(b"oatdale-mesh proof", side).ct_eq(proof)) {
            true => Ok(()),
            false => Err(Error::Unauthenticated),
        }
    }

    /// The keys of the connection as `side` uses them.
    pub(crate) fn frame_macs(&self, side: Side) -> (FrameMac, FrameMac) {
        let mac_for = |side| FrameMac {
            key: self.derive(b"oatdale-mesh frames", side),
            frame_count: 0,
        };
        (mac_for(side), mac_for(side.other()))
    }

    fn derive(&self, purpose: &[u8], side: Side) -> [u8; 32] {
        let mut mac = new_hmac(self.key);
        for part in [purpose, side.label(), self.dialer, self.acceptor] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }
}

/// Tags the frames of one direction.
pub(crate) struct FrameMac {
    key: [u8; 32],
    frame_count: u64,
}

impl FrameMac {
    /// The frame with its tag before it.
    pub(crate) fn add_tag(&mut self, frame: &[u8]) -> Bytes {
        let mut buf = Vec::with_capacity(TAG_BYTES + frame.len());
        buf.extend_from_slice(&self.tag(frame));
        buf.extend_from_slice(frame);
        buf.into()
    }

    /// The frame without its tag.
    pub(crate) fn verify<'a>(&mut self, buf: &'a [u8]) -> Result<&'a [u8]> {
        use subtle::ConstantTimeEq;
        let Some((tag, frame)) = buf.split_at_checked(TAG_BYTES) else {
            return MalformedSnafu {
                reason: "a frame without a tag",
            }
            .fail();
        };
        match bool::from(self.tag(frame).ct_eq(tag)) {
            true => Ok(frame),
            false => Err(Error::Unauthenticated),
        }
    }

    fn tag(&mut self, frame: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = new_hmac(&self.key);
        mac.update(&self.frame_count.to_be_bytes());
        mac.update(frame);
        self.frame_count += 1;
        let digest = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&digest[..TAG_BYTES]);
        tag
    }
}

fn new_hmac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC takes keys of any length")
}
