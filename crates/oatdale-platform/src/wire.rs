//! Wire types and headers that clients and stand-ins share.

use crate::kv::{Entry, ModRevision};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::{HeaderMap, header};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Header in milliseconds that is finer than `Retry-After`, which counts seconds.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Set to `true` on a refusal by an endpoint that did not begin the request.
pub const NOT_STARTED: &str = "x-not-started";

/// Names a request; the same for all its attempts.
pub const REQUEST_ID: &str = "x-request-id";

/// Counts a request's attempts from 1.
pub const ATTEMPT: &str = "x-attempt";

/// The load of the engine that answers, as [`Load::to_header`] writes it.
pub const LOAD: &str = "x-load";

/// One entry of a list; the value is Base64.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ListedEntry {
    /// The key.
    pub key: String,
    /// The revision of the value.
    pub revision: u64,
    /// The value in Base64.
    pub value: String,
}

/// The answer to a request for a lease.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LeaseWire {
    /// The lease's number.
    pub lease: u64,
}

/// An engine's report of its load.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Tokens that its running requests still have to generate, by its own estimate.
    pub tokens: u64,
    /// How old the figures were when they were sent, in milliseconds.
    pub age_ms: u64,
    /// Whether it refuses new requests because it is leaving.
    pub leaving: bool,
    /// The versions it holds; left out of the header.
    #[serde(default)]
    pub versions: Vec<String>,
}

impl Load {
    /// Writes a header such as `running=3, waiting=1, tokens=90, age=40`; `leaving` is added when
    /// it is so.
    pub fn to_header(&self) -> String {
        let leaving = if self.leaving { ", leaving" } else { "" };
        format!(
            "running={}, waiting={}, tokens={}, age={}{leaving}",
            self.running, self.waiting, self.tokens, self.age_ms
        )
    }

    /// Reads what [`Load::to_header`] wrote; unknown members are left out.
    pub fn from_header(text: &str) -> Option<Self> {
        let mut load = Load::default();
        for member in text.split(',').map(str::trim) {
            match member.split_once('=') {
                Some(("running", n)) => load.running = n.parse().ok()?,
                Some(("waiting", n)) => load.waiting = n.parse().ok()?,
                Some(("tokens", n)) => load.tokens = n.parse().ok()?,
                Some(("age", n)) => load.age_ms = n.parse().ok()?,
                None if member == "leaving" => load.leaving = true,
                _ => {}
            }
        }
        Some(load)
    }
}

impl From<Entry> for ListedEntry {
    fn from(entry: Entry) -> Self {
        ListedEntry {
            key: entry.key,
            revision: entry.revision.0,
            value: STANDARD.encode(&entry.value),
        }
    }
}

impl TryFrom<ListedEntry> for Entry {
    type Error = String;

    fn try_from(listed: ListedEntry) -> Result<Self, String> {
        let value = STANDARD
            .decode(&listed.value)
            .map_err(|err| format!("the value of {:?} is not Base64: {err}", listed.key))?;
        Ok(Entry {
            key: listed.key,
            value: value.into(),
            revision: ModRevision(listed.revision),
        })
    }
}

/// A revision as an entity tag, such as `"17"` with its quotes.
pub fn etag(revision: ModRevision) -> String {
    format!("\"{}\"", revision.0)
}

/// Reads an entity tag that [`etag`] wrote.
pub fn parse_etag(tag: &str) -> Option<ModRevision> {
    let digits = tag.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(ModRevision)
}

/// The revision in an answer's `ETag`.
pub fn revision(headers: &HeaderMap) -> Option<ModRevision> {
    parse_etag(headers.get(header::ETAG)?.to_str().ok()?)
}

/// How long an answer asks to wait, by [`RETRY_AFTER_MS`] or else `Retry-After` in seconds.
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.trim().parse().ok();
    number(RETRY_AFTER_MS)
        .map(Duration::from_millis)
        .or_else(|| number(header::RETRY_AFTER.as_str()).map(Duration::from_secs))
}
