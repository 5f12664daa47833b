//! Router state of requests, services, pools and customers.

use crate::average::{Mean, Rate};
use crate::bucket::TokenBucket;
use crate::budget::RetryBudget;
use crate::cascade::Learner;
use crate::choice::Plan;
use crate::limit::ConcurrencyLimit;
use crate::queue::FairQueue;
use crate::request::RequestInfo;
use oatdale_config::{EndpointKey, VersionKey};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of the average of a customer's demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// A queued or running request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) info: RequestInfo,
    /// Sequence number in order of arrival.
    pub(crate) arrival_number: u64,
    pub(crate) attempts: u16,
    /// Endpoints that failed the request.
    pub(crate) failed_endpoints: SmallVec<[EndpointKey; 4]>,
    pub(crate) plan: Plan,
    /// Index of the plan's current step.
    pub(crate) step: usize,
    pub(crate) stage: Stage,
    /// Whether its customer, service or pinned version was removed from the configuration.
    pub(crate) is_orphaned: bool,
}

/// Stage of a request.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Stage {
    /// In its service's queue.
    Waiting {
        /// When its deadline can no longer be met.
        expires_at: Duration,
    },
    /// At an endpoint.
    Running(Attempt),
}

/// An attempt in flight.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) struct Attempt {
    /// `None` once the endpoint was removed from the configuration.
    pub(crate) endpoint: Option<EndpointKey>,
    pub(crate) version: Option<VersionKey>,
    /// Whether the answer is buffered and rated, since a better version may follow.
    pub(crate) needs_rating: bool,
    /// Whether it follows a rejected answer.
    pub(crate) is_escalation: bool,
}

/// Queue, latencies and retry budget of a service.
pub(crate) struct ServiceState {
    /// One flow for each customer.
    pub(crate) queue: FairQueue,
    pub(crate) running: u32,
    /// Duration of an attempt, in seconds.
    pub(crate) duration: Mean,
    /// Duration of an attempt by class of requests, in seconds.
    pub(crate) duration_by_class: BTreeMap<u8, Mean>,
    /// Time to the first byte, in seconds.
    pub(crate) first_byte: Mean,
    pub(crate) budget: RetryBudget,
    pub(crate) learner: Learner,
    /// Virtual time among the services of its pool.
    pub(crate) virtual_time: f64,
}

impl ServiceState {
    pub(crate) fn new() -> Self {
        ServiceState {
            queue: FairQueue::default(),
            running: 0,
            duration: Mean::new(100.0),
            duration_by_class: BTreeMap::new(),
            first_byte: Mean::new(100.0),
            budget: RetryBudget::default(),
            learner: Learner::new(),
            virtual_time: 0.0,
        }
    }

    /// Returns the expected duration of an attempt of a class, in seconds.
    pub(crate) fn expected_duration(&self, class: u8) -> f64 {
        let service_mean = self.duration.get_or(0.0);
        self.duration_by_class
            .get(&class)
            .map_or(service_mean, |t| t.get_or(service_mean))
    }

    /// Records the duration of an attempt.
    pub(crate) fn record_duration(&mut self, class: u8, seconds: f64) {
        self.duration.add(seconds);
        let new_mean = || Mean::new(100.0);
        self.duration_by_class
            .entry(class)
            .or_insert_with(new_mean)
            .add(seconds);
    }
}

/// Limit and use of a pool.
pub(crate) struct PoolState {
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) running: u32,
    pub(crate) virtual_time: f64,
}

/// Rate, concurrency and demand of a customer.
pub(crate) struct CustomerState {
    pub(crate) bucket: TokenBucket,
    pub(crate) in_flight: u32,
    /// This node's share of the customer's limits, from 0 to 1.
    pub(crate) share: f64,
    pub(crate) demand: Rate,
}

impl CustomerState {
    pub(crate) fn new(now: Duration, rate: f64) -> Self {
        CustomerState {
            bucket: TokenBucket::new(now, rate),
            in_flight: 0,
            share: 1.0,
            demand: Rate::new(now, DEMAND_TIME_CONSTANT),
        }
    }
}
