//! Sends a request to one endpoint and classifies the outcome.

use crate::answer::EndpointResponse;
use crate::crashes;
use crate::cx::Cx;
use crate::directory::Shortage;
use crate::gossip;
use crate::plan::Plan;
use crate::running::Running;
use crate::wire::{AnswerFacts, Wire};
use http::response;
use hyper::body::Incoming;
use oatdale_platform::SendError;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long an endpoint may send no bytes on any connection of this node before it counts as
/// unavailable. An engine under load sends tokens of other requests several times per second.
const IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// Share of a route's target latency after which an attempt may be abandoned: the rest has to
/// suffice for another endpoint to respond in time.
const RESPONSE_TIMEOUT_SHARE: f64 = 0.6;

/// Wait, in multiples of the target latency, after which a stream's request counts as lost: no
/// queue at a busy engine is that long. Abandoning it earlier would put it at the end of another
/// engine's queue.
const LOST_AFTER_TARGETS: f64 = 2.5;

/// Minimum response timeout, so that one slow response does not count as a missing one.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);

/// Why an attempt gave no response.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    NotSent(String),
    /// The endpoint stated that it has not run the request and never will; holds its status code.
    NotRun(u16),
    /// The request may have run.
    Unknown(String),
    /// No response within the response timeout, so another endpoint is tried; the request may have
    /// run.
    Abandoned,
    /// No response before the request's deadline; the request may have run.
    TimedOut,
    /// No endpoint is eligible.
    NoEndpoint(Shortage),
    /// The request is quarantined because it crashes endpoints; `sent` tells whether that was found
    /// out only after it had been sent to this one.
    Quarantined { sent: bool },
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
        )
    }
}

/// Options of one attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct SendOptions {
    /// Id of the last event that the caller has; the stream resumes after it.
    pub(crate) last_event: Option<u64>,
    /// Whether an unresponsive endpoint is abandoned before the deadline because another one may be
    /// tried.
    pub(crate) may_abandon: bool,
}

/// Sends a request to the best endpoint that has not received it yet.
pub(crate) async fn attempt<W: Wire>(
    cx: &Arc<Cx<W>>,
    plan: &mut Plan,
    options: SendOptions,
) -> Result<EndpointResponse<W>, Failure> {
    crashes::settle(cx, plan).await;
    if cx.quarantine_left(plan).is_some() {
        return Err(Failure::Quarantined { sent: false });
    }
    let mut running = match plan.place(cx) {
        Ok(running) => running,
        Err(shortage) => {
            log::info!(
                target: "attempt",
                "event=no_endpoint id={} config={} service={} {shortage}",
                plan.facts.id.as_deref().unwrap_or("-"), plan.site.version, plan.service
            );
            return Err(Failure::NoEndpoint(shortage));
        }
    };
    plan.pin_session(cx, &running);
    gossip::announce_long_prompt(cx, &running);
    plan.tried.push(running.key);
    if !plan.sent_to.contains(&running.key) {
        plan.sent_to.push(running.key);
    }
    let sent_at = Instant::now();
    let result = send(cx, plan, &running, options).await;
    let attempt_time = sent_at.elapsed();
    // Only attempts that sent at least one byte count.
    plan.sends += u32::from(!matches!(result, Err(Failure::NotSent(_))));
    log::info!(
        target: "attempt",
        "event=attempt id={} config={} service={} endpoint={} version={} model={} load={:.1} \
         candidates={} after_event={:?} left_ms={} took_ms={} end={}",
        plan.facts.id.as_deref().unwrap_or("-"), plan.site.version, plan.service, running.id,
        running.version, plan.model().unwrap_or("-"), running.load_before, running.choices,
        options.last_event, plan.time_left().as_millis(), attempt_time.as_millis(),
        result.as_ref().map_or_else(|err| format!("{err:?}"), |ok| ok.0.status.as_u16().to_string())
    );
    record_outcome(cx, plan, &running, &result, attempt_time);
    if matches!(result, Err(Failure::Unknown(_) | Failure::Abandoned)) {
        crashes::note_broken(cx, plan, &running);
    }
    running.prompt_is_read();
    result.map(|(head, facts, body)| EndpointResponse {
        head,
        facts,
        body,
        running,
    })
}

type ReceivedResponse = (response::Parts, AnswerFacts, Incoming);

async fn send<W: Wire>(
    cx: &Arc<Cx<W>>,
    plan: &Plan,
    running: &Running<W>,
    options: SendOptions,
) -> Result<ReceivedResponse, Failure> {
    let req = plan.build_request(cx, &running.id, options.last_event);
    let mut sending =
        std::pin::pin!(
            cx.pool
                .send(running.addr, req, plan.connection_reuse(), plan.deadline_at)
        );
    let sent_at = Instant::now();
    let mut next_check = sent_at + response_timeout(plan);
    let mut is_late = false;
    let res = loop {
        // Without permission to abandon the attempt, lateness is checked only once.
        let wait_until = match options.may_abandon || !is_late {
            true => next_check.min(plan.deadline_at),
            false => plan.deadline_at,
        };
        // Biased: a response that has arrived counts even if its endpoint has restarted since.
        let res = tokio::select! {
            biased;
            res = timeout_at(wait_until, &mut sending) => res,
            () = running.started_again() => {
                return Err(Failure::Unknown("endpoint restarted before it responded".to_owned()));
            }
            () = cx.quarantined(plan) => return Err(Failure::Quarantined { sent: true }),
        };
        match res {
            Ok(res) => break res,
            Err(_) if Instant::now() >= plan.deadline_at => return Err(Failure::TimedOut),
            Err(_) if !options.may_abandon => {
                is_late = true;
                if !plan.route().kind.is_stream() {
                    running.late();
                }
            }
            Err(_) if is_abandoned(plan, running, sent_at).await => {
                return Err(Failure::Abandoned);
            }
            Err(_) => next_check = Instant::now() + IDLE_TIMEOUT / 2,
        }
    };
    let (head, body) = match res {
        Ok(res) => res.into_parts(),
        Err(SendError::NotSent { message }) => return Err(Failure::NotSent(message)),
        Err(SendError::Broken { message }) => return Err(Failure::Unknown(message)),
        Err(SendError::TimedOut) => return Err(Failure::TimedOut),
    };
    running.note_progress();
    let facts = cx.wire.answer(&head);
    if facts.leaving && !facts.other_endpoint {
        running.announced_leaving();
    }
    if let Some(time) = facts.pause {
        running.paused(time);
    }
    if let Some(left) = facts.cold_left.filter(|_| !facts.other_endpoint) {
        running.said_cold(left);
    }
    if facts.leaving || facts.pause.is_some() {
        log::info!(
            target: "attempt",
            "event=endpoint_announced endpoint={} leaving={} pause={:?}",
            running.id, facts.leaving, facts.pause
        );
    }
    validate(plan, running, &facts, &head)?;
    Ok((head, facts, body))
}

/// How long a response head may take before the endpoint is checked for being alive.
fn response_timeout(plan: &Plan) -> Duration {
    latency_target(plan)
        .mul_f64(RESPONSE_TIMEOUT_SHARE)
        .max(MIN_RESPONSE_TIMEOUT)
}

fn latency_target(plan: &Plan) -> Duration {
    let route = plan.route();
    route.target_latency.unwrap_or(route.timeout)
}

/// Whether to abandon the attempt and try another endpoint.
///
/// Streams wait in an engine's queue; a probe of the engine shows whether it is alive and still has
/// the request. A late response of a plain service is abandoned without a probe, since nothing but
/// the service itself delays it.
async fn is_abandoned<W: Wire>(plan: &Plan, running: &Running<W>, sent_at: Instant) -> bool {
    if !plan.route().kind.is_stream()
        || sent_at.elapsed() >= latency_target(plan).mul_f64(LOST_AFTER_TARGETS)
    {
        return true;
    }
    let id = plan.facts.id.as_deref().unwrap_or_default();
    running.is_unresponsive(IDLE_TIMEOUT).await
        || running.has_lost_request(id, sent_at.elapsed()).await
}

/// Rejects responses that are not valid answers to this request.
fn validate<W: Wire>(
    plan: &Plan,
    running: &Running<W>,
    facts: &AnswerFacts,
    head: &response::Parts,
) -> Result<(), Failure> {
    if facts.other_endpoint {
        running.replaced();
        return Err(Failure::NotRun(head.status.as_u16()));
    }
    if facts.not_run {
        return Err(Failure::NotRun(head.status.as_u16()));
    }
    // A connection may deliver a response to an earlier request. Forwarding it would disclose
    // another caller's data; the request itself may have run.
    if facts.id != plan.facts.id {
        return Err(Failure::Unknown(format!("id mismatch: got {:?}", facts.id)));
    }
    if !facts.signed {
        return Err(Failure::Unknown(format!("unsigned reply {}", head.status)));
    }
    Ok(())
}

/// Updates endpoint health and roll-out statistics with an attempt's outcome.
fn record_outcome<W: Wire>(
    cx: &Cx<W>,
    plan: &Plan,
    running: &Running<W>,
    result: &Result<ReceivedResponse, Failure>,
    attempt_time: Duration,
) {
    if plan.uses_largest_model() && matches!(result, Ok(_) | Err(Failure::Abandoned)) {
        let share = attempt_time.as_secs_f64() / latency_target(plan).as_secs_f64().max(0.001);
        cx.state().note_wait(&plan.service, share);
    }
    let failed = match result {
        Ok((head, ..)) => {
            let failed = head.status.is_server_error();
            running.answered(!failed);
            failed
        }
        Err(Failure::NotRun(_)) => return running.answered(false),
        Err(Failure::Abandoned) => {
            running.silent();
            let source = plan.source(running);
            return cx.state().roll_outs.judged(&source, true);
        }
        Err(Failure::NotSent(_)) => {
            running.unreachable();
            return running.silent();
        }
        Err(Failure::Unknown(_)) => return running.silent(),
        Err(Failure::TimedOut) => {
            // A deadline shorter than the response timeout says nothing about the endpoint.
            if attempt_time >= response_timeout(plan) {
                running.silent();
            }
            true
        }
        Err(Failure::NoEndpoint(_) | Failure::Quarantined { .. }) => return,
    };
    // A stream's first event waits for the engine's queue and for the prompt to be processed, which
    // says little about a version; the intervals between its events say more and are recorded while
    // the stream runs.
    let is_timed = !failed && !plan.route().kind.is_stream();
    let timing = is_timed.then(|| (plan.response_pace(), attempt_time));
    let source = plan.source(running);
    cx.state().roll_outs.answered(&source, failed, timing);
}
