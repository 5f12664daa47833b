//! Finds out whether an endpoint crashed.

use crate::cx::Cx;
use crate::directory::EndpointKey;
use crate::plan::Plan;
use crate::running::{Running, note_unreachable};
use crate::wire::Wire;
use oatdale_policy::relay::Fingerprint;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Pauses before the connections by which an endpoint is checked. A process that ends may close its listener
/// after its connections.
const CHECK_PAUSES: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(200)];

/// How long such a connection may take to open.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Checks of endpoints that are under way.
#[derive(Debug, Default)]
pub(crate) struct Checks(HashMap<EndpointKey, Check>);

/// A check of one endpoint.
#[derive(Debug, Default)]
struct Check {
    /// Requests whose connections to it broke.
    requests: Vec<Fingerprint>,
    /// Closed when the check has ended.
    done: watch::Sender<()>,
}

impl Checks {
    /// Adds a request, and says whether a check of the endpoint has to be begun.
    fn add(&mut self, endpoint: EndpointKey, request: Fingerprint) -> bool {
        let check = self.0.entry(endpoint).or_default();
        check.requests.push(request);
        check.requests.len() == 1
    }

    fn end(&mut self, endpoint: EndpointKey) -> Vec<Fingerprint> {
        self.0
            .remove(&endpoint)
            .map_or_else(Vec::new, |c| c.requests)
    }

    /// A check of one of these endpoints, if one is under way.
    fn of(&self, endpoints: &[EndpointKey]) -> Option<watch::Receiver<()>> {
        let check = endpoints.iter().find_map(|key| self.0.get(key))?;
        Some(check.done.subscribe())
    }
}

/// Waits until it is known whether the endpoints that a suspected request was sent to have crashed: one crash more may
/// be one too many.
pub(crate) async fn settle<W: Wire>(cx: &Cx<W>, plan: &Plan) {
    loop {
        let check = {
            let state = cx.state();
            match state.quarantine.is_empty() || plan.sent_to.is_empty() {
                true => None,
                false => state.checks.of(&plan.sent_to),
            }
        };
        let Some(mut check) = check else { return };
        if !cx.is_suspected(plan) {
            return;
        }
        // It ends with its sender.
        while check.changed().await.is_ok() {}
    }
}

/// Notes that an endpoint's connection broke while it had the request, and checks whether the endpoint crashed.
///
/// Endpoints whose answers to the request were dropped before are checked too: nobody was there to see them crash.
/// One that was about to leave ends by plan, with what it still has.
pub(crate) fn note_broken<W: Wire>(cx: &Arc<Cx<W>>, plan: &Plan, running: &Running<W>) {
    if running.is_leaving() {
        return;
    }
    let request = plan.fingerprint();
    log::info!(
        target: "attempt",
        "event=broken id={} request={request} endpoint={}",
        plan.facts.id.as_deref().unwrap_or("-"), running.id
    );
    let now = cx.now();
    let mut state = cx.state();
    let state = &mut *state;
    for key in &plan.sent_to {
        let Some(entry) = state.directory.get(*key) else {
            continue;
        };
        if !entry.left_by_plan(now) && state.checks.add(*key, request) {
            tokio::spawn(check(cx.clone(), *key, entry.endpoint.addr));
        }
    }
}

/// Checks one endpoint for all requests whose connections to it broke.
async fn check<W: Wire>(cx: Arc<Cx<W>>, key: EndpointKey, addr: SocketAddr) {
    let is_again = cx.state().directory.started_again(key);
    let reached = match is_again {
        true => Reached::Refused,
        false => reach(addr).await,
    };
    let has_crashed = reached == Reached::Refused;
    let mut state = cx.state();
    if reached != Reached::Yes {
        note_unreachable(&cx, &mut state, key);
    }
    let requests = state.checks.end(key);
    let Some(entry) = state.directory.get(key) else {
        return;
    };
    let endpoint = entry.number;
    log::info!(
        target: "quarantine",
        "event=checked endpoint={} number={endpoint} crashed={has_crashed} requests={}",
        entry.endpoint.id, requests.len()
    );
    if has_crashed {
        cx.metrics.crashes.inc();
        super::report(&cx, &mut state, endpoint, &requests);
    }
}

/// Whether an endpoint can be reached.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Reached {
    Yes,
    /// Nobody listens there.
    Refused,
    /// Its host does not answer, which says nothing of its process.
    No,
}

async fn reach(addr: SocketAddr) -> Reached {
    let mut reached = Reached::Yes;
    for pause in CHECK_PAUSES {
        sleep(pause).await;
        reached = match timeout(CHECK_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(_)) => Reached::Yes,
            Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
                return Reached::Refused;
            }
            Ok(Err(_)) | Err(_) => Reached::No,
        };
    }
    reached
}
