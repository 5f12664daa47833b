//! State learned from the platform and from responses, and the endpoint selection based on it.

mod expected_time;
mod listing;
mod service_usage;
#[cfg(test)]
mod tests;
mod warm_up;

use crate::crashes::{CrashChecks, Parts, PendingRecords};
use crate::directory::{Directory, EndpointKey, Entry};
use crate::line_limit::LineLimit;
use crate::loads::{LoadAggregator, LoadSums};
use crate::nodes::Nodes;
use crate::permits::{BrittleServices, HeldChanges, PendingAsks};
use crate::reachability::ServiceReach;
use crate::roll_outs::{AllowedVersions, RollOuts};
use crate::settings::{Bounds, LoadControl};
use crate::site::SiteConfig;
use crate::speeds::Speeds;
use crate::state::expected_time::ExpectedTimes;
use crate::state::service_usage::ServiceUsages;
use oatdale_policy::relay::{
    Candidate, Mean, Placement, Quarantine, RetryLimit, RetryLimiter, UnconfirmedCrashes, choose,
};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use warm_up::has_capacity;

use crate::state::expected_time::LoadScope;
pub(crate) use crate::state::expected_time::{RequestTime, TimeBasis};
pub(crate) use crate::state::service_usage::ServiceUsage;

/// Part of the site's retry budget that nodes plan to use. The rest is a margin, since nodes
/// count independently and restarted nodes do not know of their earlier retries.
const PLANNED_RETRY_SHARE: f64 = 0.92;

/// Minimum number of nodes over which the fixed part of the retry budget (`repeat_slack`) is
/// divided: a starting node does not know the others yet.
const MIN_BUDGET_NODES: usize = 4;

/// Minimum number of endpoints of a new version that a trial uses: with fewer, one slow
/// or failing endpoint cannot be distinguished from a faulty version.
const MIN_TRIAL_ENDPOINTS: usize = 3;

/// Number of responses over which the wait at the largest models is averaged: a few seconds of one
/// node's traffic.
const WAIT_MEAN_RESPONSES: f64 = 12.0;

/// State of the relay, as learned from the platform and from responses.
pub(crate) struct State {
    pub(crate) bounds: Bounds,
    load_control: LoadControl,
    pub(crate) site: Option<Arc<SiteConfig>>,
    pub(crate) directory: Directory,
    /// Limit on the log lines about single endpoints.
    pub(crate) endpoint_lines: LineLimit,
    /// Names of endpoints' announcements that this version does not know, as logged.
    pub(crate) unknown_announcements: BTreeSet<String>,
    /// Pending checks whether endpoints crashed.
    pub(crate) checks: CrashChecks,
    /// Requests at endpoints of which it is not known yet whether they have crashed.
    pub(crate) unconfirmed_crashes: UnconfirmedCrashes<EndpointKey>,
    /// Requests quarantined because they crash endpoints.
    pub(crate) quarantine: Quarantine,
    /// Parts of prompts that may crash endpoints.
    pub(crate) parts: Parts,
    /// This node's quarantine decisions that the platform's records do not contain yet.
    pub(crate) pending_records: PendingRecords,
    pub(crate) roll_outs: RollOuts,
    pub(crate) nodes: Nodes,
    /// This node's requests for permits that wait for a reply.
    pub(crate) pending_asks: PendingAsks,
    /// Endpoints at which this node's requests are to be reported to the issuers of permits.
    pub(crate) held_changes: HeldChanges,
    /// Services whose endpoints must not reject many requests.
    pub(crate) brittle_services: BrittleServices,
    /// Whether this node reaches the endpoints of a service, for services where it had failures.
    pub(crate) reach: HashMap<String, ServiceReach>,
    /// Sums up the loads reported by other nodes.
    pub(crate) load_aggregator: LoadAggregator,
    /// Load of all nodes together at each endpoint.
    pub(crate) load_sums: LoadSums,
    /// Speeds of endpoints; empty unless the settings enable them.
    pub(crate) speeds: Speeds,
    retry_limiters: HashMap<String, RetryLimiter>,
    /// Mean wait at the largest models, as a fraction of their target latency, by service.
    largest_model_waits: HashMap<String, Mean>,
    /// Usage of each service, as last computed.
    service_usages: ServiceUsages,
    /// Limit on the log lines about escalations.
    pub(crate) escalation_lines: LineLimit,
    /// Mean generation size by route.
    generation_sizes: HashMap<String, Mean>,
    expected_times: ExpectedTimes,
    /// When this node began to shut down, if it has.
    pub(crate) stopping: Option<Instant>,
    /// Whether this node reads the platform's records only for itself.
    pub(crate) reads_only_for_itself: bool,
    /// Since when the key-value service has not answered this node, if it does not.
    pub(crate) store_unavailable_since: Option<Duration>,
    /// Since when this node has been in the other nodes' node lists.
    listed_since: Duration,
    /// When the key-value service first answered this node.
    first_answer_at: Option<Duration>,
}

/// Number of requests over which a route's mean generation size is averaged.
const SIZE_MEAN_REQUESTS: f64 = 200.0;

/// Which endpoints a request may be placed at, by whether they limit their requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum LimitedEndpoints {
    /// Limited ones too: a permit is asked for afterwards.
    Allowed,
    /// Only those without a limit.
    Excluded,
}

/// Inputs for placing a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementRequest<'a> {
    pub(crate) service: &'a str,
    pub(crate) allowed: &'a AllowedVersions,
    /// Endpoints that the request was already sent to.
    pub(crate) excluded: &'a [EndpointKey],
    /// Hash of the prompt's shared prefix, if an engine may have it cached.
    pub(crate) prefix: Option<u64>,
    /// Load that reading that prefix adds to an endpoint that does not have it cached.
    pub(crate) prefix_weight: f64,
    /// Load that the request adds to an endpoint.
    pub(crate) weight: f64,
    pub(crate) limited: LimitedEndpoints,
}

/// The endpoint picked for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pick {
    pub(crate) key: EndpointKey,
    /// Number of endpoints it was picked from.
    pub(crate) candidate_count: usize,
    /// Expected time until the response head, or the first event of a stream; zero where load
    /// control is off.
    pub(crate) expected: Duration,
    /// What that time was computed from; `None` where load control is off.
    pub(crate) basis: Option<TimeBasis>,
}

impl PlacementRequest<'_> {
    /// Rendezvous hash of the request's prefix and an endpoint; 0 without a prefix.
    fn affinity(&self, entry: &Entry) -> u64 {
        self.prefix.map_or(0, |p| hash(&(p, &entry.endpoint.id)))
    }
}

impl LimitedEndpoints {
    pub(crate) fn includes(self, entry: &Entry) -> bool {
        self == LimitedEndpoints::Allowed || entry.limit.per_second().is_none()
    }
}

impl State {
    /// Creates the empty state of a node that starts now.
    pub(crate) fn new(now: Duration, bounds: Bounds, load_control: LoadControl) -> Self {
        State {
            bounds,
            load_control,
            site: None,
            directory: Directory::default(),
            endpoint_lines: LineLimit::default(),
            unknown_announcements: BTreeSet::new(),
            checks: CrashChecks::default(),
            unconfirmed_crashes: UnconfirmedCrashes::default(),
            quarantine: Quarantine::default(),
            parts: Parts::default(),
            pending_records: PendingRecords::default(),
            roll_outs: RollOuts::default(),
            nodes: Nodes::default(),
            pending_asks: PendingAsks::default(),
            held_changes: HeldChanges::default(),
            brittle_services: BrittleServices::default(),
            reach: HashMap::new(),
            load_aggregator: LoadAggregator::default(),
            load_sums: LoadSums::default(),
            speeds: Speeds::default(),
            retry_limiters: HashMap::new(),
            largest_model_waits: HashMap::new(),
            service_usages: ServiceUsages::default(),
            escalation_lines: LineLimit::default(),
            generation_sizes: HashMap::new(),
            expected_times: ExpectedTimes::default(),
            stopping: None,
            reads_only_for_itself: true,
            // The service counts as unavailable until it has answered once.
            store_unavailable_since: Some(now),
            listed_since: now,
            first_answer_at: None,
        }
    }

    /// Returns the time until an endpoint accepts a request, and counts the caller that is told it.
    /// `None` if one accepts it now, or if that is not known.
    pub(crate) fn time_to_capacity(
        &mut self,
        now: Duration,
        request: &PlacementRequest<'_>,
    ) -> Option<Duration> {
        let all: Vec<_> = self.directory.eligible(now, request.service).collect();
        let mut eligible = filter_by_version(now, request.allowed, &all);
        eligible.retain(|(key, _)| !request.excluded.contains(key));
        let Some((key, remaining)) = Directory::next_to_accept(now, eligible.into_iter()) else {
            return self.time_to_warm_up_slot(now, request.service);
        };
        let entry = self.directory.get_mut(key)?;
        if let Some(per_second) = entry.limit.per_second() {
            entry.permits().seeker.record_refused(now, per_second);
        }
        Some(remaining)
    }

    /// Returns this node's part of the limit on the site's retries.
    pub(crate) fn retry_limit(&self, now: Duration) -> RetryLimit {
        let nodes = self.nodes.iter(now).count().max(MIN_BUDGET_NODES);
        RetryLimit {
            window: self.bounds.repeat_window(),
            ratio: self.bounds.repeat_ratio * PLANNED_RETRY_SHARE,
            slack: (self.bounds.repeat_slack * PLANNED_RETRY_SHARE / nodes as f64).max(1.0),
        }
    }

    /// Returns the counts of requests and retries of a service at this node.
    pub(crate) fn retry_limiter(&mut self, service: &str) -> &mut RetryLimiter {
        self.retry_limiters.entry(service.to_owned()).or_default()
    }

    /// Records how long a request waited at a largest model, as a fraction of its target latency.
    pub(crate) fn record_wait(&mut self, service: &str, fraction: f64) {
        let mean = self.largest_model_waits.entry(service.to_owned());
        mean.or_insert_with(|| Mean::new(WAIT_MEAN_RESPONSES))
            .add(fraction);
    }

    /// Drops statistics of routes that the configuration no longer has.
    pub(crate) fn retain_routes(&mut self, site: &SiteConfig) {
        let names: HashSet<_> = site.routes.iter().map(|r| r.name.as_str()).collect();
        self.generation_sizes
            .retain(|name, _| names.contains(name.as_str()));
    }

    /// Records the size of a generation and returns it as a multiple of its route's mean.
    pub(crate) fn relative_size(&mut self, route: &str, size: f64) -> f64 {
        let mean = self.generation_sizes.entry(route.to_owned());
        let mean = mean.or_insert_with(|| Mean::new(SIZE_MEAN_REQUESTS));
        mean.add(size);
        size / mean.get_or(size).max(1.0)
    }

    /// Returns the recent mean wait at the largest models, as a fraction of their target latency.
    pub(crate) fn mean_wait(&self, service: &str) -> f64 {
        self.largest_model_waits
            .get(service)
            .map_or(0.0, |mean| mean.get_or(0.0))
    }

    /// Returns the time that a unit of work takes at an endpoint relative to the usual one of its
    /// service; 1 if unknown.
    pub(crate) fn speed_factor(&self, now: Duration, entry: &Entry) -> f64 {
        self.speeds.factor(now, entry.number)
    }

    /// Picks the endpoint for a request.
    pub(crate) fn pick_endpoint(
        &self,
        now: Duration,
        request: &PlacementRequest<'_>,
        domain: &str,
    ) -> Option<Pick> {
        let all: Vec<_> = self.directory.eligible(now, request.service).collect();
        let eligible = self.filter_by_capacity(now, request, &all);
        // Ejected endpoints are used only when there is no other.
        let healthy = filter_entries(&eligible, |e| !e.health.is_ejected(now));
        let eligible = if healthy.is_empty() {
            eligible
        } else {
            healthy
        };
        let index = match self.load_control.expected_time {
            true => self.choose_by_time(now, request, domain, &eligible)?,
            false => self.choose_by_load(now, request, domain, &eligible)?,
        };
        let (key, entry) = eligible[index];
        let basis = self.load_control.uses_expected_time();
        let basis = basis.then(|| self.time_basis(now, request, entry));
        let expected = basis.map(|basis| self.expected_times.time(now, request.service, &basis));
        Some(Pick {
            key,
            candidate_count: eligible.len(),
            expected: expected.unwrap_or_default(),
            basis,
        })
    }

    /// Selects an endpoint by load and returns its index.
    fn choose_by_load(
        &self,
        now: Duration,
        request: &PlacementRequest<'_>,
        domain: &str,
        eligible: &[KeyedEntry<'_>],
    ) -> Option<usize> {
        // 0.1 is added to the load so that the health of idle endpoints counts too.
        let candidates: Vec<Candidate> = eligible
            .iter()
            .map(|(_, e)| Candidate {
                in_flight: (self.load(now, request, e).1 + 0.1)
                    * e.health.load_factor()
                    * self.speed_factor(now, e),
                same_domain: e.endpoint.domain == domain,
                may_warm_up: e.reports_cold(now),
                affinity: request.affinity(e),
            })
            .collect();
        let placement = match request.prefix {
            Some(_) => Placement::Affinity,
            None => Placement::Load,
        };
        choose(&candidates, placement, rand::random())
    }
}

impl State {
    /// Returns the endpoints whose version the request may use, that accept it now and have not
    /// received it.
    ///
    /// The version is decided first. One whose endpoints accept nothing for a moment is still the
    /// one to use, unless other versions may serve as substitutes: then a request is not refused
    /// while their endpoints are idle.
    fn filter_by_capacity<'a>(
        &self,
        now: Duration,
        request: &PlacementRequest<'_>,
        all: &[KeyedEntry<'a>],
    ) -> Vec<KeyedEntry<'a>> {
        let cold_time = self.cold_time(request.service);
        let is_available = |(key, e): &KeyedEntry<'_>| {
            e.accepts_request(now)
                && !request.excluded.contains(key)
                && request.limited.includes(e)
                && cold_time.is_none_or(|cold_time| has_capacity(now, e, cold_time))
        };
        let mut available = filter_by_version(now, request.allowed, all);
        available.retain(is_available);
        if request.allowed.trial.is_some() && available.is_empty() {
            available = filter_by_rank(request.allowed, all);
            available.retain(is_available);
        }
        if available.is_empty() {
            available = filter_entries(all, |e| {
                request.allowed.includes_as_substitute(&e.endpoint.version)
            });
            available.retain(is_available);
        }
        available
    }

    /// Returns an endpoint's load as used for placement.
    ///
    /// Load sums are a quarter of a second old. Requests without a prompt prefix do not use them:
    /// they go to the endpoint with the least load, and if all nodes used the same sums, they would
    /// all pick the same endpoint until the next sums arrive. Requests with a prefix stay with the
    /// engine that has it cached, and use the sums to move to another one when it is overloaded.
    fn load(
        &self,
        now: Duration,
        request: &PlacementRequest<'_>,
        entry: &Entry,
    ) -> (LoadScope, f64) {
        match request.prefix {
            Some(_) => self.load_of_all_nodes(now, entry),
            None => (LoadScope::Own, entry.known_load(now, None)),
        }
    }

    /// Returns an endpoint's load from all nodes, or `None` if there are no recent sums with it.
    pub(crate) fn total_load(&self, now: Duration, entry: &Entry) -> Option<f64> {
        match self.load_of_all_nodes(now, entry) {
            (LoadScope::AllNodes, load) => Some(load),
            (LoadScope::Own, _) => None,
        }
    }
}

/// Endpoint considered for a request.
type KeyedEntry<'a> = (EndpointKey, &'a Entry);

/// Returns the endpoints of the versions that the request may use.
fn filter_by_version<'a>(
    now: Duration,
    allowed: &AllowedVersions,
    all: &[KeyedEntry<'a>],
) -> Vec<KeyedEntry<'a>> {
    let Some(trial) = &allowed.trial else {
        return filter_by_rank(allowed, all);
    };
    let mut endpoints = filter_entries(all, |e| {
        e.endpoint.version == trial.version && !e.health.is_ejected(now)
    });
    endpoints.sort_by_key(|(_, e)| hash(&(trial.seed, &e.endpoint.id)));
    let sample_size = (trial.share * endpoints.len() as f64).ceil() as usize;
    endpoints.truncate(sample_size.max(MIN_TRIAL_ENDPOINTS));
    match endpoints.is_empty() {
        true => filter_by_rank(allowed, all),
        false => endpoints,
    }
}

/// Returns the endpoints of the best version that has any, without regard to the trial.
fn filter_by_rank<'a>(allowed: &AllowedVersions, all: &[KeyedEntry<'a>]) -> Vec<KeyedEntry<'a>> {
    if allowed.preferred.is_empty() && allowed.excluded.is_empty() {
        return all.to_vec();
    }
    let ranks: Vec<_> = all
        .iter()
        .map(|(_, e)| allowed.rank(&e.endpoint.version))
        .collect();
    let best = ranks.iter().min();
    let with_rank = all.iter().zip(&ranks);
    with_rank
        .filter(|(_, rank)| Some(*rank) == best)
        .map(|(keyed, _)| *keyed)
        .collect()
}

fn filter_entries<'a>(
    all: &[KeyedEntry<'a>],
    predicate: impl Fn(&Entry) -> bool,
) -> Vec<KeyedEntry<'a>> {
    all.iter().filter(|(_, e)| predicate(e)).copied().collect()
}

/// Returns a hash that is the same on every node.
pub(crate) fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
