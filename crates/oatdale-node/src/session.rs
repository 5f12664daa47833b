//! Sealed session tokens.
//!
//! A session keeps its version wherever its requests arrive. Hosts keep nothing, so the token
//! itself says the version, and a MAC under a key that all nodes share shows that one of them
//! wrote it.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::Snafu;

/// Separates these MACs from others that are made with the same shared key.
const LABEL: &[u8] = b"oatdale session token 1\0";

/// A token longer than this is refused unread.
const MAX_TOKEN_BYTES: usize = 2048;

/// What a token says.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct Claims {
    /// The customer that opened the session.
    #[serde(rename = "c")]
    pub(crate) customer: String,
    /// The session's id.
    #[serde(rename = "i")]
    pub(crate) id: String,
    /// The service it was opened on.
    #[serde(rename = "s")]
    pub(crate) service: String,
    /// The version it keeps, such as `planner/2026-11`.
    #[serde(rename = "v")]
    pub(crate) version: String,
}

/// Why a token is refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
pub(crate) enum TokenError {
    /// It is not a token of this system.
    #[snafu(display("the session token is malformed"))]
    Malformed,
    /// Its MAC does not fit, so it was altered or made under another key.
    #[snafu(display("the session token was not issued here"))]
    Forged,
}

/// Seals and opens tokens under the nodes' shared key.
#[derive(Clone)]
pub(crate) struct Sealer {
    key: Vec<u8>,
}

impl Sealer {
    /// Takes the key that all nodes share.
    pub(crate) fn new(key: &[u8]) -> Sealer {
        Sealer { key: key.to_vec() }
    }

    /// Makes the token that says `claims`.
    pub(crate) fn seal(&self, claims: &Claims) -> String {
        let payload = serde_json::to_vec(claims).expect("claims are strings");
        let mac = self.mac(&payload).finalize().into_bytes();
        format!(
            "{}.{}",
            URL_SAFE_NO_PAD.encode(&payload),
            URL_SAFE_NO_PAD.encode(mac)
        )
    }

    /// Reads a token.
    ///
    /// # Errors
    ///
    /// Refuses what no node sealed.
    pub(crate) fn open(&self, token: &str) -> Result<Claims, TokenError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::Malformed);
        }
        let (payload, mac) = token.split_once('.').ok_or(TokenError::Malformed)?;
        let payload = decode(payload)?;
        let mac = decode(mac)?;
        self.mac(&payload)
            .verify_slice(&mac)
            .map_err(|_| TokenError::Forged)?;
        serde_json::from_slice(&payload).map_err(|_| TokenError::Malformed)
    }

    fn mac(&self, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("HMAC takes any length");
        mac.update(LABEL);
        mac.update(payload);
        mac
    }
}

fn decode(text: &str) -> Result<Vec<u8>, TokenError> {
    URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_| TokenError::Malformed)
}
