//! Mutual authentication: both sides prove that they hold the shared key.
//!
//! The dialer sends a hello with a nonce and its card; the acceptor replies with its own hello and
//! a proof over both; the dialer then sends its proof. A proof includes the direction, so it can't
//! be reflected to its sender, and covers both cards, so another incarnation can't reuse it. Each
//! later frame carries a MAC tag that covers a frame counter, under a key specific to the
//! connection and direction: a modified, replayed, dropped or reordered frame, or one from another
//! connection, ends the connection. Nothing is encrypted.

use crate::error::{Error, MalformedSnafu, Result, VersionSnafu};
use crate::wire::Card;
use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Protocol version of this node.
pub(crate) const PROTOCOL_VERSION: u8 = 1;
/// Maximum size of a message from a peer that is not authenticated yet.
pub(crate) const MAX_HELLO_BYTES: usize = 4096;
/// Length of the MAC tag of a frame.
pub(crate) const TAG_BYTES: usize = 8;
const NONCE_BYTES: usize = 32;

/// A side of a connection.
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

/// The first message that each side sends.
#[derive(Clone, PartialEq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "HelloWire", into = "HelloWire")]
pub(crate) struct Hello {
    /// Lowest and highest protocol version that the sender supports.
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
                    reason: "nonce is not 32 bytes long",
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

/// The handshake transcript: the shared key and both encoded hellos.
pub(crate) struct Transcript<'a> {
    pub(crate) key: &'a [u8],
    pub(crate) dialer: &'a [u8],
    pub(crate) acceptor: &'a [u8],
}

impl Transcript<'_> {
    /// Returns the proof that `side` must send.
    pub(crate) fn proof(&self, side: Side) -> Bytes {
        Bytes::copy_from_slice(&self.derive(b"oatdale-mesh proof", side))
    }

    /// Verifies the proof that `side` sent, in constant time.
    pub(crate) fn verify_proof(&self, side: Side, proof: &[u8]) -> Result<()> {
        use subtle::ConstantTimeEq;
        match bool::from(self.derive(b"oatdale-mesh proof", side).ct_eq(proof)) {
            true => Ok(()),
            false => Err(Error::Unauthenticated),
        }
    }

    /// Returns the frame authenticators of `side`: one for sending, one for receiving.
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

/// Authenticates the frames of one direction with a MAC over a frame counter and the frame.
pub(crate) struct FrameMac {
    key: [u8; 32],
    frame_count: u64,
}

impl FrameMac {
    /// Returns the frame prefixed with its tag.
    pub(crate) fn add_tag(&mut self, frame: &[u8]) -> Bytes {
        let mut buf = Vec::with_capacity(TAG_BYTES + frame.len());
        buf.extend_from_slice(&self.tag(frame));
        buf.extend_from_slice(frame);
        buf.into()
    }

    /// Verifies the tag and returns the frame without it.
    pub(crate) fn verify<'a>(&mut self, buf: &'a [u8]) -> Result<&'a [u8]> {
        use subtle::ConstantTimeEq;
        let Some((tag, frame)) = buf.split_at_checked(TAG_BYTES) else {
            return MalformedSnafu {
                reason: "frame is shorter than its 8-byte tag",
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
