//! Expected times until the response head, by service.

use crate::directory::{EndpointKey, Entry};
use crate::state::service_usage::SumTimes;
use crate::state::{KeyedEntry, Pick, PlacementRequest, State};
use oatdale_policy::relay::{
    CachedPrefix, LoadAhead, PrefixShares, READ_TIME_PER_WEIGHT, ResponseTimes, TimeCurve,
    TimedCandidate, choose_cached, choose_of_two,
};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::Duration;

/// Half-life of observed times by the load of all nodes. They depend on the engines alone and
/// should outlast the time between two bursts; new responses replace them sooner.
const ALL_NODES_HALF_LIFE: Duration = Duration::from_secs(60);

/// Half-life of observed times by the node's own load. They also depend on the other nodes' loads,
/// which change within seconds.
const OWN_HALF_LIFE: Duration = Duration::from_secs(2);

/// Whose load at an endpoint is known.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum LoadScope {
    /// That of all nodes, from load sums.
    AllNodes,
    /// Only this node's own.
    Own,
}

/// What the expected time of a request at an endpoint was computed from.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) struct TimeBasis {
    pub(crate) scope: LoadScope,
    pub(crate) ahead: LoadAhead,
}

/// Observed times of all services.
#[derive(Debug, Default)]
pub(super) struct ExpectedTimes {
    services: HashMap<String, ServiceTimes>,
}

#[derive(Debug)]
struct ServiceTimes {
    all_nodes: ResponseTimes,
    own: ResponseTimes,
    prefixes: PrefixShares,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        ServiceTimes {
            all_nodes: ResponseTimes::new(ALL_NODES_HALF_LIFE),
            own: ResponseTimes::new(OWN_HALF_LIFE),
            prefixes: PrefixShares::default(),
        }
    }
}

impl ServiceTimes {
    fn curve(&self, now: Duration, scope: LoadScope) -> TimeCurve {
        match scope {
            LoadScope::AllNodes => self.all_nodes.curve(now),
            LoadScope::Own => self.own.curve(now),
        }
    }
}

impl ExpectedTimes {
    /// Returns the expected times of a service by the load of this scope.
    fn curve(&self, now: Duration, service: &str, scope: LoadScope) -> TimeCurve {
        match self.services.get(service) {
            Some(times) => times.curve(now, scope),
            None => ServiceTimes::default().curve(now, scope),
        }
    }

    /// Returns the expected time of a request.
    pub(super) fn time(&self, now: Duration, service: &str, basis: &TimeBasis) -> Duration {
        let curve = self.curve(now, service, basis.scope);
        curve.expected(basis.ahead)
    }

    /// Returns the expected time of the request without other load at the endpoint.
    fn idle_time(&self, now: Duration, service: &str, basis: &TimeBasis) -> Duration {
        let curve = self.curve(now, service, basis.scope);
        curve.idle(basis.ahead)
    }

    fn prefix_share(&self, now: Duration, request: &PlacementRequest<'_>, prefix: u64) -> f64 {
        let known = self.services.get(request.service);
        known.map_or(0.0, |t| t.prefixes.share(now, prefix, request.weight))
    }

    fn service_mut(&mut self, service: &str) -> &mut ServiceTimes {
        self.services.entry(service.to_owned()).or_default()
    }
}

/// Expected times until the response head of a request that is not placed yet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct RequestTime {
    pub(crate) expected: Duration,
    /// The time at the same endpoint without other load.
    pub(crate) idle: Duration,
}

impl State {
    /// Returns the expected times of a request at the endpoint picked for it.
    pub(crate) fn request_time(&self, now: Duration, service: &str, pick: &Pick) -> RequestTime {
        let idle = |basis| self.expected_times.idle_time(now, service, &basis);
        RequestTime {
            expected: pick.expected,
            idle: pick.basis.map_or(Duration::ZERO, idle),
        }
    }

    /// Counts the prefix of a request that is placed.
    pub(crate) fn record_prefix(&mut self, now: Duration, request: &PlacementRequest<'_>) {
        let prefix = request.prefix.filter(|_| self.load_control.expected_time);
        if let Some(prefix) = prefix {
            let service = self.expected_times.service_mut(request.service);
            service.prefixes.record(now, prefix, request.weight);
        }
    }

    /// Records when a response arrived, or for how long it had not if `is_missing`.
    pub(crate) fn record_response_time(
        &mut self,
        now: Duration,
        key: EndpointKey,
        basis: &TimeBasis,
        time: Duration,
        is_missing: bool,
    ) {
        let Some(entry) = self.directory.get(key) else {
            return;
        };
        let (scope, load) = self.load_of_all_nodes(now, entry);
        let later_load = match (basis.scope, scope) {
            (LoadScope::AllNodes, LoadScope::AllNodes) => load - basis.ahead.weight,
            _ => basis.ahead.load,
        };
        let service = &entry.endpoint.service;
        let service = self.expected_times.service_mut(service);
        let times = match basis.scope {
            LoadScope::AllNodes => &mut service.all_nodes,
            LoadScope::Own => &mut service.own,
        };
        match is_missing {
            true => times.record_missing(now, basis.ahead, later_load, time),
            false => times.record(now, basis.ahead, later_load, time),
        }
    }

    /// Returns what the expected time of a request at an endpoint depends on.
    pub(super) fn time_basis(
        &self,
        now: Duration,
        request: &PlacementRequest<'_>,
        entry: &Entry,
    ) -> TimeBasis {
        let (scope, load) = self.load(now, request, entry);
        let ahead = LoadAhead {
            load,
            weight: request.weight,
            speed_factor: self.speed_factor(now, entry),
        };
        TimeBasis { scope, ahead }
    }

    /// Selects an endpoint by expected time and returns its index.
    pub(super) fn choose_by_time(
        &self,
        now: Duration,
        request: &PlacementRequest<'_>,
        domain: &str,
        eligible: &[KeyedEntry<'_>],
    ) -> Option<usize> {
        let has_sums = |e: &Entry| self.load_sums.last_sum_at(now, e.number).is_some();
        if request.prefix.is_some() && !eligible.iter().any(|(_, e)| has_sums(e)) {
            // The node's own load is a small part of an engine's and says little about the time.
            return self.choose_by_load(now, request, domain, eligible);
        }
        let candidates: Vec<TimedCandidate> = eligible
            .iter()
            .map(|(_, e)| TimedCandidate {
                load: self.load(now, request, e).1,
                speed_factor: self.speed_factor(now, e),
                health_factor: e.health.load_factor(),
                same_domain: e.endpoint.domain == domain,
                affinity: request.affinity(e),
            })
            .collect();
        let Some(prefix) = request.prefix else {
            return choose_of_two(&candidates, &mut rand::rng());
        };
        let curve = self
            .expected_times
            .curve(now, request.service, LoadScope::AllNodes);
        let time_s = |c: &TimedCandidate| {
            curve.time_s(LoadAhead {
                load: c.health_load(),
                weight: request.weight,
                speed_factor: c.speed_factor,
            })
        };
        let cold = eligible.iter().enumerate();
        let cold = cold.filter(|(_, (_, e))| e.reports_cold(now));
        let cold: SmallVec<[usize; 8]> = cold.map(|(i, _)| i).collect();
        let prefix = CachedPrefix {
            read_s: READ_TIME_PER_WEIGHT.as_secs_f64() * request.prefix_weight,
            share: self.expected_times.prefix_share(now, request, prefix),
        };
        choose_cached(&candidates, &cold, time_s, prefix, &mut rand::rng())
    }

    /// Returns an endpoint's load, of all nodes if sums are recent.
    pub(super) fn load_of_all_nodes(&self, now: Duration, entry: &Entry) -> (LoadScope, f64) {
        match self.load_sums.last_sum_at(now, entry.number) {
            Some(last_sum) => {
                let summed_until = SumTimes::new(last_sum).summed_until;
                let load = entry.known_load(now, Some(summed_until))
                    + self.load_sums.other_nodes_load(now, entry.number);
                (LoadScope::AllNodes, load)
            }
            None => (LoadScope::Own, entry.known_load(now, None)),
        }
    }
}
