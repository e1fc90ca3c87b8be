//! Checks that upstreams get no requests from calm nodes once the bound after their leaving is over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bbv_stand::upstream::ReceivedRequest;

use crate::calm::Disturbances;

/// Span in which an upstream was published as leaving.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    /// Number of the upstream's node.
    pub node: usize,
    /// Time at which the store acknowledged that it leaves.
    pub acked: Instant,
    /// Time at which it was published as ready again, if it was.
    pub end: Option<Instant>,
}

/// Describes the requests in `runs`, which arrived at the upstream of `absence` as times since
/// `started`, that calm nodes took and sent on later than the bound.
pub fn late_requests(
    absence: &Absence,
    runs: &[ReceivedRequest],
    started: Instant,
    nodes: &[Arc<Disturbances>],
) -> Option<String> {
    let is_late = |index: usize, at: Instant| {
        let deadline = nodes.get(index).and_then(|node| node.deadline(absence.acked, at));
        deadline.is_some_and(|deadline| deadline < at)
    };
    let is_violation = |run: &&ReceivedRequest| {
        let at = started + run.at;
        let ingress = ingress_of(run.id());
        absence.end.is_none_or(|end| at < end)
            && is_late(absence.node, at)
            && ingress.is_some_and(|ingress| is_late(ingress, at))
    };
    let late: Vec<&ReceivedRequest> = runs.iter().filter(is_violation).collect();
    let (first, last) = (late.first()?, late.last()?);
    let after = |run: &ReceivedRequest| -> Duration { started + run.at - absence.acked };
    Some(format!(
        "upstream {}: {} requests after it was published as leaving, from {:?} ({}) to {:?} ({})",
        absence.node,
        late.len(),
        after(first),
        first.id(),
        after(last),
        last.id()
    ))
}

/// Returns the number of the node that took request `id` of a caller, `cNODE.CALLER-NUMBER`.
fn ingress_of(id: &str) -> Option<usize> {
    id.strip_prefix('c')?.split_once('.')?.0.parse().ok()
}
