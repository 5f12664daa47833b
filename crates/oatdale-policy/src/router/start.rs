//! Starting a request: room in its pool, a version, an endpoint.

use super::Router;
use crate::choice::{Candidates, Plan, Plans};
use crate::endpoints::{Pick, Wish};
use crate::request::{Ask, Dispatch, Refusal, RefusalReason, Ticket, VersionReason};
use crate::state::{Attempt, Stage};
use oatdale_config::{EndpointKey, Key, PoolKey, ServiceKey, ServiceKind, VersionKey};
use smallvec::SmallVec;
use std::time::Duration;

/// A service surges from this multiple of its even part on; chance alone carries a quiet one a
/// little above it.
const SURGE_RATIO: f64 = 1.25;

/// From this latency weight on, a version with room goes before a cheaper one without.
const MIN_LATENCY_FIRST_WEIGHT: f64 = 0.5;

impl Router {
    /// Whether the pool's limit lets a service start one more request; one that uses less than
    /// an even part is not held back for what the others do.
    pub(super) fn has_room(&self, service: ServiceKey) -> bool {
        let pool = &self.pools[self.cfg.services[service].pool.index()];
        let free = pool.limit.get() - f64::from(pool.running);
        free >= 1.0 || (self.is_pool_shared(service) && !self.is_surging(service))
    }

    fn is_pool_shared(&self, service: ServiceKey) -> bool {
        self.services_in_pool(self.cfg.services[service].pool) > 1
    }

    /// Whether a service uses more of its pool than an even part.
    ///
    /// Such a service must leave a little room at each endpoint. Without this a surge fills the
    /// pool in a moment when the others are quiet, and their next requests, however short, wait
    /// for the surge's long ones to end.
    fn is_surging(&self, service: ServiceKey) -> bool {
        let pool = self.cfg.services[service].pool;
        let service_count = self.services_in_pool(pool);
        let even_share = f64::from(self.pools[pool.index()].running) / service_count.max(1) as f64;
        let running = f64::from(self.services[service.index()].running);
        service_count > 1 && running >= (SURGE_RATIO * even_share).max(1.0)
    }

    /// How many services the pool serves.
    fn services_in_pool(&self, pool: PoolKey) -> usize {
        self.cfg
            .services
            .iter()
            .filter(|(_, s)| s.pool == pool)
            .count()
    }

    /// How many services of the pool have requests waiting or under way.
    pub(super) fn active_services(&self, pool: PoolKey) -> usize {
        self.cfg
            .services
            .iter()
            .filter(|(_, s)| s.pool == pool)
            .map(|(key, _)| &self.services[key.index()])
            .filter(|state| state.running > 0 || state.queue.len() > 0)
            .count()
    }

    /// Starts a request if an endpoint has room; `None` leaves it waiting.
    ///
    /// # Errors
    ///
    /// Refuses if no version may serve it any more.
    pub(super) fn start(&mut self, ticket: Ticket) -> Result<Option<Dispatch>, Refusal> {
        let Some(request) = self.requests.get(ticket) else {
            return Ok(None);
        };
        let ask = request.ask;
        let tried = request.tried.clone();
        let (plans, quality) = self.plans(&ask).map_err(|reason| Refusal {
            reason,
            retry_after: None,
        })?;
        for plan in plans {
            let version = plan.steps.first().copied();
            if let Some(pick) = self.pick(&ask, version, &tried) {
                self.record_planned_quality(&ask, quality);
                return Ok(Some(self.dispatch(ticket, plan, 0, pick)));
            }
            if self.should_wait_for(&ask, &plan) {
                break;
            }
        }
        Ok(None)
    }

    /// Whether a plan whose endpoints are full is worth waiting for: a dearer version with room
    /// is taken only where latency counts more than cost.
    fn should_wait_for(&self, ask: &Ask, plan: &Plan) -> bool {
        let service = &self.cfg.services[ask.service];
        let latency_first = match service.kind {
            ServiceKind::Model { latency_weight, .. } => latency_weight >= MIN_LATENCY_FIRST_WEIGHT,
            ServiceKind::Plain => false,
        };
        let version = plan.steps.first().copied();
        let is_exploitation = plan.why != VersionReason::Explore;
        is_exploitation
            && !latency_first
            && self.endpoints.any_live(self.now, service.pool, version)
    }

    /// Lets the service's price of quality follow what this request is expected to get.
    fn record_planned_quality(&mut self, ask: &Ask, quality: Option<f64>) {
        let kind = &self.cfg.services[ask.service].kind;
        if let (
            ServiceKind::Model {
                quality: target, ..
            },
            Some(quality),
        ) = (kind, quality)
        {
            self.services[ask.service.index()]
                .learner
                .planned(*target, quality);
        }
    }

    /// The canary that takes the place of a plan's first version, if the request falls into its
    /// share and an engine holds it: a roll-out often starts before the engines have loaded it,
    /// and the share's requests would wait for nothing.
    fn reachable_canary(&self, ask: &Ask, first_version: VersionKey) -> Option<VersionKey> {
        let canary = self.catalogue.canary(&self.cfg, ask, Some(first_version))?;
        let pool = self.cfg.services[ask.service].pool;
        let is_live = self.endpoints.any_live(self.now, pool, Some(canary));
        is_live.then_some(canary)
    }

    /// What may serve a request now.
    pub(super) fn candidates(&self, ask: &Ask) -> Result<Candidates, RefusalReason> {
        self.catalogue.candidates(&self.cfg, ask)
    }

    /// The plans that may serve a request, the preferred one first, with its expected quality;
    /// never empty.
    pub(super) fn plans(&mut self, ask: &Ask) -> Result<(Plans, Option<f64>), RefusalReason> {
        let candidates = self.candidates(ask)?;
        let pool = self.cfg.services[ask.service].pool;
        let learner = &mut self.services[ask.service.index()].learner;
        let (version, why) = match candidates {
            Candidates::Plain => return Ok((Plans::from_iter([Plan::plain()]), None)),
            Candidates::Pinned(version) => (version, VersionReason::Pinned),
            Candidates::Canary(version) => (version, VersionReason::Canary),
            Candidates::Serving => {
                let versions = live_or_all(self.catalogue.serving(&self.cfg, ask), |v| {
                    self.endpoints.any_live(self.now, pool, Some(v))
                });
                let (mut plans, quality) = learner.plans(&self.cfg, ask, &versions, &mut self.rng);
                let Some(canary) = self.reachable_canary(ask, plans[0].steps[0]) else {
                    return Ok((plans, Some(quality)));
                };
                let mut plan = plans[0].clone();
                plan.steps[0] = canary;
                plan.why = VersionReason::Canary;
                plans.insert(0, plan);
                let learner = &self.services[ask.service.index()].learner;
                let quality = learner.quality(&self.cfg, ask, canary);
                return Ok((plans, Some(quality)));
            }
        };
        let quality = learner.quality(&self.cfg, ask, version);
        Ok((
            Plans::from_iter([Plan::single(version, why)]),
            Some(quality),
        ))
    }

    /// An endpoint with room, or else the least loaded live one: a request that has come this far
    /// is not put back into the queue, since what it used so far would be lost.
    pub(super) fn pick_or_least_loaded(
        &mut self,
        ask: &Ask,
        version: Option<VersionKey>,
        tried: &[EndpointKey],
    ) -> Option<Pick> {
        let pool = self.cfg.services[ask.service].pool;
        self.pick(ask, version, tried).or_else(|| {
            self.endpoints
                .least_loaded(self.now, &self.cfg, pool, version, tried)
        })
    }

    pub(super) fn pick(
        &mut self,
        ask: &Ask,
        version: Option<VersionKey>,
        tried: &[EndpointKey],
    ) -> Option<Pick> {
        let pool = self.cfg.services[ask.service].pool;
        let criteria = Wish {
            pool,
            version,
            prefix: (ask.input_tokens > 0).then_some(ask.prefix),
            tried,
            leave_room: self
                .is_surging(ask.service)
                .then(|| self.endpoints.share(pool, self.pools[pool.index()].running)),
        };
        self.endpoints
            .pick(self.now, &self.cfg, criteria, &mut self.rng)
    }

    /// Records an attempt and says what to send.
    pub(super) fn dispatch(
        &mut self,
        ticket: Ticket,
        plan: Plan,
        step: usize,
        pick: Pick,
    ) -> Dispatch {
        let request = self.requests.get_mut(ticket).expect("the caller found it");
        let version = plan.steps.get(step).copied();
        let judge = plan.steps.len() > step + 1;
        let why_version = match step {
            0 => plan.why,
            _ => VersionReason::Escalated,
        };
        if let Stage::Waiting { give_up } = request.stage {
            self.expirations.remove(&(give_up, ticket));
        }
        request.attempts += 1;
        request.plan = plan;
        request.step = step;
        request.stage = Stage::Running(Attempt {
            endpoint: Some(pick.endpoint),
            version,
            judge,
            after: step > 0,
        });
        let attempt = request.attempts;
        let service = request.ask.service;
        self.record_start(service, pick.endpoint, attempt == 1);
        Dispatch {
            ticket,
            attempt,
            endpoint: pick.endpoint,
            version,
            judge,
            why_version,
            why_endpoint: pick.why,
            considered: pick.considered,
        }
    }

    fn record_start(&mut self, service: ServiceKey, endpoint: EndpointKey, is_first_attempt: bool) {
        let pool = self.cfg.services[service].pool;
        self.pools[pool.index()].running += 1;
        self.endpoints.states[endpoint.index()].sent(self.now);
        let state = &mut self.services[service.index()];
        state.running += 1;
        if is_first_attempt {
            state.budget.deposit();
        }
    }

    /// Drops a request and its customer's claim on concurrency.
    pub(super) fn remove_request(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.remove(ticket) else {
            return;
        };
        if let Stage::Waiting { give_up } = request.stage {
            self.expirations.remove(&(give_up, ticket));
        }
        if request.void {
            return;
        }
        let customer = &mut self.customers[request.ask.customer.index()];
        customer.under_way = customer.under_way.saturating_sub(1);
    }

    /// The time left to a request, if any.
    pub(super) fn can_meet_deadline(&self, deadline: Duration, service: ServiceKey) -> bool {
        let first_byte_s = self.services[service.index()].first_byte.get_or(0.0);
        deadline.saturating_sub(self.now).as_secs_f64() > first_byte_s
    }
}

/// Versions that an endpoint can serve now, or all of them if there are none such.
fn live_or_all(
    versions: impl Iterator<Item = VersionKey>,
    is_live: impl Fn(VersionKey) -> bool,
) -> SmallVec<[VersionKey; 64]> {
    let all: SmallVec<[VersionKey; 64]> = versions.collect();
    let live: SmallVec<[VersionKey; 64]> = all.iter().copied().filter(|&v| is_live(v)).collect();
    match live.is_empty() {
        true => all,
        false => live,
    }
}
