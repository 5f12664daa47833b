//! Timeouts for callers' connections that are idle or send a request head slowly.
//!
//! The limits are part of the configuration and may change while a connection is open, so each
//! check looks them up. Without these timeouts, callers that open connections and send nothing, or
//! send a head byte by byte, would exhaust the node's file descriptors.

use crate::site::CallerLimits;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io::Result;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::time::Instant;

/// State of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ConnState {
    /// Waiting for a request since that moment.
    Idle(Instant),
    /// Receiving a request head since that moment.
    Head(Instant),
    /// A request is in flight.
    InFlight,
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
pub(crate) struct ConnTracker(Arc<Mutex<ConnState>>);

/// I/O wrapper that records when bytes arrive.
pub(crate) struct TrackedIo<I> {
    io: I,
    tracker: ConnTracker,
}

impl ConnTracker {
    pub(crate) fn new() -> Self {
        ConnTracker(Arc::new(Mutex::new(ConnState::Idle(Instant::now()))))
    }

    /// Records that a complete request head has been received.
    pub(crate) fn request_started(&self) {
        self.set(ConnState::InFlight);
    }

    /// Records that the response has ended.
    pub(crate) fn response_ended(&self) {
        self.set(ConnState::Idle(Instant::now()));
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.get(), ConnState::Idle(_))
    }

    /// Checks the timeouts against the current limits.
    pub(crate) fn check_timeouts(&self, limits: &CallerLimits) -> Timeout {
        let now = Instant::now();
        match self.get() {
            ConnState::Idle(since) if now >= since + limits.idle_timeout => Timeout::CloseIdle,
            ConnState::Head(since) if now >= since + limits.header_timeout => Timeout::CloseSlow,
            ConnState::Head(since) => Timeout::RecheckAt(since + limits.header_timeout),
            ConnState::Idle(since) => {
                Timeout::RecheckAt((since + limits.idle_timeout).min(now + limits.header_timeout))
            }
            ConnState::InFlight => Timeout::RecheckAt(now + limits.header_timeout),
        }
    }

    /// Records that bytes have been received.
    fn bytes_received(&self) {
        if self.is_idle() {
            self.set(ConnState::Head(Instant::now()));
        }
    }

    fn get(&self) -> ConnState {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, state: ConnState) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }
}

impl<I> TrackedIo<I> {
    pub(crate) fn new(io: I, tracker: ConnTracker) -> Self {
        TrackedIo { io, tracker }
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
        Pin::new(&mut self.io).poll_flush(cx)
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
