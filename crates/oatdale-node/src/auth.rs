//! Who a caller is.

use crate::live::Live;
use crate::problem::Problem;
use http::header::AUTHORIZATION;
use http::{HeaderMap, StatusCode};
use oatdale_config::{CustomerKey, Digest};
use sha2::{Digest as _, Sha256};

/// Finds the customer by the bearer key.
///
/// Only digests of keys are kept, and they are found by a look-up of the digest, whose timing
/// tells nothing about the keys.
///
/// # Errors
///
/// A missing or unknown key gets the same answer, so that nobody learns which keys exist.
pub(crate) fn customer(live: &Live, headers: &HeaderMap) -> Result<CustomerKey, Problem> {
    bearer(headers)
        .map(|key| Digest(Sha256::digest(key.as_bytes()).into()))
        .and_then(|digest| live.customer(digest))
        .ok_or_else(|| {
            Problem::not_run(
                StatusCode::UNAUTHORIZED,
                "unknown-key",
                "a valid key is needed: `Authorization: Bearer KEY`",
            )
        })
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim())
        .filter(|key| !key.is_empty())
}
