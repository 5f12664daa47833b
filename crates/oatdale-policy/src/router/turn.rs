//! Waiting requests: start of the next one, and refusal of those whose deadline can't be met.

use super::{RECHECK_INTERVAL, Router};
use crate::request::{Refusal, RefusalReason, Ticket, Turn};
use oatdale_config::{Key, PoolKey, ServiceKey};
use std::time::Duration;

/// Flows of one service (one per customer) whose first request is tried before the next service's.
const MAX_FLOWS_TRIED: usize = 4;

impl Router {
    /// Returns a waiting request that is to run or be refused now, if there is one.
    pub fn next_turn(&mut self, now: Duration) -> Option<(Ticket, Turn)> {
        self.now = self.now.max(now);
        if self.expirations.is_empty() {
            return None;
        }
        if let Some(expired) = self.expire_first() {
            return Some(expired);
        }
        let pools: Vec<PoolKey> = self.cfg.pools.keys().collect();
        pools.into_iter().find_map(|pool| self.next_in_pool(pool))
    }

    /// Returns the time by which to call [`Router::next_turn`] again; `None` if no request waits.
    pub fn next_wake(&self) -> Option<Duration> {
        let &(expiration, _) = self.expirations.first()?;
        let pause_end = self
            .cfg
            .pools
            .keys()
            .filter_map(|pool| self.endpoints.next_pause_end(self.now, pool))
            .min();
        let recheck = self.now + RECHECK_INTERVAL;
        Some(expiration.min(recheck).min(pause_end.unwrap_or(recheck)))
    }

    /// Refuses the waiting request that expires first, if it has expired.
    fn expire_first(&mut self) -> Option<(Ticket, Turn)> {
        let &(expires_at, ticket) = self.expirations.first()?;
        if expires_at > self.now {
            return None;
        }
        let is_orphaned = self.requests.get(ticket).is_some_and(|r| r.void);
        let reason = match is_orphaned {
            true => RefusalReason::NoVersion,
            false => RefusalReason::Deadline,
        };
        let retry_after = match is_orphaned {
            true => None,
            false => Some(self.retry_after_of(ticket)),
        };
        self.remove_from_queue(ticket);
        self.remove_request(ticket);
        let refusal = Refusal {
            reason,
            retry_after,
        };
        Some((ticket, Turn::Refuse(refusal)))
    }

    fn retry_after_of(&mut self, ticket: Ticket) -> Duration {
        let service = self.requests.get(ticket).map(|r| r.ask.service);
        let wait = service.map_or(1.0, |s| self.expected_wait(s, None));
        self.jittered_retry_after(wait)
    }

    fn next_in_pool(&mut self, pool: PoolKey) -> Option<(Ticket, Turn)> {
        let mut waiting_services: Vec<ServiceKey> = self
            .cfg
            .services
            .iter()
            .filter(|(key, s)| s.pool == pool && self.services[key.index()].queue.len() > 0)
            .map(|(key, _)| key)
            .collect();
        waiting_services.sort_by(|a, b| {
            let (x, y) = (&self.services[a.index()], &self.services[b.index()]);
            x.virtual_time.total_cmp(&y.virtual_time).then(a.cmp(b))
        });
        waiting_services
            .into_iter()
            .find_map(|s| self.next_in_service(pool, s))
    }

    fn next_in_service(&mut self, pool: PoolKey, service: ServiceKey) -> Option<(Ticket, Turn)> {
        if !self.has_room(service) {
            return None;
        }
        let order = self.services[service.index()].queue.order();
        for &flow in order.iter().take(MAX_FLOWS_TRIED) {
            let Some(item) = self.services[service.index()].queue.head(flow) else {
                continue;
            };
            let turn = match self.start(item.ticket) {
                Ok(None) => continue,
                Ok(Some(dispatch)) => Turn::Run(dispatch),
                Err(refusal) => Turn::Refuse(refusal),
            };
            self.dequeue(pool, service, flow, item.cost);
            if let Turn::Refuse(_) = turn {
                self.remove_request(item.ticket);
            }
            return Some((item.ticket, turn));
        }
        None
    }

    /// Removes a flow's first request from the queue and charges its cost to flow and service.
    fn dequeue(&mut self, pool: PoolKey, service: ServiceKey, flow: usize, cost: f64) {
        let customer = oatdale_config::CustomerKey::from_index(flow);
        let weight = self.cfg.customers[customer].weight;
        let state = &mut self.services[service.index()];
        state.queue.pop(flow, weight);
        let pool = &mut self.pools[pool.index()];
        pool.virtual_time = pool.virtual_time.max(state.virtual_time);
        state.virtual_time += cost;
    }

    /// Removes a waiting request from its queue.
    pub(super) fn remove_from_queue(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        if !request.void {
            let (service, flow) = (request.ask.service, request.ask.customer.index());
            self.services[service.index()].queue.remove(flow, ticket);
        }
    }
}
