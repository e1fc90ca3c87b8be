//! Request body that reports its end.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::Queue;

/// Body of a request, whose end is recorded in the queue of its connection.
pub(crate) struct Tracked {
    body: Incoming,
    queue: Option<Queue>,
}

impl Tracked {
    /// Tracks the body of the request that has its turn.
    pub fn new(body: Incoming, queue: &Queue) -> Self {
        Tracked { body, queue: Some(queue.clone()) }
    }

    /// Wraps a body whose end matters to nobody.
    pub fn untracked(body: Incoming) -> Self {
        Tracked { body, queue: None }
    }
}

impl Body for Tracked {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let (None, Some(queue)) = (&frame, self.queue.take()) {
            queue.complete();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
