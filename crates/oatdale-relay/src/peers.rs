//! State exchange between nodes while the key-value service does not answer one of them.
//!
//! The service may reject a single node, or be down while a node starts. Such a node would use an
//! outdated configuration, send requests to endpoints that left, or refuse everything, although its
//! peers have the current state. It polls one peer at a time until the service answers again.

mod wire;

use crate::conn_tracker::ConnTracker;
use crate::crashes;
use crate::cx::Cx;
use crate::forwarding::FORWARDED;
use crate::local::serve_http;
use crate::replica::{self, Replica};
use crate::reply::{Body, short_response};
use crate::serve::serve_forwarded;
use crate::wire::Wire;
use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use oatdale_platform::{Reuse, read_body};
use oatdale_policy::relay::Fingerprint;
use rand::seq::IteratorRandom;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use wire::Snapshot;

/// Polling interval. Endpoints that leave must get no new requests two seconds later, and the
/// polled node learns of their leaving within one second.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How long the key-value service may not answer before peers are polled: after most failed calls
/// it answers again at once.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout for the head of a response and for each pause in its body: nodes are a few milliseconds
/// apart.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum size of a response, in bytes: several times the largest value in the key-value service.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

const STATE_PATH: &str = "/v1/state";

/// Serves this node's state to other nodes.
pub(crate) async fn serve<W: Wire>(cx: Arc<Cx<W>>, records: Arc<Replica>, listener: TcpListener) {
    let in_flight = cx.metrics.in_flight.clone();
    serve_http(listener, in_flight, move |tracker, req| {
        handle(cx.clone(), records.clone(), tracker, req)
    })
    .await;
}

async fn handle<W: Wire>(
    cx: Arc<Cx<W>>,
    records: Arc<Replica>,
    tracker: ConnTracker,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    if req.headers().contains_key(FORWARDED) {
        return Ok(serve_forwarded(cx, tracker, req).await);
    }
    if req.uri().path() == replica::RECORDS_PATH {
        return Ok(replica::handle_fetch(&records, &cx.metrics.traffic, req.into_body()).await);
    }
    if req.uri().path() == replica::VERSIONS_PATH {
        return Ok(replica::handle_versions(&records, req.into_body()).await);
    }
    if req.uri().path() == replica::REGISTERED_PATH {
        return Ok(replica::handle_registered(&records));
    }
    let after = req.uri().query().and_then(|q| q.strip_prefix("after="));
    let after = after.and_then(|version| version.parse().ok());
    let res = match (req.uri().path(), after) {
        (STATE_PATH, Some(after)) => match snapshot(&cx, after).encode() {
            Ok(body) => {
                cx.metrics.traffic.count("state_served", body.len());
                short_response(StatusCode::OK, body)
            }
            Err(err) => {
                log::warn!(target: "peers", "event=encode_failed err={err}");
                short_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        },
        _ => short_response(StatusCode::NOT_FOUND, Bytes::new()),
    };
    Ok(res)
}

/// Returns this node's state, with the configuration only if it is newer than `after`.
fn snapshot<W: Wire>(cx: &Cx<W>, after: u64) -> Snapshot {
    let now = cx.now();
    let state = cx.state();
    let host = &cx.settings.host;
    let site = state.site.as_deref().filter(|site| site.version > after);
    Snapshot {
        is_current: state.store_unavailable_since.is_none(),
        site: site.map(Into::into),
        endpoints: state.directory.iter(now).cloned().collect(),
        evacuated: state.directory.evacuated().cloned(),
        nodes: state.nodes.iter(now).cloned().collect(),
        ended: state.roll_outs.ended(),
        under_way: state.roll_outs.reports(now, host, |service, target| {
            state.directory.has_other_work(service, target)
        }),
        outcomes: state.roll_outs.outcomes(),
        quarantined: state
            .quarantine
            .quarantined(now)
            .map(|request| request.0)
            .collect(),
    }
}

/// Polls other nodes while the key-value service does not answer this one.
pub(crate) async fn poll_while_store_unavailable<W: Wire>(cx: Arc<Cx<W>>) {
    loop {
        sleep(POLL_INTERVAL).await;
        let unavailable_since = cx.state().store_unavailable_since;
        if unavailable_since.is_none_or(|since| cx.now() < since + STORE_TIMEOUT) {
            continue;
        }
        let Some(peer) = pick_peer(&cx) else {
            continue;
        };
        match fetch_snapshot(&cx, peer).await {
            Ok(snapshot) => apply_snapshot(&cx, peer, snapshot),
            Err(reason) => {
                log::info!(target: "peers", "event=peer_failed peer={peer} reason={reason:?}");
                cx.state().directory.mark_store_unavailable();
            }
        }
    }
}

/// Picks a known node or a seed at random.
fn pick_peer<W: Wire>(cx: &Cx<W>) -> Option<SocketAddr> {
    let now = cx.now();
    let own = cx.settings.listen.state;
    let state = cx.state();
    let known = state.nodes.iter(now).filter_map(|node| node.state);
    let all = known.chain(cx.settings.seeds.iter().flatten().copied());
    all.filter(|addr| *addr != own).choose(&mut rand::rng())
}

async fn fetch_snapshot<W: Wire>(cx: &Cx<W>, peer: SocketAddr) -> Result<Snapshot, String> {
    let version = cx.site().map_or(0, |site| site.version);
    let uri =
        Uri::try_from(format!("{STATE_PATH}?after={version}")).map_err(|err| err.to_string())?;
    let mut req = Request::new(Full::default());
    *req.uri_mut() = uri;
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let sent = cx.pool.send(peer, req, Reuse::Allowed, deadline).await;
    let res = sent.map_err(|err| err.to_string())?;
    let body = read_body(res.into_body(), MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT).await;
    let body = body.map_err(|err| err.to_string())?;
    Snapshot::decode(&body).map_err(|err| err.to_string())
}

/// Applies a peer's snapshot.
///
/// If the key-value service answers the peer, endpoints missing from the snapshot have left.
/// Otherwise their entries may have expired with the service, and the endpoints are used only by a
/// node that knows none.
fn apply_snapshot<W: Wire>(cx: &Cx<W>, peer: SocketAddr, snapshot: Snapshot) {
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    // The service's own updates take precedence: it may have recovered during the request.
    if state.store_unavailable_since.is_none() {
        return;
    }
    log::info!(
        target: "peers",
        "event=snapshot_received peer={peer} current={} config={:?} endpoints={} nodes={}",
        snapshot.is_current, snapshot.site.as_ref().map(|s| s.version),
        snapshot.endpoints.len(), snapshot.nodes.len()
    );
    match snapshot.is_current {
        true => state.directory.mark_store_available(now),
        false => state.directory.mark_store_unavailable(),
    }
    for request in snapshot.quarantined {
        crashes::apply_state(cx, state, Fingerprint(request), true);
    }
    if snapshot.is_current || state.directory.is_empty() {
        cx.replace_endpoints(state, now, snapshot.endpoints);
    }
    // Applied before the configuration: a node that gets its first one serves at once.
    match snapshot.evacuated {
        Some(domains) if snapshot.is_current || state.directory.evacuated().is_none() => {
            cx.apply_evacuated(state, domains);
        }
        _ => {}
    }
    if snapshot.is_current || state.nodes.iter(now).next().is_none() {
        state.nodes.replace_from_peer(now, snapshot.nodes);
    }
    if let Some(site) = snapshot.site {
        cx.apply_site(state, Arc::new(site.into()));
    }
    for (service, outcomes) in &snapshot.outcomes {
        for outcome in outcomes {
            state.roll_outs.record_outcome(service, outcome);
        }
    }
    for roll_out in snapshot.ended {
        state.roll_outs.update(now, roll_out);
    }
    for report in &snapshot.under_way {
        state.roll_outs.merge_report(now, report);
    }
}
