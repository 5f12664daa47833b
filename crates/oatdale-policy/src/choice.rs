//! Selection of the versions that may serve a request, and the order in which they are tried.

use crate::endpoints::mix;
use crate::request::{RefusalReason, RequestInfo, Session, VersionReason};
use crate::version_rule::{Work, admits};
use oatdale_config::{Config, CustomerKey, Key, ServiceKey, ServiceKind, VersionKey, VersionState};
use smallvec::SmallVec;

/// Versions in some order.
pub(crate) type Versions = SmallVec<[VersionKey; 8]>;

/// Plans in order of preference.
pub(crate) type Plans = SmallVec<[Plan; 4]>;

/// Versions to try one after the other until an answer is accepted.
#[derive(Clone, PartialEq, Debug)]
pub(crate) struct Plan {
    /// The steps; empty for plain services.
    pub(crate) steps: Versions,
    /// Reason for the version of the first step.
    pub(crate) reason: VersionReason,
}

impl Plan {
    /// Creates the plan of a request to a plain service.
    pub(crate) fn plain() -> Self {
        Plan {
            steps: Versions::new(),
            reason: VersionReason::Plain,
        }
    }

    /// Creates a plan of one version.
    pub(crate) fn single(version: VersionKey, reason: VersionReason) -> Self {
        Plan {
            steps: SmallVec::from_slice(&[version]),
            reason,
        }
    }
}

/// Versions that may serve a request.
#[derive(Clone, PartialEq, Debug)]
pub(crate) enum Candidates {
    /// Any endpoint of a plain service.
    Plain,
    /// The session's version.
    Pinned(VersionKey),
    /// A canary whose share includes the request, if no serving version admits new work.
    Canary(VersionKey),
    /// The versions that [`VersionCatalogue::serving`] returns; at least one.
    Serving,
}

/// Versions of each service, cheapest first, and which of them are stopped.
pub(crate) struct VersionCatalogue {
    by_price: Vec<Versions>,
    /// Whether a stop is recorded beside the configuration, by version.
    recorded_stops: Vec<bool>,
    /// Whether this router decided a stop that no record covers yet, by version.
    local_stops: Vec<bool>,
}

impl VersionCatalogue {
    pub(crate) fn new(cfg: &Config) -> Self {
        VersionCatalogue {
            by_price: cfg.services.keys().map(|s| by_price(cfg, s)).collect(),
            recorded_stops: vec![false; cfg.versions.len()],
            local_stops: vec![false; cfg.versions.len()],
        }
    }

    /// Returns the versions of all models of a service, cheapest first.
    pub(crate) fn versions_of(&self, service: ServiceKey) -> &[VersionKey] {
        &self.by_price[service.index()]
    }

    pub(crate) fn is_stopped(&self, version: VersionKey) -> bool {
        self.recorded_stops[version.index()] || self.local_stops[version.index()]
    }

    /// Sets whether a stop is recorded.
    ///
    /// A record replaces this router's own decision, so that the stop ends when the record is
    /// removed. A missing record does not revoke the decision: the record may still be in flight,
    /// and a node that took its absence for the end of the stop would serve the bad version again.
    pub(crate) fn set_recorded_stop(&mut self, version: VersionKey, recorded: bool) {
        self.recorded_stops[version.index()] = recorded;
        if recorded {
            self.local_stops[version.index()] = false;
        }
    }

    /// Stops a version by this router's own decision.
    pub(crate) fn stop_locally(&mut self, version: VersionKey) {
        self.local_stops[version.index()] = true;
    }

    /// Migrates a version's stops from an earlier configuration; the router's own decision ends
    /// if the version's configuration has changed.
    pub(crate) fn migrate_stops(
        &mut self,
        version: VersionKey,
        old: (&VersionCatalogue, VersionKey),
        is_changed: bool,
    ) {
        let (catalogue, key) = old;
        self.recorded_stops[version.index()] = catalogue.recorded_stops[key.index()];
        self.local_stops[version.index()] = catalogue.local_stops[key.index()] && !is_changed;
    }

    /// Whether a version may serve this request now, by its state, its stop and the customer's
    /// permissions.
    ///
    /// Every path that sends a request checks this or [`VersionCatalogue::serving`]: first choice,
    /// cascade, retry, dequeueing and session.
    pub(crate) fn permits(&self, cfg: &Config, info: &RequestInfo, version: VersionKey) -> bool {
        let Some(item) = cfg.versions.get(version) else {
            return false;
        };
        let work = match info.session {
            Session::Pinned { .. } => Work::Pinned,
            Session::None | Session::Open => Work::New,
        };
        admits(item.state, self.is_stopped(version), work)
            && cfg.allows(info.customer, version)
            && self.versions_of(info.service).contains(&version)
    }

    /// Returns the versions in state `serving` that may serve this new request, cheapest first.
    pub(crate) fn serving(
        &self,
        cfg: &Config,
        info: &RequestInfo,
    ) -> impl Iterator<Item = VersionKey> {
        let customer = info.customer;
        self.versions_of(info.service)
            .iter()
            .copied()
            .filter(|&v| cfg.versions[v].state == VersionState::Serving)
            .filter(move |&v| !self.is_stopped(v) && cfg.allows(customer, v))
    }

    /// Returns the canary whose share includes the request, if any.
    ///
    /// With `instead_of`, only canaries of that version's model are considered, since a canary's
    /// share applies to the new work of its model.
    pub(crate) fn canary(
        &self,
        cfg: &Config,
        info: &RequestInfo,
        instead_of: Option<VersionKey>,
    ) -> Option<VersionKey> {
        let model = instead_of.map(|v| cfg.versions[v].model);
        let mut allocated: SmallVec<[(oatdale_config::ModelKey, f64); 4]> = SmallVec::new();
        for &version in self.versions_of(info.service) {
            let item = &cfg.versions[version];
            let VersionState::Canary { share } = item.state else {
                continue;
            };
            if model.is_some_and(|m| m != item.model) {
                continue;
            }
            let used = allocated.iter().find(|(m, _)| *m == item.model);
            let start = used.map_or(0.0, |(_, end)| *end);
            allocated.retain(|(m, _)| *m != item.model);
            allocated.push((item.model, start + share));
            let position = position(info.rollout_hash, item.model.index());
            let is_in_share = position >= start && position < start + share;
            if is_in_share && self.permits(cfg, info, version) {
                return Some(version);
            }
        }
        None
    }

    /// Whether a version may be stopped: every customer keeps a serving version for each service.
    ///
    /// Stopping a customer's last version would turn some bad answers into none at all. A canary
    /// may always be stopped, since it is not meant to serve its model alone.
    pub(crate) fn can_stop(&self, cfg: &Config, version: VersionKey) -> bool {
        if let VersionState::Canary { .. } = cfg.versions[version].state {
            return true;
        }
        cfg.customers
            .keys()
            .filter(|&customer| cfg.allows(customer, version))
            .all(|customer| self.customer_has_alternative(cfg, customer, version))
    }

    fn customer_has_alternative(
        &self,
        cfg: &Config,
        customer: CustomerKey,
        version: VersionKey,
    ) -> bool {
        let is_alternative = |v: VersionKey| {
            let serves = cfg.versions[v].state == VersionState::Serving;
            v != version && serves && !self.is_stopped(v) && cfg.allows(customer, v)
        };
        cfg.customers[customer]
            .services
            .iter()
            .map(|&service| self.versions_of(service))
            .filter(|versions| versions.contains(&version))
            .all(|versions| versions.iter().any(|&v| is_alternative(v)))
    }

    /// Returns the versions that may serve a request now.
    ///
    /// # Errors
    ///
    /// Returns the reason if none may.
    pub(crate) fn candidates(
        &self,
        cfg: &Config,
        info: &RequestInfo,
    ) -> Result<Candidates, RefusalReason> {
        if let ServiceKind::Plain = cfg.services[info.service].kind {
            return Ok(Candidates::Plain);
        }
        if let Session::Pinned { version, .. } = info.session {
            return self.pinned(cfg, info, version);
        }
        match self.serving(cfg, info).next() {
            Some(_) => Ok(Candidates::Serving),
            None => self
                .canary(cfg, info, None)
                .map(Candidates::Canary)
                .ok_or(RefusalReason::NoVersion),
        }
    }

    fn pinned(
        &self,
        cfg: &Config,
        info: &RequestInfo,
        version: VersionKey,
    ) -> Result<Candidates, RefusalReason> {
        match cfg.versions.get(version).map(|v| v.state) {
            Some(VersionState::Withdrawn) => Err(RefusalReason::SessionVersionWithdrawn),
            Some(_) if self.permits(cfg, info, version) => Ok(Candidates::Pinned(version)),
            Some(_) | None => Err(RefusalReason::NoVersion),
        }
    }
}

/// Returns the position of a request in its model's canary shares, from 0 to 1.
fn position(rollout_hash: u64, model: usize) -> f64 {
    let hash = mix(rollout_hash ^ mix(model as u64));
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

fn by_price(cfg: &Config, service: ServiceKey) -> Versions {
    let ServiceKind::Model { models, .. } = &cfg.services[service].kind else {
        return Versions::new();
    };
    let mut versions: Versions = models
        .iter()
        .flat_map(|&m| cfg.models[m].versions.iter().copied())
        .collect();
    let price = |v: VersionKey| cfg.versions[v].price.input + cfg.versions[v].price.output;
    versions.sort_by(|&a, &b| price(a).total_cmp(&price(b)).then(a.cmp(&b)));
    versions
}
