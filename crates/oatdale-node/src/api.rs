//! The callers' API: finds out what is asked and by whom.

mod body;
mod chat;
mod info;
mod once;
mod plain;
mod sessions;
mod who;

use crate::api::once::{Once, bad};
use crate::api::who::Who;
use crate::auth;
use crate::call::{self, Job};
use crate::cx::Cx;
use crate::front::Phase;
use crate::problem::{Problem, Run};
use crate::reply::Reply;
use crate::route::RequestId;
use http::header::{CONNECTION, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, StatusCode};
use hyper::body::Incoming;
use sha2::{Digest, Sha256};
use std::time::Duration;
use tokio::sync::oneshot;

/// Milliseconds that the caller is ready to wait for the whole answer.
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-timeout-ms");

/// Longest `Idempotency-Key` or session name, in bytes.
const MAX_NAME: usize = 256;

/// Answers one request; never fails, since every failure is an answer.
pub(crate) async fn handle(cx: Cx, req: Request<Incoming>) -> Reply {
    let leaving = *cx.phase.borrow() != Phase::Serving;
    let mut reply = match answer(cx, req).await {
        Ok(reply) => reply,
        Err(problem) => problem.reply(None),
    };
    if leaving {
        // The caller then connects anew, and by then has another node's address.
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    reply
}

async fn answer(cx: Cx, req: Request<Incoming>) -> Result<Reply, Problem> {
    let live = cx.live();
    let customer = auth::customer(&live, req.headers())?;
    check_fresh(&cx)?;
    let who = Who { live, customer };
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => chat::handle(cx, who, req).await,
        (&Method::POST, "/v1/sessions") => sessions::handle(cx, who, req).await,
        (&Method::GET, "/v1/models") => Ok(info::models(&who)),
        (&Method::GET, "/v1/addresses") => info::addresses(&cx, req.uri()),
        (_, path) if path.starts_with(plain::PREFIX) => plain::handle(cx, who, req).await,
        (method, "/v1/chat/completions" | "/v1/sessions" | "/v1/models" | "/v1/addresses") => {
            Err(Problem::not_run(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
                format!("{path} does not take {method}"),
            ))
        }
        _ => Err(Problem::not_run(
            StatusCode::NOT_FOUND,
            "path",
            format!("there is nothing at {path}"),
        )),
    }
}

/// Refuses once the configuration may be too old by the operators' bound.
fn check_fresh(cx: &Cx) -> Result<(), Problem> {
    match cx.settings.refuse_after {
        Some(bound) if cx.heard.borrow().elapsed() > bound => Err(Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "stale-configuration",
            "this node has not heard of its configuration for too long",
        )
        .retry_after(Duration::from_secs(1))),
        _ => Ok(()),
    }
}

/// Runs a job and waits for its answer.
async fn run(cx: Cx, job: Job) -> Result<Reply, Problem> {
    let (tx, rx) = oneshot::channel();
    let tasks = cx.tasks.clone();
    tasks.spawn(call::run(cx, job, tx));
    rx.await.map_err(|_| Problem {
        status: StatusCode::INTERNAL_SERVER_ERROR,
        kind: "internal",
        detail: "the request ended without an answer".to_owned(),
        run: Run::MayHaveRun,
        retry_after: None,
    })
}

fn new_id() -> RequestId {
    RequestId(rand::random())
}

/// How long the request may take: the service's deadline, or less if the caller says so.
fn time_limit(headers: &HeaderMap, service: Duration) -> Result<Duration, Problem> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(service);
    };
    let wanted: Option<u64> = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match wanted {
        Some(ms) if ms > 0 => Ok(service.min(Duration::from_millis(ms))),
        _ => Err(bad(&TIMEOUT_HEADER, "whole milliseconds above 0")),
    }
}

/// A digest of parts that no other parts share; each is preceded by its length.
fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// The first eight bytes of a digest, spread evenly.
fn spread(parts: &[&[u8]]) -> u64 {
    let digest = digest(parts);
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}
