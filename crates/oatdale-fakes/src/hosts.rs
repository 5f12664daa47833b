//! The list of hosts, which lags behind.

use crate::reply;
use crate::server::{Reply, Server};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use oatdale_platform::wire::{Host, HostList};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A running host list; dropping it kills it.
#[derive(Debug)]
pub struct Hosts {
    server: Server,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    shown: BTreeMap<String, Host>,
    /// Changes that the list does not show yet, with the time of each; `None` takes a host out.
    coming: VecDeque<(Instant, String, Option<Host>)>,
    outage: bool,
}

impl Hosts {
    /// Serves an empty list at `addr`, where port 0 takes a free one; changes show after `lag`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(addr: SocketAddr, lag: Duration) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            lag,
            ..State::default()
        }));
        let handler = state.clone();
        let server = Server::start(addr, move |req| {
            let reply = handle(&handler, &req);
            async move { reply }
        })
        .await?;
        Ok(Hosts { server, state })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds a host or changes it.
    pub fn set(&self, host: Host) {
        lock(&self.state).change(host.host.clone(), Some(host));
    }

    /// Takes a host out.
    pub fn remove(&self, host: &str) {
        lock(&self.state).change(host.to_owned(), None);
    }

    /// Answers every call with an error, or serves again.
    pub fn set_outage(&self, outage: bool) {
        lock(&self.state).outage = outage;
    }
}

impl State {
    fn change(&mut self, name: String, host: Option<Host>) {
        let at = Instant::now() + self.lag;
        self.coming.push_back((at, name, host));
    }

    fn show(&mut self, now: Instant) -> HostList {
        while self.coming.front().is_some_and(|(at, ..)| *at <= now) {
            match self.coming.pop_front() {
                Some((_, name, Some(host))) => self.shown.insert(name, host),
                Some((_, name, None)) => self.shown.remove(&name),
                None => None,
            };
        }
        HostList {
            hosts: self.shown.values().cloned().collect(),
        }
    }
}

fn handle(state: &Mutex<State>, req: &Request<Incoming>) -> Reply {
    let mut state = lock(state);
    match (req.method(), req.uri().path()) {
        _ if state.outage => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Ok(reply::error(status, "the host list is down"))
        }
        (&Method::GET, "/v1/hosts") => Ok(reply::json(StatusCode::OK, &state.show(Instant::now()))),
        _ => reply::unknown(req),
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
