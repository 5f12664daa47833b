//! State shared by all requests of a relay.

use crate::admission::Admission;
use crate::body::BodyMemory;
use crate::clock::Clock;
use crate::crashes;
use crate::directory::{IneligibleCounts, RecordChange};
use crate::gossip::{self, Message};
use crate::in_flight::InFlightRequest;
use crate::line_limit::MAX_LINES_PER_SECOND;
use crate::metrics::Metrics;
use crate::node::ABANDON_MARGIN;
use crate::request_context::RequestContext;
use crate::roll_outs::AllowedVersions;
use crate::settings::Settings;
use crate::site::SiteConfig;
use crate::start_up::StartUp;
use crate::state::{PlacementRequest, RequestTime, State};
use crate::update::{Endpoint, EndpointChange, Update};
use crate::wire::Wire;
use oatdale_platform::{Pool, PoolConfig};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Connect timeout to an endpoint. Endpoints are a few milliseconds away; a slower one is better
/// replaced by another within the time that callers wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an idle connection to an endpoint is kept, unless the endpoint announces a time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Buffer of a connection to an endpoint, and receive buffer of its socket. A response that its
/// caller does not read is left with the endpoint beyond them. It also bounds a response's head.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Maximum number of idle connections kept per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

/// Fraction of the retry budget that escalations to larger models leave for retries of broken
/// streams: a broken stream is lost without a retry, while an answer of a small model is only
/// worse. When an endpoint with several streams of one node dies, all of them need a retry at once.
const STREAM_RETRY_RESERVE: f64 = 0.1;

/// Fraction of the stop time in which new streams are accepted: most of them end within the rest.
const STREAM_ACCEPT_FRACTION: f64 = 0.3;

/// Maximum number of names of unknown announcements that are logged.
const MAX_LOGGED_ANNOUNCEMENTS: usize = 16;

/// Numbers of changed endpoints in one read, by kind of change.
#[derive(Clone, Copy, Debug, Default)]
struct ChangeCounts {
    new: usize,
    restarted: usize,
    leaving: usize,
    gone: usize,
    other: usize,
}

/// Shared state of one relay.
pub(crate) struct Cx<W> {
    pub(crate) wire: W,
    pub(crate) settings: Settings,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) body_memory: BodyMemory,
    /// Socket for datagrams between nodes.
    pub(crate) socket: UdpSocket,
    pub(crate) start_up: StartUp,
    pub(crate) admission: Admission,
    /// Notified when the quarantined requests change, for in-flight requests that are among them.
    pub(crate) quarantine_changed: watch::Sender<()>,
    /// Notified when requests at endpoints are to be reported to the issuers of permits.
    pub(crate) held_changed: Notify,
    /// Notified when something is to be recorded of a request that crashes endpoints. It is written at
    /// once, since all nodes may be killed before the next tick.
    pub(crate) records_due: Notify,
    /// Cancelled when the requests that have no response yet are given up, shortly before the process ends.
    pub(crate) abandoned: CancellationToken,
    clock: Clock,
    state: Mutex<State>,
}

impl<W> Cx<W> {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<W: Wire> Cx<W> {
    pub(crate) fn new(wire: W, settings: Settings, metrics: Metrics, socket: UdpSocket) -> Self {
        let clock = Clock::start();
        let pool = Pool::new(PoolConfig {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            max_idle: MAX_IDLE_PER_ENDPOINT,
            receive_buffer_bytes: Some(RECEIVE_BUFFER_BYTES),
        });
        Cx {
            wire,
            pool,
            metrics,
            body_memory: BodyMemory::default(),
            socket,
            start_up: StartUp::new(settings.load_control.admission),
            admission: Admission::default(),
            quarantine_changed: watch::Sender::default(),
            held_changed: Notify::new(),
            records_due: Notify::new(),
            abandoned: CancellationToken::new(),
            clock,
            state: Mutex::new(State::new(
                clock.now(),
                settings.bounds,
                settings.load_control,
            )),
            settings,
        }
    }

    /// Returns the time on this node's clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the instant of a time on this node's clock.
    pub(crate) fn at(&self, time: Duration) -> Instant {
        self.clock.instant(time)
    }

    pub(crate) fn site(&self) -> Option<Arc<SiteConfig>> {
        self.state().site.clone()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.state().stopping.is_some()
    }

    /// Whether a request that is sent to an endpoint now is likely to be answered before this node stops.
    /// How long a response takes is known by the usual time of its route, or by the route's target; with neither the
    /// request is sent.
    pub(crate) fn has_time_for(&self, request_cx: &RequestContext) -> bool {
        let state = self.state();
        let Some(since) = state.stopping else {
            return true;
        };
        let stop_time = state.bounds.stop_time();
        if request_cx.route().kind.is_stream() {
            return since.elapsed() < stop_time.mul_f64(STREAM_ACCEPT_FRACTION);
        }
        let class = request_cx.response_latency_class();
        let usual = state.roll_outs.slow_threshold(class);
        let Some(needed) = usual.or(request_cx.route().target_latency) else {
            return true;
        };
        let needed = needed.min(request_cx.time_left());
        since.elapsed() + needed <= stop_time.saturating_sub(ABANDON_MARGIN)
    }

    /// Whether callers should use this node.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state();
        state.site.is_some() && !state.directory.is_empty() && state.stopping.is_none()
    }

    /// Applies an update from the platform.
    pub(crate) fn update(&self, update: Update) {
        let now = self.now();
        let mut state = self.state();
        match update {
            Update::Site(site) => self.apply_site(&mut state, site),
            Update::Endpoints(all) => {
                self.replace_endpoints(&mut state, now, all);
                crashes::settle(self, &mut state, now);
            }
            Update::EndpointChanges(changes) => {
                self.apply_endpoint_changes(&mut state, now, changes);
                crashes::settle(self, &mut state, now);
                self.record_endpoints_known(&state);
            }
            Update::Evacuated(domains) => self.apply_evacuated(&mut state, domains),
            Update::RollOut(roll_out) => state.roll_outs.update(now, roll_out),
            Update::VersionOutcome { service, outcome } => {
                state.roll_outs.record_outcome(&service, &outcome);
            }
            Update::Quarantine {
                request,
                state: recorded,
            } => {
                crashes::apply_record(self, &mut state, request, &recorded);
            }
            Update::RollOutEndLost(service) => state.roll_outs.handle_lost_end(now, &service),
            Update::Restored { kept } => {
                self.metrics.restores.inc();
                log::warn!(target: "node", "event=store_restored kept={kept}");
                crashes::schedule_rewrites(&mut state, now);
            }
            Update::Nodes(nodes) => state.nodes.replace(now, nodes),
            Update::ReadsOnlyForItself(is_set) => state.reads_only_for_itself = is_set,
            Update::StoreUnavailable => {
                self.metrics.store.set(0);
                self.start_up.record_store(false);
                // Until it has answered once, there is nothing that could be out of date.
                if state.store_unavailable_since.is_none() {
                    state.store_unavailable_since = Some(now);
                    state.directory.mark_store_unavailable();
                    state.nodes.mark_store_unavailable();
                }
            }
            Update::StoreAvailable => {
                self.metrics.store.set(1);
                self.start_up.record_store(true);
                state.mark_store_available(now);
                state.directory.mark_store_available(now);
                state.nodes.mark_store_available(now);
            }
        }
        self.metrics.endpoints.set(state.directory.len() as i64);
    }

    /// Applies a complete list of endpoints.
    pub(crate) fn replace_endpoints(&self, state: &mut State, now: Duration, all: Vec<Endpoint>) {
        for endpoint in &all {
            crashes::handle_endpoint_record(state, &endpoint.id, endpoint.addr);
        }
        for addr in state.directory.replace(now, all) {
            self.pool.forget(addr);
        }
        self.record_endpoints_known(state);
    }

    fn record_endpoints_known(&self, state: &State) {
        if !state.directory.is_empty() {
            self.start_up.record_endpoints();
        }
    }

    /// Applies the changes of one read and logs their counts; single endpoints are logged as far as
    /// [`LineLimit`](crate::line_limit::LineLimit) allows, first those that requests may be at.
    fn apply_endpoint_changes(
        &self,
        state: &mut State,
        now: Duration,
        changes: Vec<EndpointChange>,
    ) {
        let mut counts = ChangeCounts::default();
        let mut unremarkable = Vec::new();
        for change in changes {
            match change {
                EndpointChange::Gone(id) => {
                    counts.gone += 1;
                    self.apply_endpoint_gone(state, now, &id);
                }
                EndpointChange::Written(endpoint) => {
                    let known = state.directory.by_id_mut(&endpoint.id).is_some();
                    let written = endpoint.clone();
                    let change = self.apply_endpoint(state, now, endpoint);
                    counts.record(known, change);
                    match change {
                        RecordChange::None => unremarkable.push(written),
                        RecordChange::Leaves | RecordChange::Restarted(_) => {
                            log_endpoint(state, now, &written);
                        }
                    }
                }
            }
        }
        // Of many that start together, some lines would say no more than their number.
        match unremarkable.len() <= MAX_LINES_PER_SECOND as usize {
            true => unremarkable
                .iter()
                .for_each(|endpoint| log_endpoint(state, now, endpoint)),
            false => state.endpoint_lines.omit(unremarkable.len()),
        }
        let omitted = state.endpoint_lines.take_omitted();
        let known = state.directory.len();
        log::info!(target: "directory", "event=endpoints_changed {counts} omitted={omitted} known={known}");
    }

    fn apply_endpoint_gone(&self, state: &mut State, now: Duration, id: &str) {
        if state.endpoint_lines.allows(now) {
            log::info!(target: "directory", "event=endpoint_gone id={id}");
        }
        let born = state.directory.by_id_mut(id).and_then(|e| e.endpoint.born);
        if state.directory.remove(now, id) && state.reads_only_for_itself {
            let id = id.to_owned();
            gossip::broadcast(self, state, &Message::EndpointGone { id, born });
        }
    }

    fn apply_endpoint(&self, state: &mut State, now: Duration, endpoint: Endpoint) -> RecordChange {
        let (id, born) = (endpoint.id.clone(), endpoint.born);
        crashes::handle_endpoint_record(state, &id, endpoint.addr);
        let change = state.directory.upsert(now, endpoint);
        match change {
            RecordChange::Leaves if state.reads_only_for_itself => {
                gossip::broadcast(self, state, &Message::EndpointLeaves { id, born });
            }
            RecordChange::Restarted(previous_addr) => {
                if state.endpoint_lines.allows(now) {
                    log::info!(target: "directory", "event=endpoint_restarted id={id} born={born:?}");
                }
                self.pool.forget(previous_addr);
            }
            RecordChange::None | RecordChange::Leaves => {}
        }
        change
    }

    pub(crate) fn apply_evacuated(&self, state: &mut State, domains: BTreeSet<String>) {
        self.metrics.evacuated.set(domains.len() as i64);
        state.directory.set_evacuated(self.now(), domains);
    }

    pub(crate) fn apply_site(&self, state: &mut State, site: Arc<SiteConfig>) {
        let old = state.site.as_ref().map(|s| s.version);
        if old.is_some_and(|old| site.version <= old) {
            log::debug!(
                target: "config",
                "event=config_not_newer version={} old={old:?}",
                site.version
            );
            return;
        }
        log::info!(
            target: "config",
            "event=in_force version={} old={old:?} routes={}",
            site.version, site.routes.len()
        );
        self.metrics.version.set(site.version as i64);
        state.retain_routes(&site);
        self.admission.retain_routes(&site);
        state.site = Some(site);
        self.start_up.record_site();
    }

    /// Updates the metric of quarantined requests and notifies requests in flight.
    pub(crate) fn notify_quarantine_change(&self, state: &State) {
        let count = state.quarantine.quarantined(self.now()).count();
        self.metrics.quarantined.set(count as i64);
        self.quarantine_changed.send_replace(());
    }

    /// Returns the software versions that a request may use now. `own` is the request's hash.
    pub(crate) fn allowed(&self, service: &str, session: Option<u64>, own: u64) -> AllowedVersions {
        let now = self.now();
        let state = self.state();
        state.roll_outs.allowed(now, service, session, own)
    }

    /// Counts an announcement of an endpoint that this version does not know, and logs the first of
    /// each name.
    pub(crate) fn record_unknown_announcement(&self, name: &str, endpoint: &str) {
        self.metrics.unknown_announcements.inc();
        let mut state = self.state();
        let known = &mut state.unknown_announcements;
        if known.len() < MAX_LOGGED_ANNOUNCEMENTS && known.insert(name.to_owned()) {
            log::warn!(target: "attempt", "event=unknown_announcement name={name} endpoint={endpoint}");
        }
    }

    /// Whether an endpoint can take a request.
    pub(crate) fn has_eligible_endpoint(&self, request: &PlacementRequest<'_>) -> bool {
        let now = self.now();
        let mut state = self.state();
        state.update_warm_up_shares(now, request.service, &self.settings.host);
        let picked = state.pick_endpoint(now, request, &self.settings.failure_domain);
        picked.is_some()
    }

    /// Returns the expected times until the response head at the best endpoint that can take a
    /// request now; `None` if none can.
    pub(crate) fn expected_time(&self, request: &PlacementRequest<'_>) -> Option<RequestTime> {
        let now = self.now();
        let mut state = self.state();
        state.update_warm_up_shares(now, request.service, &self.settings.host);
        let pick = state.pick_endpoint(now, request, &self.settings.failure_domain)?;
        Some(state.request_time(now, request.service, &pick))
    }

    /// Places a request and counts it, or returns why no endpoint can take it.
    pub(crate) fn place(
        self: &Arc<Self>,
        request: &PlacementRequest<'_>,
    ) -> Result<InFlightRequest<W>, IneligibleCounts> {
        let now = self.now();
        let mut state = self.state();
        state.update_warm_up_shares(now, request.service, &self.settings.host);
        let Some(pick) = state.pick_endpoint(now, request, &self.settings.failure_domain) else {
            return Err(state.count_ineligible(now, request));
        };
        state.count_warm_up_request(now, pick.key);
        state.record_prefix(now, request);
        let Some(entry) = state.directory.begin_request(pick.key, request.weight) else {
            return Err(state.count_ineligible(now, request));
        };
        Ok(InFlightRequest::new(
            self.clone(),
            &pick,
            entry,
            request.weight,
        ))
    }

    /// Counts a request for a service, which adds to the service's retry budget.
    pub(crate) fn count_request(&self, service: &str) {
        let now = self.now();
        self.state().roll_outs.count_request(now, service);
        let mut state = self.state();
        let limit = state.retry_limit(now);
        state.retry_limiter(service).record_request(now, &limit);
    }

    /// Whether a request for a service may be retried; if so, spends from its retry budget.
    pub(crate) fn try_retry(&self, service: &str) -> bool {
        self.spend_retry(service, 0.0)
    }

    /// Whether a request may be escalated to a larger model for a better answer; if so, spends from
    /// the retry budget.
    pub(crate) fn try_escalate(&self, service: &str) -> bool {
        self.spend_retry(service, STREAM_RETRY_RESERVE)
    }

    fn spend_retry(&self, service: &str, reserve: f64) -> bool {
        let now = self.now();
        let mut state = self.state();
        let limit = state.retry_limit(now);
        let is_granted = state.retry_limiter(service).try_retry(now, &limit, reserve);
        if !is_granted {
            log::info!(
                target: "attempt",
                "event=retry_budget_exhausted service={service} reserved={reserve}"
            );
        }
        is_granted
    }
}

impl ChangeCounts {
    fn record(&mut self, is_known: bool, change: RecordChange) {
        let count = match change {
            RecordChange::Restarted(_) => &mut self.restarted,
            RecordChange::Leaves => &mut self.leaving,
            RecordChange::None if is_known => &mut self.other,
            RecordChange::None => &mut self.new,
        };
        *count += 1;
    }
}

impl fmt::Display for ChangeCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "new={} restarted={} leaving={} gone={} other={}",
            self.new, self.restarted, self.leaving, self.gone, self.other
        )
    }
}

fn log_endpoint(state: &mut State, now: Duration, endpoint: &Endpoint) {
    if !state.endpoint_lines.allows(now) {
        return;
    }
    log::info!(
        target: "directory",
        "event=endpoint id={} born={:?} service={} addr={} version={} leaving={} cold_left={:?}",
        endpoint.id, endpoint.born, endpoint.service, endpoint.addr, endpoint.version,
        endpoint.leaving, endpoint.cold_left
    );
}
