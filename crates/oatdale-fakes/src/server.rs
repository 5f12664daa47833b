//! A small HTTP server on a loopback port whose connections can be refused or cut.

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oatdale_platform::wire;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4096;

/// A body that is sent whole or as a stream, which may break off.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Closes the connection in place of an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CloseConnection;

impl std::fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stand-in closes the connection")
    }
}

impl std::error::Error for CloseConnection {}

/// What a handler returns.
pub type Reply = Result<Response<Body>, CloseConnection>;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Serving,
    Refusing,
    Stopping,
    Killed,
}

/// A running server; dropping it kills it.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    phase: watch::Sender<Phase>,
    task: Option<JoinHandle<()>>,
    /// Never listens; it keeps others from taking the port while connections are refused.
    _reserved: TcpSocket,
}

impl Server {
    /// Listens at `addr`, where port 0 takes a free one, and serves until it is stopped.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start<F>(
        addr: SocketAddr,
        handler: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = Reply> + Send + 'static,
    {
        let reserved = bind(addr)?;
        let addr = reserved.local_addr()?;
        let listener = bind(addr)?.listen(BACKLOG)?;
        let (phase, rx) = watch::channel(Phase::Serving);
        let task = tokio::spawn(accept(listener, addr, handler, rx));
        Ok(Server {
            addr,
            phase,
            task: Some(task),
            _reserved: reserved,
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Refuses connections and cuts the open ones, or listens again at the same address.
    pub fn refuse(&self, refuse: bool) {
        self.phase.send_replace(match refuse {
            true => Phase::Refusing,
            false => Phase::Serving,
        });
    }

    /// Takes no new connection, finishes the requests under way and returns.
    pub async fn stop(mut self) {
        self.phase.send_replace(Phase::Stopping);
        if let Some(task) = self.task.take() {
            task.await.ok();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.phase.send_replace(Phase::Killed);
    }
}

async fn accept<F>(
    listener: TcpListener,
    addr: SocketAddr,
    handler: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    mut phase: watch::Receiver<Phase>,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let mut listener = Some(listener);
    let (open, mut all_closed) = tokio::sync::mpsc::channel::<Infallible>(1);
    loop {
        let now = *phase.borrow_and_update();
        match (now, &listener) {
            (Phase::Stopping | Phase::Killed, _) => break,
            (Phase::Refusing, Some(_)) => listener = None,
            (Phase::Serving, None) => {
                listener = bind(addr).and_then(|socket| socket.listen(BACKLOG)).ok();
            }
            _ => {}
        }
        // In a fixed order, so that a run from one seed goes the same way each time.
        tokio::select! {
            biased;
            changed = phase.changed() => if changed.is_err() { break },
            stream = next(listener.as_ref()) => {
                let conn = serve(stream, handler.clone(), phase.clone(), open.clone());
                tokio::spawn(conn);
            }
        }
    }
    drop((listener, open));
    if *phase.borrow() == Phase::Stopping {
        all_closed.recv().await;
    }
}

/// Binds a socket that shares its port with the one that reserves it.
fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

/// The next connection; waits for ever without a listener.
async fn next(listener: Option<&TcpListener>) -> TcpStream {
    loop {
        match listener {
            None => std::future::pending::<()>().await,
            Some(listener) => match listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(err) => log::warn!("a connection was not accepted: {err}"),
            },
        }
    }
}

/// Names the request in its answer, if it has an id.
async fn named(id: Option<HeaderValue>, answer: impl Future<Output = Reply>) -> Reply {
    let mut res = answer.await?;
    if let Some(id) = id {
        res.headers_mut().insert(wire::REQUEST_ID, id);
    }
    Ok(res)
}

/// Serves one connection; `_open` is held until it is closed.
async fn serve<F>(
    stream: TcpStream,
    handler: impl Fn(Request<Incoming>) -> F,
    mut phase: watch::Receiver<Phase>,
    _open: tokio::sync::mpsc::Sender<Infallible>,
) where
    F: Future<Output = Reply>,
{
    stream.set_nodelay(true).ok();
    let service = service_fn(move |req: Request<Incoming>| {
        let id = req.headers().get(wire::REQUEST_ID).cloned();
        named(id, handler(req))
    });
    let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut conn = pin!(conn);
    loop {
        match *phase.borrow_and_update() {
            Phase::Refusing | Phase::Killed => return,
            Phase::Stopping => conn.as_mut().graceful_shutdown(),
            Phase::Serving => {}
        }
        tokio::select! {
            biased;
            changed = phase.changed() => if changed.is_err() { return },
            res = conn.as_mut() => {
                if let Err(err) = res {
                    log::debug!("a connection ended: {err}");
                }
                return;
            }
        }
    }
}
