//! Digests as text and on the wire.

use crate::config::Digest;
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::str::FromStr;

/// What a digest begins with as text.
const PREFIX: &str = "sha256:";

/// The text is not `sha256:` and 64 hex digits.
#[derive(Clone, Copy, PartialEq, Eq, Debug, snafu::Snafu)]
#[snafu(display("not a digest: expected `{PREFIX}` and 64 hex digits"))]
pub struct ParseDigestError;

impl Digest {
    /// The digest of some bytes, such as a caller's key or a text.
    pub fn of(bytes: impl AsRef<[u8]>) -> Self {
        Digest(Sha256::digest(bytes.as_ref()).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}", hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_prefix(PREFIX).ok_or(ParseDigestError)?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(digits, &mut bytes).map_err(|_| ParseDigestError)?;
        Ok(Digest(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => serializer.serialize_bytes(&self.0),
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match deserializer.is_human_readable() {
            true => deserializer.deserialize_str(DigestVisitor),
            false => deserializer.deserialize_bytes(DigestVisitor),
        }
    }
}

struct DigestVisitor;

impl<'de> Visitor<'de> for DigestVisitor {
    type Value = Digest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a SHA-256 digest")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Digest, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<Digest, E> {
        let bytes = bytes.try_into();
        bytes
            .map(Digest)
            .map_err(|_| E::custom("a digest has 32 bytes"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Digest, A::Error> {
        let mut bytes = [0; 32];
        for byte in &mut bytes {
            *byte = seq
                .next_element()?
                .ok_or_else(|| A::Error::custom("a digest has 32 bytes"))?;
        }
        Ok(Digest(bytes))
    }
}
