//! Stream that fails when the other side sends more than it is allowed to.
//!
//! It bounds what an HTTP client would read without handing it out: interim responses, heads, chunk
//! extensions and trailers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that the other side of a connection may still send.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowance(Arc<AtomicU64>);

impl Allowance {
    /// Allows `bytes` from now on, whatever was allowed before.
    pub fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Takes `bytes`; returns whether they were allowed.
    fn take(&self, bytes: u64) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// Stream whose reads are limited by an [`Allowance`].
#[derive(Debug)]
pub(crate) struct Metered<T> {
    stream: T,
    allowance: Allowance,
}

impl<T> Metered<T> {
    pub fn new(stream: T, allowance: Allowance) -> Self {
        Metered { stream, allowance }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = (buf.filled().len() - before) as u64;
        if self.allowance.take(received) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(io::Error::other("response is longer than allowed")))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
