//! A TCP stream that can be looked at while a connection owns it.

use socket2::SockRef;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream that closes when it is dropped, whoever looks at it.
#[derive(Debug)]
pub(super) struct Stream {
    stream: Arc<TcpStream>,
    written: Written,
}

/// Number of bytes that were written to a stream, also after it has closed.
#[derive(Clone, Debug, Default)]
pub(super) struct Written(Arc<AtomicU64>);

/// Looks at a stream; the default has none and sees nothing.
#[derive(Clone, Debug, Default)]
pub(super) struct Look(Option<Weak<TcpStream>>);

impl Stream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Stream {
            stream: Arc::new(stream),
            written: Written::default(),
        }
    }

    pub(super) fn look(&self) -> Look {
        Look(Some(Arc::downgrade(&self.stream)))
    }

    pub(super) fn written(&self) -> Written {
        self.written.clone()
    }
}

impl Written {
    pub(super) fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Look {
    /// Whether bytes wait on the stream or it has ended, also if its task had no turn to notice.
    pub(super) fn has_input(&self) -> bool {
        let Some(stream) = &self.0 else { return false };
        let Some(stream) = stream.upgrade() else {
            return true;
        };
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*stream).peek(&mut byte);
        !peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    self.written.add(*written.as_ref().unwrap_or(&0));
                    return Poll::Ready(written);
                }
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    self.written.add(*written.as_ref().unwrap_or(&0));
                    return Poll::Ready(written);
                }
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
