//! Load of all nodes at the endpoints of a service, against what these endpoints take.

use crate::directory::Entry;
use crate::loads::AggregationScheme;
use crate::roll_outs::AllowedVersions;
use crate::state::State;
use oatdale_policy::relay::wait_free_load;
use std::collections::HashMap;
use std::time::Duration;

/// How long a computed usage is valid. The sums it is computed from change every 250 ms, and computing
/// it visits up to [`MAX_SAMPLED_ENDPOINTS`] endpoints.
const USAGE_VALIDITY: Duration = Duration::from_millis(50);

/// Number of endpoints from which the usage of a service is estimated. With loads that differ as much
/// as their mean, the estimate is off by six percent.
const MAX_SAMPLED_ENDPOINTS: usize = 256;

/// Usage of a service's endpoints by all nodes.
///
/// Only endpoints count that new requests outside of trials may use: during a rollout, those of the
/// other version are idle, and requests cannot go there.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) struct ServiceUsage {
    /// Load at the endpoints, in weighted requests.
    pub(crate) used: f64,
    /// Load that they take before requests wait.
    pub(crate) wait_free: f64,
    /// Requests that they run at the same time, as far as their records say so.
    pub(crate) slots: f64,
    /// Load at the endpoints that `slots` counts.
    used_slots: f64,
    /// Load that these can take until each has as much as it runs at the same time.
    pub(crate) spare_slots: f64,
    /// The sums that the load is from; `None` if there are no recent ones, and this node's own load
    /// stands for that of each node.
    pub(crate) sums: Option<SumTimes>,
    /// Number of nodes that share the service.
    pub(crate) nodes: usize,
    /// Number of nodes that this node's own load stands for; 0 if there are sums.
    assumed_nodes: usize,
}

/// Times of the load sums of a service's endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct SumTimes {
    /// When the oldest was received.
    pub(crate) received_at: Duration,
    /// Requests that were placed before this time are in all of them.
    pub(crate) summed_until: Duration,
}

/// Usage of each service, with the time at which it was computed.
#[derive(Debug, Default)]
pub(super) struct ServiceUsages(HashMap<String, (Duration, ServiceUsage)>);

impl ServiceUsage {
    /// Returns the usage without a request of this node with this weight. A node with few requests
    /// decides only while it has one, and would otherwise always find more load than the others have.
    pub(crate) fn without_own(&self, weight: f64) -> ServiceUsage {
        ServiceUsage {
            used: (self.used - weight * self.assumed_nodes as f64).max(0.0),
            ..*self
        }
    }

    /// Returns the load as a fraction of the requests that the endpoints run at the same time; 0 if
    /// that is not known of any.
    pub(crate) fn utilization(&self) -> f64 {
        self.used_slots / self.slots.max(1.0)
    }

    /// Adds an endpoint with a load; `slots` is 0 if unknown.
    fn add(&mut self, load: f64, slots: u32) {
        self.used += load;
        self.wait_free += wait_free_load(slots);
        if slots > 0 {
            self.slots += f64::from(slots);
            self.used_slots += load;
            self.spare_slots += (f64::from(slots) - load).max(0.0);
        }
    }

    fn scaled(self, factor: f64) -> ServiceUsage {
        ServiceUsage {
            used: self.used * factor,
            wait_free: self.wait_free * factor,
            slots: self.slots * factor,
            used_slots: self.used_slots * factor,
            spare_slots: self.spare_slots * factor,
            ..self
        }
    }
}

impl State {
    /// Returns the usage of a service, at most 50 ms old.
    pub(crate) fn service_usage(&mut self, now: Duration, service: &str) -> ServiceUsage {
        let known = self.service_usages.0.get(service);
        if let Some((at, usage)) = known
            && now < *at + USAGE_VALIDITY
        {
            return *usage;
        }
        let usage = self.compute_usage(now, service);
        let usages = &mut self.service_usages.0;
        usages.insert(service.to_owned(), (now, usage));
        usage
    }

    fn compute_usage(&self, now: Duration, service: &str) -> ServiceUsage {
        let counted = self.counted_endpoints(now, service);
        let nodes = self.nodes.iter(now).count().max(1);
        let mut summed = ServiceUsage {
            nodes,
            ..ServiceUsage::default()
        };
        let mut all = summed;
        for entry in &counted {
            let slots = entry.endpoint.slots;
            all.add(0.0, slots);
            let Some(load) = self.total_load(now, entry) else {
                continue;
            };
            let sums = self.sum_times(now, entry);
            summed.add(load, slots);
            summed.sums = summed
                .sums
                .map_or(sums, |s| sums.map(|sums| s.earlier(sums)));
        }
        let endpoints = self.directory.len_of_service(service) as f64;
        let unsampled = (endpoints / MAX_SAMPLED_ENDPOINTS as f64).max(1.0);
        if summed.sums.is_some() {
            return summed.scaled(unsampled);
        }
        let all = all.scaled(unsampled);
        let used = self.directory.own_load(now, service) * nodes as f64;
        ServiceUsage {
            used,
            used_slots: used,
            spare_slots: (all.slots - used).max(0.0),
            assumed_nodes: nodes,
            ..all
        }
    }

    /// Returns the endpoints that count, or a sample of them: those that accept requests now, are of a
    /// version that new requests use, and are warm, if any is.
    fn counted_endpoints(&self, now: Duration, service: &str) -> Vec<&Entry> {
        let directory = &self.directory;
        let mut usable = directory.sample_usable(now, service, MAX_SAMPLED_ENDPOINTS);
        usable.retain(|e| !e.health.is_ejected(now));
        // While requests move to another version, these two are on either side.
        let allowed = [0, u64::MAX].map(|hash| self.roll_outs.allowed(now, service, None, hash));
        let best = allowed
            .each_ref()
            .map(|allowed| best_rank(allowed, &usable));
        usable.retain(|e| {
            let ranks = allowed
                .iter()
                .map(|allowed| allowed.rank(&e.endpoint.version));
            ranks.zip(best).any(|(rank, best)| Some(rank) == best)
        });
        let cold_time = self.cold_time(service);
        let is_warm = |e: &&Entry| cold_time.is_none_or(|time| !e.is_cold(now, time));
        let warm: Vec<_> = usable.iter().copied().filter(is_warm).collect();
        match warm.is_empty() {
            true => usable,
            false => warm,
        }
    }

    fn sum_times(&self, now: Duration, entry: &Entry) -> Option<SumTimes> {
        let received_at = self.load_sums.last_sum_at(now, entry.number)?;
        Some(SumTimes::new(received_at))
    }
}

impl SumTimes {
    /// Returns the times of a sum. A load is in the sums after up to two intervals: one until the
    /// node's next report, one until the aggregator's next sum.
    pub(super) fn new(received_at: Duration) -> Self {
        SumTimes {
            received_at,
            summed_until: received_at.saturating_sub(2 * AggregationScheme::INTERVAL),
        }
    }

    fn earlier(self, other: SumTimes) -> SumTimes {
        SumTimes {
            received_at: self.received_at.min(other.received_at),
            summed_until: self.summed_until.min(other.summed_until),
        }
    }
}

fn best_rank(allowed: &AllowedVersions, entries: &[&Entry]) -> Option<usize> {
    let ranks = entries.iter().map(|e| allowed.rank(&e.endpoint.version));
    ranks.min()
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against admission control that takes a record without slots for an overload.
    #[test]
    fn endpoints_with_unknown_slots_do_not_count_as_overloaded() {
        let mut usage = ServiceUsage::default();
        usage.add(30.0, 0);
        assert_eq!((usage.used, usage.utilization()), (30.0, 0.0));
        usage.add(4.0, 16);
        assert_eq!((usage.spare_slots, usage.utilization()), (12.0, 0.25));
    }
}
