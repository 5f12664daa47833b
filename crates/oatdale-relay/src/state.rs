//! What the platform and the answers have told so far, and the picks that follow from it.

mod warm_up;

use crate::crashes::{Checks, Unrecorded};
use crate::directory::{Directory, EndpointKey, Entry};
use crate::loads::{Adder, Shared};
use crate::nodes::Nodes;
use crate::roll_outs::{Allowed, RollOuts};
use crate::settings::Bounds;
use crate::site::Site;
use oatdale_policy::relay::{Allowance, Candidate, Mean, Placement, Quarantine, Repeats, choose};
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use warm_up::has_room;

/// The part of the site's allowance for repeats that nodes plan to use: the rest is for what nodes
/// count apart from each other, and for nodes that start again and know nothing of their repeats.
const REPEAT_SHARE: f64 = 0.85;

/// Nodes among which the allowance beyond the ratio is dealt out at least: a node that starts does
/// not know the others yet.
const LEAST_NODES: usize = 4;

/// Endpoints of a new version that a trial uses at least: one that is slow or failing by itself is told
/// from a bad version by what the others do.
const LEAST_TRIED: usize = 3;

/// Answers over which the wait at largest models is averaged: some seconds of one node's.
const WAIT_MEMORY: f64 = 12.0;

/// What the platform and the answers have told so far.
pub(crate) struct State {
    pub(crate) bounds: Bounds,
    pub(crate) site: Option<Arc<Site>>,
    pub(crate) directory: Directory,
    /// Checks whether endpoints crashed.
    pub(crate) checks: Checks,
    /// Requests that crash endpoints.
    pub(crate) quarantine: Quarantine,
    /// This node's decisions about these that the platform's records do not have yet.
    pub(crate) unrecorded: Unrecorded,
    pub(crate) roll_outs: RollOuts,
    pub(crate) nodes: Nodes,
    /// What other nodes tell of their loads, to be added up.
    pub(crate) adder: Adder,
    /// What all nodes together have at the endpoints.
    pub(crate) shared: Shared,
    repeats: HashMap<String, Repeats>,
    /// How long largest models let requests wait, as parts of their targets, by service.
    waits: HashMap<String, Mean>,
    /// Mean sizes of generations by route.
    sizes: HashMap<String, Mean>,
    /// When the node was told to stop, if it was.
    pub(crate) stopping: Option<Instant>,
    /// Whether this node reads the records for itself only.
    pub(crate) reads_alone: bool,
    /// Since when the key-value service does not answer this node, if it does not.
    pub(crate) store_lost: Option<Duration>,
    /// Since when the other nodes know this one.
    known_since: Duration,
}

/// Requests over which the usual size of a route's generations is averaged.
const SIZE_MEMORY: f64 = 200.0;

/// What decides where a request is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wanted<'a> {
    pub(crate) service: &'a str,
    pub(crate) allowed: &'a Allowed,
    /// Endpoints that had it already.
    pub(crate) tried: &'a [EndpointKey],
    /// Hash of the prompt's shared beginning, if an engine may keep it.
    pub(crate) prefix: Option<u64>,
    /// How much it adds to an endpoint's load.
    pub(crate) weight: f64,
}

impl State {
    /// Nothing is known yet.
    pub(crate) fn new(bounds: Bounds) -> Self {
        State {
            bounds,
            site: None,
            directory: Directory::default(),
            checks: Checks::default(),
            quarantine: Quarantine::default(),
            unrecorded: Unrecorded::default(),
            roll_outs: RollOuts::default(),
            nodes: Nodes::default(),
            adder: Adder::default(),
            shared: Shared::default(),
            repeats: HashMap::new(),
            waits: HashMap::new(),
            sizes: HashMap::new(),
            stopping: None,
            reads_alone: true,
            // It is lost until it has answered once.
            store_lost: Some(Duration::ZERO),
            known_since: Duration::ZERO,
        }
    }

    /// This node's part of the repeats that the site allows.
    pub(crate) fn allowance(&self, now: Duration) -> Allowance {
        let nodes = self.nodes.iter(now).count().max(LEAST_NODES);
        Allowance {
            window: self.bounds.repeat_window(),
            ratio: self.bounds.repeat_ratio * REPEAT_SHARE,
            slack: (self.bounds.repeat_slack * REPEAT_SHARE / nodes as f64).max(1.0),
        }
    }

    /// A service's requests and repeats at this node.
    pub(crate) fn repeats(&mut self, service: &str) -> &mut Repeats {
        self.repeats.entry(service.to_owned()).or_default()
    }

    /// Notes how long a largest model let a request wait, as a part of its target.
    pub(crate) fn note_wait(&mut self, service: &str, part: f64) {
        let mean = self.waits.entry(service.to_owned());
        mean.or_insert_with(|| Mean::new(WAIT_MEMORY)).add(part);
    }

    /// Forgets what was learned of routes that a configuration no longer has.
    pub(crate) fn keep_routes(&mut self, site: &Site) {
        let names: HashSet<_> = site.routes.iter().map(|r| r.name.as_str()).collect();
        self.sizes.retain(|name, _| names.contains(name.as_str()));
    }

    /// Notes the size of a generation and returns it as a multiple of the usual one of its route.
    pub(crate) fn relative_size(&mut self, route: &str, size: f64) -> f64 {
        let mean = self.sizes.entry(route.to_owned());
        let mean = mean.or_insert_with(|| Mean::new(SIZE_MEMORY));
        mean.add(size);
        size / mean.get_or(size).max(1.0)
    }

    /// How long largest models let requests wait lately, as a part of their targets.
    pub(crate) fn wait(&self, service: &str) -> f64 {
        self.waits.get(service).map_or(0.0, |mean| mean.get_or(0.0))
    }

    /// The endpoint for a request, and among how many it was picked.
    pub(crate) fn pick(
        &self,
        now: Duration,
        wanted: &Wanted<'_>,
        domain: &str,
    ) -> Option<(EndpointKey, usize)> {
        let usable = self.directory.usable(now, wanted.service);
        let all: Vec<_> = usable
            .filter(|(key, _)| !wanted.tried.contains(key))
            .collect();
        let listed = self.with_room(now, wanted, &all);
        // Those that seem to be away are asked only when there is no other.
        let awake = kept(&listed, |e| !e.health.is_ejected(now));
        let listed = if awake.is_empty() { listed } else { awake };
        let candidates: Vec<Candidate> = listed
            .iter()
            .map(|(_, e)| Candidate {
                in_flight: (self.load(now, wanted, e) + 0.1) * e.health.load_factor(),
                same_domain: e.endpoint.domain == domain,
                warms_up: e.says_cold(now),
                affinity: wanted.prefix.map_or(0, |p| hash(&(p, &e.endpoint.id))),
            })
            .collect();
        let placement = match wanted.prefix {
            Some(_) => Placement::Affinity,
            None => Placement::Load,
        };
        let at = choose(&candidates, placement, rand::random())?;
        Some((listed[at].0, candidates.len()))
    }
}

impl State {
    /// The endpoints whose version a request may use, without cold ones that get no more from this node now.
    fn with_room<'a>(
        &self,
        now: Duration,
        wanted: &Wanted<'_>,
        all: &[Listed<'a>],
    ) -> Vec<Listed<'a>> {
        let listed = of_version(now, wanted.allowed, all);
        let Some(time) = self.cold_time(wanted.service) else {
            return listed;
        };
        let room = kept(&listed, |e| has_room(now, e, time));
        match wanted.allowed {
            Allowed::Trial { version, .. } if room.is_empty() => kept(all, |e| {
                e.endpoint.version != *version && has_room(now, e, time)
            }),
            _ => room,
        }
    }

    /// What an endpoint has to do, as far as it matters for where a request is placed.
    ///
    /// Sums are a quarter of a second old. Plain requests go where the load is least: with the same sums all
    /// nodes would send theirs to the same endpoint until the next ones come. Prompts stay with the engine that
    /// keeps their beginning, and others take their place by it when that one has too much.
    fn load(&self, now: Duration, wanted: &Wanted<'_>, entry: &Entry) -> f64 {
        match (wanted.prefix, self.shared.last_report(now)) {
            (Some(_), Some(heard)) => {
                let summed = heard.saturating_sub(2 * self.shared.scheme().every);
                entry.known_load(now, Some(summed)) + self.shared.others(now, entry.number)
            }
            _ => entry.known_load(now, None),
        }
    }
}

/// An endpoint that may be picked.
type Listed<'a> = (EndpointKey, &'a Entry);

/// The endpoints whose version a request may use.
fn of_version<'a>(now: Duration, allowed: &Allowed, all: &[Listed<'a>]) -> Vec<Listed<'a>> {
    let is = |version: &str, e: &Entry| e.endpoint.version == version;
    match allowed {
        Allowed::All => all.to_vec(),
        Allowed::Not(version) => kept(all, |e| !is(version, e)),
        Allowed::Prefer(version) => match kept(all, |e| is(version, e)) {
            preferred if preferred.is_empty() => all.to_vec(),
            preferred => preferred,
        },
        Allowed::Trial {
            version,
            seed,
            share,
        } => {
            let mut new = kept(all, |e| is(version, e) && !e.health.is_ejected(now));
            new.sort_by_key(|(_, e)| hash(&(seed, &e.endpoint.id)));
            let part = (share * new.len() as f64).ceil() as usize;
            new.truncate(part.max(LEAST_TRIED));
            match new.is_empty() {
                true => kept(all, |e| !is(version, e)),
                false => new,
            }
        }
    }
}

fn kept<'a>(all: &[Listed<'a>], keep: impl Fn(&Entry) -> bool) -> Vec<Listed<'a>> {
    all.iter().filter(|(_, e)| keep(e)).copied().collect()
}

/// The same on every node.
pub(crate) fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
