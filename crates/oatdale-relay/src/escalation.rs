//! Repeats a request with a larger model where a smaller one had low confidence.
//!
//! With `escalation-by-room`, the decision depends on the spare capacity of the service and on the
//! expected time of the larger model's run.

use crate::attempt::{self, Purpose};
use crate::cx::Cx;
use crate::in_flight::InFlightRequest;
use crate::request_context::RequestContext;
use crate::wire::Wire;
use oatdale_policy::relay::{
    EscalationDecision, EscalationRule, EscalationVerdict, Ladder, RunTime, ServiceLoad,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Outcome of a decision about an answer whose confidence is below the full threshold.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Outcome {
    Escalated,
    NoCapacity,
    NoTime,
    /// The retry budget of the service is used up.
    NoBudget,
    /// No endpoint accepts the request.
    NoEndpoint,
}

impl Outcome {
    /// Name for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Outcome::Escalated => "escalated",
            Outcome::NoCapacity => "no-capacity",
            Outcome::NoTime => "no-time",
            Outcome::NoBudget => "no-budget",
            Outcome::NoEndpoint => "no-endpoint",
        }
    }
}

/// Assigns a request to an endpoint for a larger model if the response of a smaller one, with this
/// confidence, is to be replaced. `None` if the response is to be kept. `weight` is the load of the
/// run that gave the response.
pub(crate) async fn place<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
    confidence: Option<u8>,
    weight: f64,
) -> Option<InFlightRequest<W>> {
    match cx.settings.load_control.escalation_by_room {
        true => place_by_capacity(cx, request_cx, confidence, weight).await,
        false => place_by_wait(cx, request_cx, confidence).await,
    }
}

/// Decides by the mean wait at the largest model.
async fn place_by_wait<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
    confidence: Option<u8>,
) -> Option<InFlightRequest<W>> {
    let model_count = request_cx.route().ladder.len();
    let ladder = Ladder {
        threshold: cx.settings.ladder.least_confidence,
        relative_wait: cx.state().mean_wait(&request_cx.service),
        relative_size: request_cx.relative_size,
    };
    let can_retry = request_cx.has_attempts_left();
    match ladder.decide(request_cx.model_index, model_count, confidence, can_retry) {
        EscalationDecision::Escalate(model_index) if cx.try_escalate(&request_cx.service) => {
            place_larger(cx, request_cx, model_index, || true).await
        }
        _ => None,
    }
}

/// Decides by the spare capacity of the service and the expected time of the run.
async fn place_by_capacity<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
    confidence: Option<u8>,
    weight: f64,
) -> Option<InFlightRequest<W>> {
    if !request_cx.has_attempts_left() {
        return None;
    }
    let (pos, model_count) = (request_cx.model_index, request_cx.route().ladder.len());
    let usage = cx.state().service_usage(cx.now(), &request_cx.service);
    let usage = usage.without_own(weight);
    let mut rule = EscalationRule {
        threshold: cx.settings.ladder.least_confidence,
        load: ServiceLoad {
            used: usage.used,
            available: usage.wait_free,
        },
        weight: request_cx.weight_of_model(model_count.saturating_sub(1)),
        urgency: request_cx.urgency(),
        relative_size: request_cx.relative_size,
        time: None,
    };
    let mut outcome;
    let placed = match rule.decide(pos, model_count, confidence) {
        EscalationVerdict::Accept => return None,
        EscalationVerdict::NoCapacity | EscalationVerdict::NoTime => {
            outcome = Outcome::NoCapacity;
            None
        }
        EscalationVerdict::Escalate(model_index) => {
            let expected = expected_time(cx, request_cx, model_index);
            let left = time_to_target(request_cx);
            rule.time = expected.map(|expected| RunTime { expected, left });
            outcome = match rule.decide(pos, model_count, confidence) {
                _ if expected.is_none() => Outcome::NoEndpoint,
                EscalationVerdict::Escalate(_) => Outcome::Escalated,
                EscalationVerdict::NoCapacity => Outcome::NoCapacity,
                EscalationVerdict::NoTime | EscalationVerdict::Accept => Outcome::NoTime,
            };
            match outcome {
                Outcome::Escalated => {
                    outcome = Outcome::NoEndpoint;
                    let service = request_cx.service.clone();
                    let confirm = || {
                        outcome = match cx.try_escalate(&service) {
                            true => Outcome::Escalated,
                            false => Outcome::NoBudget,
                        };
                        outcome == Outcome::Escalated
                    };
                    place_larger(cx, request_cx, model_index, confirm).await
                }
                _ => None,
            }
        }
    };
    record(cx, request_cx, &rule, outcome);
    placed
}

/// Assigns a request that has a smaller model's response to an endpoint for the model at this index
/// of the ladder. The response is kept if no endpoint accepts the request or `confirm` rejects it.
async fn place_larger<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
    model_index: usize,
    confirm: impl FnOnce() -> bool,
) -> Option<InFlightRequest<W>> {
    let smaller = std::mem::replace(&mut request_cx.model_index, model_index);
    // The endpoint that responded may run the larger model too.
    let responded = request_cx.excluded.pop();
    let placed = attempt::place(cx, request_cx, Purpose::Escalation).await;
    let placed = placed.ok().filter(|_| confirm());
    if placed.is_none() {
        request_cx.model_index = smaller;
        request_cx.excluded.extend(responded);
    }
    placed
}

/// Returns the expected time until the response head of the model at this index of the ladder; `None`
/// if no endpoint can take the request. Unlike a placement, this uses no permit or warm-up request.
fn expected_time<W: Wire>(
    cx: &Cx<W>,
    request_cx: &mut RequestContext,
    model_index: usize,
) -> Option<Duration> {
    let smaller = std::mem::replace(&mut request_cx.model_index, model_index);
    let responded = request_cx.excluded.pop();
    let time = request_cx.expected_time(cx);
    request_cx.model_index = smaller;
    request_cx.excluded.extend(responded);
    time.map(|time| time.expected)
}

/// Returns the time until the route's target; `None` if the route has none.
fn time_to_target(request_cx: &RequestContext) -> Option<Duration> {
    let target = request_cx.route().target_latency?;
    let target_at = request_cx.arrival + target;
    Some(target_at.saturating_duration_since(Instant::now()))
}

fn record<W: Wire>(
    cx: &Cx<W>,
    request_cx: &RequestContext,
    rule: &EscalationRule,
    outcome: Outcome,
) {
    let counter = &cx.metrics.escalation_decisions;
    counter.with_label_values(&[outcome.name()]).inc();
    let omitted = {
        let now = cx.now();
        let lines = &mut cx.state().escalation_lines;
        if !lines.allows(now) {
            return;
        }
        lines.take_omitted()
    };
    let ms = |time: Option<Duration>| time.map_or("-".to_owned(), |t| t.as_millis().to_string());
    log::info!(
        target: "escalation",
        "event=escalation id={} service={} urgency={} confidence={:?} threshold={:.1} weight={:.1} size={:.2} \
         expected_ms={} left_ms={} used={:.1} available={:.1} outcome={} omitted={omitted}",
        request_cx.metadata.id.as_deref().unwrap_or("-"), request_cx.service, rule.urgency,
        request_cx.confidences, rule.threshold(), rule.weight, rule.relative_size,
        ms(rule.time.map(|time| time.expected)), ms(rule.time.and_then(|time| time.left)),
        rule.load.used, rule.load.available, outcome.name()
    );
}
