//! Server of a connection that reads ahead.

use std::pin::Pin;
use std::task::{Context, Poll};

use super::ReadAhead;

/// Server of a connection, and what reads ahead of it, if anything does.
pub(crate) struct AheadConnection<'a, C> {
    /// Server of the connection.
    pub conn: C,
    ahead: Option<&'a mut ReadAhead>,
}

impl<'a, C> AheadConnection<'a, C> {
    /// Lets `ahead` read ahead of `conn`.
    pub fn new(conn: C, ahead: Option<&'a mut ReadAhead>) -> Self {
        AheadConnection { conn, ahead }
    }
}

impl<C> Future for AheadConnection<'_, C>
where
    C: Future<Output = hyper::Result<()>> + Unpin,
{
    type Output = hyper::Result<()>;

    /// Serves the connection until it ends, or its caller leaves while a request is open.
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        if let Poll::Ready(result) = Pin::new(&mut self.conn).poll(cx) {
            return Poll::Ready(result);
        }
        match &mut self.ahead {
            Some(ahead) => ahead.poll(cx).map(Ok),
            None => Poll::Pending,
        }
    }
}
