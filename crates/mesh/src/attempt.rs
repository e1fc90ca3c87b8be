//! Attempts that run on the upstream beside a node, by which the node recognises the calls that they
//! make and learns what requests of a route need of other services.

use std::sync::Arc;

use bbv_core::route::Name;
use bbv_core::units::Micros;
use http::HeaderValue;

use crate::message::GateRequest;
use crate::node::Node;

/// What a call takes over from the attempt that made it, and what the attempt has called.
#[derive(Clone, Debug)]
pub(crate) struct AttemptState {
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Number of requests that it stands for.
    pub weight: f64,
    /// Time after which its answer is of no use.
    pub deadline: Micros,
    /// Whether one of its calls was refused.
    pub refused: bool,
    /// Calls that it has made, by service.
    pub calls: Vec<(Name, u32)>,
}

impl AttemptState {
    /// Records a call to `service`.
    pub fn record_call(&mut self, service: &Name) {
        match self.calls.iter_mut().find(|(name, _)| name == service) {
            Some((_, count)) => *count += 1,
            None => self.calls.push((service.clone(), 1)),
        }
    }
}

/// Attempt that runs on the upstream beside the node, until it is dropped.
pub(crate) struct RunningAttempt {
    node: Arc<Node>,
    id: Option<HeaderValue>,
    route: Option<Name>,
    answered: bool,
}

impl RunningAttempt {
    /// Records that the request with `id` runs, on `route`, until `deadline`.
    pub fn new(
        node: &Arc<Node>,
        id: Option<&HeaderValue>,
        route: Option<Name>,
        metadata: &GateRequest,
        deadline: Micros,
    ) -> Self {
        if let Some(id) = id {
            // A further send stands for no request, but its calls are made for one.
            let weight = f64::from(metadata.weight_pct.max(100)) / 100.0;
            let (rank, refused, calls) = (metadata.rank, false, Vec::new());
            let state = AttemptState { rank, weight, deadline, refused, calls };
            node.lock().local.attempts.insert(id.clone(), state);
        }
        RunningAttempt { node: Arc::clone(node), id: id.cloned(), route, answered: false }
    }

    /// Records that the upstream answered. Returns whether a call that the attempt made was refused.
    pub fn finish(&mut self) -> bool {
        self.answered = true;
        let attempts = &self.node.lock().local.attempts;
        self.id.as_ref().and_then(|id| attempts.get(id)).is_some_and(|attempt| attempt.refused)
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        let Some(id) = &self.id else { return };
        let mut state = self.node.lock();
        let Some(attempt) = state.local.attempts.remove(id) else { return };
        // An attempt that ended early may have had calls left to make.
        if !self.answered && attempt.calls.is_empty() {
            return;
        }
        if let Some(route) = self.route.take() {
            state.made.entry(route).or_default().record(&attempt.calls);
        }
    }
}
