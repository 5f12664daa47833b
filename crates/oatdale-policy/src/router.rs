//! The router: one node's decisions, which depend only on the calls made to it and their times.

mod finish;
mod offer;
mod poll;
mod reconfigure;
mod start;

use self::finish::RatingTime;
use crate::choice::{Plan, VersionCatalogue};
use crate::endpoints::Endpoints;
use crate::evidence::{Evidence, VersionCounters};
use crate::request::{
    LoadReport, NodeIdentity, PoolGauges, Refusal, RefusalReason, RequestInfo, ServiceGauges,
    Session, Snapshot, Ticket, VersionReason,
};
use crate::request_slab::RequestSlab;
use crate::state::{CustomerState, PoolState, Request, ServiceState};
use crate::trial::{StopDecision, Trials};
use crate::tuning::Tuning;
use oatdale_config::{Config, CustomerKey, DomainKey, EndpointKey, Key, ServiceKey, VersionKey};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a request waits before the queues are checked again without another event.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Routing decisions of one node.
///
/// All times are since the node's start and must not decrease from call to call. Keys in arguments
/// and return values are those of the configuration in force at the call.
///
/// After every [`Router::finish`], [`Router::cancel`], [`Router::observe_load`] and
/// [`Router::reconfigure`], and at [`Router::next_wake`], the node calls [`Router::poll_queue`]
/// until it returns `None`.
pub struct Router {
    cfg: Arc<Config>,
    now: Duration,
    rng: Pcg64Mcg,
    requests: RequestSlab<Request>,
    arrival_count: u64,
    /// Waiting requests, ordered by the time at which they are refused.
    expirations: BTreeSet<(Duration, Ticket)>,
    services: Vec<ServiceState>,
    pools: Vec<PoolState>,
    customers: Vec<CustomerState>,
    endpoints: Endpoints,
    catalogue: VersionCatalogue,
    evidence: Evidence,
    trials: Trials,
    tuning: Tuning,
}

impl Router {
    /// Creates a router without any recorded requests or learned state.
    pub fn new(cfg: Arc<Config>, identity: NodeIdentity) -> Self {
        Router::with_tuning(cfg, identity, Tuning::default())
    }

    /// Creates a router that decides by other rules than the default, for measurements.
    pub fn with_tuning(cfg: Arc<Config>, identity: NodeIdentity, tuning: Tuning) -> Self {
        let now = Duration::ZERO;
        let mut router = Router {
            now,
            rng: Pcg64Mcg::seed_from_u64(identity.seed),
            requests: RequestSlab::new(),
            arrival_count: 0,
            expirations: BTreeSet::new(),
            services: cfg.services.keys().map(|_| ServiceState::new()).collect(),
            pools: Vec::new(),
            customers: cfg
                .customers
                .iter()
                .map(|(_, c)| CustomerState::new(now, c.limits.requests_per_second))
                .collect(),
            endpoints: Endpoints::new(&cfg, identity.domain, identity.seed),
            catalogue: VersionCatalogue::new(&cfg),
            evidence: Evidence::new(cfg.versions.keys()),
            trials: Trials::new(&cfg),
            tuning,
            cfg,
        };
        router.pools = router.new_pools();
        router
    }

    /// Chooses the version for a session that is opened now, before its first prompt.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the customer may not call the service, if no version accepts new work,
    /// or if the service is plain and so has no versions.
    pub fn open_session(
        &mut self,
        now: Duration,
        customer: CustomerKey,
        service: ServiceKey,
        rollout_hash: u64,
    ) -> Result<(VersionKey, VersionReason), Refusal> {
        self.now = self.now.max(now);
        let info = RequestInfo {
            customer,
            service,
            idempotent: true,
            session: Session::Open,
            deadline: Duration::MAX,
            input_tokens: 0,
            output_tokens: 0,
            prefix: 0,
            rollout_hash,
            stream: false,
            class: 0,
        };
        let refusal = |reason| Refusal {
            reason,
            retry_after: None,
        };
        self.check_access(&info).map_err(refusal)?;
        let (plans, _) = self.plans(&info).map_err(refusal)?;
        let pool = self.cfg.services[service].pool;
        let first_choice = |plan: &Plan| Some((*plan.steps.first()?, plan.reason));
        let mut choices = plans.iter().filter_map(first_choice);
        let available_choice = choices
            .clone()
            .find(|(version, _)| self.endpoints.any_available(now, pool, Some(*version)));
        let chosen = available_choice.or_else(|| choices.next());
        chosen.ok_or(refusal(RefusalReason::NoVersion))
    }

    /// Records an engine's load report.
    pub fn observe_load(&mut self, now: Duration, endpoint: EndpointKey, report: LoadReport) {
        self.now = self.now.max(now);
        if let Some(state) = self.endpoints.states.get_mut(endpoint.index()) {
            let dither = (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
            state.record_report(now, report, dither);
        }
    }

    /// Records a rating, from 0 to 1, of an answer that was delivered before the rating came.
    pub fn observe_rating(
        &mut self,
        now: Duration,
        service: ServiceKey,
        class: u8,
        version: VersionKey,
        rating: f64,
    ) {
        self.now = self.now.max(now);
        self.record_rating(service, class, version, false, rating, RatingTime::Late);
    }

    /// Records a rating, from 0 to 1, that came after the delivery of an answer whose attempt was
    /// an escalation ([`VersionReason::Escalated`]).
    ///
    /// Escalated requests are harder, so their ratings are counted separately.
    pub fn observe_escalated_rating(
        &mut self,
        now: Duration,
        service: ServiceKey,
        class: u8,
        version: VersionKey,
        rating: f64,
    ) {
        self.now = self.now.max(now);
        self.record_rating(service, class, version, true, rating, RatingTime::Late);
    }

    /// Marks an endpoint as leaving, so that it gets no new requests, or as available again.
    pub fn set_endpoint_leaving(&mut self, now: Duration, endpoint: EndpointKey, leaving: bool) {
        self.now = self.now.max(now);
        if let Some(state) = self.endpoints.states.get_mut(endpoint.index()) {
            state.leaving = leaving;
        }
        self.update_limit_ceilings();
    }

    /// Records the versions that an engine reports as loaded; `None` assumes those of the
    /// configuration.
    pub fn set_loaded_versions(
        &mut self,
        endpoint: EndpointKey,
        versions: Option<Vec<VersionKey>>,
    ) {
        let endpoint_state = self.endpoints.states.get(endpoint.index());
        if endpoint_state.is_some_and(|state| state.loaded_versions != versions) {
            self.endpoints
                .set_loaded_versions(&self.cfg, endpoint, versions);
        }
    }

    /// Sets this node's share, from 0 to 1, of a customer's limits.
    pub fn set_customer_share(&mut self, customer: CustomerKey, share: f64) {
        if let Some(state) = self.customers.get_mut(customer.index()) {
            state.share = share.clamp(0.0, 1.0);
        }
    }

    /// Sets the node's own failure domain; `None` if the configuration does not name it.
    pub fn set_domain(&mut self, domain: Option<DomainKey>) {
        self.endpoints.domain = domain;
    }

    /// Returns each customer's demand at this node in requests per second, including refused ones.
    pub fn demand(&self, now: Duration) -> impl Iterator<Item = (CustomerKey, f64)> {
        self.cfg
            .customers
            .keys()
            .zip(&self.customers)
            .map(move |(key, state)| (key, state.demand.get(now)))
    }

    /// Returns this node's own counts of each version's results; no count ever decreases.
    pub fn evidence(&self) -> Vec<VersionCounters> {
        self.evidence.own().to_vec()
    }

    /// Merges another node's counts; an older or repeated report has no effect.
    ///
    /// `incarnation` identifies one run of a node, since the counts start at 0 after a restart.
    pub fn merge_evidence(&mut self, incarnation: u64, counters: &[VersionCounters]) {
        self.evidence.merge(incarnation, counters);
    }

    /// Sets whether a stop that is recorded outside the configuration keeps new work off a version.
    ///
    /// A stop that [`Router::take_stops`] returned is in force here without a record, until this
    /// call has set and then cleared it, or until a configuration changes the version's state or
    /// price.
    pub fn set_stopped(&mut self, version: VersionKey, stopped: bool) {
        if version.index() >= self.cfg.versions.len() {
            return;
        }
        let was_stopped = self.catalogue.is_stopped(version);
        self.catalogue.set_recorded_stop(version, stopped);
        if was_stopped && !self.catalogue.is_stopped(version) {
            self.trials.restart(version, &self.cfg, &self.evidence);
        }
    }

    /// Returns the versions found to be bad since the last call. They are already stopped here; the
    /// node records the stops.
    pub fn take_stops(&mut self, now: Duration) -> Vec<StopDecision> {
        self.now = self.now.max(now);
        let (trials, catalogue) = (&mut self.trials, &self.catalogue);
        let stops = trials.test_versions(&self.cfg, catalogue, &self.evidence);
        for stop in &stops {
            self.catalogue.stop_locally(stop.version);
        }
        stops
    }

    /// Returns the gauges for the metrics.
    pub fn snapshot(&self) -> Snapshot {
        let services = self.cfg.services.keys().zip(&self.services);
        let pools = self.cfg.pools.keys().zip(&self.pools);
        Snapshot {
            services: services
                .map(|(service, state)| ServiceGauges {
                    service,
                    waiting: state.queue.len(),
                    running: state.running,
                })
                .collect(),
            pools: pools
                .map(|(pool, state)| PoolGauges {
                    pool,
                    running: state.running,
                    limit: state.limit.get(),
                })
                .collect(),
        }
    }
}
