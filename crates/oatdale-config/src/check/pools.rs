//! Pools and their endpoints.

use crate::check::problems::{MAX_ITEMS, Problems};
use crate::check::{models, value};
use crate::config::{Config, Endpoint, Pool, PoolKind};
use crate::error::Category;
use crate::key::{DomainKey, EndpointKey, Key, PoolKey, VersionKey};
use crate::wire::{self, Entries, Word};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

const KINDS: [&str; 2] = ["engines", "plain"];
/// Stands for an address that could not be read, until the text is refused.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

pub(super) fn check(cfg: &mut Config, p: &mut Problems, pools: &Entries<wire::Pool>) {
    p.names("pool", &pools.0);
    let endpoints = || pools.0.iter().flat_map(|(_, pool)| &pool.endpoints.0);
    p.unique("endpoint", endpoints().map(|(name, _)| name));
    for (name, pool) in pools.0.iter().take(MAX_ITEMS) {
        check_pool(cfg, p, name, pool);
    }
}

fn check_pool(cfg: &mut Config, p: &mut Problems, name: &Word, pool: &wire::Pool) {
    let kind = check_kind(p, name, pool);
    let key = cfg.pools.push(Pool {
        name: name.value.clone(),
        kind,
        endpoints: Vec::new(),
    });
    if pool.endpoints.0.is_empty() {
        p.add(
            name.referenced,
            Category::Rule,
            format!("pool `{}` has no endpoint", name.value),
            "add one below `endpoints`, or take the pool out",
        );
    }
    let versions = check_versions(cfg, p, kind, pool.versions.as_deref());
    let mut addresses = HashMap::new();
    let mut endpoints = Vec::new();
    for (name, endpoint) in &pool.endpoints.0 {
        if cfg.endpoints.len() >= MAX_ITEMS {
            p.add(
                name.referenced,
                Category::Value,
                "the text has too many endpoints",
                format!("keep it to {MAX_ITEMS}"),
            );
            break;
        }
        p.name("endpoint", name);
        check_address_unique(p, &mut addresses, &endpoint.address);
        endpoints.push(check_endpoint(
            cfg,
            p,
            key,
            (name, endpoint),
            pool,
            &versions,
        ));
    }
    cfg.pools.get_mut(key).endpoints = endpoints;
}

fn check_kind(p: &mut Problems, name: &Word, pool: &wire::Pool) -> PoolKind {
    match (p.one_of("kind of pool", &pool.kind, KINDS), &pool.fencing) {
        ("engines", Some(fencing)) => PoolKind::Engines {
            fencing: fencing.value,
        },
        ("engines", None) => {
            p.add(
                pool.kind.referenced,
                Category::Field,
                format!(
                    "pool `{}` does not say whether its engines fence",
                    name.value
                ),
                "add `fencing: true` if they refuse orders with an old fencing number, else \
                 `fencing: false`",
            );
            PoolKind::Engines { fencing: false }
        }
        ("plain", Some(fencing)) => {
            p.add(
                fencing.referenced,
                Category::Rule,
                "plain services take no orders, so nothing is fenced",
                "take `fencing` out",
            );
            PoolKind::Plain
        }
        _ => PoolKind::Plain,
    }
}

fn check_endpoint(
    cfg: &mut Config,
    p: &mut Problems,
    pool: PoolKey,
    (name, endpoint): (&Word, &wire::Endpoint),
    defaults: &wire::Pool,
    pool_versions: &[VersionKey],
) -> EndpointKey {
    let kind = cfg.pools[pool].kind;
    let versions = match endpoint.versions.as_deref() {
        Some(own) => check_versions(cfg, p, kind, Some(own)),
        None => pool_versions.to_vec(),
    };
    if versions.is_empty() && matches!(kind, PoolKind::Engines { .. }) {
        p.add(
            name.referenced,
            Category::Rule,
            format!("engine `{}` holds no version", name.value),
            "add `versions` to it or to its pool, such as `versions: [planner/*]`",
        );
    }
    let address = value::address(p, &endpoint.address).unwrap_or(NO_ADDRESS);
    let domain = find_domain(cfg, p, &endpoint.failure_domain);
    let concurrency = check_concurrency(p, name, endpoint, defaults);
    cfg.endpoints.push(Endpoint {
        name: name.value.clone(),
        address,
        domain,
        pool,
        versions,
        concurrency,
    })
}

fn check_concurrency(
    p: &mut Problems,
    name: &Word,
    endpoint: &wire::Endpoint,
    pool: &wire::Pool,
) -> u32 {
    match (&endpoint.concurrency, &pool.concurrency) {
        (Some(n), _) | (None, Some(n)) => value::count(p, "concurrency", n),
        (None, None) => {
            p.add(
                name.referenced,
                Category::Field,
                format!("endpoint `{}` has no concurrency", name.value),
                "add how many requests it runs at once, such as `concurrency: 16`, to it or to \
                 its pool",
            );
            0
        }
    }
}

fn check_versions(
    cfg: &Config,
    p: &mut Problems,
    kind: PoolKind,
    words: Option<&[Word]>,
) -> Vec<VersionKey> {
    let words = words.unwrap_or_default();
    if let (PoolKind::Plain, Some(first)) = (kind, words.first()) {
        p.add(
            first.referenced,
            Category::Rule,
            "endpoints of plain services hold no versions",
            "take `versions` out, or write `kind: engines`",
        );
        return Vec::new();
    }
    let mut versions: Vec<VersionKey> = words
        .iter()
        .flat_map(|word| models::select(cfg, p, word))
        .collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

fn find_domain(cfg: &Config, p: &mut Problems, name: &Word) -> DomainKey {
    cfg.domains
        .find(|d| d.name == name.value)
        .unwrap_or_else(|| {
            let known = cfg.domains.iter().map(|(_, d)| d.name.as_str());
            p.unknown("failure domain", name, known);
            DomainKey::from_index(0)
        })
}

fn check_address_unique<'a>(p: &mut Problems, seen: &mut HashMap<&'a str, u32>, address: &'a Word) {
    let (line, _) = crate::de::place(address.referenced);
    if let Some(first) = seen.insert(&address.value, line) {
        p.add(
            address.referenced,
            Category::Rule,
            format!("address `{}` is already in line {first}", address.value),
            "give each endpoint of a pool an address of its own",
        );
    }
}
