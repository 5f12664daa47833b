//! Turns the text as written into the checked form, collecting every problem on the way.

mod customers;
mod graph;
mod models;
mod pools;
pub(crate) mod problems;
mod services;
pub(crate) mod value;

use crate::check::problems::Problems;
use crate::config::{Config, Domain};
use crate::error::{Error, Result};
use crate::wire;

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
