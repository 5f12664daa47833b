//! Detection of endpoint crashes.

use crate::crashes::unconfirmed;
use crate::cx::Cx;
use crate::directory::EndpointKey;
use crate::in_flight::{InFlightRequest, handle_unreachable};
use crate::reachability;
use crate::request_context::RequestContext;
use crate::state::State;
use crate::wire::Wire;
use oatdale_policy::relay::{CrashedRequest, EndpointFate};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Delays before each connection attempt of a check. There is more than one attempt because a
/// process that exits may close its listener after its connections.
const CONNECT_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(200)];

/// Timeout of each connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of parts of a prompt in a log line, the last ones.
const MAX_LOGGED_PARTS: usize = 8;

/// Checks in progress, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks(HashMap<EndpointKey, Check>);

/// A check of one endpoint.
#[derive(Debug, Default)]
struct Check {
    /// Requests whose connections to the endpoint broke.
    requests: Vec<CrashedRequest>,
    /// Closed when the check ends.
    done: watch::Sender<()>,
}

impl CrashChecks {
    /// Adds a request, and returns whether a check of the endpoint has to be started.
    fn add(&mut self, endpoint: EndpointKey, request: CrashedRequest) -> bool {
        let check = self.0.entry(endpoint).or_default();
        check.requests.push(request);
        check.requests.len() == 1
    }

    fn finish(&mut self, endpoint: EndpointKey) -> Vec<CrashedRequest> {
        self.0
            .remove(&endpoint)
            .map_or_else(Vec::new, |c| c.requests)
    }

    /// Returns a receiver that closes with the check of one of these endpoints, if one is in
    /// progress.
    fn watch_any(&self, endpoints: &[EndpointKey]) -> Option<watch::Receiver<()>> {
        let check = endpoints.iter().find_map(|key| self.0.get(key))?;
        Some(check.done.subscribe())
    }
}

/// Waits until it is known whether the endpoints that may have run a suspected request have crashed,
/// since one more crash may quarantine it.
pub(crate) async fn wait_for_checks<W: Wire>(cx: &Cx<W>, request_cx: &RequestContext) {
    loop {
        let check = {
            let state = cx.state();
            match state.quarantine.is_empty() || request_cx.may_have_run_at.is_empty() {
                true => None,
                false => state.checks.watch_any(&request_cx.may_have_run_at),
            }
        };
        let Some(mut check) = check else { return };
        if !cx.is_suspected(request_cx) {
            return;
        }
        // Ends when the check drops its sender.
        while check.changed().await.is_ok() {}
    }
}

/// Starts checking whether the endpoint has crashed, after its connection broke during a request.
///
/// Endpoints that may have run the request before are checked too: this node no longer reads their
/// responses, so it would not notice a crash otherwise. A leaving endpoint is not checked: it stops
/// as planned, even with requests in flight.
pub(crate) fn check_for_crash<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &RequestContext,
    in_flight: &InFlightRequest<W>,
) {
    if in_flight.is_leaving() {
        log::info!(target: "quarantine", "event=not_checked endpoint={} reason=\"planned end\"", in_flight.id);
        return;
    }
    let request = request_cx.fingerprint();
    let parts = request_cx.part_fingerprints();
    let logged = parts.iter().rev().take(MAX_LOGGED_PARTS).rev();
    let logged: Vec<_> = logged.map(ToString::to_string).collect();
    log::info!(
        target: "attempt",
        "event=broken id={} request={request} parts={} part_count={} endpoint={}",
        request_cx.metadata.id.as_deref().unwrap_or("-"), logged.join(","), parts.len(), in_flight.id
    );
    let now = cx.now();
    let mut state = cx.state();
    let state = &mut *state;
    for key in &request_cx.may_have_run_at {
        let Some(entry) = state.directory.get(*key) else {
            continue;
        };
        let crashed = CrashedRequest {
            request,
            parts: request_cx.part_fingerprints().into(),
            first_position: 0,
        };
        if entry.has_planned_end(now) {
            log::info!(target: "quarantine", "event=not_checked endpoint={} reason=\"planned end\"", entry.endpoint.id);
        } else if state.checks.add(*key, crashed) {
            let service = entry.endpoint.service.clone();
            tokio::spawn(check(cx.clone(), *key, entry.endpoint.addr, service));
        }
    }
}

/// Checks one endpoint on behalf of all requests whose connections to it broke.
async fn check<W: Wire>(cx: Arc<Cx<W>>, key: EndpointKey, addr: SocketAddr, service: String) {
    let fate = cx.state().directory.fate(cx.now(), key);
    let is_replaced = fate == Some(EndpointFate::Replaced);
    let outcome = match is_replaced {
        true => ConnectOutcome::Refused,
        false => try_connect(addr).await,
    };
    // A refused connection may also mean that this node's own links are cut.
    let reached = match outcome {
        ConnectOutcome::Refused | ConnectOutcome::Unreachable if !is_replaced => {
            Some(reachability::check_for_fault(&cx, &service).await)
        }
        _ => None,
    };
    let may_be_own_link = reached.is_some_and(|reached| !reached.shows_endpoint_fault());
    let mut guard = cx.state();
    let state = &mut *guard;
    if outcome != ConnectOutcome::Reachable && !may_be_own_link {
        handle_unreachable(&cx, state, key);
    }
    let requests = state.checks.finish(key);
    let Some(entry) = state.directory.get(key) else {
        return;
    };
    let endpoint = entry.number;
    let has_crashed = outcome == ConnectOutcome::Refused && !may_be_own_link;
    log::info!(
        target: "quarantine",
        "event=checked endpoint={} number={endpoint} connection={} replaced={is_replaced} reached={} \
         crashed={has_crashed} own_link={may_be_own_link} requests={}",
        entry.endpoint.id, outcome.name(), reached.map_or("-", reachability::FaultCheck::name), requests.len()
    );
    match outcome {
        ConnectOutcome::Refused if has_crashed => {
            cx.metrics.crashes.inc();
            unconfirmed::report_end(&cx, state, key, is_replaced);
            super::report_crash(&cx, state, &service, endpoint, requests);
        }
        ConnectOutcome::Refused | ConnectOutcome::Reachable => {
            let accepts = outcome == ConnectOutcome::Reachable;
            unconfirmed::add(&cx, state, key, requests, accepts);
        }
        // The host may have lost its power or its links, with all that it runs.
        ConnectOutcome::Unreachable => {}
    }
}

/// Whether an endpoint no longer accepts connections or has been replaced, right after one of its connections
/// has ended.
pub(crate) async fn has_ended<W: Wire>(in_flight: &InFlightRequest<W>) -> bool {
    let [delay, ..] = CONNECT_DELAYS;
    sleep(delay).await;
    let cx = &in_flight.cx;
    let fate = cx.state().directory.fate(cx.now(), in_flight.key);
    fate == Some(EndpointFate::Replaced)
        || connect(in_flight.addr).await != ConnectOutcome::Reachable
}

/// Reports the crashes that have been confirmed by what became of the endpoints.
pub(crate) fn settle<W: Wire>(cx: &Cx<W>, state: &mut State, now: Duration) {
    if state.unconfirmed_crashes.is_empty() {
        return;
    }
    let directory = &state.directory;
    let settled = state
        .unconfirmed_crashes
        .settle(now, |key| directory.fate(now, key));
    for crash in settled {
        let Some(entry) = state.directory.get(crash.endpoint) else {
            continue;
        };
        let (endpoint, service) = (entry.number, entry.endpoint.service.clone());
        log::info!(
            target: "quarantine",
            "event=settled endpoint={} number={endpoint} fate={:?} crashed={} dropped={}",
            entry.endpoint.id, crash.fate, crash.crashed.len(), crash.dropped
        );
        if crash.crashed.is_empty() {
            continue;
        }
        cx.metrics.crashes.inc();
        // One that another node reported is known to those that have to know.
        if state.directory.fate(now, crash.endpoint) == Some(crash.fate) {
            let is_replaced = crash.fate == EndpointFate::Replaced;
            unconfirmed::report_end(cx, state, crash.endpoint, is_replaced);
        }
        super::report_crash(cx, state, &service, endpoint, crash.crashed);
    }
}

/// Checks endpoints of a service that refused connections when none of the service accepted any, now that one
/// does.
pub(crate) fn recheck<W: Wire>(cx: &Arc<Cx<W>>, state: &State, service: &str) {
    let silent = state.unconfirmed_crashes.silent_endpoints();
    for key in silent {
        let entry = state.directory.get(key);
        if let Some(entry) = entry.filter(|e| e.endpoint.service == service) {
            tokio::spawn(recheck_endpoint(cx.clone(), key, entry.endpoint.addr));
        }
    }
}

async fn recheck_endpoint<W: Wire>(cx: Arc<Cx<W>>, key: EndpointKey, addr: SocketAddr) {
    let began = cx.now();
    // The links to the service may come back one after the other.
    for delay in CONNECT_DELAYS {
        sleep(delay).await;
        match connect(addr).await {
            ConnectOutcome::Refused => {}
            ConnectOutcome::Unreachable => return,
            ConnectOutcome::Reachable => {
                let now = cx.now();
                let unconfirmed = &mut cx.state().unconfirmed_crashes;
                return unconfirmed.record_response(now, key, began);
            }
        }
    }
    let mut guard = cx.state();
    let state = &mut *guard;
    let Some(entry) = state.directory.get(key) else {
        return;
    };
    let (endpoint, service) = (entry.number, entry.endpoint.service.clone());
    let requests = state.unconfirmed_crashes.confirm(key);
    if requests.is_empty() {
        return;
    }
    log::info!(
        target: "quarantine",
        "event=rechecked endpoint={} number={endpoint} crashed=true requests={}",
        entry.endpoint.id, requests.len()
    );
    cx.metrics.crashes.inc();
    unconfirmed::report_end(&cx, state, key, false);
    super::report_crash(&cx, state, &service, endpoint, requests);
}

/// Handles the record of an endpoint. If it is the first one with this id, others at its address have ended.
pub(crate) fn handle_endpoint_record(state: &mut State, id: &str, addr: SocketAddr) {
    if state.unconfirmed_crashes.is_empty() || state.directory.by_id_mut(id).is_some() {
        return;
    }
    for key in state.unconfirmed_crashes.endpoints() {
        let entry = state.directory.get_mut(key);
        if let Some(entry) = entry.filter(|e| e.endpoint.addr == addr && e.endpoint.id != id) {
            entry.mark_replaced();
        }
    }
}

/// Result of a connection attempt to an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ConnectOutcome {
    Reachable,
    /// No process listens at the address.
    Refused,
    /// The host does not respond, which says nothing about the endpoint's process.
    Unreachable,
}

impl ConnectOutcome {
    /// Name for logs.
    fn name(self) -> &'static str {
        match self {
            ConnectOutcome::Reachable => "accepted",
            ConnectOutcome::Refused => "refused",
            ConnectOutcome::Unreachable => "silent",
        }
    }
}

async fn try_connect(addr: SocketAddr) -> ConnectOutcome {
    let mut outcome = ConnectOutcome::Reachable;
    for delay in CONNECT_DELAYS {
        sleep(delay).await;
        outcome = connect(addr).await;
        if outcome == ConnectOutcome::Refused {
            break;
        }
    }
    outcome
}

async fn connect(addr: SocketAddr) -> ConnectOutcome {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => ConnectOutcome::Reachable,
        Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => ConnectOutcome::Refused,
        Ok(Err(_)) | Err(_) => ConnectOutcome::Unreachable,
    }
}
