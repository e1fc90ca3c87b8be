//! Times at which faults disturb a node, and the deadlines that follow from them.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Time from the store's acknowledgement within which a change is in force at a calm node.
pub const BOUND: Duration = Duration::from_secs(2);
/// That time in a fleet with links of 10 Mbit/s.
pub const SLOW_BOUND: Duration = Duration::from_millis(2_500);
/// Time after the last disturbance of a node from which the bound holds there.
pub const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Span in which a node is disturbed; it lasts until now if it has no end.
#[derive(Clone, Copy, Debug)]
struct Span {
    start: Instant,
    end: Option<Instant>,
}

/// Spans in which faults disturb a node or its links.
#[derive(Debug)]
pub struct Disturbances {
    created: Instant,
    /// Time within which a change is in force while the node is calm.
    bound: Duration,
    spans: Mutex<Vec<Span>>,
}

impl Default for Disturbances {
    fn default() -> Self {
        Disturbances::since(Instant::now(), BOUND)
    }
}

impl Disturbances {
    /// Returns the disturbances of a node that is calm from `created` on, where a change is in force
    /// within `bound`.
    pub fn since(created: Instant, bound: Duration) -> Self {
        Disturbances { created, bound, spans: Mutex::default() }
    }

    /// Adds a span, which lasts until now if it has no end, after all others.
    pub fn add_span(&self, start: Instant, end: Option<Instant>) {
        self.spans.lock().push(Span { start, end });
    }

    /// Records that the node is disturbed from now on, or that it no longer is.
    pub fn set(&self, disturbed: bool) {
        let now = Instant::now();
        let mut spans = self.spans.lock();
        match spans.last_mut().filter(|span| span.end.is_none()) {
            Some(span) if !disturbed => span.end = Some(now),
            None if disturbed => spans.push(Span { start: now, end: None }),
            Some(_) | None => {}
        }
    }

    /// Returns the time by which a change that was acknowledged at `acked` has to be in force, as
    /// seen at time `at`: once the bound is over and the node is calm. `None` if the node is
    /// disturbed then.
    pub fn deadline(&self, acked: Instant, at: Instant) -> Option<Instant> {
        let spans = self.spans.lock();
        let last = spans.iter().rev().find(|span| span.start <= at);
        let calm_from = match last {
            Some(span) => span.end.filter(|end| *end <= at)? + SETTLING_TIME,
            None => self.created,
        };
        Some(calm_from.max(acked + self.bound))
    }
}
