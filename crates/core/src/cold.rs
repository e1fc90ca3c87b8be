//! The rate at which a cold upstream is offered requests.

use std::collections::VecDeque;

use crate::units::{MS, Micros, SEC};

/// Share of the published cold rate that is used while the gate may have been killed and
/// started again within a second, and have used the whole rate before.
const SHARE_RESTARTED: f64 = 0.5;
/// Span of the bound on a cold upstream, with room for transit that varies.
const WINDOW: Micros = SEC + 20 * MS;
/// Time between the starts of an upstream and of its gate that may have started together.
const TOGETHER: Micros = 300 * MS;

/// Starts on one upstream, and what is known of its being cold.
#[derive(Clone, Debug)]
pub(crate) struct Cold {
    rate: f64,
    until: Micros,
    unknown_until: Micros,
    starts: VecDeque<Micros>,
}

impl Default for Cold {
    fn default() -> Self {
        Cold { rate: f64::INFINITY, until: 0, unknown_until: 0, starts: VecDeque::new() }
    }
}

impl Cold {
    /// Applies the published requests per second of a cold upstream.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Sets the time until which the upstream is cold.
    pub fn set_until(&mut self, until: Micros) {
        self.until = until;
    }

    /// Records that the gate has just started and may not know of starts in the last second.
    pub fn restarted(&mut self, now: Micros) {
        self.unknown_until = now + WINDOW;
    }

    /// Records for how long the upstream has been cold; before that nothing can be unknown.
    pub fn known_for(&mut self, now: Micros, age: Micros) {
        if self.unknown_until + age <= now + WINDOW + TOGETHER {
            self.unknown_until = 0;
        }
    }

    /// Whether the upstream is cold.
    pub fn is_cold(&self, now: Micros) -> bool {
        now < self.until
    }

    /// Records that a request starts.
    pub fn start(&mut self, now: Micros) {
        self.starts.push_back(now);
    }

    /// Time until a cold upstream bears one more request; zero if it does now.
    pub fn wait(&mut self, now: Micros) -> Micros {
        while self.starts.front().is_some_and(|at| at + WINDOW <= now) {
            self.starts.pop_front();
        }
        if !self.is_cold(now) {
            return 0;
        }
        let share = if now < self.unknown_until { SHARE_RESTARTED } else { 1.0 };
        let allowed = (self.rate * share).floor().max(1.0) as usize;
        if self.starts.len() < allowed {
            return 0;
        }
        let at = self.starts[self.starts.len() - allowed];
        (at + WINDOW).saturating_sub(now)
    }
}
