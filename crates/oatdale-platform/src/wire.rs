//! Wire types and headers that clients and stand-ins share.

use crate::kv::{Entry, ModRevision};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::{HeaderMap, header};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Header in milliseconds that is finer than `Retry-After`, which counts seconds.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Set to `true` on a refusal by an endpoint that did not begin the request.
pub const NOT_STARTED: &str = "x-not-started";

/// The longest time that a service may ask to wait; a longer one is cut to this.
pub const MAX_PAUSE: Duration = Duration::from_secs(3600);

/// The shortest; without it a client that obeys would ask again without end.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// The greatest age that a load report is taken to have.
const MAX_AGE: Duration = Duration::from_secs(3600);

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
    /// How old the figures were when they were sent; an hour at most.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms).min(MAX_AGE)
    }

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

/// What an engine does in a pool that splits prompts from generation.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Reads prompts and generates.
    #[default]
    Both,
    /// Reads prompts only.
    Prefill,
    /// Generates only.
    Decode,
}

/// An order to an engine: a wanted state, not a step towards it.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the lease under which it is given.
    pub fencing: u64,
    /// The configuration's revision that it follows from.
    pub revision: u64,
    /// Full names of the versions to hold, and no others.
    pub versions: Vec<String>,
    /// The role to take.
    #[serde(default)]
    pub role: Role,
}

/// What an engine was last ordered and what it holds.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Held {
    /// The fencing number of the last order.
    pub fencing: u64,
    /// The configuration's revision of the last order.
    pub revision: u64,
    /// Versions that it holds.
    pub versions: Vec<String>,
    /// Versions that it is loading.
    #[serde(default)]
    pub loading: Vec<String>,
    /// Its role.
    #[serde(default)]
    pub role: Role,
}

/// What became of an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Ordered {
    /// The engine follows it.
    Accepted(Held),
    /// The engine has seen a newer fencing number.
    Stale {
        /// The newest that it has seen.
        newest: u64,
    },
}

/// The body of a refused order.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StaleFencing {
    /// The newest fencing number that the engine has seen.
    pub newest: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the engine's events from 1; a number that is left out is an event that was lost.
    pub seq: u64,
    /// What happened.
    pub change: CacheChange,
    /// The block's hash, which covers all blocks before it, in hexadecimal.
    pub block: String,
}

/// What happened to a block of a prefix cache.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// It was added.
    Stored,
    /// It made room for others.
    Removed,
}

/// A question to the rating service.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Rating {
    /// The service that the caller named.
    pub service: String,
    /// The conversation.
    pub prompt: String,
    /// The answer to judge.
    pub answer: String,
}

/// The rating service's verdict.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct Score {
    /// From 0 (useless) to 1 (perfect).
    pub score: f64,
}

/// One line of the host list.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub host: String,
    /// Where its process listens.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub domain: String,
    /// What runs on it.
    pub role: HostRole,
    /// Whether it stays.
    pub state: HostState,
}

/// What runs on a host.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// A node of oatdale.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Whether a host stays.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It stays.
    Live,
    /// It is about to stop and takes no new work.
    Leaving,
}

/// The host list as it is sent.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct HostList {
    /// All hosts that are known, in the order of their names.
    pub hosts: Vec<Host>,
}

/// A version in the weight store.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Weights {
    /// Its full name, such as `planner/2026-11`.
    pub version: String,
    /// Its size.
    pub bytes: u64,
}

/// The weight store's contents and how busy it is.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct WeightList {
    /// Versions, in the order of their names.
    pub weights: Vec<Weights>,
    /// Bytes that it sends in a second, over all engines.
    pub bytes_per_second: u64,
    /// Milliseconds until it has sent all that was asked for so far.
    pub backlog_ms: u64,
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

/// How long an answer asks to wait, by [`RETRY_AFTER_MS`] or else `Retry-After` in seconds; from a
/// millisecond to [`MAX_PAUSE`].
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.trim().parse().ok();
    number(RETRY_AFTER_MS)
        .map(Duration::from_millis)
        .or_else(|| number(header::RETRY_AFTER.as_str()).map(Duration::from_secs))
        .map(|pause| pause.clamp(MIN_PAUSE, MAX_PAUSE))
}

/// Whether an endpoint says that it refused a request before it began.
pub fn is_not_started(headers: &HeaderMap) -> bool {
    headers.get(NOT_STARTED).is_some_and(|v| v == "true")
}
