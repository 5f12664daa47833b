//! Customers: keys, what they may use, limits.

use crate::check::problems::{MAX_ITEMS, Problems};
use crate::check::{models, services, value};
use crate::config::{Config, Customer, Digest, Limits, ServiceKind, VersionState};
use crate::error::Category;
use crate::key::{CustomerKey, PoolKey, ServiceKey, VersionKey};
use crate::wire::{self, Entries, Word};
use std::collections::HashMap;

const DEFAULT_WEIGHT: f64 = 1.0;

/// The customer and line of each digest so far.
type Owners<'a> = HashMap<Digest, (&'a str, u32)>;

pub(super) fn check(cfg: &mut Config, p: &mut Problems, customers: &Entries<wire::Customer>) {
    p.names("customer", &customers.0);
    let mut owners = Owners::new();
    for (name, customer) in customers.0.iter().take(MAX_ITEMS) {
        check_customer(cfg, p, &mut owners, name, customer);
    }
}

fn check_customer<'a>(
    cfg: &mut Config,
    p: &mut Problems,
    owners: &mut Owners<'a>,
    name: &'a Word,
    customer: &wire::Customer,
) {
    let keys = check_keys(p, owners, name, &customer.keys);
    let services = check_services(cfg, p, &customer.services);
    let versions = check_versions(cfg, p, customer);
    let limits = Limits {
        requests_per_second: value::number(
            p,
            "requests-per-second",
            &customer.limits.requests_per_second,
            true,
        ),
        concurrent: value::count(p, "concurrent", &customer.limits.concurrent),
    };
    let weight = customer.weight.as_ref();
    let weight = weight.map_or(DEFAULT_WEIGHT, |w| value::number(p, "weight", w, true));
    cfg.customers.push(Customer {
        name: name.value.clone(),
        keys,
        services,
        versions,
        limits,
        weight,
    });
}

fn check_keys<'a>(
    p: &mut Problems,
    owners: &mut Owners<'a>,
    name: &'a Word,
    words: &[Word],
) -> Vec<Digest> {
    let mut keys = Vec::new();
    for word in words {
        let Some(digest) = value::digest(p, word) else {
            continue;
        };
        let (line, _) = crate::de::place(word.referenced);
        match owners.insert(digest, (&name.value, line)) {
            None => keys.push(digest),
            Some((owner, line)) => p.add(
                word.referenced,
                Category::Rule,
                format!("customer `{owner}` already has this key, in line {line}"),
                "a key says who calls, so give each customer keys of its own",
            ),
        }
    }
    if words.is_empty() {
        p.add(
            name.referenced,
            Category::Rule,
            format!("customer `{}` has no key, so it can't call", name.value),
            "add the digest of a key, as `oatdale key new` prints it",
        );
    }
    keys
}

fn check_services(cfg: &Config, p: &mut Problems, words: &[Word]) -> Vec<ServiceKey> {
    p.unique("service", words.iter());
    let mut found: Vec<ServiceKey> = words
        .iter()
        .filter_map(|word| services::find_service(cfg, p, word))
        .collect();
    found.sort_unstable();
    found.dedup();
    found
}

fn check_versions(cfg: &Config, p: &mut Problems, customer: &wire::Customer) -> Vec<VersionKey> {
    p.unique("version", customer.versions.iter());
    let words = customer.versions.iter();
    let mut versions: Vec<VersionKey> = words.flat_map(|w| models::select(cfg, p, w)).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// Each model service that a customer may call needs one version that the customer may use, that
/// is no partial canary and that the service's pool holds. Without it new requests would be refused,
/// which operators would learn from their customers only.
///
/// A version that is draining or withdrawn counts here: an operator who withdraws the only version
/// because it does harm must not be held up. [`unserved`] tells what that means.
pub(super) fn check_served(cfg: &Config, p: &mut Problems, customers: &Entries<wire::Customer>) {
    for ((key, _), (_, wire)) in cfg.customers.iter().zip(&customers.0) {
        for word in &wire.services {
            check_service_served(cfg, p, key, word);
        }
    }
}

fn check_service_served(cfg: &Config, p: &mut Problems, customer: CustomerKey, word: &Word) {
    let Some(service) = cfg.service(&word.value).map(|key| &cfg.services[key]) else {
        return;
    };
    let ServiceKind::Model { models, .. } = &service.kind else {
        return;
    };
    let customer = &cfg.customers[customer];
    let allowed = customer.versions.iter().copied();
    let mut allowed = allowed.filter(|v| models.contains(&cfg.versions[*v].model));
    let serves = |v| !is_partial_canary(cfg, v) && is_held(cfg, service.pool, v);
    if allowed.clone().any(serves) {
        return;
    }
    let (message, help) = match allowed.next() {
        None => (
            format!(
                "customer `{}` may use no version of `{}`",
                customer.name, service.name
            ),
            format!(
                "add one to its `versions`, such as `{}/*`",
                cfg.models[models[0]].name
            ),
        ),
        Some(version) => (
            format!(
                "no version that customer `{}` may use can take all new sessions of `{}`",
                customer.name, service.name
            ),
            format!(
                "let it use one that is `serving` and held by pool `{}`, such as `{}` once that \
                 is, or take the service out of this list",
                cfg.pools[service.pool].name,
                cfg.version_name(version)
            ),
        ),
    };
    p.add(word.referenced, Category::Rule, message, help);
}

fn is_partial_canary(cfg: &Config, version: VersionKey) -> bool {
    matches!(cfg.versions[version].state, VersionState::Canary { share } if share < 1.0)
}

/// Customers and model services of a checked text whose new requests are refused, since every
/// version that could answer them is draining or withdrawn.
///
/// # Examples
///
/// ```
/// let text = include_str!("../../../../examples/skyward.yaml");
/// let cfg = oatdale_config::from_str(text)?;
/// assert!(oatdale_config::unserved(&cfg).is_empty());
/// # Ok::<(), oatdale_config::Error>(())
/// ```
pub fn unserved(cfg: &Config) -> Vec<(CustomerKey, ServiceKey)> {
    let pairs = cfg
        .customers
        .iter()
        .flat_map(|(key, customer)| customer.services.iter().map(move |service| (key, *service)));
    pairs
        .filter(|(customer, service)| !is_served(cfg, *customer, *service))
        .collect()
}

fn is_served(cfg: &Config, customer: CustomerKey, service: ServiceKey) -> bool {
    let service = &cfg.services[service];
    let ServiceKind::Model { models, .. } = &service.kind else {
        return true;
    };
    let mut allowed = cfg.customers[customer].versions.iter().copied();
    allowed.any(|v| {
        let fits = models.contains(&cfg.versions[v].model);
        fits && takes_all(cfg, v) && is_held(cfg, service.pool, v)
    })
}

fn takes_all(cfg: &Config, version: VersionKey) -> bool {
    match cfg.versions[version].state {
        VersionState::Serving => true,
        VersionState::Canary { share } => share >= 1.0,
        VersionState::Draining | VersionState::Withdrawn => false,
    }
}

fn is_held(cfg: &Config, pool: PoolKey, version: VersionKey) -> bool {
    let mut endpoints = cfg.pools[pool].endpoints.iter();
    endpoints.any(|e| cfg.endpoints[*e].versions.contains(&version))
}
