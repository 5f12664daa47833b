//! The operators' side of a node: health, metrics, status.

use crate::cx::OwnView;
use crate::front::Phase;
use crate::latest::Latest;
use crate::live::Live;
use crate::logging::Dropped;
use crate::metrics::Metrics;
use crate::reply::{Reply, full, json, json_of};
use crate::stops::StopList;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use oatdale_config::NodeSettings;
use oatdale_mesh::{PeerState, PeerView};
use serde::Serialize;
use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep};

/// Connections of operators and their monitoring at once.
const MAX_CONNECTIONS: usize = 64;

/// Time for a request's headers to come.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the admin duty shows.
#[derive(Clone)]
pub(crate) struct Admin {
    pub(crate) settings: Arc<NodeSettings>,
    pub(crate) live: Latest<Live>,
    pub(crate) heard: watch::Receiver<Instant>,
    pub(crate) phase: watch::Receiver<Phase>,
    pub(crate) listening: watch::Receiver<usize>,
    pub(crate) peers: watch::Receiver<Arc<Vec<PeerView>>>,
    pub(crate) service_up: watch::Receiver<Option<bool>>,
    pub(crate) own: OwnView,
    pub(crate) stops: StopList,
    pub(crate) metrics: Metrics,
    pub(crate) dropped: Dropped,
}

#[derive(Serialize)]
struct Status {
    host: String,
    domain: String,
    region: String,
    incarnation: u64,
    callers: std::net::SocketAddr,
    revision: u64,
    revision_age_ms: u64,
    state: &'static str,
    key_value_up: Option<bool>,
    stops: Vec<Stopped>,
    peers: Vec<Peer>,
}

#[derive(Serialize)]
struct Stopped {
    version: String,
    revision: u64,
    reason: String,
}

#[derive(Serialize)]
struct Peer {
    host: String,
    domain: String,
    region: String,
    incarnation: u64,
    callers: std::net::SocketAddr,
    revision: u64,
    revision_age_ms: u64,
    state: &'static str,
    load: f32,
}

/// Serves operators until `stop`.
pub(crate) async fn run(listener: TcpListener, admin: Admin, mut stop: watch::Receiver<bool>) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => {
            warn!(target: "admin", "event=listener_failed error={:?}", err.to_string());
            return;
        }
    };
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let (Ok((stream, _)), Ok(place)) = (stream, places.clone().try_acquire_owned()) else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let admin = admin.clone();
        tokio::spawn(async move {
            let service = service_fn(|req| {
                let reply = admin.answer(&req);
                async move { Ok::<_, Infallible>(reply) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                // Kept connections would use up the few places, and a script that opens one for
                // each question would find the port closed at times.
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(err) = served {
                debug!(target: "admin", "event=connection_ended error={:?}", err.to_string());
            }
            drop(place);
        });
    }
}

impl Admin {
    fn answer(&self, req: &Request<Incoming>) -> Reply {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/healthz") => self.health(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/v1/status") => json_of(&self.status()),
            _ => json(StatusCode::NOT_FOUND, b"{}".to_vec()),
        }
    }

    fn health(&self) -> Reply {
        let state = self.state();
        let status = match state {
            "serving" => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut reply = Reply::new(full(format!("{state}\n")));
        *reply.status_mut() = status;
        reply
    }

    fn metrics(&self) -> Reply {
        let dropped = i64::try_from(self.dropped.count()).unwrap_or(i64::MAX);
        self.metrics.log_dropped.set(dropped);
        let mut reply = Reply::new(full(self.metrics.text()));
        reply.headers_mut().insert(
            CONTENT_TYPE,
            HeaderValue::from_static("text/plain; version=0.0.4"),
        );
        reply
    }

    fn state(&self) -> &'static str {
        match *self.phase.borrow() {
            Phase::Serving if *self.listening.borrow() == 0 => "starting",
            Phase::Serving => "serving",
            Phase::Leaving => "leaving",
            Phase::Closing => "closing",
        }
    }

    fn status(&self) -> Status {
        let live = self.live.get();
        Status {
            host: self.settings.host.clone(),
            domain: self.settings.domain.clone(),
            region: self.settings.region.clone(),
            incarnation: self.own.incarnation,
            callers: self.own.caller,
            revision: live.revision.0,
            revision_age_ms: millis(self.heard.borrow().elapsed()),
            state: self.state(),
            key_value_up: *self.service_up.borrow(),
            stops: self
                .stops
                .holding(&live)
                .into_iter()
                .map(|stop| Stopped {
                    version: stop.version,
                    revision: stop.revision,
                    reason: stop.reason,
                })
                .collect(),
            peers: self.peers.borrow().iter().map(Peer::from).collect(),
        }
    }
}

impl From<&PeerView> for Peer {
    fn from(view: &PeerView) -> Peer {
        Peer {
            host: view.host.clone(),
            domain: view.domain.clone(),
            region: view.region.clone(),
            incarnation: view.incarnation,
            callers: view.caller_address,
            revision: view.revision,
            revision_age_ms: millis(view.revision_age),
            state: match (view.state, view.accepting) {
                (PeerState::Alive, true) => "serving",
                (PeerState::Alive, false) => "not-accepting",
                (PeerState::Suspect, _) => "suspect",
                (PeerState::Left, _) => "left",
            },
            load: view.load,
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
