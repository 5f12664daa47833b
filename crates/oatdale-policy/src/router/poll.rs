//! Waiting requests: start of the next one, and refusal of those whose deadline can't be met.

use super::{RECHECK_INTERVAL, Router};
use crate::request::{QueueDecision, Refusal, RefusalReason, Ticket};
use oatdale_config::{Key, PoolKey, ServiceKey};
use std::time::Duration;

/// Maximum number of flows of a service, one per customer, that are tried before the next service.
const MAX_FLOWS_TRIED: usize = 4;

impl Router {
    /// Returns a waiting request that is to run or be refused now, if there is one.
    pub fn poll_queue(&mut self, now: Duration) -> Option<(Ticket, QueueDecision)> {
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

    /// Returns the time by which to call [`Router::poll_queue`] again; `None` if no request waits.
    pub fn next_wake(&self) -> Option<Duration> {
        let &(expiration, _) = self.expirations.first()?;
        let backoff_end = self
            .cfg
            .pools
            .keys()
            .filter_map(|pool| self.endpoints.next_backoff_end(self.now, pool))
            .min();
        let recheck = self.now + RECHECK_INTERVAL;
        Some(expiration.min(recheck).min(backoff_end.unwrap_or(recheck)))
    }

    /// Refuses the waiting request that expires first, if it has expired.
    fn expire_first(&mut self) -> Option<(Ticket, QueueDecision)> {
        let &(expires_at, ticket) = self.expirations.first()?;
        if expires_at > self.now {
            return None;
        }
        let is_orphaned = self.requests.get(ticket).is_some_and(|r| r.is_orphaned);
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
        Some((ticket, QueueDecision::Refuse(refusal)))
    }

    fn retry_after_of(&mut self, ticket: Ticket) -> Duration {
        let service = self.requests.get(ticket).map(|r| r.info.service);
        let wait = service.map_or(1.0, |s| self.expected_wait(s, None));
        self.jittered_retry_after(wait)
    }

    fn next_in_pool(&mut self, pool: PoolKey) -> Option<(Ticket, QueueDecision)> {
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

    fn next_in_service(
        &mut self,
        pool: PoolKey,
        service: ServiceKey,
    ) -> Option<(Ticket, QueueDecision)> {
        if !self.has_room(service) {
            return None;
        }
        let backlogged_flows = self.services[service.index()].queue.backlogged_flows();
        for &flow in backlogged_flows.iter().take(MAX_FLOWS_TRIED) {
            let Some(item) = self.services[service.index()].queue.head(flow) else {
                continue;
            };
            let decision = match self.start(item.ticket) {
                Ok(None) => continue,
                Ok(Some(dispatch)) => QueueDecision::Run(dispatch),
                Err(refusal) => QueueDecision::Refuse(refusal),
            };
            self.dequeue(pool, service, flow, item.cost);
            if let QueueDecision::Refuse(_) = decision {
                self.remove_request(item.ticket);
            }
            return Some((item.ticket, decision));
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
        if !request.is_orphaned {
            let (service, flow) = (request.info.service, request.info.customer.index());
            self.services[service.index()].queue.remove(flow, ticket);
        }
    }
}
