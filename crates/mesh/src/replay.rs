//! Hands out the response to a request once more, so that it can be read with more room.
//!
//! The HTTP library loses a response whose head has more fields than it has room for. A new
//! connection of the library over the same stream reads it as the response to a second request,
//! which is not sent.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What happens to the bytes that the HTTP library writes.
#[derive(Debug)]
enum Writes {
    Sent,
    /// Not sent until the library has flushed the request. Nothing is read before.
    Dropped {
        some: bool,
        reader: Option<Waker>,
    },
}

/// Stream of a client that can hand out a response once more.
#[derive(Debug)]
pub(crate) struct Replay<T> {
    stream: T,
    /// Bytes to be read before those of the stream.
    unread: Bytes,
    writes: Writes,
    /// Whether a part of a request may not have been written yet.
    unsent: bool,
}

impl<T> Replay<T> {
    /// Returns `stream` with nothing to be handed out once more.
    pub fn new(stream: T) -> Self {
        Replay { stream, unread: Bytes::new(), writes: Writes::Sent, unsent: false }
    }

    /// Returns whether all of the last request has been written.
    pub fn is_sent(&self) -> bool {
        !self.unsent
    }

    /// Returns the stream before the response that begins with `unread`. The next request is not
    /// sent.
    pub fn rewind(mut self, unread: Bytes) -> Self {
        // A part of the response may not have been handed out yet.
        self.unread = [unread, std::mem::take(&mut self.unread)].concat().into();
        self.writes = Writes::Dropped { some: false, reader: None };
        self
    }

    /// Returns whether written bytes are not sent.
    fn drops(&mut self) -> bool {
        match &mut self.writes {
            Writes::Sent => false,
            Writes::Dropped { some, .. } => {
                *some = true;
                true
            }
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Replay<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Writes::Dropped { reader, .. } = &mut self.writes {
            *reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        if self.unread.is_empty() {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let len = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..len]);
        self.unread.advance(len);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Replay<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.drops() {
            return Poll::Ready(Ok(buf.len()));
        }
        self.unsent = true;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.writes {
            Writes::Dropped { some: false, .. } => return Poll::Ready(Ok(())),
            Writes::Dropped { reader, .. } => {
                if let Some(reader) = reader.take() {
                    reader.wake();
                }
                self.writes = Writes::Sent;
                return Poll::Ready(Ok(()));
            }
            Writes::Sent => {}
        }
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        // The library flushes when nothing is left of what it had to write.
        self.unsent = false;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.drops() {
            return Poll::Ready(Ok(bufs.iter().map(|buf| buf.len()).sum()));
        }
        self.unsent = true;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
