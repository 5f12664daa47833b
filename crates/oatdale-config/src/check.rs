//! Turns the text as written into the checked form, collecting every problem on the way.

mod customers;
mod graph;
mod models;
mod pools;
pub(crate) mod problems;
mod services;
pub(crate) mod value;

pub use crate::check::customers::unserved;

use crate::check::problems::Problems;
use crate::config::{Config, Domain};
use crate::error::{Category, Error, Result};
use crate::wire;
use serde_saphyr::Location;

impl TryFrom<wire::Text> for Config {
    type Error = Error;

    fn try_from(text: wire::Text) -> Result<Self> {
        let mut cfg = Config::default();
        let mut problems = Problems::default();
        check_domains(&mut cfg, &mut problems, &text.failure_domains);
        models::check(&mut cfg, &mut problems, &text.models);
        pools::check(&mut cfg, &mut problems, &text.pools);
        services::check(&mut cfg, &mut problems, &text.services);
        customers::check(&mut cfg, &mut problems, &text.customers);
        check_not_empty(&mut problems, &text);
        // These would only repeat, in other words, what was already found.
        if problems.is_empty() {
            models::check_held(&cfg, &mut problems, &text.models);
            customers::check_served(&cfg, &mut problems, &text.customers);
        }
        problems.finish(cfg)
    }
}

fn check_domains(cfg: &mut Config, p: &mut Problems, domains: &wire::Entries<wire::Domain>) {
    p.names("failure domain", &domains.0);
    for (name, domain) in &domains.0 {
        p.name("region", &domain.region);
        cfg.domains.push(Domain {
            name: name.value.clone(),
            region: domain.region.value.clone(),
        });
    }
}

/// A file that was cut off while it was written, or the wrong one, may still be sound YAML. In
/// force, it would shut out every caller at once.
fn check_not_empty(p: &mut Problems, text: &wire::Text) {
    let sections = [
        ("failure-domains", text.failure_domains.0.len()),
        ("pools", text.pools.0.len()),
        ("services", text.services.0.len()),
        ("customers", text.customers.0.len()),
    ];
    for (section, entries) in sections {
        if entries == 0 {
            p.add(
                Location::UNKNOWN,
                Category::Rule,
                format!("the text has no `{section}`"),
                format!("add a section `{section}:` with at least one entry"),
            );
        }
    }
}
