//! The load of all nodes at a service, against its capacity.

use crate::cx::Cx;
use crate::loads::AggregationScheme;
use crate::state::State;
use crate::wire::Wire;
use oatdale_policy::relay::{LoadGrowth, SpareCapacity};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Load in hand at the endpoints of a service for which recent sums are known.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) struct ServiceLoad {
    load: f64,
    /// Requests that the endpoints run at the same time.
    capacity: f64,
    spare: SpareCapacity,
    /// Fraction of the load that was added in the time by which the sums lag.
    pub(crate) growth: f64,
    /// Age of the oldest sum.
    pub(crate) sums_age: Duration,
}

/// Loads of services, summed up again once in an interval of the sums: a service may have thousands
/// of endpoints.
#[derive(Default)]
pub(crate) struct ServiceLoads(Mutex<HashMap<String, CachedLoad>>);

#[derive(Default)]
struct CachedLoad {
    last: Option<(Duration, Option<ServiceLoad>)>,
    growth: LoadGrowth,
}

impl ServiceLoads {
    /// Returns the load of a service; `None` if no recent sum has any of its endpoints.
    pub(crate) fn get<W: Wire>(&self, cx: &Cx<W>, service: &str) -> Option<ServiceLoad> {
        let now = cx.now();
        let mut services = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = match services.get_mut(service) {
            Some(cached) => cached,
            None => services.entry(service.to_owned()).or_default(),
        };
        if let Some((at, load)) = cached.last
            && now < at + AggregationScheme::INTERVAL
        {
            return load;
        }
        let mut load = ServiceLoad::new(&cx.state(), now, service);
        if let Some(load) = &mut load {
            load.growth = cached.growth.record(now, load.load);
        }
        cached.last = Some((now, load));
        load
    }
}

impl ServiceLoad {
    /// Sums up the load of a service; `None` if no recent sum has any of its endpoints.
    fn new(state: &State, now: Duration, service: &str) -> Option<Self> {
        let hosts = state.nodes.iter(now).count().max(1);
        let mut sum: Option<ServiceLoad> = None;
        for (_, entry) in state.directory.eligible(now, service) {
            let Some(last_sum) = state.load_sums.last_sum_at(now, entry.number) else {
                continue;
            };
            // A load is in the sums after up to two intervals, as in the placement of requests.
            let summed_until = last_sum.saturating_sub(2 * AggregationScheme::INTERVAL);
            let load = entry.known_load(now, Some(summed_until))
                + state.load_sums.other_nodes_load(now, entry.number);
            let capacity = f64::from(entry.endpoint.slots);
            let sums_age = now.saturating_sub(last_sum);
            let sum = sum.get_or_insert(ServiceLoad {
                load: 0.0,
                capacity: 0.0,
                spare: SpareCapacity {
                    load: 0.0,
                    hosts,
                    summed_until,
                },
                growth: 0.0,
                sums_age,
            });
            sum.load += load;
            sum.capacity += capacity;
            sum.spare.load += (capacity - load).max(0.0);
            sum.spare.summed_until = sum.spare.summed_until.min(summed_until);
            sum.sums_age = sum.sums_age.max(sums_age);
        }
        sum
    }

    /// Load as a fraction of the capacity.
    pub(crate) fn utilization(&self) -> f64 {
        self.load / self.capacity.max(1.0)
    }

    /// Load that the endpoints can take in addition, and the nodes that share it.
    pub(crate) fn spare(&self) -> SpareCapacity {
        self.spare
    }
}
