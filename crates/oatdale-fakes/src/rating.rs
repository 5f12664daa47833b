//! The service that rates answers by the quality that a stand-in's answer states.

use crate::server::{CloseConnection, Reply, Server};
use crate::{reply, text};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use oatdale_platform::wire::{Rating, Score};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How the rating service behaves.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct RatingConfig {
    /// Time until a rating is given.
    pub lag: Duration,
    /// The most by which a score strays from the stated quality, either way.
    pub noise: f64,
    /// Answers every call with an error.
    pub outage: bool,
}

/// A running rating service; dropping it kills it.
#[derive(Debug)]
pub struct Ratings {
    server: Server,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    cfg: RatingConfig,
    rated: u64,
}

impl Ratings {
    /// Serves at `addr`, where port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(addr: SocketAddr, cfg: RatingConfig) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State { cfg, rated: 0 }));
        let handler = state.clone();
        let server = Server::start(addr, move |req| {
            let state = handler.clone();
            async move { handle(&state, req).await }
        })
        .await?;
        Ok(Ratings { server, state })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// How it behaves now.
    pub fn get(&self) -> RatingConfig {
        lock(&self.state).cfg
    }

    /// Changes how it behaves.
    pub fn set(&self, cfg: RatingConfig) {
        lock(&self.state).cfg = cfg;
    }

    /// How many ratings it gave.
    pub fn rated(&self) -> u64 {
        lock(&self.state).rated
    }
}

async fn handle(state: &Mutex<State>, req: Request<Incoming>) -> Reply {
    if (req.method(), req.uri().path()) != (&Method::POST, "/v1/ratings") {
        return reply::unknown(&req);
    }
    let body = reply::read(req).await.map_err(|_| CloseConnection)?;
    let rating: Rating = match serde_json::from_slice(&body) {
        Ok(rating) => rating,
        Err(err) => return Ok(reply::error(StatusCode::BAD_REQUEST, &err.to_string())),
    };
    let cfg = lock(state).cfg;
    if !cfg.lag.is_zero() {
        tokio::time::sleep(cfg.lag).await;
    }
    if cfg.outage {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(reply::error(status, "the rating service is down"));
    }
    lock(state).rated += 1;
    let stray = cfg.noise * (2.0 * text::uniform(("noise", &rating.answer)) - 1.0);
    let score = (text::quality(&rating.answer) + stray).clamp(0.0, 1.0);
    Ok(reply::json(StatusCode::OK, &Score { score }))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
