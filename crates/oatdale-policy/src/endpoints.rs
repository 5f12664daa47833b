//! Selection of an endpoint from the subset that this node uses for a pool and version.

use crate::endpoint::EndpointState;
use crate::request::EndpointReason;
use oatdale_config::{Config, DomainKey, EndpointKey, Key, PoolKey, VersionKey};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;
use std::time::Duration;

/// Endpoints that a node uses for one pool and version.
///
/// The fleet may have thousands; a node that used all of them would keep a connection and load data
/// for each, and would get reports and answers of each too rarely to judge it.
pub(crate) const SUBSET_SIZE: usize = 64;

/// Factor by which the score of an endpoint chosen for its prefix cache may exceed that of the
/// other choice.
const AFFINITY_SCORE_FACTOR: f64 = 2.0;

/// A service that uses more than its share of a pool leaves one slot in this many free at each
/// endpoint.
const SURGE_RESERVE_DIVISOR: u32 = 8;

/// Fraction of its slots above which an endpoint counts as nearly full.
const NEARLY_FULL_FRACTION: f64 = 0.9;

/// Some of the endpoints that this node uses.
type EndpointKeys = SmallVec<[EndpointKey; SUBSET_SIZE]>;

/// Constraints on the selection of an endpoint.
#[derive(Clone, Copy)]
pub(crate) struct EndpointQuery<'a> {
    pub(crate) pool: PoolKey,
    pub(crate) version: Option<VersionKey>,
    /// Hash of the prompt's prefix, if a prefix cache may help.
    pub(crate) prefix: Option<u64>,
    /// Endpoints that have failed this request.
    pub(crate) failed_endpoints: &'a [EndpointKey],
    /// This node's share of the pool's load, if the request must leave room for other services at
    /// each endpoint.
    pub(crate) surge_share: Option<f64>,
}

/// A chosen endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointChoice {
    pub(crate) endpoint: EndpointKey,
    pub(crate) reason: EndpointReason,
    pub(crate) considered: u16,
}

/// All endpoints of the configuration and the subsets that this node uses.
pub(crate) struct Endpoints {
    pub(crate) states: Vec<EndpointState>,
    subsets: Vec<Vec<EndpointKey>>,
    /// Hash by which this node ranks each endpoint; subsets consist of the lowest ranks.
    ranks: Vec<u64>,
    version_count: usize,
    pub(crate) domain: Option<DomainKey>,
    pub(crate) seed: u64,
}

impl Endpoints {
    pub(crate) fn new(cfg: &Config, domain: Option<DomainKey>, seed: u64) -> Self {
        let mut endpoints = Endpoints {
            states: vec![EndpointState::default(); cfg.endpoints.len()],
            subsets: Vec::new(),
            ranks: cfg
                .endpoints
                .iter()
                .map(|(_, e)| mix(seed ^ name_hash(&e.name)))
                .collect(),
            version_count: cfg.versions.len(),
            domain,
            seed,
        };
        endpoints.rebuild(cfg);
        endpoints
    }

    /// Recomputes all subsets after a configuration change.
    pub(crate) fn rebuild(&mut self, cfg: &Config) {
        self.version_count = cfg.versions.len();
        self.subsets = vec![Vec::new(); cfg.pools.len() * (self.version_count + 1)];
        for (pool, item) in cfg.pools.iter() {
            let index = self.subset_index(pool, None);
            self.subsets[index] = self.select_subset(item.endpoints.iter().copied());
            for version in cfg.versions.keys() {
                self.rebuild_subset(cfg, pool, version);
            }
        }
    }

    /// Records which versions an endpoint reports as loaded.
    ///
    /// Only the subsets of versions that it gained or lost are recomputed: thousands of engines
    /// report their versions when a node starts, most of them as configured.
    pub(crate) fn set_loaded_versions(
        &mut self,
        cfg: &Config,
        e: EndpointKey,
        reported_versions: Option<Vec<VersionKey>>,
    ) {
        let effective_versions = |endpoints: &Self| -> Vec<VersionKey> {
            cfg.versions
                .keys()
                .filter(|&v| endpoints.has_loaded(cfg, e, v))
                .collect()
        };
        let before = effective_versions(self);
        self.states[e.index()].loaded_versions = reported_versions;
        let after = effective_versions(self);
        let changed = cfg
            .versions
            .keys()
            .filter(|v| before.contains(v) != after.contains(v));
        for version in changed {
            self.rebuild_subset(cfg, cfg.endpoints[e].pool, version);
        }
    }

    fn rebuild_subset(&mut self, cfg: &Config, pool: PoolKey, version: VersionKey) {
        let all = cfg.pools[pool].endpoints.iter().copied();
        let subset = self.select_subset(all.filter(|&e| self.has_loaded(cfg, e, version)));
        let index = self.subset_index(pool, Some(version));
        self.subsets[index] = subset;
    }

    fn subset_index(&self, pool: PoolKey, version: Option<VersionKey>) -> usize {
        let offset = version.map_or(0, |v| v.index() + 1);
        pool.index() * (self.version_count + 1) + offset
    }

    /// Returns the endpoints that this node uses for a pool and version; `None` stands for all
    /// versions.
    pub(crate) fn subset(&self, pool: PoolKey, version: Option<VersionKey>) -> &[EndpointKey] {
        self.subsets
            .get(self.subset_index(pool, version))
            .map_or(&[], Vec::as_slice)
    }

    /// Whether any endpoint of the pool that has loaded the version is available.
    pub(crate) fn any_available(
        &self,
        now: Duration,
        pool: PoolKey,
        version: Option<VersionKey>,
    ) -> bool {
        self.subset(pool, version)
            .iter()
            .any(|e| self.states[e.index()].is_available(now))
    }

    /// Returns this node's share of all requests at the pool's endpoints, with one more of its own.
    pub(crate) fn share(&self, pool: PoolKey, running: u32) -> f64 {
        let subset = self.subset(pool, None).iter();
        let others_load: f64 = subset.map(|e| self.states[e.index()].others_load()).sum();
        let own = f64::from(running) + 1.0;
        own / (own + others_load)
    }

    /// Returns the earliest end of a back-off after failures.
    pub(crate) fn next_backoff_end(&self, now: Duration, pool: PoolKey) -> Option<Duration> {
        self.subset(pool, None)
            .iter()
            .filter_map(|e| self.states[e.index()].backoff_end(now))
            .min()
    }

    /// Selects an endpoint that has room, if there is one.
    ///
    /// The request's prefix determines the preferred endpoint among those with room. Otherwise the
    /// better of two random ones is used, in the node's own failure domain while that has room: as
    /// reports lag, nodes that all used the least loaded endpoint would overload the same one.
    pub(crate) fn pick(
        &self,
        now: Duration,
        cfg: &Config,
        query: EndpointQuery<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Option<EndpointChoice> {
        let (usable, considered) = self.usable(now, cfg, query);
        let in_own_domain = filtered(&usable, |e| Some(cfg.endpoints[e].domain) == self.domain);
        let failed_domain = query
            .failed_endpoints
            .last()
            .map(|e| cfg.endpoints[*e].domain);
        let other_domains = filtered(&usable, |e| Some(cfg.endpoints[e].domain) != failed_domain);
        let (candidates, reason): (&[EndpointKey], _) = match () {
            () if usable.is_empty() => return None,
            () if considered == 1 => (&usable, EndpointReason::Only),
            () if failed_domain.is_some() && !other_domains.is_empty() => {
                (&other_domains, EndpointReason::Retry)
            }
            () if failed_domain.is_some() => (&usable, EndpointReason::Retry),
            () if !in_own_domain.is_empty() => (&in_own_domain, EndpointReason::OwnDomain),
            () => (&usable, EndpointReason::Spill),
        };
        let chosen = self.better_of_two(cfg, candidates, rng);
        let affinity_endpoint = query
            .prefix
            .and_then(|p| self.affinity_endpoint(cfg, &usable, p, chosen));
        let (endpoint, reason) =
            affinity_endpoint.map_or((chosen, reason), |e| (e, EndpointReason::Prefix));
        Some(EndpointChoice {
            endpoint,
            reason,
            considered,
        })
    }

    /// Returns endpoints to select from, and how many have room. Nearly full ones are left out
    /// while there are others; otherwise all but the least loaded are, since another node may have
    /// taken their last slots by now.
    fn usable(&self, now: Duration, cfg: &Config, query: EndpointQuery<'_>) -> (EndpointKeys, u16) {
        let subset = self.subset(query.pool, query.version);
        let mut usable = EndpointKeys::new();
        let mut uncrowded = EndpointKeys::new();
        for &e in subset {
            let state = &self.states[e.index()];
            let capacity = cfg.endpoints[e].concurrency;
            let has_room = match query.surge_share {
                Some(share) => {
                    let reserve = capacity.div_ceil(SURGE_RESERVE_DIVISOR).min(capacity - 1);
                    state.has_room_for_surge(now, capacity - reserve, share)
                }
                None => state.has_room(now, capacity),
            };
            if !has_room || query.failed_endpoints.contains(&e) {
                continue;
            }
            usable.push(e);
            if state.load() + 1.0 <= NEARLY_FULL_FRACTION * f64::from(capacity) {
                uncrowded.push(e);
            }
        }
        let considered = usable.len() as u16;
        if !uncrowded.is_empty() {
            return (uncrowded, considered);
        }
        let load = |e: EndpointKey| self.states[e.index()].load();
        let least_load = usable.iter().map(|&e| load(e)).fold(f64::MAX, f64::min);
        (
            filtered(&usable, |e| load(e) < least_load + 1.0),
            considered,
        )
    }

    /// Returns the available endpoint with the best (lowest) score, whether or not it has room.
    pub(crate) fn best_available(
        &self,
        now: Duration,
        cfg: &Config,
        pool: PoolKey,
        version: Option<VersionKey>,
        failed_endpoints: &[EndpointKey],
    ) -> Option<EndpointChoice> {
        let available =
            self.subset(pool, version).iter().copied().filter(|e| {
                !failed_endpoints.contains(e) && self.states[e.index()].is_available(now)
            });
        let considered = available.clone().count() as u16;
        let endpoint =
            available.min_by(|&a, &b| self.score(cfg, a).total_cmp(&self.score(cfg, b)))?;
        Some(EndpointChoice {
            endpoint,
            reason: EndpointReason::Spill,
            considered,
        })
    }

    fn better_of_two(
        &self,
        cfg: &Config,
        candidates: &[EndpointKey],
        rng: &mut Pcg64Mcg,
    ) -> EndpointKey {
        let draw = rng.next_u64();
        let n = candidates.len() as u64;
        let first = (draw & 0xffff_ffff) % n;
        let a = candidates[first as usize];
        if n == 1 {
            return a;
        }
        let b = candidates[((first + 1 + (draw >> 32) % (n - 1)) % n) as usize];
        match self.score(cfg, a) <= self.score(cfg, b) {
            true => a,
            false => b,
        }
    }

    /// Returns the endpoint for requests of this prefix, unless it is much worse than `other`.
    fn affinity_endpoint(
        &self,
        cfg: &Config,
        usable: &[EndpointKey],
        prefix: u64,
        other: EndpointKey,
    ) -> Option<EndpointKey> {
        let affinity_endpoint = usable
            .iter()
            .copied()
            .max_by_key(|e| mix(prefix ^ mix(e.index() as u64 + 1)))?;
        let bound = AFFINITY_SCORE_FACTOR * self.score(cfg, other);
        (self.score(cfg, affinity_endpoint) <= bound).then_some(affinity_endpoint)
    }

    fn score(&self, cfg: &Config, e: EndpointKey) -> f64 {
        self.states[e.index()].score(cfg.endpoints[e].concurrency, 1.0)
    }

    fn has_loaded(&self, cfg: &Config, e: EndpointKey, version: VersionKey) -> bool {
        match &self.states[e.index()].loaded_versions {
            Some(versions) => versions.contains(&version),
            None => cfg.endpoints[e].versions.contains(&version),
        }
    }

    /// Selects a subset by rendezvous hashing: an endpoint that is added or removed changes one
    /// element of the subset.
    fn select_subset(&self, candidates: impl Iterator<Item = EndpointKey>) -> Vec<EndpointKey> {
        let mut ranked: Vec<_> = candidates.map(|e| (self.ranks[e.index()], e)).collect();
        if ranked.len() > SUBSET_SIZE {
            ranked.select_nth_unstable(SUBSET_SIZE);
            ranked.truncate(SUBSET_SIZE);
        }
        let mut subset: Vec<_> = ranked.into_iter().map(|(_, e)| e).collect();
        subset.sort_unstable();
        subset
    }
}

fn filtered(keys: &[EndpointKey], keep: impl Fn(EndpointKey) -> bool) -> EndpointKeys {
    keys.iter().copied().filter(|&e| keep(e)).collect()
}

/// Mixes a number into all 64 bits (the finalizer of splitmix64).
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// FNV-1a hash, so that an endpoint keeps its rank when the order in the configuration changes.
fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
