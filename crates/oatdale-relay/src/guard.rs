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
enum Doing {
    /// Waiting for a request since that moment.
    Idle(Instant),
    /// Receiving a request head since that moment.
    Head(Instant),
    /// A request is in flight.
    Request,
}

/// Result of checking a connection's timeouts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Due {
    /// Check again at that moment.
    Later(Instant),
    /// Close the connection: it has exceeded the idle timeout.
    CloseIdle,
    /// Close the connection: the request head has exceeded its timeout.
    CloseSlow,
}

/// State of one connection, shared by its I/O wrapper and its request handlers.
#[derive(Clone, Debug)]
pub(crate) struct ConnWatch(Arc<Mutex<Doing>>);

/// I/O wrapper that records when bytes arrive.
pub(crate) struct Guarded<I> {
    io: I,
    watch: ConnWatch,
}

impl ConnWatch {
    pub(crate) fn new() -> Self {
        ConnWatch(Arc::new(Mutex::new(Doing::Idle(Instant::now()))))
    }

    /// Records that a complete request head has been received.
    pub(crate) fn request(&self) {
        self.set(Doing::Request);
    }

    /// Records that the response has ended.
    pub(crate) fn answered(&self) {
        self.set(Doing::Idle(Instant::now()));
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.get(), Doing::Idle(_))
    }

    /// Checks the timeouts against the current limits.
    pub(crate) fn due(&self, limits: &CallerLimits) -> Due {
        let now = Instant::now();
        match self.get() {
            Doing::Idle(since) if now >= since + limits.idle_timeout => Due::CloseIdle,
            Doing::Head(since) if now >= since + limits.header_timeout => Due::CloseSlow,
            Doing::Head(since) => Due::Later(since + limits.header_timeout),
            Doing::Idle(since) => {
                Due::Later((since + limits.idle_timeout).min(now + limits.header_timeout))
            }
            Doing::Request => Due::Later(now + limits.header_timeout),
        }
    }

    /// Records that bytes have been received.
    fn bytes(&self) {
        if self.is_idle() {
            self.set(Doing::Head(Instant::now()));
        }
    }

    fn get(&self) -> Doing {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, doing: Doing) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = doing;
    }
}

impl<I> Guarded<I> {
    pub(crate) fn new(io: I, watch: ConnWatch) -> Self {
        Guarded { io, watch }
    }
}

impl<I: Read + Unpin> Read for Guarded<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let poll = Pin::new(&mut self.io).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = poll {
            self.watch.bytes();
        }
        poll
    }
}

impl<I: Write + Unpin> Write for Guarded<I> {
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
