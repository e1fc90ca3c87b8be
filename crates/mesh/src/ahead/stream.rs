//! Stream of a connection that can be read ahead of the server that it belongs to.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use futures_util::FutureExt;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

use super::{MAX_COPIED_BYTES, MAX_SERVED_BYTES, MAX_UNREAD_BYTES};

/// Bytes that are read ahead at once.
const READ_BYTES: usize = 4_096;

/// Size up to which a buffer is kept when it is empty; the head of a request fits.
const KEPT_BYTES: usize = 1_024;

/// Stream of a connection. Its clones share the socket: one belongs to the server, the others read
/// ahead and look at what has been read.
#[derive(Clone)]
pub(crate) struct AheadStream(Arc<Mutex<State>>);

struct State {
    tcp: TcpStream,
    /// Bytes that the server has not taken yet.
    unread: BytesMut,
    /// Bytes that have arrived since the last boundary between requests and have not been taken to be
    /// read a second time; `None` if they were too many.
    copied: Option<BytesMut>,
    /// Whether the server's last read found nothing.
    waiting: bool,
}

impl State {
    /// Copies `bytes`, up to `most` in all.
    fn copy(&mut self, bytes: &[u8], most: usize) {
        let Some(copied) = &mut self.copied else { return };
        if copied.len() + bytes.len() > most {
            self.copied = None;
            return;
        }
        copied.extend_from_slice(bytes);
    }
}

impl AheadStream {
    /// Returns the stream of a connection, which is copied from its start if `copies` is set.
    pub fn new(tcp: TcpStream, copies: bool) -> Self {
        let copied = copies.then(BytesMut::new);
        let state = State { tcp, unread: BytesMut::new(), copied, waiting: false };
        AheadStream(Arc::new(Mutex::new(state)))
    }

    /// Returns whether the server has taken all bytes that have arrived, and waits for more.
    pub fn is_waiting(&self) -> bool {
        let state = self.0.lock();
        state.waiting && state.unread.is_empty()
    }

    /// Returns whether bytes wait to be read a second time.
    pub fn has_copy(&self) -> bool {
        self.0.lock().copied.as_ref().is_some_and(|copied| !copied.is_empty())
    }

    /// Begins the copy anew with the next byte that arrives.
    pub fn begin_copy(&self) {
        let mut state = self.0.lock();
        match &mut state.copied {
            Some(copied) if copied.capacity() <= KEPT_BYTES => copied.clear(),
            large => *large = Some(BytesMut::new()),
        }
        if state.unread.is_empty() && state.unread.capacity() > KEPT_BYTES {
            state.unread = BytesMut::new();
        }
    }

    /// Reads what has arrived, up to the bound. Ready at the end of the stream.
    pub fn poll_fill(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.0.lock();
        let mut bytes = [0_u8; READ_BYTES];
        while state.unread.len() < MAX_UNREAD_BYTES {
            let mut buf = ReadBuf::new(&mut bytes);
            let result = ready!(Pin::new(&mut state.tcp).poll_read(cx, &mut buf));
            let arrived = buf.filled();
            if result.is_err() || arrived.is_empty() {
                return Poll::Ready(());
            }
            state.unread.extend_from_slice(arrived);
            state.copy(arrived, MAX_COPIED_BYTES);
        }
        Poll::Pending
    }

    /// Returns whether as much has been read ahead as may be held.
    pub fn is_full(&self) -> bool {
        self.0.lock().unread.len() >= MAX_UNREAD_BYTES
    }

    /// Returns whether the other side has closed the connection, also behind bytes that nobody has read.
    pub fn is_closed(&self) -> bool {
        let state = self.0.lock();
        match state.tcp.ready(Interest::READABLE).now_or_never() {
            Some(Ok(ready)) => ready.is_read_closed(),
            Some(Err(_)) => true,
            None => false,
        }
    }

    /// Moves copied bytes to `buf`; returns whether the copy goes on.
    pub fn take_copy(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut state = self.0.lock();
        let Some(copied) = &mut state.copied else { return false };
        let len = copied.len().min(buf.remaining());
        buf.put_slice(&copied[..len]);
        copied.advance(len);
        true
    }
}

impl AsyncRead for AheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.0.lock();
        if !state.unread.is_empty() {
            let len = state.unread.len().min(buf.remaining());
            buf.put_slice(&state.unread[..len]);
            state.unread.advance(len);
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut state.tcp).poll_read(cx, buf);
        state.waiting = result.is_pending();
        if let Poll::Ready(Ok(())) = &result {
            state.copy(&buf.filled()[before..], MAX_SERVED_BYTES);
        }
        result
    }
}

impl AsyncWrite for AheadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.lock().tcp).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.lock().tcp).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.lock().tcp).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.lock().tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.lock().tcp.is_write_vectored()
    }
}
