//! Dependencies between services form no cycle.
//!
//! A service is refused room while one that it depends on has none; in a cycle each would wait
//! for the other, and callers of both would be refused for ever.

use crate::check::problems::Problems;
use crate::config::Config;
use crate::error::Category;
use crate::key::{Key, ServiceKey};
use crate::wire::{self, Word};

#[derive(Clone, Copy, PartialEq)]
enum Mark {
    New,
    OnPath,
    Done,
}

pub(super) fn check(cfg: &Config, p: &mut Problems, entries: &[(Word, wire::Service)]) {
    let mut marks = vec![Mark::New; cfg.services.len()];
    for start in cfg.services.keys() {
        if let Some(cycle) = find_cycle(cfg, &mut marks, start) {
            report(cfg, p, entries, &cycle);
        }
    }
}

/// Walks depth first from `start`, without recursion, as a chain may be as long as the text.
fn find_cycle(cfg: &Config, marks: &mut [Mark], start: ServiceKey) -> Option<Vec<ServiceKey>> {
    if marks[start.index()] != Mark::New {
        return None;
    }
    let mut cycle = None;
    marks[start.index()] = Mark::OnPath;
    let mut path = vec![(start, 0)];
    while let Some((service, next)) = path.last_mut() {
        let service = *service;
        let Some(dependency) = cfg.services[service].depends_on.get(*next).copied() else {
            marks[service.index()] = Mark::Done;
            path.pop();
            continue;
        };
        *next += 1;
        match marks[dependency.index()] {
            Mark::New => {
                marks[dependency.index()] = Mark::OnPath;
                path.push((dependency, 0));
            }
            Mark::OnPath if cycle.is_none() => {
                let on_path = path.iter().map(|(key, _)| *key);
                cycle = Some(on_path.skip_while(|key| *key != dependency).collect());
            }
            Mark::OnPath | Mark::Done => {}
        }
    }
    cycle
}

fn report(cfg: &Config, p: &mut Problems, entries: &[(Word, wire::Service)], cycle: &[ServiceKey]) {
    let name = |key: &ServiceKey| cfg.services[*key].name.as_str();
    let mut names: Vec<&str> = cycle.iter().map(name).collect();
    names.push(names[0]);
    let last = cycle[cycle.len() - 1];
    let (place, service) = &entries[last.index()];
    let closing = service.depends_on.iter().find(|d| d.value == names[0]);
    p.add(
        closing.unwrap_or(place).referenced,
        Category::Rule,
        format!(
            "services depend on each other in a cycle: {}",
            names.join(" -> ")
        ),
        format!(
            "take `{}` out of `depends-on` here, or break the cycle elsewhere",
            names[0]
        ),
    );
}
