//! One request to one endpoint, and the exact ways in which it ends.

use crate::answer::Answer;
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

/// How long an endpoint may send nothing at all, on any connection of this node, before it counts
/// as unavailable. An engine under load sends tokens of other requests several times a second.
const IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// The part of a route's target after which an attempt may be abandoned: enough of it has to
/// be left for another endpoint to answer in time.
const RESPONSE_TIMEOUT_SHARE: f64 = 0.6;

/// A wait of so many targets is longer than any queue at a busy engine: the request itself is lost.
/// Before that, another engine would queue it from the beginning.
const LOST_AFTER_TARGETS: f64 = 2.5;

/// The shortest response timeout, so that one slow answer does not count as silence.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);

/// Why there is no answer.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum Failure {
    /// No byte was sent.
    NotSent(String),
    /// The endpoint said that it has not run it and will not.
    NotRun(u16),
    /// It may have run.
    Unknown(String),
    /// Nothing came for so long that another endpoint is asked; it may have run.
    Abandoned,
    /// Nothing came until the request's limit; it may have run.
    TimedOut,
    /// No endpoint may take it.
    NoEndpoint(Shortage),
    /// It crashes endpoints, which turned out before or after it was sent to this one.
    Quarantined { sent: bool },
}

impl Failure {
    /// Whether it is certain that nothing ran.
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

/// How to send a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct SendOptions {
    /// Go on after this event.
    pub(crate) last_event: Option<u64>,
    /// Whether a silent endpoint is given up early, because another one may be asked.
    pub(crate) may_abandon: bool,
}

/// Sends a request to the best endpoint that has not had it.
pub(crate) async fn attempt<W: Wire>(
    cx: &Arc<Cx<W>>,
    plan: &mut Plan,
    how: SendOptions,
) -> Result<Answer<W>, Failure> {
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
    let sent = Instant::now();
    let result = send(cx, plan, &running, how).await;
    let took = sent.elapsed();
    // A request that was never sent is no send of it.
    plan.sends += u32::from(!matches!(result, Err(Failure::NotSent(_))));
    log::info!(
        target: "attempt",
        "event=attempt id={} config={} service={} endpoint={} version={} model={} load={:.1} of={} \
         after_event={:?} left_ms={} took_ms={} end={}",
        plan.facts.id.as_deref().unwrap_or("-"), plan.site.version, plan.service, running.id,
        running.version, plan.model().unwrap_or("-"), running.load_before, running.choices,
        how.last_event, plan.left().as_millis(), took.as_millis(),
        result.as_ref().map_or_else(|err| format!("{err:?}"), |ok| ok.0.status.as_u16().to_string())
    );
    learn(cx, plan, &running, &result, took);
    if matches!(result, Err(Failure::Unknown(_) | Failure::Abandoned)) {
        crashes::note_broken(cx, plan, &running);
    }
    running.prompt_is_read();
    result.map(|(head, facts, body)| Answer {
        head,
        facts,
        body,
        running,
    })
}

type Head = (response::Parts, AnswerFacts, Incoming);

async fn send<W: Wire>(
    cx: &Arc<Cx<W>>,
    plan: &Plan,
    running: &Running<W>,
    how: SendOptions,
) -> Result<Head, Failure> {
    let req = plan.request(cx, &running.id, how.last_event);
    let mut sending = std::pin::pin!(cx.pool.send(running.addr, req, plan.reuse(), plan.limit));
    let sent = Instant::now();
    let mut check = sent + response_timeout(plan);
    let mut is_late = false;
    let res = loop {
        // One that is not given up is looked at once.
        let until = match how.may_abandon || !is_late {
            true => check.min(plan.limit),
            false => plan.limit,
        };
        // What has come counts, also from an endpoint that has started again meanwhile.
        let res = tokio::select! {
            biased;
            res = timeout_at(until, &mut sending) => res,
            () = running.started_again() => {
                return Err(Failure::Unknown("the endpoint started again".to_owned()));
            }
            () = cx.quarantined(plan) => return Err(Failure::Quarantined { sent: true }),
        };
        match res {
            Ok(res) => break res,
            Err(_) if Instant::now() >= plan.limit => return Err(Failure::TimedOut),
            Err(_) if !how.may_abandon => {
                is_late = true;
                if !plan.route().kind.is_stream() {
                    running.late();
                }
            }
            Err(_) if is_abandoned(plan, running, sent).await => {
                return Err(Failure::Abandoned);
            }
            Err(_) => check = Instant::now() + IDLE_TIMEOUT / 2,
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
    sort(plan, running, &facts, &head)?;
    Ok((head, facts, body))
}

/// When a request's first answer is late enough to ask whether its endpoint is alive.
fn response_timeout(plan: &Plan) -> Duration {
    target(plan)
        .mul_f64(RESPONSE_TIMEOUT_SHARE)
        .max(MIN_RESPONSE_TIMEOUT)
}

fn target(plan: &Plan) -> Duration {
    let route = plan.route();
    route.target_latency.unwrap_or(route.timeout)
}

/// Whether to ask another endpoint.
///
/// Streams wait for their turn at an engine, which says if asked that it is alive and whether it has
/// the request. A plain service's answer that is late is late for itself.
async fn is_abandoned<W: Wire>(plan: &Plan, running: &Running<W>, sent: Instant) -> bool {
    if !plan.route().kind.is_stream() || sent.elapsed() >= target(plan).mul_f64(LOST_AFTER_TARGETS)
    {
        return true;
    }
    let id = plan.facts.id.as_deref().unwrap_or_default();
    running.is_dead(IDLE_TIMEOUT).await || running.is_lost(id, sent.elapsed()).await
}

/// Sorts out answers that are none.
fn sort<W: Wire>(
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
    // A connection may hold an answer that was meant for an earlier request. The caller would get
    // somebody else's data; the request itself may have run.
    if facts.id != plan.facts.id {
        return Err(Failure::Unknown(format!("answer to {:?}", facts.id)));
    }
    if !facts.signed {
        return Err(Failure::Unknown(format!("unsigned {}", head.status)));
    }
    Ok(())
}

fn learn<W: Wire>(
    cx: &Cx<W>,
    plan: &Plan,
    running: &Running<W>,
    result: &Result<Head, Failure>,
    took: Duration,
) {
    if plan.is_largest() && matches!(result, Ok(_) | Err(Failure::Abandoned)) {
        let part = took.as_secs_f64() / target(plan).as_secs_f64().max(0.001);
        cx.state().note_wait(&plan.service, part);
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
            // A caller that waits only a moment says nothing of the endpoint.
            if took >= response_timeout(plan) {
                running.silent();
            }
            true
        }
        Err(Failure::NoEndpoint(_) | Failure::Quarantined { .. }) => return,
    };
    // A stream's first event waits for its engine's queue and for the prompt to be read, which says
    // little of a version; the pace of its events says more and is noted later.
    let is_timed = !failed && !plan.route().kind.is_stream();
    let took = is_timed.then(|| (plan.answer_pace(), took));
    let source = plan.source(running);
    cx.state().roll_outs.answered(&source, failed, took);
}
