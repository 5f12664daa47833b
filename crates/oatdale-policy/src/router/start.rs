//! Starting a request: room in its pool, a version, an endpoint.

use super::Router;
use crate::choice::Plan;
use crate::endpoints::{Pick, Wish};
use crate::request::{Dispatch, Refusal, Ticket, VersionReason};
use crate::state::{Attempt, Stage};
use oatdale_config::{EndpointKey, Key, PoolKey, ServiceKey, VersionKey};
use std::time::Duration;

/// The reserve of a service covers its usual use and this many standard deviations.
const RESERVE_SPREAD: f64 = 1.5;

impl Router {
    /// Whether a service may start one more request in its pool.
    ///
    /// A service that uses more than its usual part must leave free what the others usually use.
    /// Without this reserve a surge fills the pool in the moment when the others are quiet, and
    /// their next requests wait for the surge's long ones to end.
    pub(super) fn has_room(&self, service: ServiceKey) -> bool {
        let pool = self.cfg.services[service].pool;
        let state = &self.pools[pool.index()];
        let free = state.limit.get() - f64::from(state.running);
        if free < 1.0 {
            return false;
        }
        let own = f64::from(self.services[service.index()].running);
        own < self.reserve(service) || free - 1.0 >= self.reserved_by_others(pool, service)
    }

    fn reserved_by_others(&self, pool: PoolKey, service: ServiceKey) -> f64 {
        self.cfg
            .services
            .iter()
            .filter(|(other, item)| *other != service && item.pool == pool)
            .map(|(other, _)| {
                let running = f64::from(self.services[other.index()].running);
                (self.reserve(other) - running).max(0.0)
            })
            .sum()
    }

    /// What a service usually uses of its pool, at most an even part.
    fn reserve(&self, service: ServiceKey) -> f64 {
        let pool = self.cfg.services[service].pool;
        let sharers = self.sharers(pool);
        let even = self.pools[pool.index()].limit.get() / sharers.max(1) as f64;
        let need = self.services[service.index()].need.get(self.now);
        (need + RESERVE_SPREAD * need.sqrt()).min(even)
    }

    /// How many services the pool serves.
    fn sharers(&self, pool: PoolKey) -> usize {
        self.cfg
            .services
            .iter()
            .filter(|(_, s)| s.pool == pool)
            .count()
    }

    /// How many services of the pool have requests waiting.
    pub(super) fn sharing(&self, pool: PoolKey) -> usize {
        self.cfg
            .services
            .iter()
            .filter(|(key, s)| s.pool == pool && self.services[key.index()].queue.len() > 0)
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
        let plans = self.plans(&ask).map_err(|reason| Refusal {
            reason,
            retry_after: None,
        })?;
        for plan in plans {
            let version = plan.steps.first().copied();
            if let Some(pick) = self.pick(&ask, version, &tried) {
                return Ok(Some(self.dispatch(ticket, plan, 0, pick)));
            }
        }
        Ok(None)
    }

    /// An endpoint with room, or else the least loaded live one: a request that has come this far
    /// is not put back into the queue, since what it used so far would be lost.
    pub(super) fn pick_crowded(
        &mut self,
        ask: &crate::request::Ask,
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
        ask: &crate::request::Ask,
        version: Option<VersionKey>,
        tried: &[EndpointKey],
    ) -> Option<Pick> {
        let wish = Wish {
            pool: self.cfg.services[ask.service].pool,
            version,
            prefix: (ask.input_tokens > 0).then_some(ask.prefix),
            tried,
        };
        self.endpoints
            .pick(self.now, &self.cfg, wish, &mut self.rng)
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
            self.give_ups.remove(&(give_up, ticket));
        }
        request.attempts += 1;
        request.plan = plan;
        request.step = step;
        request.stage = Stage::Running(Attempt {
            endpoint: Some(pick.endpoint),
            version,
            judge,
        });
        let attempt = request.attempts;
        let service = request.ask.service;
        self.count_start(service, pick.endpoint, attempt == 1);
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

    fn count_start(&mut self, service: ServiceKey, endpoint: EndpointKey, first: bool) {
        let now = self.now;
        let pool = self.cfg.services[service].pool;
        self.pools[pool.index()].running += 1;
        self.endpoints.states[endpoint.index()].sent(now);
        let state = &mut self.services[service.index()];
        state.set_running(now, state.running + 1);
        if first {
            state.budget.deposit();
        }
    }

    /// Drops a request and its customer's claim on concurrency.
    pub(super) fn forget(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.remove(ticket) else {
            return;
        };
        if let Stage::Waiting { give_up } = request.stage {
            self.give_ups.remove(&(give_up, ticket));
        }
        if request.void {
            return;
        }
        let customer = &mut self.customers[request.ask.customer.index()];
        customer.under_way = customer.under_way.saturating_sub(1);
    }

    /// The time left to a request, if any.
    pub(super) fn has_time(&self, deadline: Duration, service: ServiceKey) -> bool {
        let runs = self.services[service.index()].first_byte.get_or(0.0);
        deadline.saturating_sub(self.now).as_secs_f64() > runs
    }
}
