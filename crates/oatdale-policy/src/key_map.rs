//! Maps the keys of one configuration to those of the next by name.

use oatdale_config::{
    Config, CustomerKey, DomainKey, EndpointKey, Key, PoolKey, ServiceKey, VersionKey,
};
use std::collections::HashMap;

/// Keys in a new configuration by those in the old one; `None` for removed items.
pub(crate) struct KeyMap {
    customers: Vec<Option<CustomerKey>>,
    services: Vec<Option<ServiceKey>>,
    versions: Vec<Option<VersionKey>>,
    endpoints: Vec<Option<EndpointKey>>,
    domains: Vec<Option<DomainKey>>,
    pools: Vec<Option<PoolKey>>,
}

impl KeyMap {
    pub(crate) fn new(old: &Config, new: &Config) -> Self {
        KeyMap {
            customers: match_names(
                old.customers.iter().map(|(_, c)| c.name.clone()),
                new.customers.iter().map(|(k, c)| (c.name.clone(), k)),
            ),
            services: match_names(
                old.services.iter().map(|(_, s)| s.name.clone()),
                new.services.iter().map(|(k, s)| (s.name.clone(), k)),
            ),
            versions: match_names(
                old.versions.keys().map(|k| old.version_name(k)),
                new.versions.keys().map(|k| (new.version_name(k), k)),
            ),
            endpoints: match_names(
                old.endpoints.keys().map(|k| endpoint_name(old, k)),
                new.endpoints.keys().map(|k| (endpoint_name(new, k), k)),
            ),
            domains: match_names(
                old.domains.iter().map(|(_, d)| d.name.clone()),
                new.domains.iter().map(|(k, d)| (d.name.clone(), k)),
            ),
            pools: match_names(
                old.pools.iter().map(|(_, p)| p.name.clone()),
                new.pools.iter().map(|(k, p)| (p.name.clone(), k)),
            ),
        }
    }

    pub(crate) fn customer(&self, old: CustomerKey) -> Option<CustomerKey> {
        self.customers.get(old.index()).copied().flatten()
    }

    pub(crate) fn service(&self, old: ServiceKey) -> Option<ServiceKey> {
        self.services.get(old.index()).copied().flatten()
    }

    pub(crate) fn version(&self, old: VersionKey) -> Option<VersionKey> {
        self.versions.get(old.index()).copied().flatten()
    }

    pub(crate) fn endpoint(&self, old: EndpointKey) -> Option<EndpointKey> {
        self.endpoints.get(old.index()).copied().flatten()
    }

    pub(crate) fn domain(&self, old: DomainKey) -> Option<DomainKey> {
        self.domains.get(old.index()).copied().flatten()
    }

    pub(crate) fn pool(&self, old: PoolKey) -> Option<PoolKey> {
        self.pools.get(old.index()).copied().flatten()
    }
}

/// Returns an endpoint's identity. It includes the address: an endpoint that moved is a new one
/// with its own latency.
fn endpoint_name(cfg: &Config, key: EndpointKey) -> (String, String, std::net::SocketAddr) {
    let endpoint = &cfg.endpoints[key];
    let pool = cfg.pools[endpoint.pool].name.clone();
    (pool, endpoint.name.clone(), endpoint.address)
}

fn match_names<N: Eq + std::hash::Hash, K: Copy>(
    old: impl Iterator<Item = N>,
    new: impl Iterator<Item = (N, K)>,
) -> Vec<Option<K>> {
    let new: HashMap<N, K> = new.collect();
    old.map(|name| new.get(&name).copied()).collect()
}
