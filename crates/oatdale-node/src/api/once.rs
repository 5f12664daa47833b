//! Whether a request may run more than once.

use super::{MAX_NAME, Who, digest};
use crate::problem::Problem;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode, request};
use oatdale_config::ServiceKey;
use oatdale_journal::ClaimKey;

/// Names a request across retries.
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Set to `false` by callers whose request must run at most once.
const IDEMPOTENT_HEADER: HeaderName = HeaderName::from_static("x-idempotent");

/// Whether a request must run at most once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Once {
    /// It may be repeated.
    No,
    /// It is sent at most once; a caller that asks again makes another request.
    Request,
    /// It is sent at most once for all requests with its key.
    Keyed(ClaimKey),
}

impl Once {
    /// Finds out from the text and from the caller's headers.
    pub(super) fn of(
        who: &Who,
        service: ServiceKey,
        head: &request::Parts,
        path: &str,
    ) -> Result<Once, Problem> {
        let marked = marked(&head.headers)?;
        let listed = who.live.cfg.services[service]
            .non_idempotent
            .iter()
            .any(|pattern| pattern.matches(head.method.as_str(), path));
        match marked || listed {
            false => Ok(Once::No),
            true => key(&head.headers, who.name()),
        }
    }

    /// The key to claim, if there is one.
    pub(super) fn claim(self) -> Option<ClaimKey> {
        match self {
            Once::Keyed(key) => Some(key),
            Once::No | Once::Request => None,
        }
    }
}

fn marked(headers: &HeaderMap) -> Result<bool, Problem> {
    match headers.get(IDEMPOTENT_HEADER).map(HeaderValue::as_bytes) {
        None | Some(b"true") => Ok(false),
        Some(b"false") => Ok(true),
        Some(_) => Err(bad(&IDEMPOTENT_HEADER, "`true` or `false`")),
    }
}

fn key(headers: &HeaderMap, customer: &str) -> Result<Once, Problem> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(Once::Request);
    };
    match value.as_bytes() {
        bytes if (1..=MAX_NAME).contains(&bytes.len()) => Ok(Once::Keyed(ClaimKey(digest(&[
            b"claim",
            customer.as_bytes(),
            bytes,
        ])))),
        _ => Err(bad(&KEY_HEADER, "1 to 256 bytes")),
    }
}

/// The answer to a header that can't be read.
pub(super) fn bad(name: &HeaderName, wanted: &str) -> Problem {
    Problem::not_run(
        StatusCode::BAD_REQUEST,
        "header",
        format!("`{name}` takes {wanted}"),
    )
}
