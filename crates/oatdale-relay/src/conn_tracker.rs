//! The state of a connection: new, idle, receiving a request head, or with a request in flight.
//!
//! A request is in flight until its response has been written: a caller that reads slowly gets the end of a
//! response long after the endpoint has sent it.
//!
//! Callers' connections have timeouts while they are idle or receive a head. The limits are part of the configuration and may change while a connection is open, so each
//! check looks them up. Without these timeouts, callers that open connections and send nothing, or
//! send a head byte by byte, would exhaust the node's file descriptors.

use crate::site::CallerLimits;
use hyper::rt::{Read, ReadBufCursor, Write};
use prometheus::IntGauge;
use std::io::Result;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::time::Instant;

/// State of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ConnState {
    /// Opened at that moment, and its first request is expected.
    New(Instant),
    /// Waiting for a request since that moment.
    Idle(Instant),
    /// Receiving a request head since that moment.
    Head(Instant),
    /// A request is in flight.
    InFlight,
    /// The end of a response is being written.
    Writing,
    /// The connection has ended.
    Closed,
}

/// Result of checking a connection's timeouts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Timeout {
    /// Check again at that moment.
    RecheckAt(Instant),
    /// Close the connection: it has exceeded the idle timeout.
    CloseIdle,
    /// Close the connection: the request head has exceeded its timeout.
    CloseSlow,
}

/// State of one connection, shared by its I/O wrapper and its request handlers.
#[derive(Clone, Debug)]
pub(crate) struct ConnTracker {
    state: Arc<Mutex<ConnState>>,
    /// Number of connections with a request in flight.
    in_flight: IntGauge,
}

/// I/O wrapper that records when bytes arrive and when all bytes are written.
pub(crate) struct TrackedIo<I> {
    io: I,
    tracker: ConnTracker,
}

impl ConnState {
    fn is_in_flight(self) -> bool {
        matches!(self, ConnState::InFlight | ConnState::Writing)
    }
}

impl ConnTracker {
    /// Creates the state of a connection that is counted in `in_flight` while it has a request.
    pub(crate) fn new(in_flight: IntGauge) -> Self {
        ConnTracker {
            state: Arc::new(Mutex::new(ConnState::New(Instant::now()))),
            in_flight,
        }
    }

    /// Records that a complete request head has been received.
    pub(crate) fn request_started(&self) {
        self.set(ConnState::InFlight);
    }

    /// Records that the response has ended; its last bytes may still have to be written.
    pub(crate) fn response_ended(&self) {
        self.set(ConnState::Writing);
    }

    /// Checks the timeouts against the current limits.
    pub(crate) fn check_timeouts(&self, limits: &CallerLimits) -> Timeout {
        let now = Instant::now();
        match self.get() {
            ConnState::New(since) if now >= since + limits.header_timeout => {
                self.set(ConnState::Idle(since));
                self.check_timeouts(limits)
            }
            ConnState::New(since) => Timeout::RecheckAt(since + limits.header_timeout),
            ConnState::Idle(since) if now >= since + limits.idle_timeout => Timeout::CloseIdle,
            ConnState::Head(since) if now >= since + limits.header_timeout => Timeout::CloseSlow,
            ConnState::Head(since) => Timeout::RecheckAt(since + limits.header_timeout),
            ConnState::Idle(since) => {
                Timeout::RecheckAt((since + limits.idle_timeout).min(now + limits.header_timeout))
            }
            ConnState::InFlight | ConnState::Writing | ConnState::Closed => {
                Timeout::RecheckAt(now + limits.header_timeout)
            }
        }
    }

    /// Returns whether the connection was opened a moment ago and nothing has been received.
    pub(crate) fn is_new(&self) -> bool {
        matches!(self.get(), ConnState::New(_))
    }

    /// Records that bytes have been received.
    fn bytes_received(&self) {
        if matches!(self.get(), ConnState::New(_) | ConnState::Idle(_)) {
            self.set(ConnState::Head(Instant::now()));
        }
    }

    /// Records that all bytes have been written.
    fn bytes_written(&self) {
        if self.get() == ConnState::Writing {
            self.set(ConnState::Idle(Instant::now()));
        }
    }

    fn get(&self) -> ConnState {
        *self.lock()
    }

    fn set(&self, state: ConnState) {
        let mut current = self.lock();
        // A request may end after its connection.
        if *current == ConnState::Closed {
            return;
        }
        let previous = std::mem::replace(&mut *current, state);
        match (previous.is_in_flight(), state.is_in_flight()) {
            (false, true) => self.in_flight.inc(),
            (true, false) => self.in_flight.dec(),
            _ => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<I> TrackedIo<I> {
    pub(crate) fn new(io: I, tracker: ConnTracker) -> Self {
        TrackedIo { io, tracker }
    }
}

impl<I> Drop for TrackedIo<I> {
    fn drop(&mut self) {
        self.tracker.set(ConnState::Closed);
    }
}

impl<I: Read + Unpin> Read for TrackedIo<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let poll = Pin::new(&mut self.io).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = poll {
            self.tracker.bytes_received();
        }
        poll
    }
}

impl<I: Write + Unpin> Write for TrackedIo<I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let poll = Pin::new(&mut self.io).poll_flush(cx);
        if let Poll::Ready(Ok(())) = poll {
            self.tracker.bytes_written();
        }
        poll
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}
