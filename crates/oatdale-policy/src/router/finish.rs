//! The end of an attempt: recording of its result, and the decision on a further attempt.

use super::Router;
use crate::choice::{Plan, Versions};
use crate::endpoints::EndpointChoice;
use crate::request::{
    AttemptDecision, AttemptResult, Outcome, Refusal, RefusalReason, RequestInfo, Session, Ticket,
    VersionReason,
};
use crate::state::{Attempt, Stage};
use crate::trial::references;
use crate::tuning::Retries;
use oatdale_config::{EndpointKey, Key, ServiceKey, ServiceKind, VersionKey};
use std::time::Duration;

/// Lowest rating at which an answer is accepted.
pub(crate) const MIN_RATING: f64 = 0.5;

/// Maximum attempts of one request, including escalations.
const MAX_ATTEMPTS: u16 = 4;

/// Multiple of the usual time to the first byte above which an answer counts as slow.
const SLOW_FIRST_BYTE_RATIO: f64 = 3.0;

/// Multiple of the usual duration of an attempt at or above which a timeout is evidence against the
/// endpoint and the version.
const CONCLUSIVE_TIMEOUT_RATIO: f64 = 3.0;

/// When an answer was rated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum RatingTime {
    /// Before its delivery, which waited for the rating.
    OnTime,
    /// After its delivery.
    Late,
}

impl Router {
    /// Records the end of an attempt and returns what follows.
    ///
    /// Returns [`AttemptDecision::Done`] for the ticket of a request that is already complete.
    pub fn finish(&mut self, now: Duration, ticket: Ticket, outcome: &Outcome) -> AttemptDecision {
        self.now = self.now.max(now);
        let Some(request) = self.requests.get(ticket) else {
            return AttemptDecision::Done;
        };
        let Stage::Running(attempt) = request.stage else {
            return AttemptDecision::Done;
        };
        let (info, is_orphaned) = (request.info, request.is_orphaned);
        if is_orphaned {
            self.release_endpoint(attempt);
            self.remove_request(ticket);
            return finish_orphaned(outcome);
        }
        self.record_end(&info, attempt);
        self.record_outcome(&info, attempt, outcome);
        let decision = self.decide(ticket, &info, attempt, outcome);
        if decision == AttemptDecision::Done {
            self.record_delivery(&info, attempt, outcome);
        }
        if !matches!(decision, AttemptDecision::Run(_)) {
            self.remove_request(ticket);
        }
        decision
    }

    /// Removes a waiting or running request whose caller has disconnected.
    pub fn cancel(&mut self, now: Duration, ticket: Ticket) {
        self.now = self.now.max(now);
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        let (info, stage, is_orphaned) = (request.info, request.stage, request.is_orphaned);
        match stage {
            Stage::Waiting { .. } => self.remove_from_queue(ticket),
            Stage::Running(attempt) if !is_orphaned => self.record_end(&info, attempt),
            Stage::Running(attempt) => self.release_endpoint(attempt),
        }
        self.remove_request(ticket);
    }

    fn record_end(&mut self, info: &RequestInfo, attempt: Attempt) {
        let pool = self.cfg.services[info.service].pool;
        let pool = &mut self.pools[pool.index()];
        pool.running = pool.running.saturating_sub(1);
        let service = &mut self.services[info.service.index()];
        service.running = service.running.saturating_sub(1);
        self.release_endpoint(attempt);
    }

    /// Releases the attempt's slot at its endpoint, even if the request's service or customer has
    /// been removed from the configuration.
    fn release_endpoint(&mut self, attempt: Attempt) {
        if let Some(endpoint) = attempt.endpoint {
            self.endpoints.states[endpoint.index()].record_end(self.now);
        }
    }

    fn record_outcome(&mut self, info: &RequestInfo, attempt: Attempt, outcome: &Outcome) {
        if self.is_inconclusive_timeout(info, outcome) {
            return;
        }
        let first_byte_ratio = self.relative_first_byte(info, attempt, outcome);
        let is_slow = self.is_slow_for_model(info, attempt, outcome);
        self.record_durations(info, outcome);
        self.record_endpoint_outcome(info, attempt, outcome, first_byte_ratio);
        self.record_version_outcome(info, attempt, outcome, is_slow);
    }

    /// Whether an attempt timed out too early to be evidence against its endpoint or version.
    ///
    /// Callers set their own timeouts. If the far too short timeouts of one customer counted, they
    /// would stop healthy versions and back off from endpoints for all customers. A timeout counts
    /// after several times the usual duration or half of the service's deadline: a version that
    /// hangs must be detected even if all its callers have shorter timeouts than the service.
    fn is_inconclusive_timeout(&self, info: &RequestInfo, outcome: &Outcome) -> bool {
        let waited_s = outcome.total.as_secs_f64();
        let deadline_s = self.cfg.services[info.service].deadline.as_secs_f64();
        let expected_s = self.services[info.service.index()].expected_duration(info.class);
        let is_long = expected_s > 0.0 && waited_s >= CONCLUSIVE_TIMEOUT_RATIO * expected_s;
        outcome.result == AttemptResult::TimedOut && !is_long && waited_s < deadline_s / 2.0
    }

    /// Returns the time to the first byte, divided by the usual one of the request's class and
    /// version. The absolute time would count long prompts against their endpoint.
    fn relative_first_byte(
        &self,
        info: &RequestInfo,
        attempt: Attempt,
        outcome: &Outcome,
    ) -> Option<f64> {
        let first_byte = outcome.first_byte?.as_secs_f64();
        let service = &self.services[info.service.index()];
        let usual = match attempt.version {
            Some(version) => service.learner.usual_first_byte(info.class, version)?,
            None => service.first_byte.get_or(first_byte),
        };
        Some(first_byte / usual.max(1e-6))
    }

    /// Whether the first byte was late compared with the model's other serving versions. Compared
    /// with its own usual time, a version that is always slow would never count as slow.
    fn is_slow_for_model(&self, info: &RequestInfo, attempt: Attempt, outcome: &Outcome) -> bool {
        let (Some(first_byte), Some(version)) = (outcome.first_byte, attempt.version) else {
            return false;
        };
        let learner = &self.services[info.service.index()].learner;
        let usual = references(version, &self.cfg)
            .find_map(|other| learner.usual_first_byte(info.class, other))
            .or_else(|| learner.usual_first_byte(info.class, version));
        usual.is_some_and(|usual| first_byte.as_secs_f64() > SLOW_FIRST_BYTE_RATIO * usual)
    }

    fn record_durations(&mut self, info: &RequestInfo, outcome: &Outcome) {
        let AttemptResult::Complete { .. } = outcome.result else {
            return;
        };
        let service = &mut self.services[info.service.index()];
        service.record_duration(info.class, outcome.total.as_secs_f64());
        if let Some(first_byte) = outcome.first_byte {
            service.first_byte.add(first_byte.as_secs_f64());
        }
    }

    fn record_endpoint_outcome(
        &mut self,
        info: &RequestInfo,
        attempt: Attempt,
        outcome: &Outcome,
        first_byte_ratio: Option<f64>,
    ) {
        let now = self.now;
        let Some(key) = attempt.endpoint else { return };
        let state = &mut self.endpoints.states[key.index()];
        let queued = state.queued;
        let mut congested = queued;
        match outcome.result {
            AttemptResult::Complete { .. } => state.record_answer(first_byte_ratio),
            AttemptResult::NotSent | AttemptResult::Broken => state.record_failure(now),
            AttemptResult::TimedOut => {
                state.record_failure(now);
                congested = true;
            }
            AttemptResult::NotStarted { .. } => congested = true,
            AttemptResult::Cancelled => return,
        }
        let pool = self.cfg.services[info.service].pool;
        let pool = &mut self.pools[pool.index()];
        let near_limit = f64::from(pool.running) + 1.0 >= 0.8 * pool.limit.get();
        pool.limit.record_answer(now, congested, near_limit);
    }

    fn record_version_outcome(
        &mut self,
        info: &RequestInfo,
        attempt: Attempt,
        outcome: &Outcome,
        is_slow: bool,
    ) {
        let Some(version) = attempt.version else {
            return;
        };
        match outcome.result {
            AttemptResult::Complete {
                rating,
                output_tokens,
            } => {
                let learner = &mut self.services[info.service.index()].learner;
                let first_byte = outcome.first_byte.map(|t| t.as_secs_f64());
                let total = outcome.total.as_secs_f64();
                learner.record_answer(info.class, version, output_tokens, first_byte, total);
                self.evidence.record(version, |c| {
                    c.requests += 1;
                    c.slow += u64::from(is_slow);
                });
                if let Some(rating) = rating {
                    self.record_rating(
                        info.service,
                        info.class,
                        version,
                        attempt.is_escalation,
                        rating,
                        RatingTime::OnTime,
                    );
                }
            }
            AttemptResult::Broken | AttemptResult::TimedOut => {
                self.evidence.record(version, |c| {
                    c.requests += 1;
                    c.errors += 1;
                });
            }
            AttemptResult::NotSent
            | AttemptResult::NotStarted { .. }
            | AttemptResult::Cancelled => {}
        }
    }

    fn record_delivery(&mut self, info: &RequestInfo, attempt: Attempt, outcome: &Outcome) {
        let kind = &self.cfg.services[info.service].kind;
        let (
            ServiceKind::Model { quality, .. },
            AttemptResult::Complete { rating, .. },
            Some(version),
        ) = (kind, outcome.result, attempt.version)
        else {
            return;
        };
        let rating = rating.map(|r| f64::from(u8::from(r >= MIN_RATING)));
        self.services[info.service.index()].learner.record_delivery(
            *quality,
            info.class,
            version,
            attempt.is_escalation,
            rating,
        );
    }

    /// Records a rating; `escalated` is set if the request's previous answer was rejected.
    pub(super) fn record_rating(
        &mut self,
        service: ServiceKey,
        class: u8,
        version: VersionKey,
        escalated: bool,
        rating: f64,
        rating_time: RatingTime,
    ) {
        if self.cfg.versions.get(version).is_none() {
            return;
        }
        let Some(state) = self.services.get_mut(service.index()) else {
            return;
        };
        let accepted = rating >= MIN_RATING;
        let value = f64::from(u8::from(accepted));
        match rating_time {
            RatingTime::OnTime => state
                .learner
                .record_rating(class, version, escalated, value),
            RatingTime::Late => state
                .learner
                .record_late_rating(class, version, escalated, value),
        }
        // Escalated requests are harder; their ratings would count against the version that gets
        // them.
        if !escalated {
            self.evidence.record(version, |c| {
                c.rated += 1;
                c.low += u64::from(!accepted);
            });
        }
    }

    /// Decides whether the request is complete, escalated, retried or refused.
    fn decide(
        &mut self,
        ticket: Ticket,
        info: &RequestInfo,
        attempt: Attempt,
        outcome: &Outcome,
    ) -> AttemptDecision {
        let may_retry = info.idempotent && !outcome.forwarded;
        match outcome.result {
            AttemptResult::Cancelled => AttemptDecision::Done,
            AttemptResult::Complete {
                rating: Some(rating),
                ..
            } if attempt.needs_rating && may_retry && rating < MIN_RATING => {
                self.escalate(ticket, info)
            }
            AttemptResult::Complete { .. } => AttemptDecision::Done,
            AttemptResult::NotSent => self.retry(ticket, info, attempt, None),
            AttemptResult::NotStarted { retry_after } => {
                self.retry(ticket, info, attempt, retry_after)
            }
            AttemptResult::Broken | AttemptResult::TimedOut if may_retry => {
                self.retry(ticket, info, attempt, None)
            }
            AttemptResult::Broken | AttemptResult::TimedOut => refuse_failed(None),
        }
    }

    /// Runs the plan's next step that may still serve the request; without one, the last answer is
    /// final.
    fn escalate(&mut self, ticket: Ticket, info: &RequestInfo) -> AttemptDecision {
        let Some(request) = self.requests.get(ticket) else {
            return AttemptDecision::Done;
        };
        if request.attempts >= MAX_ATTEMPTS || !self.can_meet_deadline(info.deadline, info.service)
        {
            return AttemptDecision::Done;
        }
        let (plan, current_step, failed_endpoints) = (
            request.plan.clone(),
            request.step,
            request.failed_endpoints.clone(),
        );
        for step in current_step + 1..plan.steps.len() {
            let version = plan.steps[step];
            if !self.catalogue.permits(&self.cfg, info, version) {
                continue;
            }
            if let Some(choice) =
                self.pick_or_best_available(info, Some(version), &failed_endpoints)
            {
                return AttemptDecision::Run(self.dispatch(ticket, plan, step, choice));
            }
        }
        AttemptDecision::Done
    }

    /// Retries at an endpoint not yet tried, preferably with the same version; refuses if the
    /// attempts, the time or the retry budget do not allow it.
    fn retry(
        &mut self,
        ticket: Ticket,
        info: &RequestInfo,
        attempt: Attempt,
        retry_after: Option<Duration>,
    ) -> AttemptDecision {
        let Some(request) = self.requests.get_mut(ticket) else {
            return AttemptDecision::Done;
        };
        request.failed_endpoints.extend(attempt.endpoint);
        let (plan, step, failed_endpoints) = (
            request.plan.clone(),
            request.step,
            request.failed_endpoints.clone(),
        );
        let attempts = request.attempts;
        if attempts >= MAX_ATTEMPTS || !self.can_meet_deadline(info.deadline, info.service) {
            return refuse_failed(retry_after);
        }
        let permitted = attempt
            .version
            .is_none_or(|v| self.catalogue.permits(&self.cfg, info, v));
        let same_version = match permitted {
            true => self.pick_or_best_available(info, attempt.version, &failed_endpoints),
            false => None,
        };
        let found = same_version
            .map(|choice| (plan, step, choice))
            .or_else(|| self.pick_other_version(info, attempt.version, &failed_endpoints));
        let Some((plan, step, choice)) = found else {
            return refuse_failed(retry_after);
        };
        let budget = &mut self.services[info.service.index()].budget;
        if self.tuning.retries == Retries::Budget && !budget.withdraw() {
            return refuse_failed(retry_after);
        }
        AttemptDecision::Run(self.dispatch(ticket, plan, step, choice))
    }

    /// Picks another version for a request outside any session, if no endpoint can serve the failed
    /// version.
    fn pick_other_version(
        &mut self,
        info: &RequestInfo,
        failed_version: Option<VersionKey>,
        failed_endpoints: &[EndpointKey],
    ) -> Option<(Plan, usize, EndpointChoice)> {
        if info.session != Session::None || failed_version.is_none() {
            return None;
        }
        let serving: Versions = self.catalogue.serving(&self.cfg, info).collect();
        serving
            .into_iter()
            .filter(|&v| Some(v) != failed_version)
            .find_map(|v| {
                let choice = self.pick_or_best_available(info, Some(v), failed_endpoints)?;
                Some((Plan::single(v, VersionReason::Cheapest), 0, choice))
            })
    }
}

fn refuse_failed(retry_after: Option<Duration>) -> AttemptDecision {
    AttemptDecision::Refuse(Refusal {
        reason: RefusalReason::Failed,
        retry_after: Some(retry_after.unwrap_or(Duration::from_secs(1))),
    })
}

/// Returns the decision for a request whose customer, service or pinned version was removed from
/// the configuration while it ran.
fn finish_orphaned(outcome: &Outcome) -> AttemptDecision {
    match outcome.result {
        AttemptResult::Complete { .. } | AttemptResult::Cancelled => AttemptDecision::Done,
        _ => AttemptDecision::Refuse(Refusal {
            reason: RefusalReason::Failed,
            retry_after: None,
        }),
    }
}
