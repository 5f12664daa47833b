//! Serves one request of a caller, from its head to the end of the response.

use crate::answer::{Answer, Next};
use crate::attempt::{self, Failure, SendOptions};
use crate::crashes;
use crate::cx::Cx;
use crate::guard::ConnWatch;
use crate::heads::{host, is_events, passed_on, strip};
use crate::plan::Plan;
use crate::record::Record;
use crate::reply::{self, Body, Refusal, refuse};
use crate::stream::Relayed;
use crate::wire::Wire;
use bytes::{Bytes, BytesMut};
use futures::stream::{self, StreamExt};
use http::{HeaderValue, Request, Response, header, response};
use hyper::body::Incoming;
use oatdale_policy::relay::{Ladder, Step};
use rand::RngExt;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time before the deadline for an attempt or a retry: no endpoint responds in less.
const LEAST_TIME: Duration = Duration::from_millis(20);

/// Response bodies up to this many bytes are buffered before their head is sent, so that one that
/// breaks off can be retried or reported to the caller by a status code.
const SMALL: usize = 64 << 10;

/// `Retry-After` of a refusal, as a share of the route's target latency: short enough for the retry
/// to be in time, and randomized so that callers refused together do not retry together.
const RETURN: std::ops::Range<f64> = 0.4..1.2;

/// Upper bound of the randomized part of `Retry-After`.
const LATEST_RETURN: Duration = Duration::from_millis(1_500);

/// `Retry-After` from a node that has no configuration yet, or no memory for a body.
const START_RETURN: Duration = Duration::from_millis(500);

/// An endpoint's response to forward to the caller.
enum Reply<W> {
    /// The head, the complete body and the endpoint's id.
    Whole(Box<response::Parts>, Bytes, String),
    /// The bytes read so far, and the response whose body has the rest.
    Pieces(Bytes, Box<Answer<W>>),
}

/// What to do with an endpoint's response.
enum Examined<W> {
    Pass(Reply<W>),
    Failed(Failure),
    /// Repeat the request with the model at this index of the ladder.
    Larger(usize),
}

/// Responds to one request.
pub(crate) async fn serve<W: Wire>(
    cx: Arc<Cx<W>>,
    watch: ConnWatch,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    watch.request();
    let arrival = Instant::now();
    let (head, body) = req.into_parts();
    let facts = cx.wire.request(&head);
    let mut record = Record::new(cx.clone(), watch, arrival, facts.id.as_deref());
    let mut res = match prepare(&cx, head, facts, body, arrival, &mut record).await {
        Ok(plan) => answer(&cx, plan, record).await,
        Err(refusal) => {
            let retry = match refusal {
                Refusal::NotReady | Refusal::NoMemory => Some(START_RETURN),
                // Another node can serve it at once.
                Refusal::Stopping => Some(Duration::ZERO),
                _ => None,
            };
            record.end(&format!("refused {refusal}"));
            refuse(refusal, retry)
        }
    };
    if cx.is_stopping() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(res)
}

/// Routes and authenticates a request, and reads its body.
async fn prepare<W: Wire>(
    cx: &Arc<Cx<W>>,
    mut head: http::request::Parts,
    facts: crate::wire::RequestFacts,
    body: Incoming,
    arrival: Instant,
    record: &mut Record<W>,
) -> Result<Plan, Refusal> {
    let site = cx.site().ok_or(Refusal::NotReady)?;
    // The authority of an absolute-form target could contradict the `Host` header, which selects
    // the route.
    if head.uri.authority().is_some() || facts.id.is_none() {
        return Err(Refusal::BadRequest);
    }
    let host = host(&head.headers).ok_or(Refusal::BadRequest)?;
    record.about = format!("config={} ", site.version);
    let route = site.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?;
    strip(&mut head.headers);
    let mut plan = Plan::new(site, route, facts, head, arrival)?;
    record.about = format!(
        "config={} route={} service={} ",
        plan.site.version,
        plan.route().name,
        plan.service
    );
    plan.authenticate()?;
    if plan.route().kind.is_stream() && !cx.has_time_for_stream() {
        return Err(Refusal::Stopping);
    }
    plan.body = cx.body_memory.read(&plan, body).await?;
    Ok(plan)
}

/// Forwards a request to endpoints until one has responded or no retry is allowed.
async fn answer<W: Wire>(cx: &Arc<Cx<W>>, mut plan: Plan, mut record: Record<W>) -> Response<Body> {
    cx.count_request(&plan.service);
    plan.note_size(cx);
    let result = ask(cx, &mut plan).await;
    record.about = format!(
        "config={} route={} service={} session={} model={} sends={} confidences={:?} ",
        plan.site.version,
        plan.route().name,
        plan.service,
        plan.facts.session.as_deref().unwrap_or("-"),
        plan.model().unwrap_or("-"),
        plan.sends,
        plan.confidences
    );
    let first_byte = plan.arrival.elapsed().as_secs_f64();
    match result {
        Ok(Reply::Whole(head, body, endpoint)) => {
            cx.note_completed(&plan);
            cx.metrics.first_byte.observe(first_byte);
            record.about += &format!("endpoint={endpoint} status={} ", head.status.as_u16());
            record.end("complete");
            Response::from_parts(passed_on(*head), reply::whole(body))
        }
        Ok(Reply::Pieces(read, answer)) => {
            cx.metrics.first_byte.observe(first_byte);
            record.about += &format!(
                "endpoint={} status={} head_ms={} ",
                answer.running.id,
                answer.head.status.as_u16(),
                plan.arrival.elapsed().as_millis()
            );
            pass_pieces(cx, plan, read, *answer, record)
        }
        Err((refusal, why)) => {
            record.end(&format!("refused {refusal}: {why}"));
            let retry = match refusal {
                Refusal::Quarantined => cx.quarantine_left(&plan),
                _ if refusal.status().as_u16() == 503 => Some(come_back(cx, &plan)),
                _ => None,
            };
            refuse(refusal, retry)
        }
    }
}

/// How long a refused caller should wait: at least until an endpoint accepts requests again.
fn come_back<W: Wire>(cx: &Cx<W>, plan: &Plan) -> Duration {
    let route = plan.route();
    let target = route.target_latency.unwrap_or(route.timeout);
    let part = rand::rng().random_range(RETURN);
    let spread = target.mul_f64(part).min(LATEST_RETURN);
    let now = cx.now();
    let pause = {
        let state = cx.state();
        let pause = state.directory.pause_left(now, &plan.service);
        pause.or_else(|| state.warm_up_left(now, &plan.service))
    };
    match pause {
        Some(pause) => pause + spread,
        None => spread.min(plan.left() / 3),
    }
}

/// Sends a request to endpoints, one after another, until a response can be forwarded.
async fn ask<W: Wire>(cx: &Arc<Cx<W>>, plan: &mut Plan) -> Result<Reply<W>, (Refusal, String)> {
    let idempotent = plan.route().kind.is_idempotent();
    let mut may_have_run = false;
    let mut last: Option<Reply<W>> = None;
    loop {
        if plan.left() < LEAST_TIME && plan.sends == 0 {
            return Err((Refusal::NoTime, "deadline too close".to_owned()));
        }
        let how = SendOptions {
            last_event: plan.facts.last_event,
            may_abandon: idempotent && plan.has_attempts_after_next(),
        };
        let failure = match attempt::attempt(cx, plan, how).await {
            Ok(answer) => match examine(cx, plan, answer, how.may_abandon).await {
                Examined::Pass(Reply::Whole(head, body, endpoint))
                    if idempotent && head.status.is_server_error() =>
                {
                    let status = head.status;
                    last = Some(Reply::Whole(head, body, endpoint));
                    Failure::Unknown(format!("response status {status}"))
                }
                Examined::Pass(reply) => return Ok(reply),
                Examined::Larger(size) => {
                    plan.size = size;
                    plan.tried.pop();
                    continue;
                }
                Examined::Failed(failure) => failure,
            },
            Err(failure) => failure,
        };
        may_have_run |= !failure.is_not_run();
        let again = match &failure {
            Failure::NoEndpoint(_) | Failure::TimedOut | Failure::Quarantined { .. } => false,
            // Costs no endpoint anything, and ends when all endpoints have been tried.
            Failure::NotSent(_) => plan.left() > LEAST_TIME,
            Failure::NotRun(_) => may_repeat(cx, plan) && (idempotent || !may_have_run),
            Failure::Unknown(_) | Failure::Abandoned => idempotent && may_repeat(cx, plan),
        };
        if again {
            continue;
        }
        return match (last, &failure) {
            (Some(reply), _) => Ok(reply),
            (None, Failure::TimedOut) => Err((Refusal::TimedOut, "no response in time".to_owned())),
            (None, _) if may_have_run => Err((Refusal::Lost, format!("{failure:?}"))),
            (None, Failure::Quarantined { .. }) => {
                let request = plan.fingerprint();
                Err((Refusal::Quarantined, format!("request={request}")))
            }
            (None, Failure::NoEndpoint(shortage)) if shortage.is_evacuation() => {
                Err((Refusal::Evacuated, shortage.to_string()))
            }
            (None, _) => Err((Refusal::NoEndpoint, format!("{failure:?}"))),
        };
    }
}

/// Whether a request may be retried; if so, charges the retry budget of its service.
fn may_repeat<W: Wire>(cx: &Cx<W>, plan: &Plan) -> bool {
    let may = plan.has_attempts() && plan.left() > LEAST_TIME && cx.may_repeat(&plan.service);
    if may {
        cx.metrics.repeats.inc();
    }
    may
}

/// Decides what to do with a response whose head has arrived.
async fn examine<W: Wire>(
    cx: &Arc<Cx<W>>,
    plan: &mut Plan,
    answer: Answer<W>,
    may_abandon: bool,
) -> Examined<W> {
    let status = answer.head.status;
    if status.is_success() {
        let sizes = plan.route().ladder.len();
        let room = plan.has_attempts();
        let ladder = Ladder {
            threshold: cx.settings.ladder.least_confidence,
            wait: cx.state().wait(&plan.service),
            size: plan.relative_size,
        };
        plan.confidences.extend(answer.facts.confidence);
        let step = ladder.step(plan.size, sizes, answer.facts.confidence, room);
        match step {
            Step::Up(size) if cx.may_escalate(&plan.service) => {
                cx.metrics.escalations.inc();
                return Examined::Larger(size);
            }
            _ => {}
        }
    }
    // These status codes would tell the caller that the request was not executed, which the
    // endpoint did not state.
    if matches!(status.as_u16(), 408 | 421 | 429 | 503) {
        return Examined::Failed(Failure::Unknown(format!("response status {status}")));
    }
    if status.is_success() && plan.route().kind.is_stream() && is_events(&answer.head.headers) {
        return Examined::Pass(Reply::Pieces(Bytes::new(), Box::new(answer)));
    }
    read_small(cx, plan, answer, may_abandon).await
}

/// Buffers a response body, or returns it for streaming once it exceeds the bound.
async fn read_small<W: Wire>(
    cx: &Arc<Cx<W>>,
    plan: &Plan,
    mut answer: Answer<W>,
    may_abandon: bool,
) -> Examined<W> {
    let route = plan.route();
    let target = route.target_latency.unwrap_or(route.timeout);
    let until = match may_abandon {
        true => plan.limit.min(Instant::now() + target),
        false => plan.limit,
    };
    let mut read = BytesMut::new();
    loop {
        match answer.next(until).await {
            Next::Piece(piece) => read.extend_from_slice(&piece),
            Next::End => {
                let id = answer.running.id.clone();
                return Examined::Pass(Reply::Whole(Box::new(answer.head), read.freeze(), id));
            }
            Next::Broken(reason) => {
                answer.running.silent();
                crashes::note_broken(cx, plan, &answer.running);
                return Examined::Failed(Failure::Unknown(reason));
            }
            Next::Late => return Examined::Failed(Failure::Unknown("body timed out".to_owned())),
        }
        if read.len() > SMALL {
            return Examined::Pass(Reply::Pieces(read.freeze(), Box::new(answer)));
        }
    }
}

/// Responds with a body that is streamed as the endpoint sends it.
fn pass_pieces<W: Wire>(
    cx: &Arc<Cx<W>>,
    plan: Plan,
    read: Bytes,
    answer: Answer<W>,
    record: Record<W>,
) -> Response<Body> {
    let head = passed_on(answer.head.clone());
    let events = plan.route().kind.is_stream() && is_events(&head.headers);
    let body = match events {
        true => Relayed::new(cx.clone(), plan, answer, record).into_stream(),
        false => {
            let first = stream::once(async move { Ok(read) });
            first
                .chain(plain_pieces(cx.clone(), plan, answer, record))
                .boxed()
        }
    };
    Response::from_parts(head, reply::pieces(body))
}

/// The rest of a body that is too long to be buffered.
fn plain_pieces<W: Wire>(
    cx: Arc<Cx<W>>,
    plan: Plan,
    answer: Answer<W>,
    record: Record<W>,
) -> impl futures::Stream<Item = io::Result<Bytes>> + Send + 'static {
    let state = Some((cx, plan, answer, record));
    stream::unfold(state, |state| async move {
        let (cx, plan, mut answer, mut record) = state?;
        match answer.next(plan.limit).await {
            Next::Piece(piece) => Some((Ok(piece), Some((cx, plan, answer, record)))),
            Next::End => {
                cx.note_completed(&plan);
                record.end("complete");
                None
            }
            Next::Broken(reason) => {
                crashes::note_broken(&cx, &plan, &answer.running);
                record.end(&format!("response body broke off: {reason}"));
                Some((Err(io::Error::other(reason)), None))
            }
            Next::Late => {
                record.end("timed-out");
                Some((Err(io::ErrorKind::TimedOut.into()), None))
            }
        }
    })
}
