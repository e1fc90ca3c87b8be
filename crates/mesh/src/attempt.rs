//! Attempts that run on the upstream beside a node, by which the node recognises the calls that they
//! make.

use std::sync::Arc;

use http::HeaderValue;

use crate::node::Node;

/// Attempt that runs on the upstream beside the node, until it is dropped.
pub(crate) struct RunningAttempt {
    node: Arc<Node>,
    id: Option<HeaderValue>,
}

impl RunningAttempt {
    /// Records that the request with `id` runs.
    pub fn new(node: &Arc<Node>, id: Option<&HeaderValue>) -> Self {
        if let Some(id) = id {
            node.lock().local.attempts.insert(id.clone(), false);
        }
        RunningAttempt { node: Arc::clone(node), id: id.cloned() }
    }

    /// Returns whether a call that the attempt made was refused.
    pub fn call_refused(&self) -> bool {
        let attempts = &self.node.lock().local.attempts;
        self.id.as_ref().and_then(|id| attempts.get(id)).copied().unwrap_or(false)
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        if let Some(id) = &self.id {
            self.node.lock().local.attempts.remove(id);
        }
    }
}
