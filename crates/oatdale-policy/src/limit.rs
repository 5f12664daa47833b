//! Adaptive limit on this node's in-flight requests at one pool.

use std::time::Duration;

/// Factor by which a congested answer reduces the limit.
const DECREASE_FACTOR: f64 = 0.98;

/// Minimum time between two decreases, so that a burst of congested answers counts once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(1000);

/// Lower bound of the limit.
const MIN_LIMIT_REQUESTS: f64 = 2.0;

/// Additive-increase, multiplicative-decrease (AIMD) limit between a lower bound and the capacity
/// of the endpoints.
///
/// Several nodes share a pool and none knows how much the others send. Without the limit, each
/// would fill the whole pool by itself and requests would queue at the endpoints, where no fair
/// queue orders them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    ceiling: f64,
    last_decrease: Option<Duration>,
}

impl ConcurrencyLimit {
    pub(crate) fn new(ceiling: f64) -> Self {
        ConcurrencyLimit {
            limit: ceiling,
            ceiling,
            last_decrease: None,
        }
    }

    /// Returns the current limit in requests.
    pub(crate) fn get(&self) -> f64 {
        self.limit
    }

    /// Sets the upper bound to the endpoints' current capacity and scales the limit with it.
    pub(crate) fn set_ceiling(&mut self, ceiling: f64) {
        let ceiling = ceiling.max(MIN_LIMIT_REQUESTS);
        if self.ceiling > 0.0 {
            self.limit *= ceiling / self.ceiling;
        }
        self.ceiling = ceiling;
        self.limit = self.limit.clamp(MIN_LIMIT_REQUESTS, ceiling);
    }

    /// Records an answer; `near_limit` says whether most of the limit was in use.
    pub(crate) fn record_answer(&mut self, now: Duration, congested: bool, near_limit: bool) {
        let decreased_recently = self
            .last_decrease
            .is_some_and(|at| now < at + MIN_DECREASE_INTERVAL);
        match congested {
            true if !decreased_recently => {
                self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT_REQUESTS);
                self.last_decrease = Some(now);
            }
            false if near_limit => self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling),
            _ => {}
        }
    }
}
