//! Application of a new configuration that keeps learned state and in-flight requests.

use super::Router;
use crate::choice::VersionCatalogue;
use crate::endpoints::Endpoints;
use crate::key_map::KeyMap;
use crate::limit::ConcurrencyLimit;
use crate::request::{Session, Ticket};
use crate::state::{CustomerState, PoolState, ServiceState, Stage};
use crate::trial::Trials;
use oatdale_config::{Config, Key, PoolKey, VersionKey};
use std::sync::Arc;
use std::time::Duration;

impl Router {
    /// Applies a new configuration; learned state and in-flight requests are carried over by name.
    ///
    /// Waiting requests whose customer, service or versions have been removed are refused by
    /// [`Router::poll_queue`].
    pub fn reconfigure(&mut self, now: Duration, cfg: Arc<Config>) {
        self.now = self.now.max(now);
        let old = std::mem::replace(&mut self.cfg, cfg);
        let key_map = KeyMap::new(&old, &self.cfg);
        let resumed = self.migrate_catalogue(&old, &key_map);
        self.migrate_endpoints(&old, &key_map);
        self.evidence
            .rekey(self.cfg.versions.keys(), |v| key_map.version(v));
        let trials = std::mem::replace(&mut self.trials, Trials::new(&self.cfg));
        self.trials
            .migrate(trials, &self.cfg, &old, &key_map, &self.evidence);
        for version in resumed {
            self.trials.restart(version, &self.cfg, &self.evidence);
        }
        self.migrate_services(&old, &key_map);
        self.migrate_customers(&old, &key_map);
        self.migrate_pools(&old, &key_map);
        self.migrate_requests(&key_map);
    }

    /// Keeps the learned limits, scaled to the pools' current endpoints.
    fn migrate_pools(&mut self, old: &Config, key_map: &KeyMap) {
        let initial_pools = self.new_pools();
        let old_pools = std::mem::replace(&mut self.pools, initial_pools);
        for (key, state) in old.pools.keys().zip(old_pools) {
            if let Some(new) = key_map.pool(key) {
                self.pools[new.index()].limit = state.limit;
            }
        }
        self.update_limit_ceilings();
    }

    /// Returns idle pools, each with the limit that its endpoints allow.
    pub(super) fn new_pools(&self) -> Vec<PoolState> {
        let keys: Vec<PoolKey> = self.cfg.pools.keys().collect();
        keys.into_iter()
            .map(|pool| PoolState {
                limit: ConcurrencyLimit::new(self.pool_ceiling(pool)),
                running: 0,
                virtual_time: 0.0,
            })
            .collect()
    }

    /// Scales the limits to the endpoints that accept new work.
    pub(super) fn update_limit_ceilings(&mut self) {
        for pool in self.cfg.pools.keys() {
            let ceiling = self.pool_ceiling(pool);
            self.pools[pool.index()].limit.set_ceiling(ceiling);
        }
    }

    /// Returns the total concurrency of the endpoints that accept new work, at least 1.
    fn pool_ceiling(&self, pool: PoolKey) -> f64 {
        let subset = self.endpoints.subset(pool, None);
        let available = subset
            .iter()
            .filter(|e| !self.endpoints.states[e.index()].leaving);
        available
            .map(|&e| f64::from(self.cfg.endpoints[e].concurrency))
            .sum::<f64>()
            .max(1.0)
    }

    /// Carries the stops of versions over and returns the versions whose stop the new configuration
    /// ends. Their trials must restart: earlier counts apply to the old configuration and would
    /// stop them again at once.
    fn migrate_catalogue(&mut self, old: &Config, key_map: &KeyMap) -> Vec<VersionKey> {
        let mut resumed = Vec::new();
        let mut catalogue = VersionCatalogue::new(&self.cfg);
        for (version, previous) in old.versions.iter() {
            let Some(new) = key_map.version(version) else {
                continue;
            };
            let current = &self.cfg.versions[new];
            let is_changed = (current.state, current.price) != (previous.state, previous.price);
            catalogue.migrate_stops(new, (&self.catalogue, version), is_changed);
            if self.catalogue.is_stopped(version) && !catalogue.is_stopped(new) {
                resumed.push(new);
            }
        }
        self.catalogue = catalogue;
        resumed
    }

    fn migrate_endpoints(&mut self, old: &Config, key_map: &KeyMap) {
        let domain = self.endpoints.domain.and_then(|d| key_map.domain(d));
        let mut endpoints = Endpoints::new(&self.cfg, domain, self.endpoints.seed);
        for key in old.endpoints.keys() {
            let Some(new) = key_map.endpoint(key) else {
                continue;
            };
            let mut state = std::mem::take(&mut self.endpoints.states[key.index()]);
            let loaded = state.loaded_versions.take();
            state.loaded_versions =
                loaded.map(|vs| vs.iter().filter_map(|&v| key_map.version(v)).collect());
            endpoints.states[new.index()] = state;
        }
        endpoints.rebuild(&self.cfg);
        self.endpoints = endpoints;
    }

    fn migrate_services(&mut self, old: &Config, key_map: &KeyMap) {
        let mut services: Vec<ServiceState> = self
            .cfg
            .services
            .keys()
            .map(|_| ServiceState::new())
            .collect();
        for (key, state) in old.services.keys().zip(&mut self.services) {
            if let Some(new) = key_map.service(key) {
                services[new.index()] = std::mem::replace(state, ServiceState::new());
            }
        }
        for service in &mut services {
            service.queue = crate::queue::FairQueue::default();
            service.running = 0;
            service.virtual_time = 0.0;
            service.learner.rekey(|v| key_map.version(v));
        }
        self.services = services;
    }

    fn migrate_customers(&mut self, old: &Config, key_map: &KeyMap) {
        let now = self.now;
        let mut customers: Vec<CustomerState> = self
            .cfg
            .customers
            .iter()
            .map(|(_, c)| CustomerState::new(now, c.limits.requests_per_second))
            .collect();
        for (key, state) in old.customers.keys().zip(self.customers.drain(..)) {
            if let Some(new) = key_map.customer(key) {
                customers[new.index()] = state;
                customers[new.index()].in_flight = 0;
            }
        }
        self.customers = customers;
    }

    /// Maps requests to the new keys and counts and queues them again.
    fn migrate_requests(&mut self, key_map: &KeyMap) {
        let mut waiting: Vec<(u64, Ticket)> = Vec::new();
        self.expirations.clear();
        let mut orphaned = Vec::new();
        for (ticket, request) in self.requests.iter_mut() {
            if let Stage::Running(attempt) = &mut request.stage {
                attempt.endpoint = attempt.endpoint.and_then(|e| key_map.endpoint(e));
                attempt.version = attempt.version.and_then(|v| key_map.version(v));
            }
            let customer = key_map.customer(request.info.customer);
            let service = key_map.service(request.info.service);
            let (Some(customer), Some(service), false) = (customer, service, request.is_orphaned)
            else {
                request.is_orphaned = true;
                orphaned.push(ticket);
                continue;
            };
            request.info.customer = customer;
            request.info.service = service;
            if let Session::Pinned { version, .. } = &mut request.info.session {
                match key_map.version(*version) {
                    Some(new) => *version = new,
                    None => {
                        request.is_orphaned = true;
                        orphaned.push(ticket);
                        continue;
                    }
                }
            }
            request.plan.steps.retain(|v| match key_map.version(*v) {
                Some(new) => {
                    *v = new;
                    true
                }
                None => false,
            });
            request.failed_endpoints = request
                .failed_endpoints
                .iter()
                .filter_map(|&e| key_map.endpoint(e))
                .collect();
            self.customers[customer.index()].in_flight += 1;
            match request.stage {
                Stage::Waiting { .. } => waiting.push((request.arrival_number, ticket)),
                Stage::Running(_) => {
                    let pool = self.cfg.services[service].pool;
                    self.pools[pool.index()].running += 1;
                    self.services[service.index()].running += 1;
                }
            }
        }
        for ticket in orphaned {
            if let Some(Stage::Waiting { .. }) = self.requests.get(ticket).map(|r| r.stage) {
                self.expire_immediately(ticket);
            }
        }
        waiting.sort_unstable();
        for (_, ticket) in waiting {
            self.enqueue(ticket);
        }
    }

    /// Makes the next call of [`Router::poll_queue`] refuse a waiting request.
    fn expire_immediately(&mut self, ticket: Ticket) {
        let expires_at = Duration::ZERO;
        if let Some(request) = self.requests.get_mut(ticket) {
            request.stage = Stage::Waiting { expires_at };
        }
        self.expirations.insert((expires_at, ticket));
    }
}
