//! Progress of a request over all its sends.

use bbv_core::route::Name;
use bbv_core::units::Micros;

use crate::ingress::CallOutcome;

/// Number of gate refusals after which a request is refused to its caller.
const MAX_REFUSALS: usize = 4;
/// Number of refusals by gates that take no requests after which a request is refused to its caller.
const MAX_CLOSED: usize = 6;

/// Progress of a request over all its sends.
#[derive(Default)]
pub(crate) struct Progress {
    /// Upstreams that are not chosen again.
    pub tried: Vec<Name>,
    /// Upstreams whose gates refused the request because they are slow.
    pub slow: Vec<Name>,
    /// Number of sends to gates.
    pub sends: usize,
    /// Number of refusals for lack of room or time, and of failed connections.
    pub refusals: usize,
    /// Number of refusals by gates that take no requests.
    pub closed: usize,
    /// Number of upstreams that may have run the request or have rejected it.
    pub attempts: usize,
    /// Least time after which a gate expects room.
    pub retry_after: Option<Micros>,
    /// Outcome for the caller if there is no further send.
    pub last_outcome: Option<CallOutcome>,
}

impl Progress {
    /// Returns whether the gate of `instance` should run the request even if it is slow: it is the
    /// best one in spite of that, or the last one to be asked.
    pub fn accepts_slow(&self, instance: &Name) -> bool {
        self.slow.contains(instance) || self.refusals + 1 >= MAX_REFUSALS
    }

    /// Returns whether enough gates have refused the request.
    pub fn is_exhausted(&self) -> bool {
        self.refusals >= MAX_REFUSALS || self.closed >= MAX_CLOSED
    }
}
