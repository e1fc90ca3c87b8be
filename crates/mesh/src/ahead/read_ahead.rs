//! Reads on while the server of a connection does not: starts requests, and sees the caller leave.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bbv_core::pipeline::Turn;
use hyper::server::conn::http1;

use super::reader::{Reader, Starter};
use super::{AheadStream, CLOSE_POLL, Queue};
use crate::event::{self, Event};
use crate::node::Node;

type Sleep = Pin<Box<dyn Future<Output = ()> + Send>>;

/// What a connection does with the bytes behind the request that is open.
pub(crate) struct ReadAhead {
    starter: Starter,
    stream: AheadStream,
    from: SocketAddr,
    /// Configures the reader as the server of the connection.
    builder: http1::Builder,
    /// Number of the request with which the copy of the stream begins.
    first: Turn,
    reader: Option<Reader>,
    /// Whether a reader has ended since the last boundary between requests.
    ended: bool,
    close_poll: Option<Sleep>,
}

impl ReadAhead {
    /// Reads ahead on `stream`, the connection of the caller at `from`.
    pub fn new(node: Arc<Node>, queue: Queue, stream: AheadStream, from: SocketAddr) -> Self {
        ReadAhead {
            starter: Starter { node, queue },
            stream,
            from,
            builder: http1::Builder::new(),
            first: 0,
            reader: None,
            ended: false,
            close_poll: None,
        }
    }

    /// Configures readers like the server of the connection.
    pub fn set_builder(&mut self, builder: http1::Builder) {
        self.builder = builder;
    }

    /// Reads ahead, after the server of the connection has done what it can. Ready if the caller has
    /// left while its request is open.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.starter.queue.is_answering() {
            if self.stream.is_waiting() {
                self.reach_boundary();
                return Poll::Pending;
            }
            let left = self.stream.poll_fill(cx).is_ready() || self.poll_close(cx).is_ready();
            if left {
                self.log_end(&"caller left");
                return Poll::Ready(());
            }
            self.start_reader();
        }
        self.poll_reader(cx);
        Poll::Pending
    }

    /// The server has taken all bytes, and reads no further head before its response: the next byte
    /// begins a request.
    fn reach_boundary(&mut self) {
        self.stream.begin_copy();
        self.first = self.starter.queue.next_turn();
        self.reader = None;
        self.ended = false;
    }

    fn start_reader(&mut self) {
        if self.reader.is_some() || self.ended || !self.stream.has_copy() {
            return;
        }
        let stream = self.stream.clone();
        self.reader = Some(Reader::new(&self.starter, stream, self.first, &self.builder));
    }

    fn poll_reader(&mut self, cx: &mut Context<'_>) {
        let Some(reader) = &mut self.reader else { return };
        let Poll::Ready(result) = reader.poll(cx) else { return };
        self.reader = None;
        self.ended = true;
        match result {
            Ok(()) => self.log_end(&"request closes the connection"),
            Err(error) => self.log_end(&crate::pool::describe_error(&error)),
        }
    }

    /// Ready if the caller has closed a connection of which no more may be read.
    fn poll_close(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.stream.is_full() {
            let node = &self.starter.node;
            let sleep = self.close_poll.get_or_insert_with(|| {
                let node = Arc::clone(node);
                Box::pin(async move { node.timer.sleep(CLOSE_POLL).await })
            });
            ready!(sleep.as_mut().poll(cx));
            self.close_poll = None;
            if self.stream.is_closed() {
                return Poll::Ready(());
            }
        }
        self.close_poll = None;
        Poll::Pending
    }

    fn log_end(&self, why: &dyn std::fmt::Display) {
        event::debug(Event::AheadEnded, &[("from", &self.from), ("why", why)]);
    }
}
