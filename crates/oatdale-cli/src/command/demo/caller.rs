//! A caller of the nodes, as any HTTP client is one.

use crate::command::demo::data::{Example, key};
use crate::command::demo::fail;
use crate::cx::other;
use crate::error::Result;
use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use oatdale_platform::chat::Chunk;
use oatdale_platform::sse::Events;
use oatdale_platform::{Pool, Reuse};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Far longer than any answer takes here.
const LIMIT: Duration = Duration::from_secs(20);

/// How often a request that a limit holds back is tried again, each time after the time that the
/// refusal tells.
const MAX_TRIES: u32 = 5;

/// The last event of a whole streamed answer.
const TERMINATOR: &[u8] = b"[DONE]";

/// Sends requests to nodes.
#[derive(Default)]
pub(super) struct Caller {
    pool: Pool,
}

/// A whole answer.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Answer {
    /// The id of the request.
    pub(super) fn id(&self) -> &str {
        header(&self.headers, "x-request-id")
    }

    /// The version that answered.
    pub(super) fn version(&self) -> &str {
        header(&self.headers, "x-version")
    }

    /// The body as JSON; `null` if it is none.
    pub(super) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The text of a chat completion.
    pub(super) fn content(&self) -> String {
        let json = self.json();
        let content = json["choices"][0]["message"]["content"].as_str();
        content.unwrap_or_default().to_owned()
    }

    /// The last part of a problem's type, such as `already-sent`.
    pub(super) fn problem(&self) -> String {
        let json = self.json();
        let kind = json["type"].as_str().unwrap_or_default();
        kind.rsplit(':').next().unwrap_or_default().to_owned()
    }

    /// When to come back, if the customer's limits held the request back and it was not run.
    fn come_back(&self) -> Option<Duration> {
        let seconds = header(&self.headers, "retry-after").parse().ok()?;
        let limited = self.status == StatusCode::TOO_MANY_REQUESTS && self.not_run();
        limited.then(|| Duration::from_secs(seconds))
    }

    /// Whether a problem says that the request was not run.
    pub(super) fn not_run(&self) -> bool {
        self.json()["run"] == "not-run"
    }
}

/// A streamed answer that came in whole.
pub(super) struct Streamed {
    pub(super) id: String,
    pub(super) version: String,
    /// Events with text.
    pub(super) pieces: usize,
    pub(super) first: Duration,
    pub(super) total: Duration,
}

impl Caller {
    /// Sends a request and reads the answer.
    ///
    /// # Errors
    ///
    /// No whole answer came; a refusal is an answer.
    pub(super) async fn send(
        &self,
        addr: SocketAddr,
        customer: &str,
        (method, path): (&str, &str),
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Answer> {
        let deadline = Instant::now() + LIMIT;
        let res = self
            .open(addr, customer, (method, path), headers, body)
            .await?;
        let (head, body) = res.into_parts();
        let body = timeout_at(deadline, body.collect()).await;
        let body = body.map_err(|e| other(&e))?.map_err(|e| other(&e))?;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    /// Asks for a chat completion; comes back when a limit of the customer's asks it to.
    pub(super) async fn chat(
        &self,
        addr: SocketAddr,
        example: &Example,
        headers: &[(&str, &str)],
    ) -> Result<Answer> {
        let target = ("POST", "/v1/chat/completions");
        let mut tries = 1;
        loop {
            let body = chat_body(example, false);
            let sent = self.send(addr, &example.customer, target, headers, body);
            let answer = sent.await?;
            match answer.come_back() {
                Some(after) if tries < MAX_TRIES => sleep(after).await,
                _ => return Ok(answer),
            }
            tries += 1;
        }
    }

    /// Asks for a streamed chat completion and shows its text as it comes.
    ///
    /// # Errors
    ///
    /// The answer is a refusal or lacks its end.
    pub(super) async fn stream(
        &self,
        addr: SocketAddr,
        example: &Example,
        headers: &[(&str, &str)],
        mut show: impl FnMut(&str) -> Result<()>,
    ) -> Result<Streamed> {
        let start = Instant::now();
        let target = ("POST", "/v1/chat/completions");
        let body = chat_body(example, true);
        let res = self
            .open(addr, &example.customer, target, headers, body)
            .await?;
        if !res.status().is_success() {
            return fail(&format!("a draft was answered {}", res.status()));
        }
        let (head, mut body) = res.into_parts();
        let mut text = StreamText::default();
        let mut first = None;
        while let Some(frame) = next(&mut body, start + LIMIT).await? {
            let new = text.add(&frame);
            if !new.is_empty() {
                first.get_or_insert_with(|| start.elapsed());
                show(&new)?;
            }
        }
        if !text.done {
            return fail("a streamed draft lacks its end");
        }
        Ok(Streamed {
            id: header(&head.headers, "x-request-id").to_owned(),
            version: header(&head.headers, "x-version").to_owned(),
            pieces: text.pieces,
            first: first.unwrap_or_default(),
            total: start.elapsed(),
        })
    }

    async fn open(
        &self,
        addr: SocketAddr,
        customer: &str,
        (method, path): (&str, &str),
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Response<Incoming>> {
        let auth = format!("Bearer {}", key(customer));
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, auth);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| other(&e))?;
        let deadline = Instant::now() + LIMIT;
        let sent = self.pool.send(addr, req, Reuse::Allowed, deadline).await;
        sent.map_err(|e| other(&e))
    }
}

/// Picks the text out of the events of a stream.
#[derive(Default)]
struct StreamText {
    events: Events,
    pieces: usize,
    done: bool,
}

impl StreamText {
    fn add(&mut self, bytes: &[u8]) -> String {
        let mut new = String::new();
        let (pieces, done) = (&mut self.pieces, &mut self.done);
        // An event that is too long leaves the stream without its end, which is noticed.
        let _ = self.events.push(bytes, |data| {
            *done = data == TERMINATOR;
            if let Ok(chunk) = serde_json::from_slice::<Chunk>(data) {
                let texts = chunk.choices.iter();
                let before = new.len();
                new.extend(texts.filter_map(|c| c.delta.content.as_deref()));
                *pieces += usize::from(new.len() > before);
            }
            Ok(())
        });
        new
    }
}

async fn next(body: &mut Incoming, deadline: Instant) -> Result<Option<Bytes>> {
    let frame = timeout_at(deadline, body.frame()).await;
    match frame.map_err(|e| other(&e))? {
        None => Ok(None),
        Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        Some(Err(e)) => Err(other(&e)),
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn chat_body(example: &Example, stream: bool) -> String {
    json!({
        "model": example.service,
        "stream": stream,
        "max_tokens": example.max_tokens,
        "messages": [{ "role": "user", "content": example.prompt() }],
    })
    .to_string()
}
