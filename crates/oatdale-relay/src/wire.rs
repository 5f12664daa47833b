//! Maps a platform's headers and paths to what the relay has to know of requests and responses.

use bytes::Bytes;
use http::{HeaderMap, request, response};
use oatdale_policy::relay::EngineReport;
use std::net::SocketAddr;
use std::time::Duration;

/// Translates the heads of requests and responses; the only place that knows a platform's header
/// names.
pub trait Wire: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn request(&self, head: &request::Parts) -> RequestMetadata;

    /// Removes the headers that callers may not set or endpoints may not see, and adds those for
    /// the endpoint.
    fn forward(&self, headers: &mut HeaderMap, fwd: &Forward<'_>);

    /// Sets the headers of a request that is forwarded to another node, which handles it like a
    /// caller's. `remaining` is the time until the caller stops waiting.
    fn forward_to_node(
        &self,
        headers: &mut HeaderMap,
        remaining: Duration,
        last_event_id: Option<u64>,
    );

    /// Parses the head of an endpoint's response.
    fn response(&self, head: &response::Parts) -> ResponseMetadata;

    /// Path of the probe, to which an engine responds at once however busy it is.
    fn probe_path(&self) -> &'static str;

    /// Parses the body of an engine's response to a probe; `None` if it has no report.
    fn engine_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Whether a path is that of the readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Whether a path is that of the list of node addresses.
    fn is_addresses_path(&self, path: &str) -> bool;

    /// The failure domain that a caller states in its query for node addresses, if any.
    fn caller_domain(&self, query: &str) -> Option<String>;

    /// The response body for a query for node addresses, which callers may cache for `max_age`.
    fn addresses_body(&self, addrs: &[SocketAddr], max_age: Duration) -> Bytes;
}

/// Metadata from a request's head.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct RequestMetadata {
    /// The request id that the caller set.
    pub id: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// Size and parts of the prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// The session id, the same for all requests of a session.
    pub session: Option<String>,
    /// Id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
}

/// Metadata of a prompt, as stated in the request's head.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Prompt {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// The prompt's parts in order: id and tokens. The last part belongs to this request alone.
    pub parts: Vec<(String, u32)>,
}

/// Metadata that the relay adds to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// Time until the caller stops waiting.
    pub remaining: Duration,
    /// Id of the intended endpoint: another one at the same address must not run the request.
    pub endpoint: &'a str,
    /// The customer that the caller belongs to.
    pub customer: Option<&'a str>,
    /// The model to use, where the route's ladder selects it instead of the caller.
    pub model: Option<&'a str>,
    /// Priority from 0, the most urgent, for engines that schedule by it.
    pub urgency: Option<u8>,
    /// Id of the last event that the caller has; the stream resumes after it.
    pub last_event_id: Option<u64>,
}

/// Limit on an endpoint's requests from all nodes together, as stated in a response.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum StatedLimit {
    /// Requests per second; finite and not negative.
    PerSecond(f64),
    /// A value that is none of a limit, or several.
    Invalid,
}

/// Id of the request that a response names as its own.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub enum ResponseId {
    /// It names none.
    #[default]
    Missing,
    /// It names the request with this id.
    One(String),
    /// It names several, or one that is not text.
    Ambiguous,
}

impl ResponseId {
    /// Whether the response belongs to the request with this id.
    pub(crate) fn belongs_to(&self, request: Option<&str>) -> bool {
        matches!(self, ResponseId::One(id) if request == Some(id))
    }

    /// Name for logs and metrics, given the id of the request that the response arrived for.
    pub(crate) fn kind(&self, request: Option<&str>) -> &'static str {
        match self {
            ResponseId::Missing => "missing",
            ResponseId::Ambiguous => "ambiguous",
            ResponseId::One(_) if self.belongs_to(request) => "own",
            ResponseId::One(_) => "other",
        }
    }
}

impl ResponseMetadata {
    /// Whether the endpoint states anything that makes its requests need permits.
    pub(crate) fn states_limit(&self) -> bool {
        self.limit.is_some() || self.max_rejections.is_some()
    }
}

/// Metadata from a response's head.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub id: ResponseId,
    /// Whether the endpoint states that it has not run the request and never will.
    pub not_executed: bool,
    /// Whether the request reached another endpoint, which has the address now.
    pub misdirected: bool,
    /// Whether the endpoint signed the response.
    pub signed: bool,
    /// The model's confidence in its response, from 0 to 100.
    pub confidence: Option<u8>,
    /// Whether the endpoint is leaving and accepts no new requests.
    pub leaving: bool,
    /// Remaining warm-up time of the endpoint, if stated.
    pub cold_left: Option<Duration>,
    /// How long the endpoint, which rejected the request without running it, accepts no other
    /// request from this node.
    pub back_off: Option<Duration>,
    /// Limit on the endpoint's requests, if it states one.
    pub limit: Option<StatedLimit>,
    /// Rejections in a second above which the endpoint fails, if it states that it does.
    pub max_rejections: Option<u32>,
    /// Name of a header by which the endpoint announces something that this version does not know.
    pub unknown_announcement: Option<String>,
}
