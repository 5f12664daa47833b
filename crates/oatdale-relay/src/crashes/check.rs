//! Finds out whether an endpoint crashed.

use crate::cx::Cx;
use crate::directory::EndpointKey;
use crate::plan::Plan;
use crate::running::Running;
use crate::wire::Wire;
use oatdale_policy::relay::Fingerprint;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Pauses before the connections by which an endpoint is checked. A process that ends may close its listener
/// after its connections.
const CHECK_PAUSES: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(200)];

/// How long such a connection may take to open.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Requests whose connections broke, by the endpoint that is being checked for it.
#[derive(Debug, Default)]
pub(crate) struct Broken(HashMap<EndpointKey, Vec<Fingerprint>>);

impl Broken {
    /// Adds a request, and says whether it is the first one of its endpoint.
    fn add(&mut self, endpoint: EndpointKey, request: Fingerprint) -> bool {
        let requests = self.0.entry(endpoint).or_default();
        requests.push(request);
        requests.len() == 1
    }

    fn take(&mut self, endpoint: EndpointKey) -> Vec<Fingerprint> {
        self.0.remove(&endpoint).unwrap_or_default()
    }
}

/// Notes that an endpoint's connection broke while it had the request, and checks whether the endpoint crashed.
///
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
    if cx.state().broken.add(running.key, request) {
        tokio::spawn(check(cx.clone(), running.key, running.addr));
    }
}

/// Checks one endpoint for all requests whose connections to it broke.
async fn check<W: Wire>(cx: Arc<Cx<W>>, key: EndpointKey, addr: SocketAddr) {
    let has_crashed = cx.state().directory.started_again(key) || refuses(addr).await;
    let mut state = cx.state();
    let requests = state.broken.take(key);
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

/// Whether nobody listens at an address.
///
/// A host that can't be reached says nothing of the endpoint's process.
async fn refuses(addr: SocketAddr) -> bool {
    for pause in CHECK_PAUSES {
        sleep(pause).await;
        let opened = timeout(CHECK_TIMEOUT, TcpStream::connect(addr)).await;
        if matches!(opened, Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
    }
    false
}
