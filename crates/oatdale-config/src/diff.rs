//! What differs between two configurations, for people: by meaning and by line.

use crate::config::{Config, PoolKind, ServiceKind, VersionState};
use serde::Serialize;
use similar::TextDiff;
use std::collections::BTreeMap;
use std::fmt;

/// Lines of context around each change of a line.
const CONTEXT: usize = 2;

/// One difference in meaning, such as `version planner/2026-12: state: serving -> draining`.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Change {
    /// What changed, such as `version planner/2026-12`.
    pub subject: String,
    /// Which of its properties; `None` when the subject itself came or went.
    pub field: Option<&'static str>,
    /// What it was; `None` when it came.
    pub old: Option<String>,
    /// What it is; `None` when it went.
    pub new: Option<String>,
}

/// The properties of one subject.
type Facts = Vec<(&'static str, Fact)>;

/// One property.
#[derive(PartialEq)]
enum Fact {
    Value(String),
    /// A list of which additions and removals are told.
    Names(Vec<String>),
}

/// Everything that differs in meaning, in the order of the sections of a text.
pub fn changes(old: &Config, new: &Config) -> Vec<Change> {
    let mut before = BTreeMap::new();
    for (place, subject, facts) in subjects(old) {
        before.insert(subject, (place, facts));
    }
    let mut changes = Vec::new();
    for (place, subject, facts) in subjects(new) {
        match before.remove(&subject) {
            None => changes.push((place, came(subject, &facts))),
            Some((_, was)) => compare(&mut changes, place, &subject, was, facts),
        }
    }
    changes.extend(
        before
            .into_iter()
            .map(|(subject, (place, _))| (place, went(subject))),
    );
    changes.sort_by_key(|(place, _)| *place);
    changes.into_iter().map(|(_, change)| change).collect()
}

/// The lines that differ, in the usual unified form; empty when none do.
pub fn unified(old: &str, new: &str, names: (&str, &str)) -> String {
    TextDiff::from_lines(old, new)
        .unified_diff()
        .context_radius(CONTEXT)
        .header(names.0, names.1)
        .to_string()
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.subject)?;
        match (self.field, &self.old, &self.new) {
            (None, None, Some(new)) => write!(f, "added ({new})"),
            (None, _, _) => f.write_str("removed"),
            (Some(field), Some(old), Some(new)) => write!(f, "{field}: {old} -> {new}"),
            (Some(field), Some(old), None) => write!(f, "{field}: without {old}"),
            (Some(field), None, Some(new)) => write!(f, "{field}: with {new}"),
            (Some(field), None, None) => f.write_str(field),
        }
    }
}

fn came(subject: String, facts: &Facts) -> Change {
    let values = facts.iter().filter_map(|(field, fact)| match fact {
        Fact::Value(value) => Some(format!("{field} {value}")),
        Fact::Names(_) => None,
    });
    Change {
        subject,
        field: None,
        old: None,
        new: Some(values.collect::<Vec<_>>().join(", ")),
    }
}

fn went(subject: String) -> Change {
    Change {
        subject,
        field: None,
        old: Some(String::new()),
        new: None,
    }
}

fn compare(changes: &mut Vec<(usize, Change)>, place: usize, subject: &str, was: Facts, is: Facts) {
    // The same sort of subject has the same properties in the same order.
    for ((field, old), (_, new)) in was.into_iter().zip(is) {
        let (old, new) = match (old, new) {
            (old, new) if old == new => continue,
            (Fact::Value(old), Fact::Value(new)) => (Some(old), Some(new)),
            (old, new) => (without(&old, &new), without(&new, &old)),
        };
        let change = |old, new| Change {
            subject: subject.to_owned(),
            field: Some(field),
            old,
            new,
        };
        match (old, new) {
            (Some(old), Some(new)) if is_list(field) => {
                changes.push((place, change(Some(old), None)));
                changes.push((place, change(None, Some(new))));
            }
            (old, new) => changes.push((place, change(old, new))),
        }
    }
}

/// Whether a property is told by additions and removals.
fn is_list(field: &str) -> bool {
    matches!(
        field,
        "keys" | "services" | "versions" | "depends-on" | "non-idempotent"
    )
}

/// The names of `list` that `other` lacks.
fn without(list: &Fact, other: &Fact) -> Option<String> {
    let (Fact::Names(list), Fact::Names(other)) = (list, other) else {
        return None;
    };
    let extra: Vec<&str> = list
        .iter()
        .filter(|name| !other.contains(name))
        .map(String::as_str)
        .collect();
    (!extra.is_empty()).then(|| extra.join(", "))
}

fn value(value: impl fmt::Display) -> Fact {
    Fact::Value(format!("{value}"))
}

/// Every subject with its section's place and its properties.
fn subjects(cfg: &Config) -> Vec<(usize, String, Facts)> {
    let domains = cfg.domains.iter().map(|(_, d)| {
        let facts = vec![("region", value(&d.region))];
        (0, format!("failure domain {}", d.name), facts)
    });
    let versions = cfg.versions.iter().map(|(key, v)| {
        let price = format!("{} in, {} out", v.price.input, v.price.output);
        let facts = vec![("state", value(v.state)), ("price", value(price))];
        (1, format!("version {}", cfg.version_name(key)), facts)
    });
    let pools = cfg.pools.iter().map(|(_, p)| {
        let facts = vec![("kind", value(p.kind))];
        (2, format!("pool {}", p.name), facts)
    });
    let endpoints = cfg.endpoints.iter().map(|(_, e)| {
        let facts = vec![
            ("pool", value(&cfg.pools[e.pool].name)),
            ("address", value(e.address)),
            ("failure-domain", value(&cfg.domains[e.domain].name)),
            ("concurrency", value(e.concurrency)),
            ("versions", version_names(cfg, &e.versions)),
        ];
        (3, format!("endpoint {}", e.name), facts)
    });
    let services = cfg
        .services
        .iter()
        .map(|(_, s)| (4, format!("service {}", s.name), service_facts(cfg, s)));
    let customers = cfg
        .customers
        .iter()
        .map(|(_, c)| (5, format!("customer {}", c.name), customer_facts(cfg, c)));
    domains
        .chain(versions)
        .chain(pools)
        .chain(endpoints)
        .chain(services)
        .chain(customers)
        .collect()
}

fn service_facts(cfg: &Config, s: &crate::Service) -> Facts {
    let (kind, models, quality, latency_weight) = match &s.kind {
        ServiceKind::Plain => ("plain", String::new(), 0.0, 0.0),
        ServiceKind::Model {
            models,
            quality,
            latency_weight,
        } => {
            let names: Vec<&str> = models
                .iter()
                .map(|m| cfg.models[*m].name.as_str())
                .collect();
            ("model", names.join(", "), *quality, *latency_weight)
        }
    };
    let depends_on = s.depends_on.iter();
    let calls = s.non_idempotent.iter();
    vec![
        ("kind", value(kind)),
        ("pool", value(&cfg.pools[s.pool].name)),
        // Their order is part of the meaning, so this is no list of additions.
        ("models", value(models)),
        ("quality", value(quality)),
        ("latency-weight", value(latency_weight)),
        ("deadline", value(humantime::format_duration(s.deadline))),
        (
            "depends-on",
            Fact::Names(depends_on.map(|d| cfg.services[*d].name.clone()).collect()),
        ),
        (
            "non-idempotent",
            Fact::Names(calls.map(|c| format!("{} {}", c.method, c.path)).collect()),
        ),
    ]
}

fn customer_facts(cfg: &Config, c: &crate::Customer) -> Facts {
    let services = c.services.iter();
    vec![
        ("requests-per-second", value(c.limits.requests_per_second)),
        ("concurrent", value(c.limits.concurrent)),
        ("weight", value(c.weight)),
        (
            "keys",
            Fact::Names(c.keys.iter().map(ToString::to_string).collect()),
        ),
        (
            "services",
            Fact::Names(services.map(|s| cfg.services[*s].name.clone()).collect()),
        ),
        ("versions", version_names(cfg, &c.versions)),
    ]
}

fn version_names(cfg: &Config, versions: &[crate::VersionKey]) -> Fact {
    Fact::Names(versions.iter().map(|v| cfg.version_name(*v)).collect())
}

impl fmt::Display for VersionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            VersionState::Canary { share } => write!(f, "canary {}", percent(*share)),
            VersionState::Serving => f.write_str("serving"),
            VersionState::Draining => f.write_str("draining"),
            VersionState::Withdrawn => f.write_str("withdrawn"),
        }
    }
}

impl fmt::Display for PoolKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PoolKind::Engines { fencing: true } => f.write_str("engines with fencing"),
            PoolKind::Engines { fencing: false } => f.write_str("engines without fencing"),
            PoolKind::Plain => f.write_str("plain"),
        }
    }
}

/// A share as the text writes it, such as `5%`; rounded, as `0.07 * 100` is not quite 7.
pub(crate) fn percent(share: f64) -> String {
    format!("{}%", (share * 1e6).round() / 1e4)
}
