//! Request at the upstream beside a node, from its first byte until its whole answer has arrived.

use std::sync::Arc;

use bbv_core::poison::Fingerprint;

use crate::node::Node;

/// Request that was handed to the upstream. Dropped before it has ended, as when its caller leaves or the
/// answer breaks off, it may still run, and a crash may be put down to it.
pub(crate) struct OpenRun {
    node: Arc<Node>,
    number: u64,
}

impl OpenRun {
    /// Records that a request is sent to the upstream; `suspect` if it has the turn of suspects.
    pub fn start(node: &Arc<Node>, fingerprint: Fingerprint, suspect: bool) -> Self {
        let number = node.next_id();
        node.lock().local.runs.start(number, fingerprint, suspect);
        OpenRun { node: Arc::clone(node), number }
    }

    /// Records that the request has its whole answer, or did not run.
    pub fn end(self) {
        self.node.lock().local.runs.end(self.number);
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        let now = self.node.now();
        self.node.lock().local.runs.abandon(now, self.number);
    }
}
