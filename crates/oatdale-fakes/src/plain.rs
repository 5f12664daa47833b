//! A plain service that echoes each call and logs it.

use crate::reply;
use crate::server::{CloseConnection, Reply, Server};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use oatdale_platform::wire;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// One call that the service ran.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PlainCall {
    /// The request's id from its header; empty without one.
    pub request: String,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The body as text.
    pub body: String,
}

/// What goes wrong with calls.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PlainFault {
    /// Each runs and gets a server error.
    Errors,
    /// None runs; each is refused as not begun.
    NotStarted,
    /// Each runs, and its connection is closed without an answer.
    LostAnswer,
    /// Each runs and gets no answer for ever.
    Hang,
}

/// A running plain service; dropping it kills it.
#[derive(Debug)]
pub struct Plain {
    server: Server,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    calls: Vec<PlainCall>,
    fault: Option<PlainFault>,
    delay: Duration,
}

impl Plain {
    /// Serves at `addr`, where port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let state = Arc::<Mutex<State>>::default();
        let handler = state.clone();
        let server = Server::start(addr, move |req| {
            let state = handler.clone();
            async move { handle(&state, req).await }
        })
        .await?;
        Ok(Plain { server, state })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// All calls that ran, in order.
    pub fn calls(&self) -> Vec<PlainCall> {
        lock(&self.state).calls.clone()
    }

    /// How often calls with this request id ran.
    pub fn runs(&self, request: &str) -> usize {
        let state = lock(&self.state);
        state.calls.iter().filter(|c| c.request == request).count()
    }

    /// Breaks all calls, or none.
    pub fn set_fault(&self, fault: Option<PlainFault>) {
        lock(&self.state).fault = fault;
    }

    /// Makes each call take this long.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Refuses connections and cuts the open ones, or listens again.
    pub fn refuse(&self, refuse: bool) {
        self.server.refuse(refuse);
    }

    /// Takes no new connection, finishes the calls under way and returns.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn handle(state: &Mutex<State>, req: Request<Incoming>) -> Reply {
    let request = reply::header_text(&req, wire::REQUEST_ID).unwrap_or("");
    let mut call = PlainCall {
        request: request.to_owned(),
        method: req.method().to_string(),
        path: req.uri().to_string(),
        body: String::new(),
    };
    let body = reply::read(req).await.map_err(|_| CloseConnection)?;
    call.body = String::from_utf8_lossy(&body).into_owned();
    let (fault, delay) = {
        let mut state = lock(state);
        if state.fault != Some(PlainFault::NotStarted) {
            state.calls.push(call.clone());
        }
        (state.fault, state.delay)
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match fault {
        None => Ok(reply::json(StatusCode::OK, &call)),
        Some(PlainFault::Errors) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Ok(reply::error(status, "the service failed"))
        }
        Some(PlainFault::NotStarted) => {
            let wait = Some(Duration::from_secs(1));
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Ok(reply::not_started(status, "the service has no room", wait))
        }
        Some(PlainFault::LostAnswer) => Err(CloseConnection),
        Some(PlainFault::Hang) => std::future::pending().await,
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
