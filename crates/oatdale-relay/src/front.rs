//! Accepts and serves callers' connections.

use crate::conn_tracker::{ConnTracker, Timeout, TrackedIo};
use crate::cx::Cx;
use crate::serve::serve;
use crate::site::CallerLimits;
use crate::wire::Wire;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep_until;

/// Limits on callers until a configuration is known.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 1 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Smallest buffer size that the HTTP library accepts for a request head.
const MIN_HEADER_BYTES: usize = 8 << 10;

/// TCP user timeout of callers' connections: a caller that acknowledges nothing for this long is
/// gone, and its requests would occupy endpoints needlessly.
const CALLER_TCP_TIMEOUT: Duration = Duration::from_secs(4);

/// Send buffer of a caller's socket, which the system doubles. Left to the system it grows to
/// megabytes for a caller that does not read, and a few dozen of these would fill the memory of the
/// smallest hosts. At a round trip of 100 ms it still allows over 1 MB per second.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Phase of a shutdown, as callers' connections see it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum ShutdownPhase {
    /// The node runs, or is shutting down and still accepts requests.
    Open,
    /// No new connections are accepted. Those without a request in flight are closed, but for those that were just
    /// opened: their callers are about to send.
    Closing,
}

/// Accepts connections until the shutdown reaches [`ShutdownPhase::Closing`]. Those that the system has established by
/// then are served too.
pub(crate) async fn accept<W: Wire>(
    cx: Arc<Cx<W>>,
    listener: TcpListener,
    mut shutdown: watch::Receiver<ShutdownPhase>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutdown.wait_for(|s| *s == ShutdownPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(handle_connection(cx.clone(), stream, shutdown.clone()));
            }
            Err(err) => {
                // Usually the file descriptors are exhausted, and other connections have to end
                // first.
                log::warn!(target: "front", "event=accept_failed err={err}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    match accept_established(listener) {
        Ok(streams) => streams.into_iter().for_each(|stream| {
            tokio::spawn(handle_connection(cx.clone(), stream, shutdown.clone()));
        }),
        Err(err) => log::warn!(target: "front", "event=accept_failed err={err}"),
    }
}

/// Accepts all connections that the system has established, and closes the listener. Those that are not accepted by
/// then would be reset.
fn accept_established(listener: TcpListener) -> std::io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut streams = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                streams.push(TcpStream::from_std(stream)?);
            }
            Err(err) if err.kind() == ErrorKind::WouldBlock => return Ok(streams),
            Err(err) => {
                log::warn!(target: "front", "event=accept_failed err={err}");
                return Ok(streams);
            }
        }
    }
}

async fn handle_connection<W: Wire>(
    cx: Arc<Cx<W>>,
    stream: TcpStream,
    mut shutdown: watch::Receiver<ShutdownPhase>,
) {
    let options = SockRef::from(&stream);
    let options_set = stream
        .set_nodelay(true)
        .and_then(|()| options.set_tcp_user_timeout(Some(CALLER_TCP_TIMEOUT)))
        .and_then(|()| options.set_send_buffer_size(SEND_BUFFER_BYTES));
    if let Err(err) = options_set {
        log::debug!(target: "front", "event=socket_option_failed err={err}");
    }
    cx.metrics.connections.inc();
    let tracker = ConnTracker::new(cx.metrics.in_flight.clone());
    let io = TrackedIo::new(TokioIo::new(stream), tracker.clone());
    let service = service_fn(|req| serve(cx.clone(), tracker.clone(), req));
    let header_bytes = current_limits(&cx).header_bytes.max(MIN_HEADER_BYTES);
    let mut conn = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(header_bytes)
            .serve_connection(io, service)
    );
    let mut accepts_requests = true;
    loop {
        let recheck_at = match tracker.check_timeouts(&current_limits(&cx)) {
            Timeout::RecheckAt(at) => at,
            Timeout::CloseIdle if accepts_requests => {
                accepts_requests = false;
                conn.as_mut().graceful_shutdown();
                continue;
            }
            Timeout::CloseIdle | Timeout::CloseSlow => break,
        };
        tokio::select! {
            ended = conn.as_mut() => {
                if let Err(err) = ended {
                    log::debug!(target: "front", "event=connection_ended err={err}");
                }
                break;
            }
            () = sleep_until(recheck_at) => {}
            _ = shutdown.wait_for(|s| *s == ShutdownPhase::Closing), if accepts_requests && !tracker.is_new() => {
                accepts_requests = false;
                conn.as_mut().graceful_shutdown();
            }
        }
    }
    cx.metrics.connections.dec();
}

fn current_limits<W: Wire>(cx: &Cx<W>) -> CallerLimits {
    cx.site().map_or(DEFAULT_LIMITS, |site| site.limits)
}
