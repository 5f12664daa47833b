//! Services and what they depend on.

use crate::check::problems::{MAX_ITEMS, Problems};
use crate::check::{graph, value};
use crate::config::{CallPattern, Config, PoolKind, Service, ServiceKind};
use crate::error::Category;
use crate::key::{Key, ModelKey, PoolKey, ServiceKey};
use crate::wire::{self, Entries, Word};
use std::time::Duration;

const KINDS: [&str; 2] = ["model", "plain"];
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
const DEADLINES: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(86_400));
const DEFAULT_LATENCY_WEIGHT: f64 = 0.5;

pub(super) fn check(cfg: &mut Config, p: &mut Problems, services: &Entries<wire::Service>) {
    p.names("service", &services.0);
    let entries = &services.0[..services.0.len().min(MAX_ITEMS)];
    for (name, service) in entries {
        check_service(cfg, p, name, service);
    }
    for (index, (_, service)) in entries.iter().enumerate() {
        let depends_on = check_dependencies(cfg, p, &service.depends_on);
        let key = ServiceKey::from_index(index);
        cfg.services.get_mut(key).depends_on = depends_on;
    }
    graph::check(cfg, p, entries);
}

fn check_service(cfg: &mut Config, p: &mut Problems, name: &Word, service: &wire::Service) {
    let pool = find_pool(cfg, p, &service.pool);
    let kind = check_kind(cfg, p, name, service);
    if let Some(pool) = pool {
        check_pool_fits(cfg, p, service, &kind, pool);
    }
    let deadline = service
        .deadline
        .as_ref()
        .and_then(|word| value::duration(p, "deadline", word, DEADLINES));
    let non_idempotent: Vec<CallPattern> = service
        .non_idempotent
        .iter()
        .filter_map(|word| value::call(p, word))
        .collect();
    cfg.services.push(Service {
        name: name.value.clone(),
        kind,
        pool: pool.unwrap_or_else(|| PoolKey::from_index(0)),
        depends_on: Vec::new(),
        deadline: deadline.unwrap_or(DEFAULT_DEADLINE),
        non_idempotent,
    });
}

fn check_kind(cfg: &Config, p: &mut Problems, name: &Word, service: &wire::Service) -> ServiceKind {
    match p.one_of("kind of service", &service.kind, KINDS) {
        "model" => check_model_kind(cfg, p, name, service),
        _ => {
            check_plain_kind(p, service);
            ServiceKind::Plain
        }
    }
}

fn check_model_kind(
    cfg: &Config,
    p: &mut Problems,
    name: &Word,
    service: &wire::Service,
) -> ServiceKind {
    let models = service.models.as_deref().unwrap_or_default();
    if models.is_empty() {
        p.add(
            name.referenced,
            Category::Field,
            format!("service `{}` has no model", name.value),
            "add the models that may answer, such as `models: [planner]`",
        );
    }
    if service.quality.is_none() {
        p.add(
            name.referenced,
            Category::Field,
            format!("service `{}` has no quality target", name.value),
            "add the part of answers that must be good, such as `quality: 90%`",
        );
    }
    p.unique("model", models.iter());
    let quality = service.quality.as_ref();
    let latency_weight = service.latency_weight.as_ref();
    ServiceKind::Model {
        models: models
            .iter()
            .filter_map(|m| find_model(cfg, p, m))
            .collect(),
        quality: quality
            .and_then(|word| value::ratio(p, "quality", word))
            .unwrap_or_default(),
        latency_weight: latency_weight
            .and_then(|word| value::ratio(p, "latency-weight", word))
            .unwrap_or(DEFAULT_LATENCY_WEIGHT),
    }
}

fn check_plain_kind(p: &mut Problems, service: &wire::Service) {
    let model_only = [
        ("models", service.models.as_ref().and_then(|m| m.first())),
        ("quality", service.quality.as_ref()),
        ("latency-weight", service.latency_weight.as_ref()),
    ];
    for (field, word) in model_only {
        if let Some(word) = word {
            p.add(
                word.referenced,
                Category::Rule,
                format!("`{field}` means nothing for a plain service"),
                format!("take `{field}` out, or write `kind: model`"),
            );
        }
    }
}

fn check_pool_fits(
    cfg: &Config,
    p: &mut Problems,
    service: &wire::Service,
    kind: &ServiceKind,
    pool: PoolKey,
) {
    let (needs, instead) = match (kind, cfg.pools[pool].kind) {
        (ServiceKind::Model { .. }, PoolKind::Plain) => ("a model service", "engines"),
        (ServiceKind::Plain, PoolKind::Engines { .. }) => ("a plain service", "plain"),
        _ => return,
    };
    p.add(
        service.pool.referenced,
        Category::Rule,
        format!("pool `{}` can't run {needs}", service.pool.value),
        format!("name a pool of kind `{instead}`"),
    );
}

fn check_dependencies(cfg: &Config, p: &mut Problems, names: &[Word]) -> Vec<ServiceKey> {
    p.unique("dependency", names.iter());
    names
        .iter()
        .filter_map(|n| find_service(cfg, p, n))
        .collect()
}

fn find_pool(cfg: &Config, p: &mut Problems, name: &Word) -> Option<PoolKey> {
    let found = cfg.pools.find(|pool| pool.name == name.value);
    if found.is_none() {
        let known = cfg.pools.iter().map(|(_, pool)| pool.name.as_str());
        p.unknown("pool", name, known);
    }
    found
}

fn find_model(cfg: &Config, p: &mut Problems, name: &Word) -> Option<ModelKey> {
    let found = cfg.models.find(|m| m.name == name.value);
    if found.is_none() {
        p.unknown(
            "model",
            name,
            cfg.models.iter().map(|(_, m)| m.name.as_str()),
        );
    }
    found
}

/// The service of a name; an unknown name is a problem.
pub(super) fn find_service(cfg: &Config, p: &mut Problems, name: &Word) -> Option<ServiceKey> {
    let found = cfg.service(&name.value);
    if found.is_none() {
        let known = cfg.services.iter().map(|(_, s)| s.name.as_str());
        p.unknown("service", name, known);
    }
    found
}
