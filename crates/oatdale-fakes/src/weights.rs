//! The weight store, whose rate all engines share.

use crate::reply;
use crate::server::{Reply, Server};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use oatdale_platform::wire::{WeightList, Weights};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A weight store; clones share it and its rate.
#[derive(Clone, Debug)]
pub struct WeightStore {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    weights: Vec<Weights>,
    bytes_per_second: u64,
    /// When all that was asked for has been sent.
    busy_until: Instant,
}

impl WeightStore {
    /// Makes a store of these versions that sends `bytes_per_second` over all engines.
    pub fn new(mut weights: Vec<Weights>, bytes_per_second: u64) -> Self {
        weights.sort_by(|a, b| a.version.cmp(&b.version));
        let state = State {
            weights,
            bytes_per_second: bytes_per_second.max(1),
            busy_until: Instant::now(),
        };
        WeightStore {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Serves the list of weights at `addr`, where port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn serve(&self, addr: SocketAddr) -> io::Result<Server> {
        let store = self.clone();
        Server::start(addr, move |req| {
            let reply = store.handle(&req);
            async move { reply }
        })
        .await
    }

    /// Asks for a version and returns when its last byte will have come; `None` if it has none.
    pub(crate) fn fetch(&self, version: &str) -> Option<Instant> {
        let mut state = self.state();
        let bytes = state.weights.iter().find(|w| w.version == version)?.bytes;
        let time = Duration::from_secs_f64(bytes as f64 / state.bytes_per_second as f64);
        state.busy_until = state.busy_until.max(Instant::now()) + time;
        Some(state.busy_until)
    }

    fn handle(&self, req: &Request<Incoming>) -> Reply {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/v1/weights") => Ok(reply::json(StatusCode::OK, &self.list())),
            _ => reply::unknown(req),
        }
    }

    fn list(&self) -> WeightList {
        let state = self.state();
        let backlog = state.busy_until.duration_since(Instant::now());
        WeightList {
            weights: state.weights.clone(),
            bytes_per_second: state.bytes_per_second,
            backlog_ms: u64::try_from(backlog.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
