//! Request that was started before its turn.

use std::sync::Arc;

use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use tokio::task::{JoinError, JoinHandle};

use super::Tracked;
use crate::content::Content;
use crate::node::Node;

/// Response that waits for the turn of its request.
struct Held {
    node: Arc<Node>,
    response: Option<Response<Full<Content>>>,
}

impl Held {
    fn new(node: Arc<Node>, response: Response<Full<Content>>) -> Self {
        node.metrics.ahead_held.inc();
        Held { node, response: Some(response) }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.node.metrics.ahead_held.dec();
    }
}

/// Request that was started before its turn; it ends when this is dropped.
pub(crate) struct Started {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    task: JoinHandle<Held>,
}

impl Started {
    /// Starts `request`.
    pub fn new(node: &Arc<Node>, request: Request<Tracked>) -> Self {
        node.metrics.ahead_started.inc();
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let headers = request.headers().clone();
        let node = Arc::clone(node);
        let task = tokio::spawn(async move {
            let response = node.serve_caller(request).await;
            Held::new(node, response)
        });
        Started { method, uri, headers, task }
    }

    /// Returns whether this is `request`.
    pub fn is<B>(&self, request: &Request<B>) -> bool {
        self.method == *request.method()
            && self.uri == *request.uri()
            && self.headers == *request.headers()
    }

    /// Waits for the response.
    pub async fn response(mut self) -> Result<Response<Full<Content>>, JoinError> {
        let mut held = (&mut self.task).await?;
        Ok(held.response.take().unwrap_or_default())
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        self.task.abort();
    }
}
