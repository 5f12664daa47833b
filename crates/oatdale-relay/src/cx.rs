//! What all of a relay's requests share.

use crate::directory::{Directory, EndpointKey};
use crate::metrics::Metrics;
use crate::nodes::Nodes;
use crate::roll_outs::{Allowed, RollOuts};
use crate::settings::{Bounds, Settings};
use crate::site::Site;
use crate::update::Update;
use crate::wire::Wire;
use http::{Request, Uri};
use http_body_util::Full;
use oatdale_platform::{Pool, PoolConfig, Reuse};
use oatdale_policy::relay::{Budget, Candidate, Mean, Placement, choose};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection to an endpoint may take to open. Endpoints are a few milliseconds away;
/// one that takes longer is better replaced by another within the time that callers wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an unused connection to an endpoint is kept, where the endpoint announces no time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Unused connections kept for one endpoint.
const MAX_IDLE: usize = 16;

/// The part of the site's allowance for repeats that nodes plan to use: the rest is for what nodes
/// count apart from each other, and for nodes that start again with a full budget.
const REPEAT_SHARE: f64 = 0.85;

/// Nodes among which the allowance beyond the ratio is dealt out at least: a node that starts does
/// not know the others yet.
const LEAST_NODES: usize = 4;

/// The part of what a node may save up that larger models leave: a stream that breaks off is lost
/// without a repeat, an answer of a small model is only worse. When an endpoint with several
/// streams of one node dies, all of them need one at once.
const KEPT_FOR_BROKEN: f64 = 0.2;

/// The part of the time for a stop in which new streams are taken: most of them end within the
/// rest of it.
const STREAMS_WHILE_STOPPING: f64 = 0.3;

/// Answers over which the wait at largest models is averaged: some seconds of one node's.
const WAIT_MEMORY: f64 = 12.0;

/// How long an engine may take to say that it is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Shared state of one relay.
pub(crate) struct Cx<W> {
    pub(crate) wire: W,
    pub(crate) settings: Settings,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    started: Instant,
    state: Mutex<State>,
}

/// What the platform and the answers have told so far.
pub(crate) struct State {
    pub(crate) bounds: Bounds,
    pub(crate) site: Option<Arc<Site>>,
    pub(crate) directory: Directory,
    pub(crate) roll_outs: RollOuts,
    pub(crate) nodes: Nodes,
    budgets: HashMap<String, Budget>,
    /// How long largest models let requests wait, as parts of their targets, by service.
    waits: HashMap<String, Mean>,
    /// When the node was told to stop, if it was.
    pub(crate) stopping: Option<Instant>,
}

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

/// A request under way at an endpoint; dropping it takes it off the endpoint's load.
pub(crate) struct Running<W> {
    cx: Arc<Cx<W>>,
    pub(crate) key: EndpointKey,
    weight: f64,
    pub(crate) addr: SocketAddr,
    pub(crate) id: String,
    pub(crate) version: String,
    /// The endpoint's load when it was picked, and among how many: for the log.
    pub(crate) load_before: f64,
    pub(crate) choices: usize,
}

impl<W: Wire> Cx<W> {
    pub(crate) fn new(wire: W, settings: Settings, metrics: Metrics) -> Self {
        let pool = Pool::new(PoolConfig {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            max_idle: MAX_IDLE,
        });
        Cx {
            wire,
            pool,
            metrics,
            started: Instant::now(),
            state: Mutex::new(State {
                bounds: settings.bounds,
                site: None,
                directory: Directory::default(),
                roll_outs: RollOuts::default(),
                nodes: Nodes::default(),
                budgets: HashMap::new(),
                waits: HashMap::new(),
                stopping: None,
            }),
            settings,
        }
    }

    /// Time since the process began.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn site(&self) -> Option<Arc<Site>> {
        self.state().site.clone()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.state().stopping.is_some()
    }

    /// Whether a stream that begins now would end before this node does.
    pub(crate) fn has_time_for_stream(&self) -> bool {
        let state = self.state();
        let takes = state.bounds.stop().mul_f64(STREAMS_WHILE_STOPPING);
        state.stopping.is_none_or(|since| since.elapsed() < takes)
    }

    /// Whether callers should use this node.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state();
        state.site.is_some() && !state.directory.is_empty() && state.stopping.is_none()
    }

    /// Takes in news from the platform.
    pub(crate) fn update(&self, update: Update) {
        let now = self.now();
        let mut state = self.state();
        match update {
            Update::Site(site) => self.take_site(&mut state, site),
            Update::Endpoints(all) => state.directory.replace(now, all),
            Update::Endpoint(endpoint) => {
                log::info!(
                    target: "directory",
                    "event=endpoint id={} service={} addr={} version={} leaving={}",
                    endpoint.id, endpoint.service, endpoint.addr, endpoint.version,
                    endpoint.leaving
                );
                state.directory.upsert(now, endpoint);
            }
            Update::EndpointGone(id) => {
                log::info!(target: "directory", "event=endpoint_gone id={id}");
                state.directory.remove(now, &id);
            }
            Update::RollOut(roll_out) => state.roll_outs.update(now, roll_out),
            Update::Nodes(nodes) => state.nodes.replace(now, nodes),
            Update::StoreLost => {
                self.metrics.store.set(0);
                state.directory.store_lost();
                state.nodes.store_lost();
            }
            Update::StoreBack => {
                self.metrics.store.set(1);
                state.directory.store_back(now);
                state.nodes.store_back(now);
            }
        }
        self.metrics.endpoints.set(state.directory.len() as i64);
    }

    fn take_site(&self, state: &mut State, site: Arc<Site>) {
        let old = state.site.as_ref().map(|s| s.version);
        if old.is_some_and(|old| site.version <= old) {
            log::debug!(target: "config", "event=not_newer version={} old={old:?}", site.version);
            return;
        }
        log::info!(
            target: "config",
            "event=in_force version={} old={old:?} routes={}",
            site.version, site.routes.len()
        );
        self.metrics.version.set(site.version as i64);
        state.site = Some(site);
    }

    /// Which software versions a request may use now. `own` is the request's hash.
    pub(crate) fn allowed(&self, service: &str, session: Option<u64>, own: u64) -> Allowed {
        let now = self.now();
        let state = self.state();
        state.roll_outs.allowed(now, service, session, own)
    }

    /// Places a request and counts it; `None` if no endpoint may take it.
    pub(crate) fn place(self: &Arc<Self>, wanted: &Wanted<'_>) -> Option<Running<W>> {
        let now = self.now();
        let mut state = self.state();
        let (key, choices) = state.pick(now, wanted, &self.settings.failure_domain)?;
        let entry = state.directory.get_mut(key)?;
        let load_before = entry.load;
        entry.running += 1;
        entry.load += wanted.weight;
        Some(Running {
            cx: self.clone(),
            key,
            weight: wanted.weight,
            addr: entry.endpoint.addr,
            id: entry.endpoint.id.clone(),
            version: entry.endpoint.version.clone(),
            load_before,
            choices,
        })
    }

    async fn probe(&self, addr: SocketAddr) -> bool {
        let mut req = Request::new(Full::default());
        *req.uri_mut() = Uri::from_static(self.wire.probe_path());
        let deadline = Instant::now() + PROBE_TIMEOUT;
        self.pool
            .send(addr, req, Reuse::Allowed, deadline)
            .await
            .is_ok()
    }

    /// Notes a request for a service, which pays for repeats.
    pub(crate) fn count_request(&self, service: &str) {
        let now = self.now();
        self.state().roll_outs.count_request(now, service);
        self.with_budget(service, Budget::deposit);
    }

    /// Whether a request for a service may be sent once more.
    pub(crate) fn may_repeat(&self, service: &str) -> bool {
        self.with_budget(service, Budget::withdraw)
    }

    /// Whether a request for a service may be sent once more only to get a better answer.
    pub(crate) fn may_escalate(&self, service: &str) -> bool {
        self.with_budget(service, |b| b.withdraw_above(KEPT_FOR_BROKEN))
    }

    fn with_budget<T>(&self, service: &str, f: impl FnOnce(&mut Budget) -> T) -> T {
        let now = self.now();
        let mut state = self.state();
        let bounds = state.bounds;
        let nodes = state.nodes.iter(now).count().max(LEAST_NODES);
        let cap = (bounds.repeat_slack * REPEAT_SHARE / nodes as f64).max(1.0);
        let budget = state
            .budgets
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(bounds.repeat_ratio * REPEAT_SHARE, cap));
        budget.set_cap(cap);
        f(budget)
    }
}

impl State {
    /// Notes how long a largest model let a request wait, as a part of its target.
    pub(crate) fn note_wait(&mut self, service: &str, part: f64) {
        let mean = self.waits.entry(service.to_owned());
        mean.or_insert_with(|| Mean::new(WAIT_MEMORY)).add(part);
    }

    /// How long largest models let requests wait lately, as a part of their targets.
    pub(crate) fn wait(&self, service: &str) -> f64 {
        self.waits.get(service).map_or(0.0, |mean| mean.get_or(0.0))
    }

    /// Whether this node has work on another version of a service than `target`.
    pub(crate) fn has_other_work(&self, service: &str, target: &str) -> bool {
        self.directory
            .busy(service)
            .any(|e| e.endpoint.version != target)
    }

    /// The endpoint for a request, and among how many it was picked.
    fn pick(
        &self,
        now: Duration,
        wanted: &Wanted<'_>,
        domain: &str,
    ) -> Option<(EndpointKey, usize)> {
        let all: Vec<_> = self
            .directory
            .usable(now, wanted.service)
            .filter(|(key, _)| !wanted.tried.contains(key))
            .collect();
        let matching = |prefer: &dyn Fn(&str) -> bool| -> Vec<_> {
            let fits = all.iter().filter(|(_, e)| prefer(&e.endpoint.version));
            fits.copied().collect()
        };
        let listed = match wanted.allowed {
            Allowed::All => all,
            Allowed::Not(version) => matching(&|v| v != version),
            Allowed::Prefer(version) => match matching(&|v| v == version) {
                preferred if preferred.is_empty() => all,
                preferred => preferred,
            },
            Allowed::Trial {
                version,
                seed,
                share,
            } => {
                let mut new = matching(&|v| v == version);
                new.retain(|(_, e)| !e.health.rests(now));
                new.sort_by_key(|(_, e)| hash(&(seed, &e.endpoint.id)));
                new.truncate((share * new.len() as f64).ceil() as usize);
                match new.is_empty() {
                    true => matching(&|v| v != version),
                    false => new,
                }
            }
        };
        // Those that seem to be away are asked only when there is no other.
        let awake: Vec<_> = listed
            .iter()
            .filter(|(_, e)| !e.health.rests(now))
            .copied()
            .collect();
        let listed = if awake.is_empty() { listed } else { awake };
        let candidates: Vec<Candidate> = listed
            .iter()
            .map(|(_, e)| Candidate {
                in_flight: (e.load + 0.1) * e.health.burden(),
                same_domain: e.endpoint.domain == domain,
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

impl<W> Drop for Running<W> {
    fn drop(&mut self) {
        let mut state = self.cx.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = state.directory.get_mut(self.key) {
            entry.running = entry.running.saturating_sub(1);
            // Sums of floats drift; an endpoint without work has no load.
            entry.load = match entry.running {
                0 => 0.0,
                _ => (entry.load - self.weight).max(0.0),
            };
        }
    }
}

impl<W: Wire> Running<W> {
    /// Bytes came from the endpoint.
    pub(crate) fn heard(&self) {
        let now = self.cx.now();
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.heard = now;
        }
    }

    /// Whether the endpoint sends nothing at all any more: nothing came for `silence`, and a
    /// question that an engine answers at once is not answered either.
    ///
    /// An engine that reads a long prompt sends nobody anything meanwhile. Without the question
    /// its streams would be ended for nothing.
    pub(crate) async fn is_dead(&self, silence: Duration) -> bool {
        let now = self.cx.now();
        {
            let mut state = self.cx.state();
            let Some(entry) = state.directory.get_mut(self.key) else {
                return false;
            };
            if now < entry.heard + silence {
                return false;
            }
            if entry.health.rests(now) {
                return true;
            }
            // Another request has just asked; its result shows at the next look.
            if now < entry.probed + PROBE_TIMEOUT * 2 {
                return false;
            }
            entry.probed = now;
        }
        let alive = self.cx.probe(self.addr).await;
        log::info!(target: "probe", "event=probed endpoint={} alive={alive}", self.id);
        match alive {
            true => self.heard(),
            false => self.silent(),
        }
        !alive
    }

    /// An answer came; `good` unless the endpoint failed it.
    pub(crate) fn answered(&self, good: bool) {
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.health.answered(good);
        }
    }

    /// No answer came, though there should have been one.
    pub(crate) fn silent(&self) {
        let now = self.cx.now();
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.health.silent(now);
        }
    }

    /// Another endpoint lives at its address.
    pub(crate) fn replaced(&self) {
        self.cx.pool.forget(self.addr);
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.replaced();
        }
    }
}

/// The same on every node.
pub(crate) fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
