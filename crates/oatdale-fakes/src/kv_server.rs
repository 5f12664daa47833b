//! The key-value service over HTTP, in front of any in-process one.

use crate::reply;
use crate::server::{Body, CloseConnection, Reply, Server};
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use oatdale_platform::wire::{self, LeaseWire, ListedEntry};
use oatdale_platform::{Condition, Entry, Kv, KvError, LeaseId, ModRevision, Put};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The most that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Entries of a list when the request gives no limit.
const DEFAULT_LIMIT: usize = 1000;

/// Starts the HTTP front of the key-value service.
pub struct KvServer;

impl KvServer {
    /// Serves `kv` at `addr`, where port 0 takes a free one.
    ///
    /// A lost answer of `kv` ([`KvError::Unknown`]) closes the connection without an answer, which
    /// is how a client meets it.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(addr: SocketAddr, kv: impl Kv) -> io::Result<Server> {
        Server::start(addr, move |req| {
            let kv = kv.clone();
            async move { handle(&kv, req).await }
        })
        .await
    }
}

async fn handle(kv: &impl Kv, req: Request<Incoming>) -> Reply {
    let path = req.uri().path().to_owned();
    let key = path.strip_prefix("/v1/kv/").map(reply::decode);
    let lease = path
        .strip_prefix("/v1/leases/")
        .and_then(|id| id.parse().ok())
        .map(LeaseId);
    match (req.method().clone(), key, lease) {
        (Method::GET, Some(key), _) => get(kv, &key, &req).await,
        (Method::PUT, Some(key), _) => put(kv, &key, req).await,
        (Method::DELETE, Some(key), _) => delete(kv, &key, &req).await,
        (Method::GET, None, _) if path == "/v1/kv" => list(kv, &req).await,
        (Method::POST, None, _) if path == "/v1/leases" => grant(kv, &req).await,
        (Method::PUT, None, Some(lease)) => empty(kv.renew(lease).await),
        (Method::DELETE, None, Some(lease)) => empty(kv.revoke(lease).await),
        _ => reply::unknown(&req),
    }
}

async fn get(kv: &impl Kv, key: &str, req: &Request<Incoming>) -> Reply {
    let number = |name: &str| reply::query(req, name)?.parse::<u64>().ok();
    match (number("seen"), number("wait")) {
        (Some(seen), wait) => {
            let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
            let found = kv.watch(key, ModRevision(seen), wait).await;
            answer(found, |e| entry(e, StatusCode::NOT_MODIFIED))
        }
        (None, _) => answer(kv.get(key).await, |e| entry(e, StatusCode::NOT_FOUND)),
    }
}

async fn put(kv: &impl Kv, key: &str, req: Request<Incoming>) -> Reply {
    let Some(cond) = condition(&req) else {
        return needs_condition();
    };
    let lease = reply::query(&req, "lease")
        .and_then(|id| id.parse().ok())
        .map(LeaseId);
    let value = reply::read(req).await.map_err(|_| CloseConnection)?;
    answer(kv.put(key, value, cond, lease).await, written)
}

async fn delete(kv: &impl Kv, key: &str, req: &Request<Incoming>) -> Reply {
    match condition(req) {
        Some(Condition::Is(revision)) => answer(kv.delete(key, revision).await, written),
        _ => needs_condition(),
    }
}

async fn list(kv: &impl Kv, req: &Request<Incoming>) -> Reply {
    let prefix = reply::query(req, "prefix").unwrap_or_default();
    let after = reply::query(req, "after");
    let limit = reply::query(req, "limit")
        .and_then(|n| n.parse().ok())
        .unwrap_or(DEFAULT_LIMIT);
    answer(kv.list(&prefix, after.as_deref(), limit).await, |entries| {
        let listed: Vec<ListedEntry> = entries.into_iter().map(ListedEntry::from).collect();
        reply::json(StatusCode::OK, &listed)
    })
}

async fn grant(kv: &impl Kv, req: &Request<Incoming>) -> Reply {
    let Some(ttl) = reply::query(req, "ttl").and_then(|n| n.parse().ok()) else {
        return Ok(reply::error(StatusCode::BAD_REQUEST, "a lease needs ?ttl="));
    };
    answer(kv.grant(Duration::from_millis(ttl)).await, |lease| {
        reply::json(StatusCode::CREATED, &LeaseWire { lease: lease.0 })
    })
}

fn empty(result: Result<(), KvError>) -> Reply {
    answer(result, |()| reply::with(StatusCode::NO_CONTENT, ""))
}

fn condition(req: &Request<Incoming>) -> Option<Condition> {
    match (
        reply::header_text(req, header::IF_NONE_MATCH.as_str()),
        reply::header_text(req, header::IF_MATCH.as_str()),
    ) {
        (Some("*"), None) => Some(Condition::Absent),
        (None, Some(tag)) => wire::parse_etag(tag).map(Condition::Is),
        _ => None,
    }
}

fn needs_condition() -> Reply {
    Ok(reply::error(
        StatusCode::PRECONDITION_REQUIRED,
        "a write needs If-None-Match: * or If-Match with a revision",
    ))
}

fn answer<T>(result: Result<T, KvError>, found: impl FnOnce(T) -> Response<Body>) -> Reply {
    match result {
        Ok(value) => Ok(found(value)),
        Err(KvError::Unknown { .. }) => Err(CloseConnection),
        Err(KvError::Unavailable { message }) => {
            Ok(reply::error(StatusCode::SERVICE_UNAVAILABLE, &message))
        }
        Err(KvError::Rejected { message }) => {
            Ok(reply::error(StatusCode::UNPROCESSABLE_ENTITY, &message))
        }
        Err(KvError::Throttled { retry_after }) => {
            let mut res = reply::error(StatusCode::TOO_MANY_REQUESTS, "too many calls");
            reply::set_retry_after(&mut res, retry_after);
            Ok(res)
        }
    }
}

fn entry(found: Option<Entry>, absent: StatusCode) -> Response<Body> {
    match found {
        Some(entry) => {
            let mut res = reply::with(StatusCode::OK, entry.value);
            reply::set(&mut res, "etag", &wire::etag(entry.revision));
            res
        }
        None => reply::with(absent, ""),
    }
}

fn written(put: Put) -> Response<Body> {
    let (status, revision) = match put {
        Put::Stored(revision) => (StatusCode::OK, Some(revision)),
        Put::Conflict(revision) => (StatusCode::PRECONDITION_FAILED, revision),
    };
    let mut res = reply::with(status, "");
    if let Some(revision) = revision {
        reply::set(&mut res, "etag", &wire::etag(revision));
    }
    res
}
