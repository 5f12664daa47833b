//! Admission of a new request: limits, capacity and the decision to run, queue or refuse it.

use super::Router;
use crate::choice::{Candidates, Plan};
use crate::queue::QueuedRequest;
use crate::request::{AdmissionDecision, Refusal, RefusalReason, RequestInfo, Session, Ticket};
use crate::state::{Request, Stage};
use crate::tuning::Order;
use oatdale_config::Key;
use rand::Rng;
use smallvec::SmallVec;
use std::time::Duration;

/// Fraction of the time available to a request that it may spend in the queue.
const MAX_QUEUE_TIME_FRACTION: f64 = 0.5;

/// Minimum and maximum of a computed retry-after delay.
const RETRY_AFTER_SECS: (f64, f64) = (0.25, 30.0);

/// Retry-after delay for a customer that has reached its concurrency limit.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-after delay when no endpoint that can serve the request is reachable.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Router {
    /// Decides whether a new request runs, waits or is refused.
    pub fn offer(&mut self, now: Duration, info: &RequestInfo) -> AdmissionDecision {
        self.now = self.now.max(now);
        match self.admit(info) {
            Ok(()) => self.start_or_enqueue(info),
            Err(refusal) => AdmissionDecision::Refuse(refusal),
        }
    }

    /// Checks that the keys are known and that the customer may call the service.
    pub(super) fn check_access(&self, info: &RequestInfo) -> Result<(), RefusalReason> {
        let known = self.cfg.customers.get(info.customer).is_some()
            && self.cfg.services.get(info.service).is_some();
        match known && self.cfg.may_call(info.customer, info.service) {
            true => Ok(()),
            false => Err(RefusalReason::NoVersion),
        }
    }

    fn admit(&mut self, info: &RequestInfo) -> Result<(), Refusal> {
        self.check_access(info).map_err(refusal_without_retry)?;
        self.check_customer_limits(info)?;
        if info.deadline <= self.now {
            return Err(refusal_without_retry(RefusalReason::Deadline));
        }
        let candidates = self.candidates(info).map_err(refusal_without_retry)?;
        self.check_reachable(info, &candidates)?;
        self.check_dependencies(info)
    }

    fn check_customer_limits(&mut self, info: &RequestInfo) -> Result<(), Refusal> {
        let now = self.now;
        let limits = self.cfg.customers[info.customer].limits;
        let state = &mut self.customers[info.customer.index()];
        state.demand.add(now);
        let wait = state
            .bucket
            .wait(now, limits.requests_per_second * state.share);
        let max_concurrent = (f64::from(limits.concurrent) * state.share).ceil().max(1.0);
        match () {
            () if wait > Duration::ZERO => Err(Refusal {
                reason: RefusalReason::CustomerRate,
                retry_after: Some(wait),
            }),
            () if f64::from(state.in_flight) >= max_concurrent => Err(Refusal {
                reason: RefusalReason::CustomerConcurrency,
                retry_after: Some(CONCURRENCY_RETRY_AFTER),
            }),
            () => Ok(()),
        }
    }

    fn check_reachable(&self, info: &RequestInfo, candidates: &Candidates) -> Result<(), Refusal> {
        let pool = self.cfg.services[info.service].pool;
        let is_available = |version| self.endpoints.any_available(self.now, pool, version);
        let reachable = match candidates {
            Candidates::Plain => is_available(None),
            Candidates::Pinned(version) | Candidates::Canary(version) => {
                is_available(Some(*version))
            }
            Candidates::Serving => self
                .catalogue
                .serving(&self.cfg, info)
                .any(|v| is_available(Some(v))),
        };
        match reachable {
            true => Ok(()),
            false => Err(Refusal {
                reason: RefusalReason::NoEndpoint,
                retry_after: Some(NO_ENDPOINT_RETRY_AFTER),
            }),
        }
    }

    /// Refuses a request while a service that it depends on has no room: its answer is of no use
    /// without that service, so it would take room here and fail there.
    fn check_dependencies(&mut self, info: &RequestInfo) -> Result<(), Refusal> {
        let cfg = self.cfg.clone();
        for &dependency in &cfg.services[info.service].depends_on {
            let service = &cfg.services[dependency];
            let is_available = self.endpoints.any_available(self.now, service.pool, None);
            let wait = self.expected_wait(dependency, None);
            let max_wait_s = service.deadline.as_secs_f64() * MAX_QUEUE_TIME_FRACTION;
            if !is_available || wait > max_wait_s {
                return Err(Refusal {
                    reason: RefusalReason::Dependency,
                    retry_after: Some(self.jittered_retry_after(wait)),
                });
            }
        }
        Ok(())
    }

    fn start_or_enqueue(&mut self, info: &RequestInfo) -> AdmissionDecision {
        let ticket = self.insert_request(info);
        let service = info.service.index();
        let is_queue_empty = self.services[service].queue.len() == 0;
        if is_queue_empty && self.has_room(info.service) {
            match self.start(ticket) {
                Ok(Some(dispatch)) => return AdmissionDecision::Run(dispatch),
                Ok(None) => {}
                Err(refusal) => {
                    self.remove_request(ticket);
                    return AdmissionDecision::Refuse(refusal);
                }
            }
        }
        let wait = self.expected_wait(info.service, Some(info));
        let remaining_s = info.deadline.saturating_sub(self.now).as_secs_f64();
        let expected_s = self.services[service].expected_duration(info.class);
        if wait > (remaining_s - expected_s) * MAX_QUEUE_TIME_FRACTION {
            self.remove_request(ticket);
            return AdmissionDecision::Refuse(Refusal {
                reason: RefusalReason::Overload,
                retry_after: Some(self.jittered_retry_after(wait)),
            });
        }
        self.enqueue(ticket);
        AdmissionDecision::Wait(ticket)
    }

    fn insert_request(&mut self, info: &RequestInfo) -> Ticket {
        self.arrival_count += 1;
        let customer = &mut self.customers[info.customer.index()];
        customer.bucket.take();
        customer.in_flight += 1;
        self.requests.insert(Request {
            info: *info,
            arrival_number: self.arrival_count,
            attempts: 0,
            failed_endpoints: SmallVec::new(),
            plan: Plan::plain(),
            step: 0,
            stage: Stage::Waiting {
                expires_at: Duration::MAX,
            },
            is_orphaned: false,
        })
    }

    /// Adds a request to its service's queue.
    pub(super) fn enqueue(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else {
            return;
        };
        let info = request.info;
        let priority = priority(self.tuning.order, &info);
        let service = &mut self.services[info.service.index()];
        let expected_run = Duration::from_secs_f64(service.expected_duration(info.class));
        let expires_at = info.deadline.saturating_sub(expected_run).max(self.now);
        request.stage = Stage::Waiting { expires_at };
        self.expirations.insert((expires_at, ticket));
        if service.queue.len() == 0 {
            let pool = &self.pools[self.cfg.services[info.service].pool.index()];
            service.virtual_time = service.virtual_time.max(pool.virtual_time);
        }
        let item = QueuedRequest {
            ticket,
            priority,
            cost: cost(&info),
        };
        service.queue.push(info.customer.index(), item);
    }

    /// Returns the expected time in the queue, in seconds, of one more request.
    ///
    /// With `info`, only the customer's own requests count, scaled by its share of the service.
    /// Otherwise a customer with few requests would be refused because of another one's long queue.
    pub(super) fn expected_wait(
        &self,
        service: oatdale_config::ServiceKey,
        info: Option<&RequestInfo>,
    ) -> f64 {
        let state = &self.services[service.index()];
        let queued = state.queue.len();
        if queued == 0 && self.has_room(service) {
            return 0.0;
        }
        // By Little's law, the number of running requests divided by their duration is the rate at
        // which slots become free. The running requests are this node's actual share of a pool that
        // other nodes use too.
        let pool = self.cfg.services[service].pool;
        let running = f64::from(self.pools[pool.index()].running);
        let even_share = running / self.active_services(pool).max(1) as f64;
        let slots = even_share.max(f64::from(state.running)).max(1.0);
        let slots_per_s = slots / state.duration.get_or(0.05).max(1e-4);
        let ahead_count = match info {
            Some(info) => self.requests_ahead(service, info),
            None => queued as f64,
        };
        (ahead_count + 1.0) / slots_per_s
    }

    /// Estimates how many requests are served before one more of this customer.
    fn requests_ahead(&self, service: oatdale_config::ServiceKey, info: &RequestInfo) -> f64 {
        let queue = &self.services[service.index()].queue;
        let own_ahead = queue.count_ahead(info.customer.index(), priority(self.tuning.order, info));
        let weight = |flow: usize| {
            let key = oatdale_config::CustomerKey::from_index(flow);
            self.cfg.customers[key].weight
        };
        let own_weight = weight(info.customer.index());
        let other_weights: f64 = queue
            .backlogged_flows()
            .iter()
            .filter(|&&flow| flow != info.customer.index())
            .map(|&flow| weight(flow))
            .sum();
        (own_ahead as f64 + 1.0) * (own_weight + other_weights) / own_weight.max(1e-3)
    }

    /// Returns a retry-after delay for an expected wait, with jitter so that refused callers don't
    /// return all at once.
    pub(super) fn jittered_retry_after(&mut self, wait_s: f64) -> Duration {
        let jitter = 0.75 + 0.5 * (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        Duration::from_secs_f64((wait_s * jitter).clamp(RETRY_AFTER_SECS.0, RETRY_AFTER_SECS.1))
    }
}

fn refusal_without_retry(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        retry_after: None,
    }
}

/// Returns the expected cost of a request in arbitrary units; an input token costs a tenth of an
/// output token.
fn cost(info: &RequestInfo) -> f64 {
    1.0 + (f64::from(info.output_tokens) + 0.1 * f64::from(info.input_tokens)) / 64.0
}

/// Returns the priority of a request among those of its customer; the highest runs first.
fn priority(order: Order, info: &RequestInfo) -> u32 {
    match (order, info.session) {
        (Order::Progress, Session::Pinned { step, .. }) => step,
        (Order::Progress | Order::Arrival, _) => 0,
    }
}
