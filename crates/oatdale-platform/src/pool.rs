//! HTTP/1.1 connections that are kept and used again, with an exact account of each failure.
//!
//! A request may be sent twice without anyone asking for it when a pool repeats a call after its
//! idle connection turned out to be closed. This pool repeats only what the connection handed back
//! unwritten; everything else is reported as [`SendError::Broken`].

mod response_connection;
mod stream;

pub use crate::pool::response_connection::{ResponseConnection, discard_connection};

use crate::pool::stream::Stream;
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

/// A silent connection is probed after this time, this often, and is ended when none of so many
/// probes is answered.
const PROBE_AFTER: Duration = Duration::from_secs(4);
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
const PROBES: u32 = 3;

/// The part of an announced idle time in which a connection is used again: the other end counts
/// from earlier than this one and its timers may be early.
const SAFE_IDLE: f64 = 0.6;

/// The part of a connection's idle limit that counts as a moment ago.
const RECENT: f64 = 0.3;

/// How connections are made and kept.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PoolConfig {
    /// Time a connection may take to open.
    pub connect_timeout: Duration,
    /// Time an unused connection is kept.
    pub idle_timeout: Duration,
    /// Unused connections kept for one address.
    pub max_idle: usize,
    /// Size of a connection's buffer, and of its socket's receive buffer, which the system doubles;
    /// what arrives beyond them while an answer is not read stays with its sender. Without a value
    /// both grow as the library and the system decide, up to megabytes.
    pub receive_buffer_bytes: Option<usize>,
}

impl Default for PoolConfig {
    fn default() -> Self {
        PoolConfig {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            max_idle: 256,
            receive_buffer_bytes: None,
        }
    }
}

/// A connection's stream of bytes in both directions.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for T {}

/// Opens streams that do not run over TCP.
pub trait Connect: Send + Sync {
    /// Opens a stream to an address.
    fn connect(&self, addr: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn ByteStream>>>;
}

/// How a pool opens its connections.
#[derive(Clone, Default)]
pub enum Connector {
    /// Over TCP.
    #[default]
    Tcp,
    /// By other means, such as a modelled network in a test.
    Custom(Arc<dyn Connect>),
}

impl fmt::Debug for Connector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Connector::Tcp => "Tcp",
            Connector::Custom(_) => "Custom",
        })
    }
}

/// Whether a call may go over a connection that served one before.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Reuse {
    /// It may.
    Allowed,
    /// It needs a new one. An endpoint may close an idle connection just as a request is written
    /// to it; for a call that may not be repeated that failure would be final.
    Never,
    /// It may over one that was used a moment ago: the endpoint said how long it keeps idle
    /// connections, and a small part of that has passed.
    Recent,
}

/// Why a request got no answer head.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum SendError {
    /// No byte of the request was written.
    #[snafu(display("not sent: {message}"))]
    NotSent {
        /// What was seen.
        message: String,
    },
    /// The connection failed after the request may have been written.
    #[snafu(display("the connection broke: {message}"))]
    Broken {
        /// What was seen.
        message: String,
    },
    /// The deadline passed after the request may have been written.
    #[snafu(display("no answer before the deadline"))]
    TimedOut,
}

/// A pool of HTTP/1.1 connections to any number of addresses; clones share it.
#[derive(Clone, Debug)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    cfg: PoolConfig,
    connector: Connector,
    kept: Mutex<Kept>,
}

#[derive(Debug)]
struct Kept {
    idle: HashMap<SocketAddr, Vec<Idle>>,
    /// When connections were last looked through.
    swept: Instant,
}

#[derive(Debug)]
struct Idle {
    tx: SendRequest<Full<Bytes>>,
    since: Instant,
    /// How long it may be idle and still be used.
    limit: Duration,
    connection: ResponseConnection,
}

/// What became of a request that was given to one connection.
enum Attempt {
    Answered(Response<Incoming>),
    HandedBack(Request<Full<Bytes>>),
    Failed(SendError),
}

impl Pool {
    /// Makes an empty pool whose connections run over TCP.
    pub fn new(cfg: PoolConfig) -> Self {
        Pool::with_connector(cfg, Connector::Tcp)
    }

    /// Makes an empty pool whose connections are opened by `connector`.
    pub fn with_connector(cfg: PoolConfig, connector: Connector) -> Self {
        Pool {
            shared: Arc::new(Shared {
                cfg,
                connector,
                kept: Mutex::new(Kept {
                    idle: HashMap::new(),
                    swept: Instant::now(),
                }),
            }),
        }
    }

    /// Sends a request and waits for the answer's head until `deadline`.
    ///
    /// Dropping the future or the answer's body closes the connection, which tells the endpoint to
    /// stop working on the request.
    ///
    /// # Errors
    ///
    /// [`SendError`] says whether the endpoint can have seen the request.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<Full<Bytes>>,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        set_host(&mut req, addr);
        while let Some((tx, connection)) = self.take_idle(addr, reuse) {
            // What came before the request is no response to it.
            if connection.has_input() {
                continue;
            }
            match self.attempt(addr, tx, connection, req, deadline).await {
                Attempt::Answered(res) => return Ok(res),
                Attempt::HandedBack(unsent) => req = unsent,
                Attempt::Failed(err) => return Err(err),
            }
        }
        let (tx, connection) = self.connect(addr, deadline).await?;
        match self.attempt(addr, tx, connection, req, deadline).await {
            Attempt::Answered(res) => Ok(res),
            Attempt::HandedBack(_) => Err(SendError::NotSent {
                message: "the new connection closed at once".to_owned(),
            }),
            Attempt::Failed(err) => Err(err),
        }
    }

    /// How many unused connections are open to `addr`.
    pub fn idle(&self, addr: SocketAddr) -> usize {
        self.lock().idle.get(&addr).map_or(0, Vec::len)
    }

    /// Closes the unused connections to an address that is no longer served.
    pub fn forget(&self, addr: SocketAddr) {
        self.lock().idle.remove(&addr);
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<(SendRequest<Full<Bytes>>, ResponseConnection), SendError> {
        let limit = deadline.min(Instant::now() + self.shared.cfg.connect_timeout);
        let mut builder = http1::Builder::new();
        if let Some(bytes) = self.shared.cfg.receive_buffer_bytes {
            builder.max_buf_size(bytes);
        }
        match &self.shared.connector {
            Connector::Tcp => {
                let stream = opened(timeout_at(limit, TcpStream::connect(addr)).await)?;
                self.configure(&stream).map_err(|err| not_sent(&err))?;
                let stream = Stream::new(stream);
                let connection = ResponseConnection::new(stream.look(), stream.written());
                Ok((handshake(&builder, addr, stream).await?, connection))
            }
            Connector::Custom(connector) => {
                let stream = opened(timeout_at(limit, connector.connect(addr)).await)?;
                let tx = handshake(&builder, addr, stream).await?;
                Ok((tx, ResponseConnection::default()))
            }
        }
    }

    fn configure(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        // A request that is given up must not be delivered later, as the operating system would once a
        // broken link works again: closing the connection discards what is not sent yet.
        SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
        notice_dead_host(stream)?;
        match self.shared.cfg.receive_buffer_bytes {
            Some(bytes) => SockRef::from(stream).set_recv_buffer_size(bytes),
            None => Ok(()),
        }
    }

    async fn attempt(
        &self,
        addr: SocketAddr,
        mut tx: SendRequest<Full<Bytes>>,
        connection: ResponseConnection,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Attempt {
        let connection = connection.before_request(&req);
        match timeout_at(deadline, tx.try_send_request(req)).await {
            Ok(Ok(mut res)) => {
                res.extensions_mut().insert(connection.clone());
                self.keep(addr, tx, self.idle_limit(res.headers()), connection);
                Attempt::Answered(res)
            }
            Ok(Err(mut err)) => match err.take_message() {
                Some(unsent) => Attempt::HandedBack(unsent),
                None => Attempt::Failed(SendError::Broken {
                    message: describe(err.error()),
                }),
            },
            Err(_) => Attempt::Failed(SendError::TimedOut),
        }
    }

    /// Puts the connection back once the answer has been read to its end.
    fn keep(
        &self,
        addr: SocketAddr,
        mut tx: SendRequest<Full<Bytes>>,
        limit: Duration,
        connection: ResponseConnection,
    ) {
        let pool = self.clone();
        tokio::spawn(async move {
            if tx.ready().await.is_ok() {
                let since = Instant::now();
                let idle = Idle {
                    tx,
                    since,
                    limit,
                    connection,
                };
                pool.put_idle(addr, idle);
            }
        });
    }

    /// The shorter of the pool's own limit and a safe part of what the answer announced.
    fn idle_limit(&self, headers: &HeaderMap) -> Duration {
        let own = self.shared.cfg.idle_timeout;
        announced_idle(headers).map_or(own, |told| own.min(told.mul_f64(SAFE_IDLE)))
    }

    fn put_idle(&self, addr: SocketAddr, idle: Idle) {
        let cfg = self.shared.cfg;
        let mut kept = self.lock();
        kept.sweep(idle.since, cfg.idle_timeout);
        let list = kept.idle.entry(addr).or_default();
        if list.len() < cfg.max_idle && !idle.connection.is_discarded() {
            list.push(idle);
        }
    }

    /// The connection used last, which is the least likely to have been closed meanwhile.
    fn take_idle(
        &self,
        addr: SocketAddr,
        reuse: Reuse,
    ) -> Option<(SendRequest<Full<Bytes>>, ResponseConnection)> {
        let part = match reuse {
            Reuse::Never => return None,
            Reuse::Recent => RECENT,
            Reuse::Allowed => 1.0,
        };
        let now = Instant::now();
        let mut kept = self.lock();
        let list = kept.idle.get_mut(&addr)?;
        while let Some(idle) = list.pop() {
            if idle.connection.is_discarded() {
                continue;
            }
            if idle.tx.is_ready() && now - idle.since < idle.limit.mul_f64(part) {
                return Some((idle.tx, idle.connection.after_response()));
            }
            // The others were used before it, so they are no more recent.
            if reuse == Reuse::Recent {
                list.push(idle);
                return None;
            }
        }
        kept.idle.remove(&addr);
        None
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.shared
            .kept
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    /// Closes what has been idle for too long, also to addresses that get no calls any more.
    ///
    /// It looks at most twice in each `idle_timeout`, so that a call does not pay for all.
    fn sweep(&mut self, now: Instant, idle_timeout: Duration) {
        if now - self.swept < idle_timeout / 2 {
            return;
        }
        self.swept = now;
        for list in self.idle.values_mut() {
            list.retain(|i| !i.tx.is_closed() && now - i.since < i.limit);
        }
        self.idle.retain(|_, list| !list.is_empty());
    }
}

impl Default for Pool {
    fn default() -> Self {
        Pool::new(PoolConfig::default())
    }
}

/// Returns the stream of a connection that was opened in time.
fn opened<T>(result: Result<io::Result<T>, Elapsed>) -> Result<T, SendError> {
    match result {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(err)) => Err(not_sent(&err)),
        Err(_) => Err(not_sent(&"the connection did not open in time")),
    }
}

async fn handshake(
    builder: &http1::Builder,
    addr: SocketAddr,
    stream: impl ByteStream + 'static,
) -> Result<SendRequest<Full<Bytes>>, SendError> {
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (tx, conn) = handshake.map_err(|err| not_sent(&err))?;
    tokio::spawn(async move {
        if let Err(err) = conn.await {
            log::debug!("connection to {addr} ended: {err}");
        }
    });
    Ok(tx)
}

/// Ends the connection about ten seconds after its host is gone.
///
/// A host that loses its power or its network says nothing. Without this, a call to it would wait
/// for its whole deadline, which for a long register is minutes, and no other endpoint would be
/// tried before. A process that is only paused is not noticed: its host still answers.
fn notice_dead_host(stream: &TcpStream) -> io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(PROBE_AFTER + PROBE_INTERVAL * PROBES))
}

/// The time in `Keep-Alive: timeout=5`.
fn announced_idle(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let secs = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    secs.trim().parse().ok().map(Duration::from_secs)
}

/// Names the address as the host, unless the request passes on the host its caller named.
fn set_host(req: &mut Request<Full<Bytes>>, addr: SocketAddr) {
    if req.headers().contains_key(header::HOST) {
        return;
    }
    if let Ok(host) = HeaderValue::try_from(addr.to_string()) {
        req.headers_mut().insert(header::HOST, host);
    }
}

fn not_sent(err: &dyn std::fmt::Display) -> SendError {
    SendError::NotSent {
        message: err.to_string(),
    }
}

fn describe(err: &hyper::Error) -> String {
    match std::error::Error::source(err) {
        Some(source) => format!("{err}: {source}"),
        None => err.to_string(),
    }
}
