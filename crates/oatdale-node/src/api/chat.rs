//! `POST /v1/chat/completions`.

use super::{Once, Who, body, new_id, run, sessions, spread, time_limit};
use crate::call::{ChatWork, Job, Work};
use crate::cx::Cx;
use crate::problem::Problem;
use crate::reply::Reply;
use crate::route::RequestId;
use http::{HeaderMap, Request, StatusCode};
use hyper::body::Incoming;
use oatdale_platform::chat::ChatRequest;
use oatdale_policy::RequestInfo;
use tokio::time::Instant;

/// Bytes of a prompt for a token, on the average of Latin text; the engine counts exactly, this
/// only weighs requests against each other.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens that an answer is taken to have when its caller sets no bound.
const USUAL_OUTPUT: u32 = 512;

/// Bytes of a prompt that decide which engine's cache may hold its beginning.
const PREFIX_BYTES: usize = 1024;

pub(super) async fn handle(cx: Cx, who: Who, req: Request<Incoming>) -> Result<Reply, Problem> {
    let (head, incoming) = req.into_parts();
    let bytes = body::read(&head.headers, incoming, &cx.settings.limits).await?;
    let request: ChatRequest = serde_json::from_slice(&bytes).map_err(|err| bad_body(&err))?;
    let service = who.model_service(&request.model)?;
    let id = new_id();
    let session = sessions::of(&cx, &who, &head.headers, service).await?;
    let limit = time_limit(&head.headers, who.live.cfg.services[service].deadline)?;
    let once = Once::of(&who, service, &head, head.uri.path())?;
    let prompt = request.prompt();
    let request_info = RequestInfo {
        customer: who.customer,
        service,
        idempotent: once == Once::No,
        session,
        deadline: cx.route.now() + limit,
        input_tokens: tokens(prompt.len()),
        output_tokens: request.max_tokens.unwrap_or(USUAL_OUTPUT),
        prefix: spread(&[&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]]),
        rollout_hash: rollout_hash(&head.headers, id),
        stream: request.stream,
        class: class(prompt.len()),
    };
    let job = Job {
        id,
        live: who.live,
        request_info,
        deadline: Instant::now() + limit,
        claim: once.claim(),
        work: Work::Chat(Box::new(ChatWork { request })),
    };
    run(cx, job).await
}

fn tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}

/// Buckets of the prompt's length, each four times the one before: ratings are learned for each.
fn class(bytes: usize) -> u8 {
    ((usize::BITS - bytes.leading_zeros()) / 2) as u8
}

/// A request's place in roll-outs' shares: a session's is the same for all its requests.
fn rollout_hash(headers: &HeaderMap, id: RequestId) -> u64 {
    match headers.get(sessions::NAME_HEADER) {
        Some(name) => spread(&[b"draw", name.as_bytes()]),
        None => id.0 as u64,
    }
}

fn bad_body(err: &serde_json::Error) -> Problem {
    Problem::not_run(
        StatusCode::BAD_REQUEST,
        "body",
        format!("the body is no chat completion request: {err}"),
    )
}
