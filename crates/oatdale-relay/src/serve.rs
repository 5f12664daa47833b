//! Serves one request of a caller, from its head to the end of the response.

mod body;

use crate::admission;
use crate::attempt::{self, Failure, Purpose, SendOptions};
use crate::body::discard;
use crate::conn_tracker::ConnTracker;
use crate::cx::Cx;
use crate::endpoint_response::EndpointResponse;
use crate::escalation;
use crate::forwarding::{self, FORWARDED, ForwardedRequest};
use crate::headers::{forwarded_head, host_header, is_event_stream, strip_hop_by_hop};
use crate::in_flight::InFlightRequest;
use crate::reply::{self, Body, Refusal, refusal_response};
use crate::request_context::RequestContext;
use crate::request_log::RequestLog;
use crate::wire::{RequestMetadata, Wire};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header, response};
use hyper::body::Incoming;
use rand::RngExt;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time left until the deadline for a first attempt or a retry: no endpoint responds
/// faster.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// `Retry-After` of a refusal, as a share of the route's target latency: short enough for the retry
/// to be in time, and randomized so that callers refused together do not retry together.
const RETRY_AFTER_TARGET_SHARE: std::ops::Range<f64> = 0.4..1.2;

/// Upper bound of the jitter that is added to `Retry-After`.
const MAX_RETRY_AFTER_JITTER: Duration = Duration::from_millis(1_500);

/// `Retry-After` from a node that has no configuration yet, or no memory for a body.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An endpoint's response to forward to the caller.
enum Reply<W> {
    /// The head, the complete body and the endpoint's id.
    Buffered(Box<response::Parts>, Bytes, String),
    /// The bytes read so far, and the response whose body has the rest.
    Streamed(Bytes, Box<EndpointResponse<W>>),
    /// A stream of events.
    Events(Box<EndpointResponse<W>>),
}

/// What to do with an endpoint's response.
enum Decision<W> {
    Forward(Reply<W>),
    Failed(Failure),
    /// Repeat the request with a larger model, at this endpoint.
    Escalate(InFlightRequest<W>),
}

/// Responds to one request of a caller.
pub(crate) async fn serve<W: Wire>(
    cx: Arc<Cx<W>>,
    tracker: ConnTracker,
    mut req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    // Only nodes may set it, on their own connections.
    req.headers_mut().remove(FORWARDED);
    Ok(serve_request(cx, tracker, req, None).await)
}

/// Responds to one request that another node has forwarded.
pub(crate) async fn serve_forwarded<W: Wire>(
    cx: Arc<Cx<W>>,
    tracker: ConnTracker,
    mut req: Request<Incoming>,
) -> Response<Body> {
    cx.metrics.forwarded_here.inc();
    match ForwardedRequest::try_from(req.headers()) {
        Ok(forwarded) => {
            req.headers_mut().remove(FORWARDED);
            serve_request(cx, tracker, req, Some(forwarded)).await
        }
        Err(err) => {
            log::warn!(target: "forwarding", "event=bad_request err={err}");
            let mut res = refusal_response(Refusal::BadRequest, None);
            let id = cx.wire.request(&req.into_parts().0).id;
            forwarding::describe_refusal(&cx, &mut res, id, None, Refusal::BadRequest);
            res
        }
    }
}

async fn serve_request<W: Wire>(
    cx: Arc<Cx<W>>,
    tracker: ConnTracker,
    req: Request<Incoming>,
    forwarded: Option<ForwardedRequest>,
) -> Response<Body> {
    tracker.request_started();
    let arrival = Instant::now();
    let is_forwarded = forwarded.is_some();
    let (head, mut body) = req.into_parts();
    let metadata = cx.wire.request(&head);
    let id = metadata.id.clone();
    let mut request_log = RequestLog::new(cx.clone(), tracker, arrival, id.as_deref());
    let received = tokio::select! {
        biased;
        received = receive(&cx, head, metadata, &mut body, arrival, forwarded, &mut request_log) => received,
        // Nothing of it has been sent.
        () = cx.abandoned.cancelled() => Err(Refusal::Stopping),
    };
    let mut res = match received {
        Ok(request_cx) => respond(&cx, request_cx, request_log).await,
        Err(refusal) => {
            tokio::spawn(discard(body));
            let retry = match refusal {
                Refusal::NotReady | Refusal::NoMemory => Some(NOT_READY_RETRY_AFTER),
                // Another node can serve it at once.
                Refusal::Stopping => Some(Duration::ZERO),
                _ => None,
            };
            request_log.set_outcome(&format!("refused {refusal}"));
            let mut res = refusal_response(refusal, retry);
            if is_forwarded {
                forwarding::describe_refusal(&cx, &mut res, id, None, refusal);
            }
            res
        }
    };
    if cx.is_stopping() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

/// Reads a request, and holds it until this node has started.
async fn receive<W: Wire>(
    cx: &Arc<Cx<W>>,
    head: http::request::Parts,
    metadata: RequestMetadata,
    body: &mut Incoming,
    arrival: Instant,
    forwarded: Option<ForwardedRequest>,
    request_log: &mut RequestLog<W>,
) -> Result<RequestContext, Refusal> {
    // Another node that forwards a request can choose one that has started.
    if forwarded.is_none() {
        cx.start_up
            .hold_for_site(&cx.body_memory, &head, &metadata, arrival)
            .await;
    }
    let mut request_cx = prepare(cx, head, metadata, body, arrival, request_log).await?;
    match forwarded {
        Some(forwarded) => request_cx.set_forwarded(cx, forwarded),
        None => {
            cx.start_up
                .hold_for_endpoints(&cx.body_memory, &request_cx)
                .await;
        }
    }
    Ok(request_cx)
}

/// Routes and authenticates a request, and reads its body.
async fn prepare<W: Wire>(
    cx: &Arc<Cx<W>>,
    mut head: http::request::Parts,
    metadata: RequestMetadata,
    body: &mut Incoming,
    arrival: Instant,
    request_log: &mut RequestLog<W>,
) -> Result<RequestContext, Refusal> {
    let site = cx.site().ok_or(Refusal::NotReady)?;
    // The authority of an absolute-form target could contradict the `Host` header, which selects
    // the route.
    if head.uri.authority().is_some() || metadata.id.is_none() {
        return Err(Refusal::BadRequest);
    }
    let host = host_header(&head.headers).ok_or(Refusal::BadRequest)?;
    request_log.fields = format!("config={} ", site.version);
    let route = site.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?;
    strip_hop_by_hop(&mut head.headers);
    let mut request_cx = RequestContext::new(site, route, metadata, head, arrival)?;
    request_log.fields = format!(
        "config={} route={} service={} ",
        request_cx.site.version,
        request_cx.route().name,
        request_cx.service
    );
    request_cx.authenticate()?;
    if !cx.has_time_for(&request_cx) {
        return Err(Refusal::Stopping);
    }
    request_cx.body = cx.body_memory.read(&request_cx, body).await?;
    Ok(request_cx)
}

/// Forwards a request to endpoints until one has responded or no retry is allowed.
async fn respond<W: Wire>(
    cx: &Arc<Cx<W>>,
    mut request_cx: RequestContext,
    mut request_log: RequestLog<W>,
) -> Response<Body> {
    request_cx.record_size(cx);
    let result = tokio::select! {
        biased;
        result = send_with_retries(cx, &mut request_cx) => Some(result),
        () = cx.abandoned.cancelled() => None,
    };
    let result = result.unwrap_or_else(|| {
        let refusal = match request_cx.may_have_run() {
            true => Refusal::ResponseLost,
            false => Refusal::Stopping,
        };
        Err((refusal, "the node stops".to_owned()))
    });
    request_log.fields = format!(
        "config={} route={} service={} from_node={} session={} model={} sends={} confidences={:?} ",
        request_cx.site.version,
        request_cx.route().name,
        request_cx.service,
        request_cx.forwarded.is_some(),
        request_cx.metadata.session.as_deref().unwrap_or("-"),
        request_cx.model().unwrap_or("-"),
        request_cx.started_sends(),
        request_cx.confidences
    );
    let first_byte = request_cx.arrival.elapsed().as_secs_f64();
    let (is_forwarded, sends) = (request_cx.forwarded.is_some(), request_cx.sends);
    let id = request_cx.metadata.id.clone();
    let describe = |res: &mut Response<Body>, endpoint, sends| {
        if is_forwarded {
            forwarding::describe_response(res, id.clone(), sends, endpoint);
        }
    };
    match result {
        Ok(Reply::Buffered(head, body, endpoint)) => {
            cx.record_completion(&request_cx, &head);
            cx.metrics.first_byte.observe(first_byte);
            request_log.fields += &format!("endpoint={endpoint} status={} ", head.status.as_u16());
            request_log.set_outcome("complete");
            let mut res = Response::from_parts(forwarded_head(*head), reply::full_body(body));
            describe(&mut res, endpoint, sends);
            res
        }
        Ok(Reply::Streamed(buffered, endpoint_res)) => {
            cx.metrics.first_byte.observe(first_byte);
            request_log.fields += &head_fields(&endpoint_res, request_cx.arrival);
            let endpoint = endpoint_res.endpoint_id().to_owned();
            let mut res = body::stream(cx, request_cx, buffered, *endpoint_res, request_log);
            describe(&mut res, endpoint, sends);
            res
        }
        Ok(Reply::Events(endpoint_res)) => {
            request_log.fields += &head_fields(&endpoint_res, request_cx.arrival);
            let arrival = request_cx.arrival;
            match body::stream_events(cx, request_cx, *endpoint_res, request_log).await {
                Ok(body::EventsResponse {
                    mut res,
                    endpoint,
                    sends,
                }) => {
                    let first_byte = arrival.elapsed().as_secs_f64();
                    cx.metrics.first_byte.observe(first_byte);
                    describe(&mut res, endpoint, sends);
                    res
                }
                Err((refusal, request_cx)) => {
                    let mut res = refusal_response(refusal, None);
                    if is_forwarded {
                        forwarding::describe_refusal(cx, &mut res, id, Some(&request_cx), refusal);
                    }
                    res
                }
            }
        }
        Err((refusal, detail)) => {
            request_log.set_outcome(&format!("refused {refusal}: {detail}"));
            let retry = match refusal {
                Refusal::Quarantined => cx.remaining_quarantine(&request_cx),
                // Another node can serve it at once.
                Refusal::Stopping => Some(Duration::ZERO),
                _ if refusal.status().as_u16() == 503 => Some(retry_delay(cx, &request_cx)),
                _ => None,
            };
            let mut res = refusal_response(refusal, retry);
            if is_forwarded {
                forwarding::describe_refusal(cx, &mut res, id, Some(&request_cx), refusal);
            }
            res
        }
    }
}

/// Returns the fields of the request's log line about the response head.
fn head_fields<W>(endpoint_res: &EndpointResponse<W>, arrival: Instant) -> String {
    format!(
        "endpoint={} status={} head_ms={} ",
        endpoint_res.endpoint_id(),
        endpoint_res.head.status.as_u16(),
        arrival.elapsed().as_millis()
    )
}

/// How long a refused caller should wait: at least until an endpoint accepts requests again.
fn retry_delay<W: Wire>(cx: &Cx<W>, request_cx: &RequestContext) -> Duration {
    if let Some(time) = request_cx.retry_after {
        return time;
    }
    let route = request_cx.route();
    let target = route.target_latency.unwrap_or(route.timeout);
    let share = rand::rng().random_range(RETRY_AFTER_TARGET_SHARE);
    let jitter = target.mul_f64(share).min(MAX_RETRY_AFTER_JITTER);
    let remaining = request_cx.time_to_capacity(cx);
    match remaining {
        Some(remaining) => remaining + jitter,
        None => {
            let delay = jitter + admission::rejection_delay(cx, request_cx);
            delay.min(request_cx.time_left() / 3)
        }
    }
}

/// Sends a request to endpoints, one after another, until a response can be forwarded.
async fn send_with_retries<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
) -> Result<Reply<W>, (Refusal, String)> {
    let idempotent = request_cx.route().kind.is_idempotent();
    let mut may_have_run = false;
    // Whether a smaller model has run the request, so that a refusal must not say otherwise. Its
    // run does not forbid others, since it is complete and its response discarded.
    let mut is_escalated = false;
    let mut last_error_reply: Option<Reply<W>> = None;
    let mut purpose = Purpose::First;
    let mut placed = None;
    admission::admit_request(cx, request_cx)
        .await
        .map_err(|reason| (Refusal::Overloaded, reason.name().to_owned()))?;
    loop {
        if request_cx.time_left() < MIN_ATTEMPT_TIME && request_cx.sends == 0 {
            return Err((Refusal::NoTime, "deadline too close".to_owned()));
        }
        let options = SendOptions {
            purpose,
            last_event_id: request_cx.metadata.last_event_id,
            may_abandon: idempotent
                && request_cx.has_attempts_after_next()
                && cx.has_time_for(request_cx),
        };
        let result = match placed.take() {
            Some(in_flight) => attempt::send_to(cx, request_cx, in_flight, options).await,
            None => attempt::attempt(cx, request_cx, options).await,
        };
        let failure = match result {
            Ok(endpoint_res) => {
                match decide(cx, request_cx, endpoint_res, options.may_abandon).await {
                    Decision::Forward(Reply::Buffered(head, body, endpoint))
                        if idempotent && head.status.is_server_error() =>
                    {
                        let status = head.status;
                        last_error_reply = Some(Reply::Buffered(head, body, endpoint));
                        Failure::Unknown(format!("response status {status}"))
                    }
                    Decision::Forward(reply) => return Ok(reply),
                    Decision::Escalate(in_flight) => {
                        placed = Some(in_flight);
                        purpose = Purpose::Escalation;
                        is_escalated = true;
                        continue;
                    }
                    Decision::Failed(failure) => failure,
                }
            }
            Err(failure) => failure,
        };
        may_have_run |= !failure.is_not_run();
        if matches!(failure, Failure::NotRun(_)) {
            admission::record_rejected(cx, request_cx);
        }
        let should_retry = match &failure {
            Failure::NoEndpoint(_)
            | Failure::NoNode(_)
            | Failure::TimedOut
            | Failure::Quarantined { .. } => false,
            // Not charged to the retry budget: no endpoint did any work, and the retries end when
            // all endpoints have been tried.
            Failure::NotSent(_) => request_cx.time_left() > MIN_ATTEMPT_TIME,
            Failure::NotRun(_) => try_retry(cx, request_cx) && (idempotent || !may_have_run),
            Failure::Unknown(_) | Failure::Abandoned => idempotent && try_retry(cx, request_cx),
        };
        if should_retry {
            purpose = Purpose::Retry;
            continue;
        }
        return match (last_error_reply, &failure) {
            (Some(reply), _) => Ok(reply),
            (None, Failure::TimedOut) => Err((Refusal::TimedOut, "no response in time".to_owned())),
            (None, _) if may_have_run || is_escalated => {
                Err((Refusal::ResponseLost, format!("{failure:?}")))
            }
            (None, Failure::Quarantined { .. }) => {
                let request = request_cx.fingerprint();
                let held = cx.quarantined(request_cx).map(|(_, held)| held);
                let detail = match held.filter(|held| *held != request) {
                    Some(part) => format!("request={request} part={part}"),
                    None => format!("request={request}"),
                };
                Err((Refusal::Quarantined, detail))
            }
            (None, Failure::NoEndpoint(ineligible)) if ineligible.is_due_to_evacuation() => {
                Err((Refusal::Evacuated, ineligible.to_string()))
            }
            (None, _) => Err((Refusal::NoEndpoint, format!("{failure:?}"))),
        };
    }
}

/// Whether a request may be retried; if so, charges the retry budget of its service.
fn try_retry<W: Wire>(cx: &Cx<W>, request_cx: &RequestContext) -> bool {
    let allowed = request_cx.has_attempts_left()
        && request_cx.time_left() > MIN_ATTEMPT_TIME
        && cx.try_retry(&request_cx.service);
    if allowed {
        cx.metrics.retries.inc();
    }
    allowed
}

/// Decides what to do with a response whose head has arrived.
async fn decide<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
    endpoint_res: EndpointResponse<W>,
    may_abandon: bool,
) -> Decision<W> {
    let status = endpoint_res.head.status;
    if status.is_success() {
        let confidence = endpoint_res.metadata.confidence;
        request_cx.confidences.extend(confidence);
        // A node that forwards a request leaves the decision to the one that it forwards it to.
        let weight = endpoint_res.in_flight().map(|in_flight| in_flight.weight);
        let larger = match weight {
            Some(weight) => escalation::place(cx, request_cx, confidence, weight).await,
            None => None,
        };
        if let Some(in_flight) = larger {
            cx.metrics.escalations.inc();
            return Decision::Escalate(in_flight);
        }
    }
    // These status codes would tell the caller that the request was not executed, which the
    // endpoint did not state.
    if matches!(status.as_u16(), 408 | 421 | 429 | 503) {
        return Decision::Failed(Failure::Unknown(format!("response status {status}")));
    }
    if status.is_success()
        && request_cx.route().kind.is_stream()
        && is_event_stream(&endpoint_res.head.headers)
    {
        return Decision::Forward(Reply::Events(Box::new(endpoint_res)));
    }
    body::buffer(cx, request_cx, endpoint_res, may_abandon).await
}
