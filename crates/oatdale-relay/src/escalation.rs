//! Repeats a request with a larger model where a smaller one had low confidence.
//!
//! With `escalation-by-room`, the endpoint for the larger model is chosen first, and the decision
//! depends on the spare capacity of the service and on the expected time of the run.

use crate::attempt::{self, Purpose};
use crate::cx::Cx;
use crate::directory::Entry;
use crate::in_flight::InFlightRequest;
use crate::request_context::RequestContext;
use crate::state::State;
use crate::wire::Wire;
use oatdale_policy::relay::{
    EscalationDecision, EscalationRule, EscalationVerdict, Ladder, RunTime, ServiceLoad,
    WAIT_FREE_LOAD,
};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a computed load of a service is used. The sums it is computed from change every 250 ms,
/// and computing it visits up to [`MAX_SAMPLED_ENDPOINTS`] endpoints.
const SERVICE_LOAD_VALIDITY: Duration = Duration::from_millis(50);

/// Number of endpoints from which the load of a service is estimated. With loads that differ as
/// much as their mean, the estimate is off by six percent.
const MAX_SAMPLED_ENDPOINTS: usize = 256;

/// Time to the response head per unit of load beyond the wait-free load, where no expected time is
/// known. Measured with all models.
const TIME_PER_LOAD: Duration = Duration::from_millis(100);

/// Loads of services over all nodes, as last computed.
#[derive(Debug, Default)]
pub(crate) struct ServiceLoads(HashMap<String, ComputedLoad>);

/// Load of one service over all nodes.
#[derive(Clone, Copy, Debug)]
struct ComputedLoad {
    computed_at: Duration,
    load: ServiceLoad,
    /// Number of nodes for each of which this node's load stands; 0 if there are sums.
    assumed_nodes: usize,
}

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
            place_larger(cx, request_cx, model_index, |_| true).await
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
    let mut rule = EscalationRule {
        threshold: cx.settings.ladder.least_confidence,
        load: cx
            .state()
            .service_load(cx.now(), &request_cx.service, weight),
        weight: request_cx.weight_of_model(model_count.saturating_sub(1)),
        urgency: request_cx.urgency(),
        relative_size: request_cx.relative_size,
        time: None,
    };
    let mut outcome = Outcome::NoEndpoint;
    let placed = match rule.decide(pos, model_count, confidence) {
        EscalationVerdict::Accept => return None,
        EscalationVerdict::NoCapacity | EscalationVerdict::NoTime => {
            outcome = Outcome::NoCapacity;
            None
        }
        EscalationVerdict::Escalate(model_index) => {
            let left = time_to_target(request_cx);
            let service = request_cx.service.clone();
            let confirm = |in_flight: &InFlightRequest<W>| {
                let expected = expected_time(in_flight);
                rule.time = Some(RunTime { expected, left });
                outcome = match rule.decide(pos, model_count, confidence) {
                    EscalationVerdict::Escalate(_) if cx.try_escalate(&service) => {
                        Outcome::Escalated
                    }
                    EscalationVerdict::Escalate(_) => Outcome::NoBudget,
                    EscalationVerdict::NoCapacity => Outcome::NoCapacity,
                    EscalationVerdict::NoTime | EscalationVerdict::Accept => Outcome::NoTime,
                };
                outcome == Outcome::Escalated
            };
            place_larger(cx, request_cx, model_index, confirm).await
        }
    };
    record(cx, request_cx, &rule, outcome);
    placed
}

/// Assigns a request that has a smaller model's response to an endpoint for the model at this index
/// of the ladder. The response is kept if no endpoint accepts the request or `confirm` rejects the
/// endpoint.
async fn place_larger<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
    model_index: usize,
    confirm: impl FnOnce(&InFlightRequest<W>) -> bool,
) -> Option<InFlightRequest<W>> {
    let smaller = std::mem::replace(&mut request_cx.model_index, model_index);
    // The endpoint that responded may run the larger model too.
    let responded = request_cx.excluded.pop();
    let placed = attempt::place(cx, request_cx, Purpose::Escalation).await;
    let placed = placed.ok().filter(confirm);
    if placed.is_none() {
        request_cx.model_index = smaller;
        request_cx.excluded.extend(responded);
    }
    placed
}

/// Returns the time until the route's target; `None` if the route has none.
fn time_to_target(request_cx: &RequestContext) -> Option<Duration> {
    let target = request_cx.route().target_latency?;
    let target_at = request_cx.arrival + target;
    Some(target_at.saturating_duration_since(Instant::now()))
}

/// Returns the expected time to the first event at the endpoint picked.
fn expected_time<W>(in_flight: &InFlightRequest<W>) -> Duration {
    match in_flight.expected {
        Duration::ZERO => {
            let load = in_flight.total_load_before + in_flight.weight;
            TIME_PER_LOAD.mul_f64((load - WAIT_FREE_LOAD).max(0.0))
        }
        expected => expected,
    }
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

impl State {
    /// Returns the load of a service over all nodes, and what its endpoints take before requests
    /// wait; in a large service, of a sample of its endpoints.
    ///
    /// Only endpoints count that accept requests now, are warm, if any is, and of which there are
    /// recent sums. Without any sums, this node's own load stands for that of each node. A request
    /// of this node with the weight `own_weight` is left out of it: a node with few requests decides
    /// only while it has one, and would always find more load than the others have.
    pub(crate) fn service_load(
        &mut self,
        now: Duration,
        service: &str,
        own_weight: f64,
    ) -> ServiceLoad {
        let known = self.service_loads.0.get(service).copied();
        let computed = match known {
            Some(known) if now < known.computed_at + SERVICE_LOAD_VALIDITY => known,
            _ => {
                let computed = self.compute_service_load(now, service);
                let loads = &mut self.service_loads.0;
                loads.insert(service.to_owned(), computed);
                computed
            }
        };
        let own = own_weight * computed.assumed_nodes as f64;
        ServiceLoad {
            used: (computed.load.used - own).max(0.0),
            ..computed.load
        }
    }

    fn compute_service_load(&self, now: Duration, service: &str) -> ComputedLoad {
        let cold_time = self.cold_time(service);
        let is_cold = |e: &Entry| cold_time.is_some_and(|cold_time| e.is_cold(now, cold_time));
        let mut usable = self
            .directory
            .sample_usable(now, service, MAX_SAMPLED_ENDPOINTS);
        usable.retain(|e| !e.health.is_ejected(now));
        let (cold, warm): (Vec<_>, Vec<_>) = usable.into_iter().partition(|e| is_cold(e));
        let counted = if warm.is_empty() { cold } else { warm };
        let (mut summed, mut all_available) = (ServiceLoad::default(), 0.0);
        for entry in counted {
            let available = WAIT_FREE_LOAD / self.speed_factor(now, entry);
            all_available += available;
            if let Some(used) = self.total_load(now, entry) {
                summed.used += used;
                summed.available += available;
            }
        }
        let (load, assumed_nodes) = match summed.available > 0.0 {
            true => (summed, 0),
            false => {
                let nodes = self.nodes.iter(now).count().max(1);
                let endpoints = self.directory.len_of_service(service);
                let unsampled = endpoints as f64 / MAX_SAMPLED_ENDPOINTS as f64;
                let load = ServiceLoad {
                    used: self.directory.own_load(now, service) * nodes as f64,
                    available: all_available * unsampled.max(1.0),
                };
                (load, nodes)
            }
        };
        ComputedLoad {
            computed_at: now,
            load,
            assumed_nodes,
        }
    }
}
