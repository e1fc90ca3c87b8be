//! Stream of a caller's connection that knows whether a request has begun to arrive.
//!
//! The HTTP server takes a connection on which half a request head has arrived for an idle one.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whether bytes have arrived on a connection since the last bytes were sent on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Activity(Arc<AtomicBool>);

impl Activity {
    /// Returns whether a request, or a part of one, has arrived and has no response yet.
    pub fn is_pending(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Stream that records its [`Activity`].
#[derive(Debug)]
pub(crate) struct Watched<T> {
    stream: T,
    activity: Activity,
}

impl<T> Watched<T> {
    pub fn new(stream: T, activity: Activity) -> Self {
        Watched { stream, activity }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Watched<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.activity.0.store(true, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Watched<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.activity.0.store(false, Ordering::Relaxed);
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
        self.activity.0.store(false, Ordering::Relaxed);
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
