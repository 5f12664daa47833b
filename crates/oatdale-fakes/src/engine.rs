//! A model engine: continuous batching, prefix cache, priorities, load reports with a lag.

mod batch;
mod chat;

use crate::engine::batch::{Batch, Job};
use crate::reply;
use crate::server::{Body, Reply, Server};
use crate::text;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oatdale_platform::wire::Load;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

pub use crate::engine::batch::Speed;

/// How an engine is set up.
#[derive(Clone, PartialEq, Debug)]
pub struct EngineConfig {
    /// Where it listens; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Versions that it can hold, and those that it holds from the start.
    pub versions: Vec<EngineVersion>,
    /// How fast it works.
    pub speed: Speed,
    /// How old its load reports are.
    pub load_lag: Duration,
}

/// A version that an engine can hold.
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
    /// Each stream stops without its terminator.
    Cut,
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

/// A running engine; dropping it kills it.
#[derive(Debug)]
pub struct EngineHandle {
    engine: Engine,
    server: Server,
}

/// The engine's state; clones share it.
#[derive(Clone, Debug)]
pub struct Engine {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    versions: Vec<EngineVersion>,
    load_lag: Duration,
    state: Mutex<State>,
    work: Notify,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    held: Vec<String>,
    faults: BTreeMap<String, Fault>,
    fault: Option<Fault>,
    leaving: bool,
    calls: Vec<EngineCall>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            addr: (Ipv4Addr::LOCALHOST, 0).into(),
            versions: Vec::new(),
            speed: Speed::default(),
            load_lag: Duration::ZERO,
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
        let held = cfg.versions.iter().filter(|v| v.held);
        let state = State {
            batch: Batch::new(cfg.speed),
            held: held.map(|v| v.name.clone()).collect(),
            faults: BTreeMap::new(),
            fault: None,
            leaving: false,
            calls: Vec::new(),
        };
        let engine = Engine {
            shared: Arc::new(Shared {
                versions: cfg.versions,
                load_lag: cfg.load_lag,
                state: Mutex::new(state),
                work: Notify::new(),
            }),
        };
        let steps = Arc::downgrade(&engine.shared);
        tokio::spawn(run(steps));
        let handler = engine.clone();
        let server = Server::start(cfg.addr, move |req| {
            let engine = handler.clone();
            async move { engine.handle(req).await }
        })
        .await?;
        Ok(EngineHandle { engine, server })
    }

    async fn handle(&self, req: Request<Incoming>) -> Reply {
        match (req.method().clone(), req.uri().path()) {
            (Method::POST, "/v1/chat/completions") => chat::chat(self, req).await,
            (Method::GET, "/v1/load") => Ok(reply::json(StatusCode::OK, &self.load())),
            (Method::DELETE, path) if path.starts_with("/v1/requests/") => {
                let id = reply::decode(&path["/v1/requests/".len()..]);
                Ok(self.cancel(&id))
            }
            _ => reply::unknown(&req),
        }
    }

    fn cancel(&self, request: &str) -> Response<Body> {
        match self.state().batch.cancel(request) {
            true => reply::with(StatusCode::NO_CONTENT, ""),
            false => reply::error(StatusCode::NOT_FOUND, "no such request"),
        }
    }

    /// Why a request for this version is not begun, if so.
    fn refusal(&self, version: &str) -> Option<Response<Body>> {
        let state = self.state();
        match state.held.iter().any(|h| h == version) {
            _ if state.leaving => Some(reply::not_started(
                StatusCode::SERVICE_UNAVAILABLE,
                "the engine is leaving",
                None,
            )),
            false => Some(reply::not_started(
                StatusCode::NOT_FOUND,
                &format!("the engine does not hold {version}"),
                None,
            )),
            true => None,
        }
    }

    fn note_call(&self, request: &str, version: &str) {
        self.state().calls.push(EngineCall {
            request: request.to_owned(),
            version: version.to_owned(),
        });
    }

    fn fault(&self, version: &str) -> Option<Fault> {
        let state = self.state();
        state.faults.get(version).copied().or(state.fault)
    }

    fn quality(&self, version: &str) -> f64 {
        let known = self.shared.versions.iter().find(|v| v.name == version);
        known.map_or(1.0, |v| v.quality)
    }

    /// Tokens of the prompt that the engine must read.
    fn uncached(&self, _version: &str, prompt: &str) -> u32 {
        text::tokens(prompt)
    }

    fn submit(&self, job: Job) -> Result<(), Job> {
        self.state().batch.push(job)?;
        self.shared.work.notify_one();
        Ok(())
    }

    fn load(&self) -> Load {
        let mut state = self.state();
        let sample = state.batch.load(self.shared.load_lag);
        Load {
            running: u32::try_from(sample.running).unwrap_or(u32::MAX),
            waiting: u32::try_from(sample.waiting).unwrap_or(u32::MAX),
            tokens: sample.tokens as u64,
            age_ms: u64::try_from(sample.at.elapsed().as_millis()).unwrap_or(u64::MAX),
            leaving: state.leaving,
            versions: state.held.clone(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.shared)
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes step after step until the engine is dropped.
async fn run(shared: std::sync::Weak<Shared>) {
    while let Some(shared) = shared.upgrade() {
        let step = lock(&shared).batch.begin_step();
        match step {
            Some(Duration::ZERO) => tokio::task::yield_now().await,
            Some(step) => tokio::time::sleep(step).await,
            None => {
                shared.work.notified().await;
                continue;
            }
        }
        lock(&shared).batch.end_step();
    }
}

impl EngineHandle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Makes every step take `factor` times as long; 1 is usual.
    pub fn set_slow(&self, factor: f64) {
        self.engine.state().batch.set_slow(factor);
    }

    /// Breaks all requests, or none.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.engine.state().fault = fault;
    }

    /// Breaks the requests of one version, or none of them.
    pub fn set_version_fault(&self, version: &str, fault: Option<Fault>) {
        let mut state = self.engine.state();
        match fault {
            Some(fault) => state.faults.insert(version.to_owned(), fault),
            None => state.faults.remove(version),
        };
    }

    /// Refuses new requests as not begun, or takes them again.
    pub fn set_leaving(&self, leaving: bool) {
        self.engine.state().leaving = leaving;
    }

    /// Refuses connections and cuts the open ones, or listens again.
    pub fn refuse(&self, refuse: bool) {
        self.server.refuse(refuse);
    }

    /// All requests that were begun, in order.
    pub fn calls(&self) -> Vec<EngineCall> {
        self.engine.state().calls.clone()
    }

    /// Requests that run and that wait, without lag.
    pub fn under_way(&self) -> (u32, u32) {
        let mut state = self.engine.state();
        let now = state.batch.load(Duration::ZERO);
        let count = |n| u32::try_from(n).unwrap_or(u32::MAX);
        (count(now.running), count(now.waiting))
    }

    /// Takes no new connection, finishes the requests under way and returns.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
