//! Decides before the first attempt of a request whether it is placed, waits or is refused.
//!
//! Applies to requests for models, where the load sums of all nodes are known. Requests that other
//! nodes forward and streams that a caller resumes are at a later stage and are placed at once, as is
//! everything while no sums arrive.

mod load;
mod waiting;

use crate::admission::load::{ServiceLoads, SummedLoad};
use crate::admission::waiting::Waiting;
use crate::cx::Cx;
use crate::line_limit::LineLimit;
use crate::reachability;
use crate::request_context::RequestContext;
use crate::site::SiteConfig;
use crate::wire::Wire;
use oatdale_policy::relay::{
    AdmissionDecision, AdmissionRefusal, AdmissionRequest, Prospect, Rejections, ReturningCallers,
    ServiceOutlook, UrgentTargets, admit, may_be_overloaded,
};
use rand::RngExt;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Maximum number of endpoints that are considered for a request before it is held or refused: the
/// choice is random in part, and the first one may be a bad one.
const MAX_EVALUATIONS: usize = 3;

/// Admission control of one node.
#[derive(Default)]
pub(crate) struct Admission {
    waiting: Waiting,
    loads: ServiceLoads,
    callers: Mutex<Callers>,
}

/// What is known of callers that were refused.
#[derive(Default)]
struct Callers {
    returning: ReturningCallers,
    /// Rejections by service.
    rejections: HashMap<String, Rejections>,
    /// Missed targets by service.
    urgent_targets: HashMap<String, UrgentTargets>,
    lines: LineLimit,
}

impl Admission {
    /// Drops what is known of the callers of routes that the configuration no longer has.
    pub(crate) fn retain_routes(&self, site: &SiteConfig) {
        let is_known = |route: &str| site.routes.iter().any(|r| r.name == route);
        self.callers().returning.retain_routes(is_known);
    }

    fn callers(&self) -> MutexGuard<'_, Callers> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits until a request may be sent to an endpoint.
///
/// # Errors
///
/// The request is to be refused; nothing of it has been sent.
pub(crate) async fn admit_request<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
) -> Result<(), AdmissionRefusal> {
    if !cx.settings.load_control.admission || !is_subject_to_admission(cx, request_cx) {
        return Ok(());
    }
    let has_returned = has_returned(cx, request_cx);
    let mut evaluation = evaluate(cx, request_cx, has_returned, None);
    let began = Instant::now();
    let mut is_released = false;
    let must_wait = matches!(evaluation.decision, AdmissionDecision::Wait { .. });
    if let AdmissionDecision::Wait { prospect, limit } = evaluation.decision {
        let waiter = cx
            .admission
            .waiting
            .add(cx, request_cx, prospect, has_returned);
        if let Some(mut waiter) = waiter {
            is_released = timeout(limit, waiter.released()).await.is_ok();
        }
        if !is_released {
            evaluation = evaluate(cx, request_cx, has_returned, Some(prospect));
        }
    }
    let waited = began.elapsed();
    match evaluation.decision {
        AdmissionDecision::Refuse {
            reason,
            retry_after,
        } => {
            refuse(cx, request_cx, reason);
            log_decision(cx, request_cx, &evaluation, waited, "refused", retry_after);
            request_cx.retry_after = Some(retry_after);
            Err(reason)
        }
        AdmissionDecision::Place if !must_wait => Ok(()),
        AdmissionDecision::Place | AdmissionDecision::Wait { .. } => {
            if !is_released {
                cx.admission.waiting.charge(request_cx);
            }
            let decision = if is_released { "released" } else { "placed" };
            log_decision(
                cx,
                request_cx,
                &evaluation,
                waited,
                decision,
                Duration::ZERO,
            );
            Ok(())
        }
    }
}

/// Records that an endpoint rejected a request without running it.
pub(crate) fn record_rejected<W: Wire>(cx: &Cx<W>, request_cx: &RequestContext) {
    if cx.settings.load_control.admission && request_cx.metadata.prompt.is_none() {
        let mut callers = cx.admission.callers();
        let known = callers.rejections.entry(request_cx.service.clone());
        known.or_default().record(cx.now());
    }
}

/// Returns how much longer than usual callers that are refused now are to wait because endpoints reject
/// requests.
pub(crate) fn rejection_delay<W: Wire>(cx: &Cx<W>, request_cx: &RequestContext) -> Duration {
    let callers = cx.admission.callers();
    let known = callers.rejections.get(&request_cx.service);
    let draw = rand::rng().random_range(0.0..1.0);
    known.map_or(Duration::ZERO, |r| r.delay(cx.now(), draw))
}

fn is_subject_to_admission<W: Wire>(cx: &Cx<W>, request_cx: &RequestContext) -> bool {
    request_cx.metadata.prompt.is_some()
        && request_cx.metadata.last_event_id.is_none()
        && request_cx.forwarded.is_none()
        && !reachability::is_unreachable(cx, &request_cx.service)
}

/// A decision and what it was based on, for the log.
struct Evaluation {
    decision: AdmissionDecision,
    expected: Duration,
    load: Option<SummedLoad>,
    /// The route's target, if the request is not placed because it would miss it.
    missed_target: Option<Duration>,
}

fn evaluate<W: Wire>(
    cx: &Cx<W>,
    request_cx: &RequestContext,
    has_returned: bool,
    has_waited: Option<Prospect>,
) -> Evaluation {
    let mut evaluation = evaluate_once(cx, request_cx, has_returned, has_waited);
    for _ in 1..MAX_EVALUATIONS {
        if evaluation.decision == AdmissionDecision::Place {
            break;
        }
        let other = evaluate_once(cx, request_cx, has_returned, has_waited);
        if other.expected < evaluation.expected {
            evaluation = other;
        }
    }
    if let Some(target) = evaluation.missed_target {
        let mut callers = cx.admission.callers();
        let missed = callers.urgent_targets.entry(request_cx.service.clone());
        let missed = missed.or_default();
        missed.record_missed(cx.now(), request_cx.urgency, target);
    }
    evaluation
}

fn evaluate_once<W: Wire>(
    cx: &Cx<W>,
    request_cx: &RequestContext,
    has_returned: bool,
    has_waited: Option<Prospect>,
) -> Evaluation {
    let (service, urgency) = (&request_cx.service, request_cx.urgency);
    let load = cx.admission.loads.get(cx, service);
    let utilization = load.map(|l| l.utilization());
    // Not known for most requests, since it takes another choice among the endpoints.
    let time = match may_be_overloaded(utilization) {
        true => request_cx.expected_time(cx),
        false => None,
    };
    // If no endpoint can take it, the attempt finds out why and when one can.
    let Some(time) = time else {
        return Evaluation {
            decision: AdmissionDecision::Place,
            expected: Duration::ZERO,
            load,
            missed_target: None,
        };
    };
    let now = cx.now();
    let urgent_target = {
        let callers = cx.admission.callers();
        let missed = callers.urgent_targets.get(service);
        missed.and_then(|m| m.missed_by_more_urgent(now, urgency))
    };
    let request = AdmissionRequest {
        target: request_cx.route().target_latency,
        elapsed: request_cx.arrival.elapsed(),
        time_left: request_cx.time_left(),
        has_returned,
        has_waited,
        is_behind: cx.admission.waiting.has_ahead(cx, request_cx, has_returned),
        urgent_target,
    };
    let draw = rand::rng().random_range(0.0..1.0);
    let outlook = ServiceOutlook {
        expected: time.expected,
        idle: time.idle,
        utilization,
        growth: load.map_or(0.0, |l| l.growth),
    };
    let decision = admit(&request, &outlook, draw);
    let is_placed = decision == AdmissionDecision::Place;
    Evaluation {
        decision,
        expected: time.expected,
        load,
        missed_target: request.missed_target(&outlook).filter(|_| !is_placed),
    }
}

/// Whether the caller was probably refused before, by this node or another one.
fn has_returned<W: Wire>(cx: &Cx<W>, request_cx: &RequestContext) -> bool {
    let route = request_cx.route();
    let (is_short_of_time, has_refused) = {
        let returning = &mut cx.admission.callers().returning;
        let time = request_cx.metadata.timeout;
        let is_short =
            time.is_some_and(|time| returning.record_time(&route.name, time, route.timeout));
        (is_short, returning.has_refused(cx.now()))
    };
    // The fingerprint takes time, so it is not computed unless it may be known.
    is_short_of_time
        || has_refused && {
            let request = request_cx.fingerprint();
            cx.admission.callers().returning.was_refused(request)
        }
}

fn refuse<W: Wire>(cx: &Cx<W>, request_cx: &RequestContext, reason: AdmissionRefusal) {
    let request = request_cx.fingerprint();
    let now = cx.now();
    cx.admission
        .callers()
        .returning
        .record_refused(now, request);
    let urgency = request_cx.urgency.to_string();
    let labels = [reason.name(), request_cx.service.as_str(), urgency.as_str()];
    cx.metrics.overloaded.with_label_values(&labels).inc();
}

fn log_decision<W: Wire>(
    cx: &Cx<W>,
    request_cx: &RequestContext,
    evaluation: &Evaluation,
    waited: Duration,
    decision: &str,
    retry_after: Duration,
) {
    if !cx.admission.callers().lines.allows(cx.now()) {
        return;
    }
    let omitted = cx.admission.callers().lines.take_omitted();
    log::info!(
        target: "admission",
        "event=admission id={} service={} urgency={} decision={decision} expected_ms={} waited_ms={} \
         sums_age_ms={} retry_after_ms={} omitted={omitted}",
        request_cx.metadata.id.as_deref().unwrap_or("-"), request_cx.service, request_cx.urgency,
        evaluation.expected.as_millis(), waited.as_millis(),
        evaluation.load.map_or_else(|| "-".to_owned(), |l| l.sums_age.as_millis().to_string()), retry_after.as_millis()
    );
}
