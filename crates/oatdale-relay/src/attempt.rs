//! Sends a request to one endpoint and classifies the outcome.

use crate::crashes;
use crate::cx::Cx;
use crate::directory::IneligibleCounts;
use crate::endpoint_response::{EndpointResponse, Upstream};
use crate::forwarding;
use crate::gossip;
use crate::in_flight::InFlightRequest;
use crate::permits;
use crate::reachability;
use crate::request_context::RequestContext;
use crate::speeds;
use crate::wire::{ResponseMetadata, Wire};
use http::{StatusCode, response};
use hyper::body::Incoming;
use oatdale_platform::{ResponseConnection, SendError, discard_connection};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long an endpoint may send no bytes on any connection of this node before it is probed. An
/// engine under load sends tokens of other requests several times per second.
const ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// Share of a route's target latency after which an attempt may be abandoned: the rest has to
/// suffice for another endpoint to respond in time.
const RESPONSE_TIMEOUT_SHARE: f64 = 0.6;

/// Wait, as a multiple of the target latency, after which a stream's request counts as lost: no
/// queue at a busy engine is that long. Abandoning it earlier would put it at the end of another
/// engine's queue.
const LOST_REQUEST_FACTOR: f64 = 2.5;

/// Minimum response timeout, so that one slow response does not count as a missing one.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);

/// Why an attempt gave no response.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    NotSent(String),
    /// The endpoint stated that it has not run the request and never will; holds its status code.
    NotRun(u16),
    /// The attempt failed for this reason, and the request may have run.
    Unknown(String),
    /// No response within the response timeout, so another endpoint is tried; the request may have
    /// run.
    Abandoned,
    /// No response before the request's deadline; the request may have run.
    TimedOut,
    /// No endpoint is eligible.
    NoEndpoint(IneligibleCounts),
    /// The request is quarantined because it crashes endpoints; `sent` is true if the quarantine
    /// began after the request had been sent to this endpoint.
    Quarantined { sent: bool },
    /// This node reaches no endpoint of the service, and no other node has served the request, for
    /// this reason.
    NoNode(String),
}

impl Failure {
    /// Whether the request was certainly not run.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(
            self,
            Failure::NotSent(_)
                | Failure::NotRun(_)
                | Failure::NoEndpoint(_)
                | Failure::Quarantined { sent: false }
                | Failure::NoNode(_)
        )
    }
}

/// Why a request is sent to an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Purpose {
    First,
    /// An earlier attempt failed.
    Retry,
    /// A smaller model was not confident in its response.
    Escalation,
    /// The response's stream broke off.
    Resumption,
}

impl Purpose {
    /// Whether an earlier attempt failed.
    pub(crate) fn follows_failure(self) -> bool {
        matches!(self, Purpose::Retry | Purpose::Resumption)
    }

    /// Name for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Purpose::First => "first",
            Purpose::Retry => "retry",
            Purpose::Escalation => "escalation",
            Purpose::Resumption => "resumption",
        }
    }
}

/// Options of one attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct SendOptions {
    pub(crate) purpose: Purpose,
    /// Id of the last event that the caller has; the stream resumes after it.
    pub(crate) last_event_id: Option<u64>,
    /// Whether an unresponsive endpoint is abandoned before the deadline because another one may be
    /// tried.
    pub(crate) may_abandon: bool,
}

/// Where a request is sent.
pub(crate) enum Target<W> {
    /// To an endpoint that it is assigned to.
    Endpoint(Box<InFlightRequest<W>>),
    /// To another node, since this one reaches no endpoint of the service.
    OtherNode,
}

/// Sends a request to the best endpoint that has not received it yet, through another node if this
/// one reaches none.
pub(crate) async fn attempt<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
    options: SendOptions,
) -> Result<EndpointResponse<W>, Failure> {
    let target = find_target(cx, request_cx, options).await?;
    send(cx, request_cx, target, options).await
}

/// Returns where to send a request now.
pub(crate) async fn find_target<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
    options: SendOptions,
) -> Result<Target<W>, Failure> {
    ensure_not_quarantined(cx, request_cx).await?;
    if forwarding::is_needed(cx, request_cx, options).await? {
        return Ok(Target::OtherNode);
    }
    request_cx.count(cx);
    let in_flight = place(cx, request_cx, options.purpose).await?;
    Ok(Target::Endpoint(Box::new(in_flight)))
}

/// Sends a request to its target.
pub(crate) async fn send<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
    target: Target<W>,
    options: SendOptions,
) -> Result<EndpointResponse<W>, Failure> {
    match target {
        Target::Endpoint(in_flight) => send_to(cx, request_cx, *in_flight, options).await,
        Target::OtherNode => forwarding::forward(cx, request_cx, options).await,
    }
}

/// Assigns a request to the best endpoint that has not received it yet and accepts it now.
pub(crate) async fn place<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &RequestContext,
    purpose: Purpose,
) -> Result<InFlightRequest<W>, Failure> {
    ensure_not_quarantined(cx, request_cx).await?;
    let is_optional = purpose == Purpose::Escalation;
    permits::place(cx, request_cx, is_optional).await.map_err(|ineligible| {
        log::info!(
            target: "attempt",
            "event=no_endpoint id={} config={} service={} {ineligible}",
            request_cx.metadata.id.as_deref().unwrap_or("-"), request_cx.site.version, request_cx.service
        );
        Failure::NoEndpoint(ineligible)
    })
}

async fn ensure_not_quarantined<W: Wire>(
    cx: &Cx<W>,
    request_cx: &RequestContext,
) -> Result<(), Failure> {
    crashes::wait_for_checks(cx, request_cx).await;
    match cx.remaining_quarantine(request_cx) {
        Some(_) => Err(Failure::Quarantined { sent: false }),
        None => Ok(()),
    }
}

/// Sends a request to the endpoint that it is assigned to.
pub(crate) async fn send_to<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
    mut in_flight: InFlightRequest<W>,
    options: SendOptions,
) -> Result<EndpointResponse<W>, Failure> {
    request_cx.pin_session(cx, &in_flight);
    gossip::announce_long_prompt(cx, &in_flight);
    request_cx.excluded.push(in_flight.key);
    if in_flight.limit_before.per_second().is_some() {
        cx.metrics
            .limited
            .with_label_values(&[options.purpose.name()])
            .inc();
    }
    let sent_at = Instant::now();
    let progress_before = cx.now();
    let told = in_flight.limit_before.age(cx.now());
    request_cx.is_being_sent = true;
    let result = exchange(cx, request_cx, &in_flight, options).await;
    request_cx.is_being_sent = false;
    let attempt_time = sent_at.elapsed();
    let may_have_run = !result.as_ref().is_err_and(Failure::is_not_run);
    if may_have_run && !request_cx.may_have_run_at.contains(&in_flight.key) {
        request_cx.may_have_run_at.push(in_flight.key);
    }
    // Only attempts that sent at least one byte count.
    request_cx.sends += u32::from(!matches!(result, Err(Failure::NotSent(_))));
    log::info!(
        target: "attempt",
        "event=attempt id={} config={} service={} purpose={} endpoint={} version={} model={} load={:.1} \
         candidates={} expected_ms={} {}after_event={:?} left_ms={} took_ms={} end={}",
        request_cx.metadata.id.as_deref().unwrap_or("-"), request_cx.site.version, request_cx.service, options.purpose.name(),
        in_flight.id, in_flight.version, request_cx.model().unwrap_or("-"), in_flight.load_before, in_flight.candidate_count, in_flight.expected.as_millis(),
        in_flight.limit_before.per_second().map_or_else(String::new, |limit| format!("limit={limit} told_ms={} ", told.as_millis())),
        options.last_event_id, request_cx.time_left().as_millis(), attempt_time.as_millis(),
        result.as_ref().map_or_else(|err| format!("{err:?}"), |ok| ok.0.status.as_u16().to_string())
    );
    record_outcome(cx, request_cx, &in_flight, &result, attempt_time);
    let may_be_own_link = result.as_ref().is_err_and(|failure| match failure {
        Failure::NotSent(_) | Failure::Unknown(_) => true,
        Failure::Abandoned | Failure::TimedOut => !in_flight.has_progress_since(progress_before),
        _ => false,
    });
    if may_be_own_link {
        reachability::record_failure(cx, in_flight.key);
    }
    if matches!(result, Err(Failure::Unknown(_) | Failure::Abandoned)) {
        crashes::check_for_crash(cx, request_cx, &in_flight);
    }
    in_flight.finish_prefill();
    result.map(|(head, metadata, body)| EndpointResponse {
        head,
        metadata,
        body: Some(body),
        upstream: Upstream::Endpoint(in_flight),
    })
}

type ReceivedResponse = (response::Parts, ResponseMetadata, Incoming);

async fn exchange<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &RequestContext,
    in_flight: &InFlightRequest<W>,
    options: SendOptions,
) -> Result<ReceivedResponse, Failure> {
    let req = request_cx.build_request(cx, &in_flight.id, options.last_event_id);
    let mut sending = std::pin::pin!(cx.pool.send(
        in_flight.addr,
        req,
        request_cx.connection_reuse(),
        request_cx.deadline_at
    ));
    let sent_at = Instant::now();
    let progress_before = cx.now();
    let mut next_check = sent_at + response_timeout(request_cx);
    let mut is_late = false;
    let res = loop {
        // If the attempt may not be abandoned, lateness is recorded only once.
        let wait_until = match options.may_abandon || !is_late {
            true => next_check.min(request_cx.deadline_at),
            false => request_cx.deadline_at,
        };
        // Biased: a response that has arrived counts even if its endpoint has restarted since.
        let res = tokio::select! {
            biased;
            res = timeout_at(wait_until, &mut sending) => res,
            () = in_flight.wait_restarted() => {
                return Err(Failure::Unknown("endpoint restarted before it responded".to_owned()));
            }
            () = cx.wait_quarantined(request_cx) => return Err(Failure::Quarantined { sent: true }),
        };
        match res {
            Ok(res) => break res,
            Err(_) if Instant::now() >= request_cx.deadline_at => return Err(Failure::TimedOut),
            Err(_) if !options.may_abandon => {
                is_late = true;
                if !request_cx.route().kind.is_stream() {
                    in_flight.record_late_response();
                }
                if !in_flight.has_progress_since(progress_before) {
                    reachability::record_failure(cx, in_flight.key);
                }
            }
            Err(_) if is_abandoned(request_cx, in_flight, sent_at).await => {
                return Err(Failure::Abandoned);
            }
            Err(_) => next_check = Instant::now() + ENDPOINT_IDLE_TIMEOUT / 2,
        }
    };
    let (head, body) = match res {
        Ok(res) => res.into_parts(),
        Err(SendError::NotSent { message }) => return Err(Failure::NotSent(message)),
        Err(SendError::Broken { message }) => return Err(Failure::Unknown(message)),
        Err(SendError::TimedOut) => return Err(Failure::TimedOut),
    };
    in_flight.record_progress();
    let metadata = cx.wire.response(&head);
    log_rejection(cx, request_cx, in_flight, &metadata, &head);
    // A response to an earlier request, or to bytes that are none, may come at the place of this one's.
    // Nothing that it states holds for this request.
    if !metadata.id.belongs_to(request_cx.metadata.id.as_deref()) {
        return Err(mismatched_id(&head, &metadata));
    }
    if metadata.leaving && !metadata.misdirected {
        in_flight.record_leaving();
    }
    if let Some(time) = metadata.back_off {
        in_flight.record_back_off(time);
    }
    if let Some(left) = metadata.cold_left.filter(|_| !metadata.misdirected) {
        in_flight.record_cold(left);
    }
    if metadata.leaving || metadata.back_off.is_some() {
        log::info!(
            target: "attempt",
            "event=endpoint_announced endpoint={} leaving={} back_off={:?}",
            in_flight.id, metadata.leaving, metadata.back_off
        );
    }
    if metadata.states_limit() && !metadata.misdirected {
        in_flight.record_limit(metadata.limit, metadata.max_rejections, sent_at);
    }
    if metadata.not_executed && metadata.max_rejections.is_some() && !metadata.misdirected {
        permits::report_rejection(cx, in_flight, sent_at);
    }
    if let Some(name) = &metadata.unknown_announcement {
        cx.record_unknown_announcement(name, &in_flight.id);
    }
    if !is_final(head.status) {
        discard_connection(&head);
        return Err(Failure::Unknown(format!("response status {}", head.status)));
    }
    validate(in_flight, &metadata, &head)?;
    in_flight.record_valid_response(progress_before);
    // Only a valid response shows by a missing limit that there is none.
    if !metadata.states_limit() {
        in_flight.record_limit(None, None, sent_at);
    }
    Ok((head, metadata, body))
}

/// How long a response head may take before the endpoint is checked for being alive.
fn response_timeout(request_cx: &RequestContext) -> Duration {
    latency_target(request_cx)
        .mul_f64(RESPONSE_TIMEOUT_SHARE)
        .max(MIN_RESPONSE_TIMEOUT)
}

pub(crate) fn latency_target(request_cx: &RequestContext) -> Duration {
    let route = request_cx.route();
    route.target_latency.unwrap_or(route.timeout)
}

/// Whether to abandon the attempt and try another endpoint.
///
/// Streams wait in an engine's queue; a probe of the engine shows whether it is alive and still has
/// the request. A late response of a plain service is abandoned without a probe, since nothing but
/// the service itself delays it, but only if another endpoint is certain to accept the request: it has
/// run, and its caller would get nothing otherwise.
async fn is_abandoned<W: Wire>(
    request_cx: &RequestContext,
    in_flight: &InFlightRequest<W>,
    sent_at: Instant,
) -> bool {
    if !request_cx.route().kind.is_stream() {
        return request_cx.has_eligible_endpoint(&in_flight.cx);
    }
    if sent_at.elapsed() >= latency_target(request_cx).mul_f64(LOST_REQUEST_FACTOR) {
        return true;
    }
    let id = request_cx.metadata.id.as_deref().unwrap_or_default();
    in_flight.is_unresponsive(ENDPOINT_IDLE_TIMEOUT).await
        || in_flight.has_lost_request(id, sent_at.elapsed()).await
}

/// Returns an error if the response, which belongs to the request, rejects it or is unsigned.
fn validate<W: Wire>(
    in_flight: &InFlightRequest<W>,
    metadata: &ResponseMetadata,
    head: &response::Parts,
) -> Result<(), Failure> {
    if metadata.misdirected {
        in_flight.record_replaced();
        return Err(Failure::NotRun(head.status.as_u16()));
    }
    if metadata.not_executed {
        return Err(Failure::NotRun(head.status.as_u16()));
    }
    if !metadata.signed {
        return Err(Failure::Unknown(format!(
            "unsigned response, status {}",
            head.status
        )));
    }
    Ok(())
}

/// Whether a status ends an exchange. Interim ones do not, nor does a change of protocols, which the relay
/// does not ask for; others have no meaning.
pub(crate) fn is_final(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..=599)
}

/// Logs a response that rejects the request or does not belong to it, with the id that it has and the number of
/// responses on its connection before it.
fn log_rejection<W: Wire>(
    cx: &Cx<W>,
    request_cx: &RequestContext,
    in_flight: &InFlightRequest<W>,
    metadata: &ResponseMetadata,
    head: &response::Parts,
) {
    let own = request_cx.metadata.id.as_deref();
    let rejects = metadata.not_executed || metadata.misdirected;
    if metadata.id.belongs_to(own) && !rejects {
        return;
    }
    let response_id = metadata.id.kind(own);
    cx.metrics
        .rejected_responses
        .with_label_values(&[response_id])
        .inc();
    let connection = ResponseConnection::of(head);
    log::info!(
        target: "attempt",
        "event=rejected id={} endpoint={} status={} not_executed={} response_id={response_id} got={:?} earlier_responses={}",
        own.unwrap_or("-"), in_flight.id, head.status.as_u16(), metadata.not_executed, metadata.id,
        connection.map_or(0, ResponseConnection::earlier_responses)
    );
}

/// Closes the connection that delivered a response of another request. The request itself may have run; forwarding
/// the response could disclose another caller's data.
fn mismatched_id(head: &response::Parts, metadata: &ResponseMetadata) -> Failure {
    discard_connection(head);
    Failure::Unknown(format!("response id mismatch: got {:?}", metadata.id))
}

/// Updates endpoint health and rollout statistics with an attempt's outcome.
fn record_outcome<W: Wire>(
    cx: &Cx<W>,
    request_cx: &RequestContext,
    in_flight: &InFlightRequest<W>,
    result: &Result<ReceivedResponse, Failure>,
    attempt_time: Duration,
) {
    if request_cx.uses_largest_model() && matches!(result, Ok(_) | Err(Failure::Abandoned)) {
        let relative_wait =
            attempt_time.as_secs_f64() / latency_target(request_cx).as_secs_f64().max(0.001);
        cx.state().record_wait(&request_cx.service, relative_wait);
    }
    match result {
        Ok((head, ..)) if head.status.is_success() => {
            in_flight.record_response_time(attempt_time, false);
        }
        Err(Failure::TimedOut | Failure::Abandoned) => {
            in_flight.record_response_time(attempt_time, true);
        }
        _ => {}
    }
    let failed = match result {
        Ok((head, ..)) => {
            let failed = head.status.is_server_error();
            in_flight.record_response(!failed);
            failed
        }
        Err(Failure::NotRun(_)) => return in_flight.record_response(false),
        Err(Failure::Abandoned) => {
            in_flight.record_no_response();
            let source = request_cx.source(in_flight);
            let class = request_cx.response_latency_class();
            let roll_outs = &mut cx.state().roll_outs;
            return match request_cx.route().kind.is_stream() {
                true => roll_outs.record_slow(&source, true),
                false => roll_outs.record_abandoned(&source, class, attempt_time),
            };
        }
        Err(Failure::NotSent(_)) => {
            in_flight.record_unreachable();
            return in_flight.record_no_response();
        }
        Err(Failure::Unknown(_)) => return in_flight.record_no_response(),
        Err(Failure::TimedOut) => {
            // A deadline shorter than the response timeout says nothing about the endpoint.
            if attempt_time >= response_timeout(request_cx) {
                in_flight.record_no_response();
            }
            true
        }
        Err(Failure::NoEndpoint(_) | Failure::Quarantined { .. } | Failure::NoNode(_)) => return,
    };
    // A stream's first event waits for the engine's queue and for the prompt to be processed, which
    // says little about a version; the intervals between its events say more and are recorded while
    // the stream runs.
    let is_timed = !request_cx.route().kind.is_stream();
    if is_timed && matches!(result, Ok((head, ..)) if head.status.is_success()) {
        speeds::record_response(cx, request_cx, in_flight, attempt_time);
    }
    let timing = is_timed.then(|| (request_cx.response_latency_class(), attempt_time));
    let source = request_cx.source(in_flight);
    cx.state()
        .roll_outs
        .record_response(&source, failed, timing);
}
