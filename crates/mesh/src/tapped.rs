//! Stream that reports what passes through it.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that are read at once. The HTTP library doubles its read buffer whenever a read fills it, and
/// keeps it for as long as the connection is open; its smallest one is a byte larger.
const READ_BYTES: usize = 8 * 1_024 - 1;

/// Stream that hands out a limited number of bytes at once. It calls `on_read` with the number of bytes of each read, whose error fails the read,
/// and `on_write` before each write.
pub(crate) struct Tapped<T, R, W> {
    stream: T,
    on_read: R,
    on_write: W,
}

impl<T, R, W> Tapped<T, R, W>
where
    R: FnMut(usize) -> io::Result<()>,
    W: FnMut(),
{
    pub fn new(stream: T, on_read: R, on_write: W) -> Self {
        Tapped { stream, on_read, on_write }
    }

    /// Returns the stream, which is no longer reported on.
    pub fn into_inner(self) -> T {
        self.stream
    }
}

impl<T, R, W> AsyncRead for Tapped<T, R, W>
where
    T: AsyncRead + Unpin,
    R: FnMut(usize) -> io::Result<()> + Unpin,
    W: Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [const { MaybeUninit::uninit() }; READ_BYTES];
        let len = buf.remaining().min(READ_BYTES);
        let mut read = ReadBuf::uninit(&mut bytes[..len]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        buf.put_slice(read.filled());
        Poll::Ready((self.on_read)(read.filled().len()))
    }
}

impl<T, R, W> AsyncWrite for Tapped<T, R, W>
where
    T: AsyncWrite + Unpin,
    R: Unpin,
    W: FnMut() + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        (self.on_write)();
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
        (self.on_write)();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
