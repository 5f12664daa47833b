//! Models and their versions.

use crate::check::problems::{MAX_ITEMS, Problems};
use crate::check::value;
use crate::config::{Config, Model, Price, Version, VersionState};
use crate::error::Category;
use crate::key::{Key, ModelKey, VersionKey};
use crate::wire::{self, Entries, Word};

const STATES: [&str; 4] = ["canary", "serving", "draining", "withdrawn"];
/// Shares are written by hand, so that sums such as 0.1 + 0.2 + 0.7 may miss 1 by rounding.
const ROUNDING: f64 = 1e-9;

pub(super) fn check(cfg: &mut Config, p: &mut Problems, models: &Entries<wire::Model>) {
    p.names("model", &models.0);
    for (name, model) in models.0.iter().take(MAX_ITEMS) {
        check_model(cfg, p, name, model);
    }
}

fn check_model(cfg: &mut Config, p: &mut Problems, name: &Word, model: &wire::Model) {
    p.names("version", &model.versions.0);
    if model.versions.0.is_empty() {
        p.add(
            name.referenced,
            Category::Rule,
            format!("model `{}` has no version", name.value),
            "add one below `versions`, or take the model out",
        );
    }
    let key = cfg.models.push(Model {
        name: name.value.clone(),
        versions: Vec::new(),
    });
    let mut versions = Vec::new();
    for (name, version) in &model.versions.0 {
        if cfg.versions.len() >= MAX_ITEMS {
            break;
        }
        versions.push(check_version(cfg, p, key, name, version));
    }
    check_shares(cfg, p, model, &versions);
    cfg.models.get_mut(key).versions = versions;
}

fn check_version(
    cfg: &mut Config,
    p: &mut Problems,
    model: ModelKey,
    name: &Word,
    version: &wire::Version,
) -> VersionKey {
    let price = Price {
        input: value::number(p, "price", &version.price.input, false),
        output: value::number(p, "price", &version.price.output, false),
    };
    let state = check_state(p, name, version);
    cfg.versions.push(Version {
        name: name.value.clone(),
        model,
        state,
        price,
    })
}

fn check_state(p: &mut Problems, name: &Word, version: &wire::Version) -> VersionState {
    let state = match p.one_of("state", &version.state, STATES) {
        "canary" => return check_canary(p, name, version),
        "serving" => VersionState::Serving,
        "draining" => VersionState::Draining,
        _ => VersionState::Withdrawn,
    };
    if let Some(share) = &version.share {
        p.add(
            share.referenced,
            Category::Rule,
            format!("version `{}` has a share but is no canary", name.value),
            "take `share` out, or write `state: canary`",
        );
    }
    state
}

fn check_canary(p: &mut Problems, name: &Word, version: &wire::Version) -> VersionState {
    let Some(word) = &version.share else {
        p.add(
            version.state.referenced,
            Category::Field,
            format!("canary `{}` has no share", name.value),
            "add the part of new sessions that it takes, such as `share: 5%`",
        );
        return VersionState::Withdrawn;
    };
    let share = value::ratio(p, "share", word);
    if share == Some(0.0) {
        p.add(
            word.referenced,
            Category::Value,
            format!("canary `{}` has a share of 0", name.value),
            "write a share above 0, or `state: draining`",
        );
    }
    VersionState::Canary {
        share: share.unwrap_or_default(),
    }
}

fn check_shares(cfg: &Config, p: &mut Problems, model: &wire::Model, versions: &[VersionKey]) {
    let mut sum = 0.0;
    for (key, (_, wire)) in versions.iter().zip(&model.versions.0) {
        let VersionState::Canary { share } = cfg.versions[*key].state else {
            continue;
        };
        sum += share;
        let at = wire.share.as_ref().unwrap_or(&wire.state).referenced;
        if sum > 1.0 + ROUNDING {
            p.add(
                at,
                Category::Rule,
                format!(
                    "with `{}` the model's canaries take {:.4}% of its new sessions",
                    cfg.version_name(*key),
                    sum * 100.0
                )
                .replace(".0000%", "%"),
                "lower the shares so that their sum is at most 100%",
            );
            return;
        }
    }
}

/// A version that takes new work but that no endpoint holds would refuse every caller that is
/// routed to it; nobody would notice before the first one.
pub(super) fn check_held(cfg: &Config, p: &mut Problems, models: &Entries<wire::Model>) {
    let held = held_versions(cfg);
    let places = models.0.iter().flat_map(|(_, m)| &m.versions.0);
    for ((key, version), (name, _)) in cfg.versions.iter().zip(places) {
        let new_work = matches!(
            version.state,
            VersionState::Canary { .. } | VersionState::Serving
        );
        if new_work && !held[key.index()] {
            p.add(
                name.referenced,
                Category::Rule,
                format!("no endpoint holds version `{}`", cfg.version_name(key)),
                "name it in `versions` of a pool or endpoint, or withdraw it",
            );
        }
    }
}

fn held_versions(cfg: &Config) -> Vec<bool> {
    let mut held = vec![false; cfg.versions.len()];
    for (_, endpoint) in cfg.endpoints.iter() {
        for version in &endpoint.versions {
            held[version.index()] = true;
        }
    }
    held
}

/// The versions that a word such as `planner/2026-11` or `planner/*` names.
pub(super) fn select(cfg: &Config, p: &mut Problems, word: &Word) -> Vec<VersionKey> {
    let Some((model, version)) = word.value.split_once('/') else {
        p.add(
            word.referenced,
            Category::Value,
            format!(
                "`{}` names no version",
                super::problems::shorten(&word.value)
            ),
            "write `model/version`, or `model/*` for all versions of a model",
        );
        return Vec::new();
    };
    let Some(key) = cfg.models.find(|m| m.name == model) else {
        let name = Word::new(model.to_owned(), word.referenced, word.defined);
        p.unknown(
            "model",
            &name,
            cfg.models.iter().map(|(_, m)| m.name.as_str()),
        );
        return Vec::new();
    };
    let all = &cfg.models[key].versions;
    if version == "*" {
        return all.clone();
    }
    match all.iter().find(|v| cfg.versions[**v].name == version) {
        Some(found) => vec![*found],
        None => {
            let names: Vec<String> = all.iter().map(|v| cfg.version_name(*v)).collect();
            p.unknown("version", word, names.iter().map(String::as_str));
            Vec::new()
        }
    }
}
