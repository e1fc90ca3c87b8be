//! Withholds the HTTP library's refusal of a head that has more fields than it has room for, so that
//! the head can be read once more with more room.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Requests of one connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exchanges(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    begun: AtomicUsize,
    ended: AtomicUsize,
}

/// Held from the head of a request to the end of its response.
#[derive(Debug)]
pub(crate) struct OpenExchange(Arc<Counts>);

impl Exchanges {
    /// Begins an exchange, which ends when the returned value is dropped.
    pub fn begin(&self) -> OpenExchange {
        self.0.begun.fetch_add(1, Ordering::Relaxed);
        OpenExchange(Arc::clone(&self.0))
    }

    fn begun(&self) -> usize {
        self.0.begun.load(Ordering::Relaxed)
    }

    fn ended(&self) -> usize {
        self.0.ended.load(Ordering::Relaxed)
    }
}

impl Drop for OpenExchange {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, Ordering::Relaxed);
    }
}

/// How the status line of a refused head goes on after the version of HTTP.
const REFUSAL: &[u8] = b" 431 ";
/// Length of the version of HTTP in a status line.
const VERSION_BYTES: usize = "HTTP/1.1".len();

/// Stream of a server that withholds a refusal which the HTTP library writes while no request is open.
pub(crate) struct Withheld<T> {
    stream: T,
    /// Bytes to be read before those of the stream.
    unread: Bytes,
    exchanges: Exchanges,
    /// Number of exchanges whose responses have been written.
    settled: usize,
    withholds: bool,
    refused: bool,
}

impl<T> Withheld<T> {
    /// Returns `stream`, on which `exchanges` happen.
    pub fn new(stream: T, exchanges: Exchanges) -> Self {
        let unread = Bytes::new();
        Withheld { stream, unread, exchanges, settled: 0, withholds: true, refused: false }
    }

    /// Returns whether a refusal was withheld.
    pub fn is_refused(&self) -> bool {
        self.refused
    }

    /// Returns the stream before the refused head, whose bytes are `unread`; it withholds the next
    /// refusal if `withholds` is set.
    pub fn rewind(mut self, unread: Bytes, withholds: bool) -> Self {
        // A part of the head may not have been handed out yet.
        let rest = std::mem::take(&mut self.unread);
        self.unread = if rest.is_empty() { unread } else { [unread, rest].concat().into() };
        self.withholds = withholds;
        self.refused = false;
        self
    }

    /// Returns whether `bytes` are withheld.
    fn withhold(&mut self, bytes: &[u8]) -> bool {
        let idle = self.settled == self.exchanges.begun();
        let refusal = bytes.get(VERSION_BYTES..).is_some_and(|rest| rest.starts_with(REFUSAL));
        self.refused |= self.withholds && idle && refusal;
        self.refused
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Withheld<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unread.is_empty() {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let len = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..len]);
        self.unread.advance(len);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Withheld<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.withhold(buf) {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.refused {
            return Poll::Ready(Ok(()));
        }
        // The library flushes when nothing is left of what it had to write.
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        let begun = self.exchanges.begun();
        if self.exchanges.ended() == begun {
            self.settled = begun;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.refused {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.withhold(bufs.first().map_or(&[], |buf| buf)) {
            return Poll::Ready(Ok(bufs.iter().map(|buf| buf.len()).sum()));
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
