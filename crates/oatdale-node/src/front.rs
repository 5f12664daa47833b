//! The front duty: accepts callers' connections and serves HTTP on them.
//!
//! Several front threads accept from one listening socket; each has its own runtime, so a connection
//! lives on one thread from start to end.

use crate::api;
use crate::cx::Cx;
use crate::stops::Informed;
use futures::FutureExt;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use log::{debug, error, info, warn};
use oatdale_config::NodeSettings;
use socket2::{Domain, Protocol, Socket, Type};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Connections that the kernel keeps ready for us.
const BACKLOG: i32 = 1024;

/// Pause after a failed accept, such as when file descriptors run out; without it the duty would
/// spin on the same error and starve the connections that it has.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How far a planned stop has come.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Phase {
    /// Serving.
    Serving,
    /// No longer among the addresses that nodes tell callers, yet taking what comes.
    Leaving,
    /// Closing connections as their requests end, taking no new ones.
    Closing,
}

/// Binds an address; it accepts nothing yet, so callers find the port closed until there is a
/// configuration.
///
/// A free port is taken without `SO_REUSEADDR`: with it another socket could take the same port
/// before this one listens, and callers of one program would reach another.
///
/// # Errors
///
/// Fails if the address is not ours or taken by another process.
pub(crate) fn bind(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(addr.port() != 0)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}

/// The address that a socket got.
///
/// # Errors
///
/// Fails if the system does.
pub(crate) fn local_addr(socket: &Socket) -> io::Result<SocketAddr> {
    socket
        .local_addr()?
        .as_socket()
        .ok_or_else(|| io::Error::other("not an IP address"))
}

/// Serves connections from the first configuration on, until the phase is `Closing` and the last
/// request has ended.
pub(crate) async fn run(socket: Socket, cx: Cx) {
    let mut phase = cx.phase.clone();
    tokio::select! {
        () = ready(&cx) => {}
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
    }
    let listener = match listen(socket) {
        Ok(listener) => {
            cx.listening.send_modify(|count| *count += 1);
            listener
        }
        Err(err) => {
            error!(target: "front", "event=listen_failed error={:?}", err.to_string());
            return;
        }
    };
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(cx.settings.limits.connections));
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => serve(stream, peer, &cx, &graceful, &places),
                Err(err) => {
                    warn!(target: "front", "event=accept_failed error={:?}", err.to_string());
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
        }
    }
    // Whoever connected before this moment is served; the others find the port closed and know
    // that nothing was sent.
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        serve(stream, peer, &cx, &graceful, &places);
    }
    drop(listener);
    info!(target: "front", "event=closing connections={}", graceful.count());
    graceful.shutdown().await;
    cx.tasks.close();
    cx.tasks.wait().await;
}

/// Returns once there is a configuration and this node knows which versions were stopped as bad;
/// without the latter a node that has just started would send sessions to a bad version.
async fn ready(cx: &Cx) {
    let (mut live, mut informed) = (cx.live.clone(), cx.informed.clone());
    // Both senders outlive the fronts.
    let _ = live.wait_for(|live| live.revision.0 > 0).await;
    let _ = informed.wait_for(|known| *known == Informed::Applied).await;
}

fn listen(socket: Socket) -> io::Result<tokio::net::TcpListener> {
    socket.listen(BACKLOG)?;
    tokio::net::TcpListener::from_std(socket.into())
}

fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    cx: &Cx,
    graceful: &GracefulShutdown,
    places: &Arc<Semaphore>,
) {
    // A connection over the limit is closed at once: its caller sees that nothing was sent and
    // may ask another node, which is better than to wait here unanswered.
    let Ok(place) = places.clone().try_acquire_owned() else {
        debug!(target: "front", "event=too_many_connections peer={peer}");
        return;
    };
    // Small frames of a stream must not wait for one another.
    let _ = stream.set_nodelay(true);
    let service_cx = cx.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let cx = service_cx.clone();
        async move { Ok::<_, Infallible>(api::handle(cx, req).await) }
    });
    let connection = builder(&cx.settings).serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    let metrics = cx.metrics.clone();
    tokio::task::spawn(async move {
        metrics.connections.inc();
        if let Err(err) = watched.await {
            debug!(target: "front", "event=connection_ended peer={peer} error={:?}", err.to_string());
        }
        metrics.connections.dec();
        drop(place);
    });
}

fn builder(settings: &NodeSettings) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(settings.limits.header_timeout)
        .max_buf_size(settings.limits.header_bytes)
        .keep_alive(true);
    builder
}
