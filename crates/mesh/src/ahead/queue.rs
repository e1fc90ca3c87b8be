//! Requests of a connection that are open, shared by the server of the connection and the reader.

use std::collections::VecDeque;
use std::sync::Arc;

use bbv_core::pipeline::{Pipeline, Step, Turn};
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use parking_lot::Mutex;
use tokio::task::JoinError;

use super::started::Started;
use super::{MAX_AHEAD, Tracked};
use crate::content::Content;
use crate::event::{self, Event};
use crate::node::Node;

/// Requests of one connection.
#[derive(Clone)]
pub(crate) struct Queue(Arc<Mutex<State>>);

struct State {
    pipeline: Pipeline,
    started: VecDeque<Started>,
    /// Whether the request that has its turn has no response yet.
    answering: bool,
}

impl Queue {
    pub fn new() -> Self {
        let pipeline = Pipeline::new(MAX_AHEAD);
        Queue(Arc::new(Mutex::new(State { pipeline, started: VecDeque::new(), answering: false })))
    }

    /// Begins the turn of `request`. Returns what was started for it.
    pub fn begin(&self, request: &Request<Incoming>) -> Option<Started> {
        let mut state = self.0.lock();
        state.answering = true;
        let (turn, started) = state.pipeline.begin(request.body().is_end_stream());
        let started = if started { state.started.pop_front() } else { None }?;
        if started.is(request) {
            return Some(started);
        }
        event::warn(Event::AheadEnded, &[("turn", &turn), ("why", &"read as another request")]);
        None
    }

    /// Responds to the request that has its turn, for which `started` was started.
    pub async fn respond(
        self,
        node: Arc<Node>,
        request: Request<Incoming>,
        started: Option<Started>,
    ) -> Result<Response<Full<Content>>, JoinError> {
        let mut response = match started {
            Some(started) => started.response().await?,
            None => node.serve_caller(request.map(|body| Tracked::new(body, &self))).await,
        };
        self.end(&mut response);
        Ok(response)
    }

    /// Records that the request that has its turn has been read to its end.
    pub fn complete(&self) {
        self.0.lock().pipeline.complete();
    }

    /// Ends the turn of a request with its response, which closes the connection only if all that was
    /// started is answered.
    fn end<B>(&self, response: &mut Response<B>) {
        let mut state = self.0.lock();
        state.answering = false;
        let headers = response.headers_mut();
        let wanted = headers.remove(CONNECTION).is_some_and(|value| value == "close");
        if state.pipeline.closes(wanted) {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Returns whether a request has its turn that was read to its end and has no response yet.
    pub fn is_answering(&self) -> bool {
        let state = self.0.lock();
        state.answering && state.pipeline.is_complete()
    }

    /// Returns the number of the request that has its turn next.
    pub fn next_turn(&self) -> Turn {
        self.0.lock().pipeline.next_turn()
    }

    /// Decides about request `turn`, which may run beside the ones before it if `independent` is set.
    pub fn step(&self, turn: Turn, independent: bool) -> Step {
        self.0.lock().pipeline.step(turn, independent)
    }

    /// Adds the request that has just been started.
    pub fn push(&self, started: Option<Started>) {
        self.0.lock().started.extend(started);
    }

    /// Lets no further request start.
    pub fn close(&self) {
        self.0.lock().pipeline.close();
    }

    /// Returns whether requests have been started whose turn has not come.
    pub fn has_started(&self) -> bool {
        self.0.lock().pipeline.has_started()
    }
}
