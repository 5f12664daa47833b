//! A model engine: continuous batching, prefix cache, priorities, load reports with a lag, orders.

mod batch;
mod chat;
mod core;
mod orders;
mod prefix;

use crate::engine::core::Core;
use crate::reply;
use crate::server::{Body, CloseConnection, Reply, Server};
use crate::weights::WeightStore;
use bytes::Bytes;
use futures::stream;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use oatdale_platform::wire::Order;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

pub use crate::engine::batch::Speed;
pub use crate::engine::prefix::CacheConfig;

/// How an engine is set up.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Where it listens; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Versions that it knows. One that it is ordered to load without being named here answers
    /// every prompt well.
    pub versions: Vec<EngineVersion>,
    /// How fast it works.
    pub speed: Speed,
    /// How old its load reports are.
    pub load_lag: Duration,
    /// How it caches prompts.
    pub cache: CacheConfig,
    /// Whether it refuses an order with an older fencing number than it has seen.
    pub checks_fencing: bool,
    /// Where it loads versions from; without a store they are there at once.
    pub weights: Option<WeightStore>,
}

/// A version that an engine knows.
#[derive(Clone, PartialEq, Debug)]
pub struct EngineVersion {
    /// Its full name, such as `planner/2026-11`.
    pub name: String,
    /// The share of prompts, from 0 to 1, that it answers well.
    pub quality: f64,
    /// Whether the engine holds it from the start.
    pub held: bool,
}

/// What goes wrong with requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// Each gets a server error after it was begun.
    Errors,
    /// Each gets a poor answer.
    LowQuality,
    /// Each answer ends before its last word and without its terminator, as if it were whole.
    Cut,
    /// The connection of each breaks before the answer's last word.
    Break,
    /// None gets any byte.
    Hang,
    /// The connection of each is closed without an answer.
    Reset,
}

/// One request that an engine began.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EngineCall {
    /// The request's id from its header.
    pub request: String,
    /// The version that it named.
    pub version: String,
}

/// Starts engines.
pub struct Engine;

/// A running engine; dropping it kills it.
#[derive(Debug)]
pub struct EngineHandle {
    core: Core,
    server: Server,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            addr: (Ipv4Addr::LOCALHOST, 0).into(),
            versions: Vec::new(),
            speed: Speed::default(),
            load_lag: Duration::ZERO,
            cache: CacheConfig::default(),
            checks_fencing: true,
            weights: None,
        }
    }
}

impl EngineVersion {
    /// A version that is held from the start.
    pub fn held(name: &str, quality: f64) -> Self {
        EngineVersion {
            name: name.to_owned(),
            quality,
            held: true,
        }
    }
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(cfg: EngineConfig) -> io::Result<EngineHandle> {
        let addr = cfg.addr;
        let core = Core::new(cfg);
        core.start_steps();
        let handler = core.clone();
        let server = Server::start(addr, move |req| {
            let core = handler.clone();
            async move { handle(&core, req).await }
        })
        .await?;
        Ok(EngineHandle { core, server })
    }
}

impl EngineHandle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Makes every step take `factor` times as long; 1 is usual.
    pub fn set_slow(&self, factor: f64) {
        self.core.state().batch.set_slow(factor);
    }

    /// Breaks all requests, or none.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.core.state().fault = fault;
    }

    /// Breaks the requests of one version, or none of them.
    pub fn set_version_fault(&self, version: &str, fault: Option<Fault>) {
        let mut state = self.core.state();
        match fault {
            Some(fault) => state.version_faults.insert(version.to_owned(), fault),
            None => state.version_faults.remove(version),
        };
    }

    /// Refuses new requests as not begun, or takes them again.
    pub fn set_leaving(&self, leaving: bool) {
        self.core.state().leaving = leaving;
    }

    /// Refuses connections and cuts the open ones, or listens again.
    pub fn refuse(&self, refuse: bool) {
        self.server.refuse(refuse);
    }

    /// All requests that were begun, in order.
    pub fn calls(&self) -> Vec<EngineCall> {
        self.core.state().calls.clone()
    }

    /// All orders that were followed, in order.
    pub fn orders(&self) -> Vec<Order> {
        self.core.state().holdings.log().to_vec()
    }

    /// Requests that run and that wait, without lag.
    pub fn under_way(&self) -> (u32, u32) {
        self.core.state().under_way()
    }

    /// Takes no new connection, finishes the requests under way and returns.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn handle(core: &Core, req: Request<Incoming>) -> Reply {
    match (req.method().clone(), req.uri().path()) {
        (Method::POST, "/v1/chat/completions") => chat::chat(core, req).await,
        (Method::GET, "/v1/load") => Ok(reply::json(StatusCode::OK, &core.load())),
        (Method::GET, "/v1/orders") => {
            let held = core.state().holdings.report();
            Ok(reply::json(StatusCode::OK, &held))
        }
        (Method::POST, "/v1/orders") => order(core, req).await,
        (Method::GET, "/v1/cache-events") => Ok(cache_events(core, &req)),
        (Method::DELETE, path) if path.starts_with("/v1/requests/") => {
            let id = reply::decode(&path["/v1/requests/".len()..]);
            Ok(core.cancel(&id))
        }
        _ => reply::unknown(&req),
    }
}

async fn order(core: &Core, req: Request<Incoming>) -> Reply {
    let body = reply::read(req).await.map_err(|_| CloseConnection)?;
    match serde_json::from_slice(&body) {
        Ok(order) => Ok(core.order(order)),
        Err(err) => Ok(reply::error(StatusCode::BAD_REQUEST, &err.to_string())),
    }
}

/// Streams cache events after the number in the query, for as long as the reader stays.
fn cache_events(core: &Core, req: &Request<Incoming>) -> Response<Body> {
    let after = reply::query(req, "after").and_then(|n| n.parse().ok());
    let start = (core.clone(), after.unwrap_or(0));
    let events = stream::unfold(start, |(core, after)| async move {
        let event = core.next_event(after).await;
        let json = serde_json::to_string(&event).expect("wire types have string keys");
        let piece = Bytes::from(format!("data: {json}\n\n"));
        Some((Ok(piece), (core, event.seq)))
    });
    let mut res = Response::new(reply::stream(events));
    reply::set(&mut res, header::CONTENT_TYPE.as_str(), "text/event-stream");
    res
}
