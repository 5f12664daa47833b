//! The key-value service over HTTP.

use crate::call::Named;
use crate::kv::{Condition, Entry, Kv, KvError, LeaseId, ModRevision, Put, Result};
use crate::pool::{Pool, PoolConfig, Reuse, SendError, discard_connection};
use crate::wire::{self, LeaseWire, ListedEntry};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Characters of a key that stay as they are in a path; `/` among them.
const KEY: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.');

/// Bytes that an answer may have; a list holds many values of up to a megabyte.
const MAX_ANSWER: usize = 64 << 20;

/// How long to wait when the service asks for a pause without saying how long.
const DEFAULT_PAUSE: Duration = Duration::from_millis(100);

/// Where the service listens and how long a call may take.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HttpKvConfig {
    /// Addresses of the service; the next is tried when one can't be reached.
    pub addresses: Vec<SocketAddr>,
    /// Time a call may take, beside the time that a watch waits.
    pub timeout: Duration,
}

/// Client of the key-value service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpKv {
    cfg: HttpKvConfig,
    pool: Pool,
    /// The id of the next call.
    next_id: Arc<AtomicU64>,
}

/// Whether a call changes anything, which decides what a lost answer means.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl HttpKv {
    /// Makes a client; it connects when it is first used.
    pub fn new(cfg: HttpKvConfig) -> Self {
        let pool = Pool::new(PoolConfig {
            connect_timeout: cfg.timeout,
            ..PoolConfig::default()
        });
        HttpKv {
            cfg,
            pool,
            next_id: Arc::default(),
        }
    }

    async fn call(
        &self,
        effect: Effect,
        mut req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Answer> {
        let id = HeaderValue::from(self.next_id.fetch_add(1, Ordering::Relaxed));
        req.headers_mut().insert(wire::REQUEST_ID, id.clone());
        let deadline = Instant::now() + self.cfg.timeout + wait;
        let mut last = "no address is set".to_owned();
        for &addr in &self.cfg.addresses {
            match self
                .pool
                .send(addr, req.clone(), Reuse::Allowed, deadline)
                .await
            {
                Ok(res) => {
                    let (head, body) = res.into_parts();
                    if Named::of(&head.headers, Some(&id)) == Named::Other {
                        discard_connection(&head);
                        let message = "the answer names another call".to_owned();
                        return Err(lost(effect, message));
                    }
                    let body = collect(body, deadline).await.map_err(|m| lost(effect, m))?;
                    let answer = Answer {
                        status: head.status,
                        headers: head.headers,
                        body,
                    };
                    return check(effect, answer);
                }
                Err(SendError::NotSent { message }) => last = message,
                Err(err) => return Err(lost(effect, err.to_string())),
            }
        }
        Err(KvError::Unavailable { message: last })
    }
}

impl Kv for HttpKv {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let req = request(Method::GET, key_path(key), Bytes::new(), None);
        let answer = self.call(Effect::Read, req, Duration::ZERO).await?;
        entry(key, answer)
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        cond: Condition,
        lease: Option<LeaseId>,
    ) -> Result<Put> {
        let path = match lease {
            Some(LeaseId(id)) => format!("{}?lease={id}", key_path(key)),
            None => key_path(key),
        };
        let req = request(Method::PUT, path, value, Some(cond));
        let answer = self.call(Effect::Write, req, Duration::ZERO).await?;
        put(&answer)
    }

    async fn delete(&self, key: &str, revision: ModRevision) -> Result<Put> {
        let cond = Some(Condition::Is(revision));
        let req = request(Method::DELETE, key_path(key), Bytes::new(), cond);
        let answer = self.call(Effect::Write, req, Duration::ZERO).await?;
        put(&answer)
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Vec<Entry>> {
        let prefix = utf8_percent_encode(prefix, NON_ALPHANUMERIC);
        let mut path = format!("/v1/kv?prefix={prefix}&limit={limit}");
        if let Some(after) = after {
            path.push_str("&after=");
            path.extend(utf8_percent_encode(after, NON_ALPHANUMERIC));
        }
        let req = request(Method::GET, path, Bytes::new(), None);
        let answer = self.call(Effect::Read, req, Duration::ZERO).await?;
        let listed: Vec<ListedEntry> = parse(Effect::Read, &answer)?;
        listed
            .into_iter()
            .map(|e| Entry::try_from(e).map_err(|m| lost(Effect::Read, m)))
            .collect()
    }

    async fn watch(&self, key: &str, seen: ModRevision, wait: Duration) -> Result<Option<Entry>> {
        let path = format!(
            "{}?seen={}&wait={}",
            key_path(key),
            seen.0,
            wait.as_millis()
        );
        let req = request(Method::GET, path, Bytes::new(), None);
        let answer = self.call(Effect::Read, req, wait).await?;
        entry(key, answer)
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        let path = format!("/v1/leases?ttl={}", ttl.as_millis());
        let req = request(Method::POST, path, Bytes::new(), None);
        let answer = self.call(Effect::Write, req, Duration::ZERO).await?;
        let lease: LeaseWire = parse(Effect::Write, &answer)?;
        Ok(LeaseId(lease.lease))
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        let req = request(Method::PUT, lease_path(lease), Bytes::new(), None);
        let answer = self.call(Effect::Write, req, Duration::ZERO).await?;
        accepted(&answer)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        let req = request(Method::DELETE, lease_path(lease), Bytes::new(), None);
        let answer = self.call(Effect::Write, req, Duration::ZERO).await?;
        accepted(&answer)
    }
}

fn key_path(key: &str) -> String {
    format!("/v1/kv/{}", utf8_percent_encode(key, KEY))
}

fn lease_path(lease: LeaseId) -> String {
    format!("/v1/leases/{}", lease.0)
}

fn request(
    method: Method,
    path: String,
    body: Bytes,
    cond: Option<Condition>,
) -> Request<Full<Bytes>> {
    let mut req = Request::builder().method(method).uri(path);
    match cond {
        Some(Condition::Absent) => req = req.header(header::IF_NONE_MATCH, "*"),
        Some(Condition::Is(rev)) => req = req.header(header::IF_MATCH, wire::etag(rev)),
        None => {}
    }
    req.body(Full::new(body))
        .expect("paths are percent-encoded and headers are digits")
}

async fn collect(body: Incoming, deadline: Instant) -> Result<Bytes, String> {
    match timeout_at(deadline, Limited::new(body, MAX_ANSWER).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) => Err(format!("the answer was cut off: {err}")),
        Err(_) => Err("the answer did not end in time".to_owned()),
    }
}

/// Sorts out answers that say that the service did nothing or can't be understood.
fn check(effect: Effect, answer: Answer) -> Result<Answer> {
    match answer.status {
        StatusCode::TOO_MANY_REQUESTS => Err(KvError::Throttled {
            retry_after: wire::retry_after(&answer.headers).unwrap_or(DEFAULT_PAUSE),
        }),
        StatusCode::SERVICE_UNAVAILABLE => Err(KvError::Unavailable {
            message: text(&answer),
        }),
        status if status.is_server_error() => Err(lost(effect, text(&answer))),
        _ => Ok(answer),
    }
}

fn lost(effect: Effect, message: String) -> KvError {
    match effect {
        Effect::Read => KvError::Unavailable { message },
        Effect::Write => KvError::Unknown { message },
    }
}

fn entry(key: &str, answer: Answer) -> Result<Option<Entry>> {
    match (answer.status, wire::revision(&answer.headers)) {
        (StatusCode::OK, Some(revision)) => Ok(Some(Entry {
            key: key.to_owned(),
            value: answer.body,
            revision,
        })),
        (StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED, _) => Ok(None),
        (StatusCode::OK, None) => Err(lost(Effect::Read, "the answer has no ETag".to_owned())),
        _ => Err(rejected(&answer)),
    }
}

fn put(answer: &Answer) -> Result<Put> {
    match (answer.status, wire::revision(&answer.headers)) {
        (StatusCode::OK, Some(revision)) => Ok(Put::Stored(revision)),
        (StatusCode::OK, None) => Err(lost(Effect::Write, "the answer has no ETag".to_owned())),
        (StatusCode::PRECONDITION_FAILED, revision) => Ok(Put::Conflict(revision)),
        _ => Err(rejected(answer)),
    }
}

fn parse<T: serde::de::DeserializeOwned>(effect: Effect, answer: &Answer) -> Result<T> {
    if !answer.status.is_success() {
        return Err(rejected(answer));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|err| lost(effect, format!("the answer can't be read: {err}")))
}

fn accepted(answer: &Answer) -> Result<()> {
    match answer.status.is_success() {
        true => Ok(()),
        false => Err(rejected(answer)),
    }
}

fn rejected(answer: &Answer) -> KvError {
    KvError::Rejected {
        message: text(answer),
    }
}

fn text(answer: &Answer) -> String {
    let body = String::from_utf8_lossy(&answer.body);
    format!("{}: {}", answer.status, body.trim())
}
