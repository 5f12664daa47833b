//! Choice of an endpoint among the few that this node uses for a pool and version.

use crate::endpoint::EndpointState;
use crate::request::EndpointReason;
use oatdale_config::{Config, DomainKey, EndpointKey, Key, PoolKey, VersionKey};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;
use std::time::Duration;

/// How many endpoints a node uses for one pool and version.
///
/// The fleet may have thousands; a node that spoke to each would hold a connection and a view of
/// load for each, and would hear of each too rarely to judge it.
pub(crate) const SUBSET_SIZE: usize = 64;

/// An endpoint chosen by its prefix cache may be this much worse than the other choice.
const AFFINITY_SCORE_FACTOR: f64 = 2.0;

/// A surging service leaves one place in this many free at each endpoint.
const SURGE_RESERVE_DIVISOR: u32 = 8;

/// An endpoint is nearly full from this part of its places on.
const NEARLY_FULL_FRACTION: f64 = 0.9;

/// Some of the endpoints that this node uses.
type EndpointKeys = SmallVec<[EndpointKey; SUBSET_SIZE]>;

/// What a choice has to heed.
#[derive(Clone, Copy)]
pub(crate) struct Wish<'a> {
    pub(crate) pool: PoolKey,
    pub(crate) version: Option<VersionKey>,
    /// A hash of the prompt's beginning, if its cache may help.
    pub(crate) prefix: Option<u64>,
    /// Endpoints that have failed this request.
    pub(crate) tried: &'a [EndpointKey],
    /// This node's part of the pool's load, if the request has to leave room for other services
    /// at each endpoint.
    pub(crate) leave_room: Option<f64>,
}

/// A chosen endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pick {
    pub(crate) endpoint: EndpointKey,
    pub(crate) why: EndpointReason,
    pub(crate) considered: u16,
}

/// All endpoints of the configuration and the subsets that this node uses.
pub(crate) struct Endpoints {
    pub(crate) states: Vec<EndpointState>,
    subsets: Vec<Vec<EndpointKey>>,
    /// Each endpoint's place in this node's order of preference.
    ranks: Vec<u64>,
    versions: usize,
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
            versions: cfg.versions.len(),
            domain,
            seed,
        };
        endpoints.rebuild(cfg);
        endpoints
    }

    /// Works all subsets out anew after the configuration changed.
    pub(crate) fn rebuild(&mut self, cfg: &Config) {
        self.versions = cfg.versions.len();
        self.subsets = vec![Vec::new(); cfg.pools.len() * (self.versions + 1)];
        for (pool, item) in cfg.pools.iter() {
            let index = self.subset_index(pool, None);
            self.subsets[index] = self.select_subset(item.endpoints.iter().copied());
            for version in cfg.versions.keys() {
                self.rebuild_subset(cfg, pool, version);
            }
        }
    }

    /// Takes in which versions an endpoint reports as loaded.
    ///
    /// Only the subsets of versions that it gained or lost are worked out anew: thousands of
    /// engines report their versions when a node starts, most of them as the text has it.
    pub(crate) fn set_holds(
        &mut self,
        cfg: &Config,
        e: EndpointKey,
        holds: Option<Vec<VersionKey>>,
    ) {
        let held_versions = |endpoints: &Self| -> Vec<VersionKey> {
            cfg.versions
                .keys()
                .filter(|&v| endpoints.holds(cfg, e, v))
                .collect()
        };
        let before = held_versions(self);
        self.states[e.index()].holds = holds;
        let after = held_versions(self);
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
        let subset = self.select_subset(all.filter(|&e| self.holds(cfg, e, version)));
        let index = self.subset_index(pool, Some(version));
        self.subsets[index] = subset;
    }

    fn subset_index(&self, pool: PoolKey, version: Option<VersionKey>) -> usize {
        let offset = version.map_or(0, |v| v.index() + 1);
        pool.index() * (self.versions + 1) + offset
    }

    /// The endpoints that this node uses for a pool and version; all versions for `None`.
    pub(crate) fn used(&self, pool: PoolKey, version: Option<VersionKey>) -> &[EndpointKey] {
        self.subsets
            .get(self.subset_index(pool, version))
            .map_or(&[], Vec::as_slice)
    }

    /// Whether any endpoint of the pool that holds the version is worth asking.
    pub(crate) fn any_live(
        &self,
        now: Duration,
        pool: PoolKey,
        version: Option<VersionKey>,
    ) -> bool {
        self.used(pool, version)
            .iter()
            .any(|e| self.states[e.index()].is_live(now))
    }

    /// This node's part of all requests at the pool's endpoints.
    pub(crate) fn share(&self, pool: PoolKey, running: u32) -> f64 {
        let used = self.used(pool, None).iter();
        let others_load: f64 = used.map(|e| self.states[e.index()].others_load()).sum();
        let own = f64::from(running) + 1.0;
        own / (own + others_load)
    }

    /// The earliest end of a pause after failures.
    pub(crate) fn next_pause_end(&self, now: Duration, pool: PoolKey) -> Option<Duration> {
        self.used(pool, None)
            .iter()
            .filter_map(|e| self.states[e.index()].backoff_end(now))
            .min()
    }

    /// Chooses an endpoint that has room, if there is one.
    ///
    /// The request's prefix names a home among the fit endpoints. Otherwise the better of two
    /// drawn at random is taken, in the node's own failure domain while that has room: with
    /// lagging reports, all nodes that took the least loaded would rush to the same one.
    pub(crate) fn pick(
        &self,
        now: Duration,
        cfg: &Config,
        query: Wish<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Option<Pick> {
        let (usable, considered) = self.usable(now, cfg, query);
        let in_own_domain = filtered(&usable, |e| Some(cfg.endpoints[e].domain) == self.domain);
        let failed_domain = query.tried.last().map(|e| cfg.endpoints[*e].domain);
        let other_domains = filtered(&usable, |e| Some(cfg.endpoints[e].domain) != failed_domain);
        let (candidates, why): (&[EndpointKey], _) = match () {
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
        let (endpoint, why) =
            affinity_endpoint.map_or((chosen, why), |e| (e, EndpointReason::Prefix));
        Some(Pick {
            endpoint,
            why,
            considered,
        })
    }

    /// Endpoints with room and how many there are; those that are nearly full are left out while
    /// there are others, and all but the least loaded if there are none, since by now another
    /// node may have taken their last places.
    fn usable(&self, now: Duration, cfg: &Config, query: Wish<'_>) -> (EndpointKeys, u16) {
        let used = self.used(query.pool, query.version);
        let mut usable = EndpointKeys::new();
        let mut uncrowded = EndpointKeys::new();
        for &e in used {
            let state = &self.states[e.index()];
            let capacity = cfg.endpoints[e].concurrency;
            let has_room = match query.leave_room {
                Some(share) => {
                    let reserve = capacity.div_ceil(SURGE_RESERVE_DIVISOR).min(capacity - 1);
                    state.has_room_for_surge(now, capacity - reserve, share)
                }
                None => state.has_room(now, capacity),
            };
            if !has_room || query.tried.contains(&e) {
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

    /// The live endpoint with the best score, whether or not it has room.
    pub(crate) fn least_loaded(
        &self,
        now: Duration,
        cfg: &Config,
        pool: PoolKey,
        version: Option<VersionKey>,
        tried: &[EndpointKey],
    ) -> Option<Pick> {
        let live = self
            .used(pool, version)
            .iter()
            .copied()
            .filter(|e| !tried.contains(e) && self.states[e.index()].is_live(now));
        let considered = live.clone().count() as u16;
        let endpoint = live.min_by(|&a, &b| self.score(cfg, a).total_cmp(&self.score(cfg, b)))?;
        Some(Pick {
            endpoint,
            why: EndpointReason::Spill,
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

    /// The endpoint that requests of this prefix go to, unless it is much worse than `other`.
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

    fn holds(&self, cfg: &Config, e: EndpointKey, version: VersionKey) -> bool {
        match &self.states[e.index()].holds {
            Some(versions) => versions.contains(&version),
            None => cfg.endpoints[e].versions.contains(&version),
        }
    }

    /// Rendezvous hashing: an endpoint that comes or goes changes one place of the subset.
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

/// Spreads a number over all 64 bits (the finishing step of splitmix64).
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// FNV-1a, so that an endpoint keeps its place when the text's order changes.
fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
