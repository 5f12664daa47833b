//! Ends callers' connections that are idle or slow.
//!
//! The limits come with the configuration and change while connections live, so each connection
//! looks them up when it checks. Without this, callers that open connections and send nothing, or
//! a head's bytes one by one, use up the node's descriptors.

use crate::site::CallerLimits;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io::Result;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::time::Instant;

/// What a connection does.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Doing {
    /// Waits for a request since then.
    Idle(Instant),
    /// Receives a head since then.
    Head(Instant),
    /// Has a request under way.
    Request,
}

/// What to do with a connection whose time is up.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Due {
    /// Nothing before that moment.
    Later(Instant),
    /// It was idle for too long.
    CloseIdle,
    /// A head took too long.
    CloseSlow,
}

/// One connection's state, shared by its bytes and its requests.
#[derive(Clone, Debug)]
pub(crate) struct ConnWatch(Arc<Mutex<Doing>>);

/// A connection that notes when bytes arrive.
pub(crate) struct Guarded<I> {
    io: I,
    watch: ConnWatch,
}

impl ConnWatch {
    pub(crate) fn new() -> Self {
        ConnWatch(Arc::new(Mutex::new(Doing::Idle(Instant::now()))))
    }

    /// A request's head has come whole.
    pub(crate) fn request(&self) {
        self.set(Doing::Request);
    }

    /// The answer has ended.
    pub(crate) fn answered(&self) {
        self.set(Doing::Idle(Instant::now()));
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.get(), Doing::Idle(_))
    }

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
