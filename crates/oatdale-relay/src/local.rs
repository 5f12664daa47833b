//! Serves the relay's own endpoints: readiness, node addresses and metrics.

use crate::conn_tracker::{ConnTracker, TrackedIo};
use crate::cx::Cx;
use crate::reply::{Body, short_response};
use crate::state::hash;
use crate::update::Node;
use crate::wire::Wire;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use oatdale_policy::relay::{AddressCandidate, advertised_addresses};
use prometheus::IntGauge;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// How long callers may cache the node addresses. Some callers keep them three times as long, and a
/// node that shuts down has to serve these callers until then.
const ADDRESSES_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// How long a connection may stay open without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves readiness, node addresses and metrics to callers and operators.
pub(crate) async fn serve_status<W: Wire>(cx: Arc<Cx<W>>, listener: TcpListener) {
    let in_flight = cx.metrics.in_flight.clone();
    serve_http(listener, in_flight, move |_, req| respond(cx.clone(), req)).await;
}

/// Accepts connections and serves their requests with `handler`.
///
/// `in_flight` counts the connections with a request that the handler has recorded in their tracker.
pub(crate) async fn serve_http<F, A>(listener: TcpListener, in_flight: IntGauge, handler: F)
where
    F: Fn(ConnTracker, Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(err) = stream.set_nodelay(true) {
                    log::debug!(target: "local", "event=socket_option_failed err={err}");
                }
                let tracker = ConnTracker::new(in_flight.clone());
                let io = TrackedIo::new(TokioIo::new(stream), tracker.clone());
                let handler = handler.clone();
                let service = service_fn(move |req| handler(tracker.clone(), req));
                let conn = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIMEOUT)
                    .serve_connection(io, service);
                tokio::spawn(async move {
                    if let Err(err) = conn.await {
                        log::debug!(target: "local", "event=connection_ended err={err}");
                    }
                });
            }
            Err(err) => {
                log::warn!(target: "local", "event=accept_failed err={err}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn respond<W: Wire>(
    cx: Arc<Cx<W>>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let path = req.uri().path();
    let res = match path {
        "/metrics" => short_response(StatusCode::OK, cx.metrics.encode().into()),
        _ if cx.wire.is_readiness_path(path) && cx.is_ready() => {
            short_response(StatusCode::OK, Bytes::new())
        }
        _ if cx.wire.is_readiness_path(path) => {
            short_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
        }
        _ if cx.wire.is_addresses_path(path) => addresses(&cx, req.uri().query()),
        _ => short_response(StatusCode::NOT_FOUND, Bytes::new()),
    };
    Ok(res)
}

fn addresses<W: Wire>(cx: &Cx<W>, query: Option<&str>) -> Response<Body> {
    let max_age = ADDRESSES_MAX_AGE.min(Duration::from_secs_f64(cx.state().bounds.addresses_s));
    let domain = query.and_then(|query| cx.wire.caller_domain(query));
    let addrs = addresses_for_caller(cx, domain.as_deref());
    let mut res = match addrs.is_empty() {
        true => short_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        false => short_response(StatusCode::OK, cx.wire.addresses_body(&addrs, max_age)),
    };
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Addresses to advertise to a caller of a failure domain: this node's if it is ready, and others'.
fn addresses_for_caller<W: Wire>(cx: &Cx<W>, domain: Option<&str>) -> Vec<SocketAddr> {
    let this_node = Node::from(&cx.settings);
    let ready = cx.is_ready();
    let now = cx.now();
    let state = cx.state();
    let others = state
        .nodes
        .iter(now)
        .filter(|n| n.callers != this_node.callers);
    let available: Vec<_> = ready
        .then_some(&this_node)
        .into_iter()
        .chain(others)
        .collect();
    let candidates: Vec<_> = available
        .iter()
        .map(|node| AddressCandidate {
            same_domain: domain.is_some() && node.domain.as_deref() == domain,
            hash: hash(&(domain, &node.host)),
        })
        .collect();
    let selected = advertised_addresses(&candidates, MAX_ADDRESSES).into_iter();
    selected.map(|i| available[i].callers).collect()
}
