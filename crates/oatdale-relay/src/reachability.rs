//! Checks whether this node can reach the endpoints of a service, after failures that could also be
//! those of its own links.

use crate::crashes;
use crate::cx::Cx;
use crate::directory::{EndpointKey, Entry};
use crate::in_flight::handle_unreachable;
use crate::state::State;
use crate::wire::Wire;
use futures::stream::{FuturesUnordered, StreamExt};
use oatdale_policy::relay::{
    CHECKED_ENDPOINTS, CheckOutcome, ForwardTargets, ReachChange, Reachability,
};
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Timeout of each connection attempt: endpoints are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay between the connection attempts of a check. The first endpoint mostly accepts, and the
/// others are then spared.
const CONNECT_STAGGER: Duration = Duration::from_millis(40);

/// Endpoints of a service that are tried before a failure counts as this node's own. More than in
/// other checks: one request may have crashed a part of the service.
const CHECKED_FOR_FAULT: usize = 8;

/// Endpoints of other services that a check tries after none of the service has accepted.
const CHECKED_OTHERS: usize = 2;

/// Reachability of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceReach {
    reach: Reachability,
    /// Notified when a check ends.
    checked: watch::Sender<()>,
    /// Endpoints that did not accept a connection since the last check.
    suspects: BTreeSet<EndpointKey>,
    /// Endpoints that failed in any way since the last check.
    failed: BTreeSet<EndpointKey>,
    /// Other nodes, as targets for requests while the service is unreachable.
    pub(crate) targets: ForwardTargets,
}

/// Endpoints to connect to in one check.
struct Targets {
    service: Vec<SocketAddr>,
    others: Vec<SocketAddr>,
}

/// Records a failure at an endpoint that may be due to this node's own links, and starts a check.
pub(crate) fn record_failure<W: Wire>(cx: &Arc<Cx<W>>, key: EndpointKey) {
    let mut state = cx.state();
    let Some(entry) = state.directory.get(key) else {
        return;
    };
    let service = entry.endpoint.service.clone();
    let known = state.reach.entry(service.clone()).or_default();
    known.failed.insert(key);
    schedule_check(cx, &mut state, &service);
}

/// Starts a check of a service, unless one is scheduled or running.
pub(crate) fn schedule_check<W: Wire>(cx: &Arc<Cx<W>>, state: &mut State, service: &str) {
    let known = state.reach.entry(service.to_owned()).or_default();
    if let Some(delay) = known.reach.schedule(cx.now()) {
        tokio::spawn(check_until_reached(cx.clone(), service.to_owned(), delay));
    }
}

/// Whether this node reaches no endpoint of a service, as far as known now.
pub(crate) fn is_unreachable<W>(cx: &Cx<W>, service: &str) -> bool {
    let state = cx.state();
    let known = state.reach.get(service);
    known.is_some_and(|known| known.reach.is_unreachable())
}

/// The same after a failure: waits for the outcome of a check that is running.
pub(crate) async fn is_unreachable_after_failure<W>(cx: &Cx<W>, service: &str) -> bool {
    loop {
        let mut checked = {
            let state = cx.state();
            match state.reach.get(service) {
                None => return false,
                Some(known) if known.reach.is_unreachable() => return true,
                Some(known) if !known.reach.is_checking() => return false,
                Some(known) => known.checked.subscribe(),
            }
        };
        // Unreachable: the state owns the sender.
        if checked.changed().await.is_err() {
            return false;
        }
    }
}

/// Records that an endpoint did not accept a connection. The other nodes are told so if a check shows
/// that this is not due to this node's own links.
pub(crate) fn record_unreachable<W: Wire>(cx: &Arc<Cx<W>>, key: EndpointKey) {
    {
        let mut guard = cx.state();
        let state = &mut *guard;
        if let Some(entry) = state.directory.get(key) {
            let service = entry.endpoint.service.clone();
            state.reach.entry(service).or_default().suspects.insert(key);
        }
    }
    record_failure(cx, key);
}

/// What a node reaches beside an endpoint that does not accept its connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultCheck {
    outcome: CheckOutcome,
    /// Number of the service's endpoints.
    endpoints: usize,
}

impl FaultCheck {
    /// Whether the failed connection is the endpoint's fault.
    pub(crate) fn shows_endpoint_fault(self) -> bool {
        self.outcome.shows_endpoint_fault(self.endpoints)
    }

    /// Name for logs.
    pub(crate) fn name(self) -> &'static str {
        name(self.outcome)
    }
}

/// Checks what else this node reaches after a failed connection to an endpoint of this service.
pub(crate) async fn check_for_fault<W: Wire>(cx: &Cx<W>, service: &str) -> FaultCheck {
    let (targets, endpoints) = {
        let state = cx.state();
        let now = cx.now();
        let endpoints = state.directory.eligible(now, service).count();
        let targets = Targets::new(&state, now, service, CHECKED_FOR_FAULT);
        (targets, endpoints)
    };
    let outcome = connect(&targets).await;
    FaultCheck { outcome, endpoints }
}

/// Checks a service, and repeats this until it is reached.
async fn check_until_reached<W: Wire>(cx: Arc<Cx<W>>, service: String, delay: Duration) {
    let mut next_delay = Some(delay);
    while let Some(delay) = next_delay {
        sleep(delay).await;
        let targets = start_check(&cx, &service);
        let began = Instant::now();
        let outcome = connect(&targets).await;
        cx.metrics
            .reach_checks
            .with_label_values(&[name(outcome)])
            .inc();
        log::info!(
            target: "reachability",
            "event=checked service={service} reached={} tried={} took_ms={}",
            name(outcome), targets.service.len(), began.elapsed().as_millis()
        );
        next_delay = finish_check(&cx, &service, outcome);
    }
}

fn start_check<W: Wire>(cx: &Cx<W>, service: &str) -> Targets {
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    let known = state.reach.entry(service.to_owned()).or_default();
    known.reach.start();
    let failed = std::mem::take(&mut known.failed);
    match known.reach.is_unreachable() {
        // Those that responded last may be the ones that have ended.
        true => Targets::new(state, now, service, CHECKED_ENDPOINTS),
        false => Targets::most_likely(state, now, service, &failed),
    }
}

impl Targets {
    /// Samples up to `count` endpoints of a service, and a few others.
    fn new(state: &State, now: Duration, service: &str, count: usize) -> Self {
        let own = state.directory.eligible(now, service);
        let own = own.map(|(_, e)| e.endpoint.addr);
        Targets {
            service: own.sample(&mut rand::rng(), count),
            others: Targets::sample_others(state, now, service),
        }
    }

    /// Selects the endpoints of a service that are most likely to accept a connection if this node reaches
    /// any, and a few others: those that have not failed now, and responded last. Many may end together, such
    /// as all of a version, while the others go on.
    fn most_likely(
        state: &State,
        now: Duration,
        service: &str,
        failed: &BTreeSet<EndpointKey>,
    ) -> Self {
        let own = state.directory.eligible(now, service);
        let by_evidence = |(key, entry): (EndpointKey, &Entry)| {
            let silent_for = now.saturating_sub(entry.last_progress);
            let addr = entry.endpoint.addr;
            (
                failed.contains(&key),
                !entry.has_responded(),
                silent_for,
                addr,
            )
        };
        let mut own: Vec<_> = own.map(by_evidence).collect();
        own.sort_unstable();
        let own = own.into_iter().map(|(_, _, _, addr)| addr);
        Targets {
            service: own.take(CHECKED_ENDPOINTS).collect(),
            others: Targets::sample_others(state, now, service),
        }
    }

    fn sample_others(state: &State, now: Duration, service: &str) -> Vec<SocketAddr> {
        let others = state.directory.iter(now);
        let others = others.filter(|e| e.service != service).map(|e| e.addr);
        others.sample(&mut rand::rng(), CHECKED_OTHERS)
    }
}

/// Records the outcome of a check, and returns the delay before the next one if there is to be one.
fn finish_check<W: Wire>(
    cx: &Arc<Cx<W>>,
    service: &str,
    outcome: CheckOutcome,
) -> Option<Duration> {
    let now = cx.now();
    let mut state = cx.state();
    let endpoints = state.directory.eligible(now, service).count();
    let known = state.reach.entry(service.to_owned()).or_default();
    let change = known.reach.finish(now, outcome);
    known.checked.send_replace(());
    let suspects = std::mem::take(&mut known.suspects);
    let is_unreachable = known.reach.is_unreachable();
    let next = is_unreachable.then(|| known.reach.schedule(now)).flatten();
    match change {
        ReachChange::None => {}
        ReachChange::Lost => {
            log::warn!(target: "reachability", "event=service_unreachable service={service} reached={}", name(outcome));
            // They may be dead without a sign of it.
            for (_, entry) in state.directory.eligible(now, service) {
                cx.pool.forget(entry.endpoint.addr);
            }
        }
        ReachChange::Regained => {
            log::warn!(target: "reachability", "event=service_reachable service={service}");
            // The failures were those of this node's links. The endpoint that is the first to
            // respond would otherwise get all requests.
            state.directory.reset_health(service);
        }
    }
    if outcome.shows_endpoint_fault(endpoints) {
        for key in suspects {
            handle_unreachable(cx, &mut state, key);
        }
    }
    if outcome == CheckOutcome::Service {
        crashes::recheck(cx, &state, service);
    }
    cx.metrics
        .unreachable_services
        .set(unreachable_services(&state));
    next
}

fn unreachable_services(state: &State) -> i64 {
    let unreachable = state.reach.values().filter(|s| s.reach.is_unreachable());
    unreachable.count() as i64
}

async fn connect(targets: &Targets) -> CheckOutcome {
    if targets.service.is_empty() || any_accepts(&targets.service).await {
        return CheckOutcome::Service;
    }
    match any_accepts(&targets.others).await {
        true => CheckOutcome::OtherServices,
        false => CheckOutcome::Nothing,
    }
}

/// Whether one of these addresses accepts a connection.
async fn any_accepts(addrs: &[SocketAddr]) -> bool {
    let attempts = addrs.iter().zip(0..).map(|(addr, n)| async move {
        sleep(CONNECT_STAGGER * n).await;
        matches!(
            timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await,
            Ok(Ok(_))
        )
    });
    let mut attempts: FuturesUnordered<_> = attempts.collect();
    while let Some(is_accepted) = attempts.next().await {
        if is_accepted {
            return true;
        }
    }
    false
}

/// Name for logs and metrics.
fn name(outcome: CheckOutcome) -> &'static str {
    match outcome {
        CheckOutcome::Service => "service",
        CheckOutcome::OtherServices => "other-services",
        CheckOutcome::Nothing => "nothing",
    }
}
