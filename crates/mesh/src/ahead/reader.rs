//! Reads requests before their turn, with the HTTP library's own server.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bbv_core::pipeline::{Step, Turn};
use bytes::Bytes;
use http::header::{EXPECT, UPGRADE};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::started::Started;
use super::{AheadStream, Queue, Tracked};
use crate::ingress;
use crate::node::Node;

/// Copy of what a caller sent. Nothing that is written to it reaches the caller.
struct Copied(AheadStream);

impl AsyncRead for Copied {
    /// Reads what has been copied. Without any, the task of the connection polls again when it has read
    /// more.
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let goes_on = self.0.take_copy(buf);
        if goes_on && buf.filled().len() == before {
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Copied {
    fn poll_write(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// What a reader needs to start requests.
#[derive(Clone)]
pub(super) struct Starter {
    pub node: Arc<Node>,
    pub queue: Queue,
}

/// Reads the requests of a connection from a boundary on.
pub(super) struct Reader {
    node: Arc<Node>,
    conn: Pin<Box<dyn Future<Output = hyper::Result<()>> + Send>>,
}

impl Reader {
    /// Reads `stream`, whose copy begins with request `first`.
    pub fn new(
        starter: &Starter,
        stream: AheadStream,
        first: Turn,
        builder: &http1::Builder,
    ) -> Self {
        let node = Arc::clone(&starter.node);
        node.metrics.ahead_connections.inc();
        let (starter, next) = (starter.clone(), Cell::new(first));
        let service = service_fn(move |request| {
            let turn = next.get();
            next.set(turn + 1);
            read(starter.clone(), turn, request)
        });
        // The server of the connection has the timeout.
        let mut builder = builder.clone();
        builder.header_read_timeout(None).auto_date_header(false);
        let conn = builder.serve_connection(TokioIo::new(Copied(stream)), service);
        Reader { node, conn: Box::pin(conn) }
    }

    /// Reads on. Ready if it goes no further.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        self.conn.as_mut().poll(cx)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.node.metrics.ahead_connections.dec();
    }
}

/// Returns whether the request with this head may run beside the ones before it.
fn is_independent(node: &Node, head: &Parts) -> bool {
    if head.headers.contains_key(EXPECT) || head.headers.contains_key(UPGRADE) {
        return false;
    }
    let routing = node.lock().routing().cloned();
    let route = routing.and_then(|routing| ingress::find_route(&routing, head));
    route.is_some_and(|route| route.idempotent)
}

/// Starts a request that was read, or waits until it has had its turn.
async fn read(
    starter: Starter,
    turn: Turn,
    request: Request<Incoming>,
) -> hyper::Result<Response<Empty<Bytes>>> {
    let (head, mut body) = request.into_parts();
    let independent = body.is_end_stream() && is_independent(&starter.node, &head);
    while let Some(frame) = body.frame().await {
        frame?;
    }
    let mut request = Some(Request::from_parts(head, Tracked::untracked(body)));
    // The task of the connection polls again whenever a turn begins or ends.
    poll_fn(|_| match starter.queue.step(turn, independent) {
        Step::Wait => Poll::Pending,
        Step::Pass => Poll::Ready(()),
        Step::Start => {
            let start = |request| Started::new(&starter.node, request);
            starter.queue.push(request.take().map(start));
            Poll::Ready(())
        }
    })
    .await;
    Ok(Response::new(Empty::new()))
}
