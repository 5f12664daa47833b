//! Escalation of requests by spare capacity.
//!
//! The load it answers: a burst in which every host escalates as many answers as in calm seconds.
//! A second generation takes about ten times the work of the first, so these runs alone make all
//! first answers late. All hosts decide at the same moment by sums that lag by up to half a second,
//! so the threshold falls continuously with the load; a rule that stops at one load would let the
//! hosts start and stop together.

use crate::relay::ladder::{larger_model, size_factor};
use std::time::Duration;

/// Smallest weighted load at an endpoint up to which requests do not wait: an endpoint with few slots
/// reads some prompts ahead.
pub const WAIT_FREE_LOAD: f64 = 6.0;

/// Weighted load up to which requests do not wait, as a share of the endpoint's slots. It is below 1,
/// since a request that is being read weighs more than one, and reading delays the others.
const WAIT_FREE_SLOT_SHARE: f64 = 0.4;

/// Load of a service, as a multiple of its wait-free load, up to which the full threshold applies.
/// Below 1, so that the threshold falls before requests wait.
const FULL_THRESHOLD_LOAD: f64 = 0.6;

/// Load beyond [`FULL_THRESHOLD_LOAD`] at which a run of average cost for its value is no longer
/// made at any confidence. The runs that hosts start within the lag of the sums must not move the
/// load across this range, or the hosts start and stop escalating in turn.
const THRESHOLD_LOAD_RANGE: f64 = 1.5;

/// Shares of the time left until the target: an expected time up to the first one does not lower
/// the threshold, and from the second one on no run is made. In between, the run is less and less
/// likely to be in time.
const FULL_THRESHOLD_TIME: f64 = 0.5;
const NO_RUN_TIME: f64 = 1.0;

/// Work of a run that counts as average, as a multiple of the wait-free load of an endpoint.
const AVERAGE_WORK: f64 = 0.5;

/// Factor by which the value of an answer falls with each level of urgency. With equal values, less
/// urgent routes with short prompts get more of the capacity than urgent ones with long prompts.
const URGENCY_VALUE_FACTOR: f64 = 1.5;

/// Bounds of the cost of a run relative to its value.
const MIN_RELATIVE_COST: f64 = 0.5;
const MAX_RELATIVE_COST: f64 = 2.0;

/// Returns the weighted load up to which requests do not wait at an endpoint that runs this number of
/// requests at the same time.
pub fn wait_free_load(slots: u32) -> f64 {
    (f64::from(slots) * WAIT_FREE_SLOT_SHARE).max(WAIT_FREE_LOAD)
}

/// Load of a service over all hosts and endpoints, in weighted requests.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct ServiceLoad {
    /// Load at the endpoints.
    pub used: f64,
    /// Load that the endpoints take before requests wait.
    pub available: f64,
}

/// Expected time of a run to its first event, and what is left of the target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RunTime {
    /// Expected time to the first event.
    pub expected: Duration,
    /// Time left until the route's target; `None` if the route has none.
    pub left: Option<Duration>,
}

/// What to do with an answer of a smaller model.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EscalationVerdict {
    /// Its confidence suffices at any load, or there is no larger model.
    Accept,
    /// Its confidence suffices at the present load.
    NoCapacity,
    /// The larger model's answer would be late.
    NoTime,
    /// Sends the request to the model at this position of the ladder.
    Escalate(usize),
}

/// Decides about the second run of one answer.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct EscalationRule {
    /// Confidence from 0 to 100 below which an answer is escalated while there is spare capacity.
    pub threshold: u8,
    /// Load of the service.
    pub load: ServiceLoad,
    /// Load that the run adds to an endpoint.
    pub weight: f64,
    /// Urgency of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Size of the generation as a multiple of its route's usual size.
    pub relative_size: f64,
    /// Time of the run; `None` before an endpoint is chosen.
    pub time: Option<RunTime>,
}

impl ServiceLoad {
    /// Returns the load as a multiple of the load at which requests begin to wait.
    pub fn relative(&self) -> f64 {
        match self.available > 0.0 {
            true => self.used / self.available,
            false => f64::INFINITY,
        }
    }
}

impl RunTime {
    /// Returns the expected time as a share of the time left.
    fn share_of_left(&self) -> f64 {
        match self.left {
            None => 0.0,
            Some(Duration::ZERO) => f64::INFINITY,
            Some(left) => self.expected.as_secs_f64() / left.as_secs_f64(),
        }
    }
}

impl EscalationRule {
    /// Decides about an answer of the model at position `pos` in a ladder of `model_count` models.
    pub fn decide(
        &self,
        pos: usize,
        model_count: usize,
        confidence: Option<u8>,
    ) -> EscalationVerdict {
        let Some((score, larger)) = confidence.zip(larger_model(pos, model_count)) else {
            return EscalationVerdict::Accept;
        };
        let score = f64::from(score);
        match () {
            () if score >= self.full_threshold() => EscalationVerdict::Accept,
            () if score < self.threshold() => EscalationVerdict::Escalate(larger),
            () if score < self.full_threshold() * self.load_factor() => EscalationVerdict::NoTime,
            () => EscalationVerdict::NoCapacity,
        }
    }

    /// Returns the lowest confidence at which the answer is not escalated now.
    pub fn threshold(&self) -> f64 {
        self.full_threshold() * self.load_factor().min(self.time_factor())
    }

    fn full_threshold(&self) -> f64 {
        f64::from(self.threshold) * size_factor(self.relative_size)
    }

    fn load_factor(&self) -> f64 {
        let overload = (self.load.relative() - FULL_THRESHOLD_LOAD) / THRESHOLD_LOAD_RANGE;
        let lowered_by = overload * self.relative_cost();
        match () {
            () if overload <= 0.0 => 1.0,
            () if lowered_by < 1.0 => 1.0 - lowered_by,
            // Also if a value is not a number.
            () => 0.0,
        }
    }

    fn time_factor(&self) -> f64 {
        let share = self.time.map_or(0.0, |time| time.share_of_left());
        ((NO_RUN_TIME - share) / (NO_RUN_TIME - FULL_THRESHOLD_TIME)).clamp(0.0, 1.0)
    }

    /// Returns the work of the run relative to the value of its answer.
    ///
    /// The cube root makes urgency count before work: three times the work costs as much as one
    /// level of urgency.
    ///
    /// A request that is larger than usual for its route counts as one of the usual size: the size
    /// factor already lowers its threshold, and large requests must get their share of the
    /// escalations.
    fn relative_cost(&self) -> f64 {
        let weight = self.weight / self.relative_size.max(1.0);
        let work = (weight / (AVERAGE_WORK * WAIT_FREE_LOAD)).cbrt();
        let cost = work * URGENCY_VALUE_FACTOR.powi(self.urgency.into());
        cost.clamp(MIN_RELATIVE_COST, MAX_RELATIVE_COST)
    }
}
