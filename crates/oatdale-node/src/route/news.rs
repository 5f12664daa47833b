//! What the router is told of endpoints, ratings, other nodes and stops.

use super::state::State;
use crate::rate::Rated;
use log::info;
use oatdale_config::EndpointKey;
use oatdale_policy::{LoadReport, VersionCounters};

impl State {
    pub(super) fn holds(&mut self, endpoint: &str, versions: Option<Vec<String>>) {
        let Some(endpoint) = self.live.endpoint(endpoint) else {
            return;
        };
        let versions = versions.map(|names| {
            names
                .iter()
                .filter_map(|name| self.live.version(name))
                .collect()
        });
        self.router.set_loaded_versions(endpoint, versions);
    }

    pub(super) fn load(&mut self, endpoint: EndpointKey, report: LoadReport, leaving: bool) {
        let now = self.now();
        self.router.observe_load(now, endpoint, report);
        let name = &self.live.cfg.endpoints[endpoint].name;
        let changed = match leaving {
            true => self.said_leaving.insert(name.clone()),
            false => self.said_leaving.remove(name),
        };
        if changed {
            info!(target: "route", "event=endpoint_leaving endpoint={name:?} leaving={leaving}");
            self.apply_leaving();
        }
    }

    /// An endpoint leaves if the platform's list or the endpoint itself says so.
    pub(super) fn apply_leaving(&mut self) {
        let now = self.now();
        for (key, endpoint) in self.live.cfg.endpoints.iter() {
            let name = &endpoint.name;
            let leaving = self.listed_leaving.contains(name) || self.said_leaving.contains(name);
            self.router.set_endpoint_leaving(now, key, leaving);
        }
    }

    pub(super) fn rating(&mut self, rated: &Rated, score: f64) {
        let now = self.now();
        let (Some(service), Some(version)) = (
            self.live.service(&rated.service),
            self.live.version(&rated.version),
        ) else {
            return;
        };
        match rated.escalated {
            true => self
                .router
                .observe_escalated_rating(now, service, rated.class, version, score),
            false => self
                .router
                .observe_rating(now, service, rated.class, version, score),
        }
    }

    pub(super) fn shares(&mut self, shares: &[(String, f64)]) {
        for (name, share) in shares {
            if let Some(customer) = self.live.cfg.customers.find(|c| c.name == *name) {
                self.router.set_customer_share(customer, *share);
            }
        }
    }

    pub(super) fn evidence(&mut self, node: u64, counters: Vec<(String, VersionCounters)>) {
        let counters: Vec<VersionCounters> = counters
            .into_iter()
            .filter_map(|(name, counters)| {
                let version = self.live.version(&name)?;
                Some(VersionCounters {
                    version,
                    ..counters
                })
            })
            .collect();
        self.router.merge_evidence(node, &counters);
    }
}
