//! What nodes tell each other of the site while the key-value service does not answer one of them.
//!
//! The service may turn a single node away, or be down while a node starts. Such a node would go on
//! with an old configuration, send requests to endpoints that left, or refuse everything, although its
//! neighbours know better. It asks one of them at a time, until the service answers again.

mod wire;

use crate::crashes;
use crate::cx::Cx;
use crate::local::serve_with;
use crate::replica::{self, Replica};
use crate::reply::{Body, plain};
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

/// Time between two questions. Endpoints that leave must get nothing new two seconds later, and the
/// node that is asked learns of it within one.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// How long the key-value service may be silent before others are asked: it is back at once after most
/// failed calls.
const PATIENCE: Duration = Duration::from_millis(700);

/// How long an answer's head may take, and each pause in its body: nodes are a few milliseconds apart.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// The longest answer: several times the largest value that the key-value service holds.
const MAX_ANSWER: usize = 8 << 20;

const PATH: &str = "/v1/state";

/// Tells other nodes what this one knows.
pub(crate) async fn serve<W: Wire>(cx: Arc<Cx<W>>, records: Arc<Replica>, listener: TcpListener) {
    serve_with(listener, move |req| {
        answer(cx.clone(), records.clone(), req)
    })
    .await;
}

async fn answer<W: Wire>(
    cx: Arc<Cx<W>>,
    records: Arc<Replica>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    if req.uri().path() == replica::PATH {
        return Ok(replica::answer(&records, req.into_body()).await);
    }
    if req.uri().path() == replica::KNOWN_PATH {
        return Ok(replica::answer_known(&records, req.into_body()).await);
    }
    let after = req.uri().query().and_then(|q| q.strip_prefix("after="));
    let after = after.and_then(|version| version.parse().ok());
    let res = match (req.uri().path(), after) {
        (PATH, Some(after)) => match snapshot(&cx, after).encode() {
            Ok(body) => plain(StatusCode::OK, body),
            Err(err) => {
                log::warn!(target: "peers", "event=encode_failed err={err}");
                plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        },
        _ => plain(StatusCode::NOT_FOUND, Bytes::new()),
    };
    Ok(res)
}

/// What this node knows; the configuration only if it is newer than `after`.
fn snapshot<W: Wire>(cx: &Cx<W>, after: u64) -> Snapshot {
    let now = cx.now();
    let state = cx.state();
    let host = &cx.settings.host;
    let site = state.site.as_deref().filter(|site| site.version > after);
    Snapshot {
        is_current: state.store_lost.is_none(),
        site: site.map(Into::into),
        endpoints: state.directory.iter(now).cloned().collect(),
        evacuated: state.directory.evacuated().cloned(),
        nodes: state.nodes.iter(now).cloned().collect(),
        ended: state.roll_outs.ended(),
        under_way: state.roll_outs.reports(now, host, |service, target| {
            state.directory.has_other_work(service, target)
        }),
        quarantined: state
            .quarantine
            .held(now)
            .map(|request| request.0)
            .collect(),
    }
}

/// Asks other nodes while the key-value service does not answer this one.
pub(crate) async fn follow<W: Wire>(cx: Arc<Cx<W>>) {
    loop {
        sleep(ASK_EVERY).await;
        let lost = cx.state().store_lost;
        if lost.is_none_or(|since| cx.now() < since + PATIENCE) {
            continue;
        }
        let Some(peer) = pick(&cx) else {
            continue;
        };
        match ask(&cx, peer).await {
            Ok(snapshot) => take(&cx, peer, snapshot),
            Err(reason) => {
                log::info!(target: "peers", "event=peer_failed peer={peer} reason={reason:?}");
                cx.state().directory.store_lost();
            }
        }
    }
}

/// One of the nodes that are known, or of the seeds.
fn pick<W: Wire>(cx: &Cx<W>) -> Option<SocketAddr> {
    let now = cx.now();
    let own = cx.settings.listen.state;
    let state = cx.state();
    let known = state.nodes.iter(now).filter_map(|node| node.state);
    let all = known.chain(cx.settings.seeds.iter().flatten().copied());
    all.filter(|addr| *addr != own).choose(&mut rand::rng())
}

async fn ask<W: Wire>(cx: &Cx<W>, peer: SocketAddr) -> Result<Snapshot, String> {
    let version = cx.site().map_or(0, |site| site.version);
    let uri = Uri::try_from(format!("{PATH}?after={version}")).map_err(|err| err.to_string())?;
    let mut req = Request::new(Full::default());
    *req.uri_mut() = uri;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let sent = cx.pool.send(peer, req, Reuse::Allowed, deadline).await;
    let res = sent.map_err(|err| err.to_string())?;
    let body = read_body(res.into_body(), MAX_ANSWER, ANSWER_TIMEOUT).await;
    let body = body.map_err(|err| err.to_string())?;
    Snapshot::decode(&body).map_err(|err| err.to_string())
}

/// Takes in what another node knows.
///
/// The key-value service answers that node: then an endpoint that it does not have has left. Otherwise
/// its entries may have lapsed with the service, and it only helps a node that knows none.
fn take<W: Wire>(cx: &Cx<W>, peer: SocketAddr, snapshot: Snapshot) {
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    // The service's own news go first: it may have come back while the other node was asked.
    if state.store_lost.is_none() {
        return;
    }
    log::info!(
        target: "peers",
        "event=heard peer={peer} current={} config={:?} endpoints={} nodes={}",
        snapshot.is_current, snapshot.site.as_ref().map(|s| s.version),
        snapshot.endpoints.len(), snapshot.nodes.len()
    );
    match snapshot.is_current {
        true => state.directory.store_back(now),
        false => state.directory.store_lost(),
    }
    for request in snapshot.quarantined {
        crashes::take(cx, state, Fingerprint(request), true);
    }
    if snapshot.is_current || state.directory.is_empty() {
        for addr in state.directory.replace(now, snapshot.endpoints) {
            cx.pool.forget(addr);
        }
    }
    // Before the configuration: a node that has just got one serves at once.
    match snapshot.evacuated {
        Some(domains) if snapshot.is_current || state.directory.evacuated().is_none() => {
            cx.take_evacuated(state, domains);
        }
        _ => {}
    }
    if snapshot.is_current || state.nodes.iter(now).next().is_none() {
        state.nodes.replace_as_told(now, snapshot.nodes);
    }
    if let Some(site) = snapshot.site {
        cx.take_site(state, Arc::new(site.into()));
    }
    for roll_out in snapshot.ended {
        state.roll_outs.update(now, roll_out);
    }
    for report in &snapshot.under_way {
        state.roll_outs.merge_report(now, report);
    }
}
