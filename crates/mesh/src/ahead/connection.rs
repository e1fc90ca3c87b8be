//! Server of a connection that reads ahead.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use super::ReadAhead;

/// Interval at which a connection to be closed is checked for requests that are not answered.
const BUSY_POLL: Duration = Duration::from_millis(5);

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

impl<C> AheadConnection<'_, C>
where
    C: Future<Output = hyper::Result<()>> + Unpin,
{
    /// Shuts the server down once it is no longer busy with requests that have begun to arrive or have
    /// been started, and serves the connection to its end.
    pub async fn end_after_requests(
        &mut self,
        shut_down: impl FnOnce(Pin<&mut C>),
        is_busy: impl Fn() -> bool,
    ) -> hyper::Result<()> {
        // The server would take half a request for none.
        while is_busy() {
            let result = tokio::time::timeout(BUSY_POLL, &mut *self).await;
            if let Ok(result) = result {
                return result;
            }
        }
        shut_down(Pin::new(&mut self.conn));
        self.await
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
