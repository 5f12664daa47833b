//! How a platform's callers and endpoints write what the relay has to know of a request.

use bytes::Bytes;
use http::{HeaderMap, request, response};
use oatdale_policy::relay::EngineReport;
use std::net::SocketAddr;
use std::time::Duration;

/// Translates heads of requests and answers; the one place where a platform's header names live.
pub trait Wire: Send + Sync + 'static {
    /// Reads a caller's request.
    fn request(&self, head: &request::Parts) -> RequestFacts;

    /// Takes from a request's headers what callers may not set or what endpoints may not see, and
    /// adds what the endpoint is told.
    fn forward(&self, headers: &mut HeaderMap, fwd: &Forward<'_>);

    /// Reads an endpoint's answer.
    fn answer(&self, head: &response::Parts) -> AnswerFacts;

    /// A path that an engine answers at once, whatever it has to do.
    fn probe_path(&self) -> &'static str;

    /// Reads what an engine answers there; `None` if it says nothing of its work.
    fn engine_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Whether a path asks if the node is ready.
    fn is_readiness(&self, path: &str) -> bool;

    /// Whether a path asks for the nodes' addresses.
    fn is_addresses(&self, path: &str) -> bool;

    /// The failure domain of a caller that asks for addresses, if it tells it.
    fn caller_domain(&self, query: &str) -> Option<String>;

    /// The answer to a caller that asks for addresses.
    fn addresses(&self, addrs: &[SocketAddr], keep: Duration) -> Bytes;
}

/// What a request's head tells.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct RequestFacts {
    /// The caller's id of this request.
    pub id: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The caller's prompt, if a model answers.
    pub prompt: Option<Prompt>,
    /// Requests of one session name it alike.
    pub session: Option<String>,
    /// The caller has the events up to this one.
    pub last_event: Option<u64>,
}

/// What a request says of its prompt.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Prompt {
    /// Tokens to read.
    pub tokens_in: u32,
    /// Tokens to generate at the most.
    pub tokens_out: u32,
    /// The prompt's parts from its beginning: id and tokens. The last is the request's own.
    pub parts: Vec<(String, u32)>,
}

/// What an endpoint is told beside the caller's own words.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// Time until the caller stops waiting.
    pub left: Duration,
    /// The endpoint's id: another one at the same address must not run it.
    pub endpoint: &'a str,
    /// The caller's customer.
    pub customer: Option<&'a str>,
    /// The model to use, where the caller left it open.
    pub model: Option<&'a str>,
    /// Rank from 0, the most urgent, for engines that order their work by it.
    pub urgency: Option<u8>,
    /// Go on after this event.
    pub last_event: Option<u64>,
}

/// What an answer's head tells.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct AnswerFacts {
    /// The id of the request it answers.
    pub id: Option<String>,
    /// The endpoint has not run the request and never will.
    pub not_run: bool,
    /// Another endpoint lives at this address now.
    pub other_endpoint: bool,
    /// The endpoint signed it.
    pub signed: bool,
    /// How sure the model is of its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// The endpoint leaves, and wants no new requests.
    pub leaving: bool,
    /// How much longer the endpoint is cold, if it says so.
    pub cold_left: Option<Duration>,
    /// For how long the endpoint, which has not run the request, wants no other one from this node.
    pub pause: Option<Duration>,
}
