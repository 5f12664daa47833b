//! Start of a request: capacity of its pool, choice of a version and of an endpoint.

use super::Router;
use crate::choice::{Candidates, Plan, Plans};
use crate::endpoints::{EndpointChoice, EndpointQuery};
use crate::request::{Dispatch, Refusal, RefusalReason, RequestInfo, Ticket, VersionReason};
use crate::state::{Attempt, Stage};
use oatdale_config::{EndpointKey, Key, PoolKey, ServiceKey, ServiceKind, VersionKey};
use smallvec::SmallVec;
use std::time::Duration;

/// Multiple of its even share of the pool at or above which a service is surging; chance alone
/// takes a service with few requests slightly above its share.
const SURGE_RATIO: f64 = 1.25;

/// Latency weight at or above which a version with room is preferred to a cheaper one without.
const MIN_LATENCY_FIRST_WEIGHT: f64 = 0.5;

impl Router {
    /// Whether the pool's limit lets a service start one more request. In a shared pool, it applies
    /// to surging services only, so that the others are not held back by a surge.
    pub(super) fn has_room(&self, service: ServiceKey) -> bool {
        let pool = &self.pools[self.cfg.services[service].pool.index()];
        let free = pool.limit.get() - f64::from(pool.running);
        free >= 1.0 || (self.is_pool_shared(service) && !self.is_surging(service))
    }

    fn is_pool_shared(&self, service: ServiceKey) -> bool {
        self.services_in_pool(self.cfg.services[service].pool) > 1
    }

    /// Whether a service uses clearly more than an even share of its pool.
    ///
    /// Such a service must leave some room at each endpoint. Otherwise a surge would fill the pool
    /// while the other services are idle, and their next requests, however short, would wait for
    /// the long ones of the surge.
    fn is_surging(&self, service: ServiceKey) -> bool {
        let pool = self.cfg.services[service].pool;
        let service_count = self.services_in_pool(pool);
        let even_share = f64::from(self.pools[pool.index()].running) / service_count.max(1) as f64;
        let running = f64::from(self.services[service.index()].running);
        service_count > 1 && running >= (SURGE_RATIO * even_share).max(1.0)
    }

    /// Returns the number of services that use the pool.
    fn services_in_pool(&self, pool: PoolKey) -> usize {
        self.cfg
            .services
            .iter()
            .filter(|(_, s)| s.pool == pool)
            .count()
    }

    /// Returns the number of services that have requests waiting or running in the pool.
    pub(super) fn active_services(&self, pool: PoolKey) -> usize {
        self.cfg
            .services
            .iter()
            .filter(|(_, s)| s.pool == pool)
            .map(|(key, _)| &self.services[key.index()])
            .filter(|state| state.running > 0 || state.queue.len() > 0)
            .count()
    }

    /// Starts a request if an endpoint has room; returns `None` if the request has to wait.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no version may serve the request any longer.
    pub(super) fn start(&mut self, ticket: Ticket) -> Result<Option<Dispatch>, Refusal> {
        let Some(request) = self.requests.get(ticket) else {
            return Ok(None);
        };
        let info = request.info;
        let failed_endpoints = request.failed_endpoints.clone();
        let (plans, quality) = self.plans(&info).map_err(|reason| Refusal {
            reason,
            retry_after: None,
        })?;
        for plan in plans {
            let version = plan.steps.first().copied();
            if let Some(choice) = self.pick(&info, version, &failed_endpoints) {
                self.adjust_quality_price(&info, quality);
                return Ok(Some(self.dispatch(ticket, plan, 0, choice)));
            }
            if self.should_wait_for(&info, &plan) {
                break;
            }
        }
        Ok(None)
    }

    /// Whether to wait for a plan whose endpoints are full: a more expensive version with room is
    /// used only where latency counts more than cost.
    fn should_wait_for(&self, info: &RequestInfo, plan: &Plan) -> bool {
        let service = &self.cfg.services[info.service];
        let latency_first = match service.kind {
            ServiceKind::Model { latency_weight, .. } => latency_weight >= MIN_LATENCY_FIRST_WEIGHT,
            ServiceKind::Plain => false,
        };
        let version = plan.steps.first().copied();
        let is_exploitation = plan.reason != VersionReason::Explore;
        is_exploitation
            && !latency_first
            && self
                .endpoints
                .any_available(self.now, service.pool, version)
    }

    /// Adjusts the service's price of quality to the expected quality of this request's answer.
    fn adjust_quality_price(&mut self, info: &RequestInfo, quality: Option<f64>) {
        let kind = &self.cfg.services[info.service].kind;
        if let (
            ServiceKind::Model {
                quality: target, ..
            },
            Some(quality),
        ) = (kind, quality)
        {
            self.services[info.service.index()]
                .learner
                .adjust_price(*target, quality);
        }
    }

    /// Returns the canary that replaces a plan's first version, if the request falls into its share
    /// and an engine has loaded it. A rollout often starts before the engines have loaded the
    /// version, and the requests of the canary's share would wait in vain.
    fn reachable_canary(
        &self,
        info: &RequestInfo,
        first_version: VersionKey,
    ) -> Option<VersionKey> {
        let canary = self
            .catalogue
            .canary(&self.cfg, info, Some(first_version))?;
        let pool = self.cfg.services[info.service].pool;
        let is_available = self.endpoints.any_available(self.now, pool, Some(canary));
        is_available.then_some(canary)
    }

    /// Returns the candidates that may serve a request now.
    pub(super) fn candidates(&self, info: &RequestInfo) -> Result<Candidates, RefusalReason> {
        self.catalogue.candidates(&self.cfg, info)
    }

    /// Returns the plans that may serve a request, never empty and the preferred one first, and the
    /// expected quality of the preferred plan.
    pub(super) fn plans(
        &mut self,
        info: &RequestInfo,
    ) -> Result<(Plans, Option<f64>), RefusalReason> {
        let candidates = self.candidates(info)?;
        let pool = self.cfg.services[info.service].pool;
        let learner = &mut self.services[info.service.index()].learner;
        let (version, reason) = match candidates {
            Candidates::Plain => return Ok((Plans::from_iter([Plan::plain()]), None)),
            Candidates::Pinned(version) => (version, VersionReason::Pinned),
            Candidates::Canary(version) => (version, VersionReason::Canary),
            Candidates::Serving => {
                let versions = available_or_all(self.catalogue.serving(&self.cfg, info), |v| {
                    self.endpoints.any_available(self.now, pool, Some(v))
                });
                let (mut plans, quality) = learner.plans(&self.cfg, info, &versions, &mut self.rng);
                let Some(canary) = self.reachable_canary(info, plans[0].steps[0]) else {
                    return Ok((plans, Some(quality)));
                };
                let mut plan = plans[0].clone();
                plan.steps[0] = canary;
                plan.reason = VersionReason::Canary;
                plans.insert(0, plan);
                let learner = &self.services[info.service.index()].learner;
                let quality = learner.quality(&self.cfg, info, canary);
                return Ok((plans, Some(quality)));
            }
        };
        let quality = learner.quality(&self.cfg, info, version);
        Ok((
            Plans::from_iter([Plan::single(version, reason)]),
            Some(quality),
        ))
    }

    /// Picks an endpoint with room, or else the available one with the best score. A request that
    /// has already been sent is not queued again, since the work done for it would be lost.
    pub(super) fn pick_or_best_available(
        &mut self,
        info: &RequestInfo,
        version: Option<VersionKey>,
        failed_endpoints: &[EndpointKey],
    ) -> Option<EndpointChoice> {
        let pool = self.cfg.services[info.service].pool;
        self.pick(info, version, failed_endpoints).or_else(|| {
            self.endpoints
                .best_available(self.now, &self.cfg, pool, version, failed_endpoints)
        })
    }

    /// Picks an endpoint with room, if there is one.
    pub(super) fn pick(
        &mut self,
        info: &RequestInfo,
        version: Option<VersionKey>,
        failed_endpoints: &[EndpointKey],
    ) -> Option<EndpointChoice> {
        let pool = self.cfg.services[info.service].pool;
        let query = EndpointQuery {
            pool,
            version,
            prefix: (info.input_tokens > 0).then_some(info.prefix),
            failed_endpoints,
            surge_share: self
                .is_surging(info.service)
                .then(|| self.endpoints.share(pool, self.pools[pool.index()].running)),
        };
        self.endpoints
            .pick(self.now, &self.cfg, query, &mut self.rng)
    }

    /// Records the start of an attempt and returns its dispatch.
    pub(super) fn dispatch(
        &mut self,
        ticket: Ticket,
        plan: Plan,
        step: usize,
        choice: EndpointChoice,
    ) -> Dispatch {
        let request = self
            .requests
            .get_mut(ticket)
            .expect("the ticket belongs to a known request");
        let version = plan.steps.get(step).copied();
        let needs_rating = plan.steps.len() > step + 1;
        let version_reason = match step {
            0 => plan.reason,
            _ => VersionReason::Escalated,
        };
        if let Stage::Waiting { expires_at } = request.stage {
            self.expirations.remove(&(expires_at, ticket));
        }
        request.attempts += 1;
        request.plan = plan;
        request.step = step;
        request.stage = Stage::Running(Attempt {
            endpoint: Some(choice.endpoint),
            version,
            needs_rating,
            is_escalation: step > 0,
        });
        let attempt = request.attempts;
        let service = request.info.service;
        self.record_start(service, choice.endpoint, attempt == 1);
        Dispatch {
            ticket,
            attempt,
            endpoint: choice.endpoint,
            version,
            needs_rating,
            version_reason,
            endpoint_reason: choice.reason,
            considered: choice.considered,
        }
    }

    fn record_start(&mut self, service: ServiceKey, endpoint: EndpointKey, is_first_attempt: bool) {
        let pool = self.cfg.services[service].pool;
        self.pools[pool.index()].running += 1;
        self.endpoints.states[endpoint.index()].record_sent(self.now);
        let state = &mut self.services[service.index()];
        state.running += 1;
        if is_first_attempt {
            state.budget.deposit();
        }
    }

    /// Removes a request and releases its slot in the customer's concurrency limit.
    pub(super) fn remove_request(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.remove(ticket) else {
            return;
        };
        if let Stage::Waiting { expires_at } = request.stage {
            self.expirations.remove(&(expires_at, ticket));
        }
        if request.is_orphaned {
            return;
        }
        let customer = &mut self.customers[request.info.customer.index()];
        customer.in_flight = customer.in_flight.saturating_sub(1);
    }

    /// Whether the time until the deadline exceeds the service's average time to the first byte.
    pub(super) fn can_meet_deadline(&self, deadline: Duration, service: ServiceKey) -> bool {
        let first_byte_s = self.services[service.index()].first_byte.get_or(0.0);
        deadline.saturating_sub(self.now).as_secs_f64() > first_byte_s
    }
}

/// Returns the versions that some endpoint can serve now, or all versions if there is none.
fn available_or_all(
    versions: impl Iterator<Item = VersionKey>,
    is_available: impl Fn(VersionKey) -> bool,
) -> SmallVec<[VersionKey; 64]> {
    let all: SmallVec<[VersionKey; 64]> = versions.collect();
    let available: SmallVec<[VersionKey; 64]> =
        all.iter().copied().filter(|&v| is_available(v)).collect();
    match available.is_empty() {
        true => all,
        false => available,
    }
}
