//! What the router keeps of requests, services, pools and customers.

use crate::average::{Mean, Rate};
use crate::bucket::TokenBucket;
use crate::budget::RetryBudget;
use crate::cascade::Learner;
use crate::choice::Plan;
use crate::limit::Limit;
use crate::queue::FairQueue;
use crate::request::Ask;
use oatdale_config::{EndpointKey, VersionKey};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a customer's demand is remembered.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// A request that the router knows.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) ask: Ask,
    /// Counts requests in the order of their arrival.
    pub(crate) order: u64,
    pub(crate) attempts: u16,
    /// Endpoints that failed it.
    pub(crate) tried: SmallVec<[EndpointKey; 4]>,
    pub(crate) plan: Plan,
    /// The plan's step that runs, from 0.
    pub(crate) step: usize,
    pub(crate) stage: Stage,
    /// Its customer or service is gone from the configuration.
    pub(crate) void: bool,
}

/// Where a request is.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Stage {
    /// In its service's queue.
    Waiting {
        /// When its deadline can't be met any more.
        give_up: Duration,
    },
    /// At an endpoint.
    Running(Attempt),
}

/// An attempt under way.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) struct Attempt {
    /// `None` once the endpoint is gone from the configuration.
    pub(crate) endpoint: Option<EndpointKey>,
    pub(crate) version: Option<VersionKey>,
    pub(crate) judge: bool,
    /// Whether an answer before it was rejected.
    pub(crate) after: bool,
}

/// A service's queue, pace and budget.
pub(crate) struct ServiceState {
    /// One flow for each customer.
    pub(crate) queue: FairQueue,
    pub(crate) running: u32,
    /// Seconds that an attempt takes.
    pub(crate) total: Mean,
    /// The same by class of requests.
    pub(crate) total_by_class: BTreeMap<u8, Mean>,
    pub(crate) first_byte: Mean,
    pub(crate) budget: RetryBudget,
    pub(crate) learner: Learner,
    /// Its place among the services of its pool.
    pub(crate) virtual_time: f64,
}

impl ServiceState {
    pub(crate) fn new() -> Self {
        ServiceState {
            queue: FairQueue::default(),
            running: 0,
            total: Mean::new(100.0),
            total_by_class: BTreeMap::new(),
            first_byte: Mean::new(100.0),
            budget: RetryBudget::default(),
            learner: Learner::new(),
            virtual_time: 0.0,
        }
    }

    /// Seconds that an attempt of a class is expected to take.
    pub(crate) fn expected_total(&self, class: u8) -> f64 {
        let service_mean = self.total.get_or(0.0);
        self.total_by_class
            .get(&class)
            .map_or(service_mean, |t| t.get_or(service_mean))
    }

    /// Takes in how long an attempt took.
    pub(crate) fn took(&mut self, class: u8, seconds: f64) {
        self.total.add(seconds);
        let new_mean = || Mean::new(100.0);
        self.total_by_class
            .entry(class)
            .or_insert_with(new_mean)
            .add(seconds);
    }
}

/// A pool's limit and use.
pub(crate) struct PoolState {
    pub(crate) limit: Limit,
    pub(crate) running: u32,
    pub(crate) virtual_time: f64,
}

/// A customer's use.
pub(crate) struct CustomerState {
    pub(crate) bucket: TokenBucket,
    pub(crate) under_way: u32,
    pub(crate) share: f64,
    pub(crate) demand: Rate,
}

impl CustomerState {
    pub(crate) fn new(now: Duration, rate: f64) -> Self {
        CustomerState {
            bucket: TokenBucket::new(now, rate),
            under_way: 0,
            share: 1.0,
            demand: Rate::new(now, DEMAND_TIME_CONSTANT),
        }
    }
}
