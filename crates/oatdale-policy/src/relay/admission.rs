//! Admission control: whether a request is placed at once, waits at its host or is refused, and when
//! a refused caller is to return.
//!
//! Answers the load of a burst that exceeds the capacity of a service for some seconds, so that all
//! responses miss their target unless some callers return later. Each host decides by itself, on sums
//! of the load that are up to half a second old.

mod growth;
mod queue;
mod rejections;
mod returning;
mod share;
mod urgent_targets;

pub use crate::relay::admission::growth::LoadGrowth;
pub use crate::relay::admission::queue::{AdmissionQueue, WaitingRequest};
pub use crate::relay::admission::rejections::Rejections;
pub use crate::relay::admission::returning::ReturningCallers;
pub use crate::relay::admission::share::{ReleaseShare, SpareCapacity};
pub use crate::relay::admission::urgent_targets::UrgentTargets;

use std::time::Duration;

/// Utilization of a service below which each request is placed at once, whatever is expected: with
/// half of the capacity unused, a long expected time is an error of the estimate.
const MIN_UTILIZATION: f64 = 0.5;

/// Maximum wait of a request that can be in time, as a fraction of its target.
const MAX_WAIT_DIVISOR: u32 = 8;

/// Callers honour `Retry-After` up to this fraction of the time that they have left.
const RETRY_TIME_DIVISOR: u32 = 3;

/// Maximum wait of a request that can only be late, as a fraction of the time left.
const MAX_LATE_WAIT_DIVISOR: u32 = 4;

/// A request that is not placed yet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AdmissionRequest {
    /// Target time to the response or its first event, if the route has one.
    pub target: Option<Duration>,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Time left until the caller stops waiting.
    pub time_left: Duration,
    /// Whether the caller was refused before, so that another refusal would be its last response.
    pub has_returned: bool,
    /// As what the request has waited at this host; it waits only once.
    pub has_waited: Option<Prospect>,
    /// Whether requests that go before this one and can be in time wait at this host.
    pub is_behind: bool,
    /// Smallest target that more urgent requests have recently missed. This request is not placed
    /// while they are refused.
    pub urgent_target: Option<Duration>,
}

/// What is known of the service that a request is for.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ServiceOutlook {
    /// Expected time to the first event if the request is placed now.
    pub expected: Duration,
    /// Expected time to it at the same endpoint without other load.
    pub idle: Duration,
    /// Load of all hosts as a fraction of the capacity; `None` if no recent sum is known.
    pub utilization: Option<f64>,
    /// Fraction of the load that was added in the time by which the sums lag, from 0 to 1.
    pub growth: f64,
}

impl ServiceOutlook {
    /// Expected time with the load that may have been added since: as much as the sums have gained.
    fn projected(&self) -> Duration {
        let wait = self.expected.saturating_sub(self.idle);
        self.expected + wait.mul_f64(self.growth.clamp(0.0, 1.0))
    }
}

/// What to do with a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmissionDecision {
    /// Place it now.
    Place,
    /// Keep it in the host's queue for at most this time, and decide again afterwards.
    Wait {
        /// How it is ordered among the waiting requests.
        prospect: Prospect,
        /// Maximum time to wait.
        limit: Duration,
    },
    /// Refuse it.
    Refuse {
        /// Why.
        reason: AdmissionRefusal,
        /// When the caller is to return.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmissionRefusal {
    /// No endpoint is expected to respond in time, but one is if the caller returns.
    Overloaded,
    /// No endpoint is expected to respond before the deadline.
    AfterDeadline,
}

/// When a waiting request is expected to be served.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Prospect {
    /// Before its target.
    InTime,
    /// After its target. It waits for capacity that no request needs which can be in time.
    Late,
}

impl AdmissionRefusal {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AdmissionRefusal::Overloaded => "overloaded",
            AdmissionRefusal::AfterDeadline => "after-deadline",
        }
    }
}

impl AdmissionRequest {
    /// Expected time up to which the request is in time.
    fn in_time_bound(&self) -> Duration {
        let target = match (self.target, self.urgent_target) {
            (Some(own), Some(urgent)) => Some(own.min(urgent)),
            (own, urgent) => own.or(urgent),
        };
        target.map_or(self.time_left, |target| {
            target.saturating_sub(self.elapsed).min(self.time_left)
        })
    }

    /// Returns the request's own target if it is expected to be missed. A caller with a short deadline
    /// says nothing about what other requests can expect.
    pub fn missed_target(&self, outlook: &ServiceOutlook) -> Option<Duration> {
        self.target
            .filter(|target| outlook.projected() > *target && outlook.idle < *target)
    }

    fn may_wait(&self) -> bool {
        self.has_waited.is_none()
    }

    /// Whether the caller has enough time left to return. It has not if it was refused before or
    /// after the long wait of a request that can only be late.
    fn may_return(&self) -> bool {
        !self.has_returned && self.has_waited != Some(Prospect::Late)
    }

    fn max_wait(&self) -> Duration {
        self.target.unwrap_or(self.time_left).min(self.time_left) / MAX_WAIT_DIVISOR
    }
}

/// Whether a service is so loaded that a request for it may have to wait. Below that, the expected
/// time need not be known.
pub fn may_be_overloaded(utilization: Option<f64>) -> bool {
    utilization.is_some_and(|utilization| utilization >= MIN_UTILIZATION)
}

/// Decides about a request. `draw` is a random number from 0 to 1, which spreads the callers that are
/// refused together.
pub fn admit(request: &AdmissionRequest, outlook: &ServiceOutlook, draw: f64) -> AdmissionDecision {
    let bound = request.in_time_bound();
    // A request that takes most of its target by itself would never be in time. It may wait for half
    // as long as others, so that it gets a share of the capacity.
    let bound = bound.max(outlook.idle + bound / 2).min(request.time_left);
    let projected = outlook.projected();
    let excess = projected.saturating_sub(bound);
    let max_retry = request.time_left / RETRY_TIME_DIVISOR;
    let refuse = |reason| AdmissionDecision::Refuse {
        reason,
        retry_after: retry_after(excess, projected, max_retry, draw),
    };
    let wait = |prospect, limit| AdmissionDecision::Wait { prospect, limit };
    match () {
        () if !may_be_overloaded(outlook.utilization) => AdmissionDecision::Place,
        () if excess.is_zero() && request.is_behind && request.may_wait() => {
            wait(Prospect::InTime, request.max_wait())
        }
        () if excess.is_zero() => AdmissionDecision::Place,
        () if outlook.expected > request.time_left => refuse(AdmissionRefusal::AfterDeadline),
        // The estimate is as old as the sums: so short an excess may be gone by now.
        () if request.may_wait() && excess <= request.max_wait() => {
            wait(Prospect::InTime, request.max_wait())
        }
        () if request.may_return() && excess <= max_retry => refuse(AdmissionRefusal::Overloaded),
        // A late response is worth more than none.
        () if request.may_wait() => {
            let spare_time = request.time_left - outlook.expected;
            let limit = (spare_time / 2).min(request.time_left / MAX_LATE_WAIT_DIVISOR);
            wait(Prospect::Late, limit)
        }
        () => AdmissionDecision::Place,
    }
}

/// Returns a time between the one at which a new request is expected to be in time, at most half of
/// `max`, and the one at which the work in hand and that of the refused callers has drained, at most
/// `max`. The callers are
/// spread evenly over it.
fn retry_after(excess: Duration, drained: Duration, max: Duration, draw: f64) -> Duration {
    // With an excess beyond `max`, all callers would otherwise return at the same time.
    let earliest = excess.min(max / 2);
    // The refused callers bring about as much work as there is in hand.
    let latest = (2 * drained).min(max);
    earliest
        + latest
            .saturating_sub(earliest)
            .mul_f64(draw.clamp(0.0, 1.0))
}
