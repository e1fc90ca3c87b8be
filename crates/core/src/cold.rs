//! Rate limit of a cold upstream, for admission in bbv-mesh.

use std::collections::VecDeque;

use crate::units::{MS, Micros, SEC};

/// Share of the published cold rate that is used after a start of the gate: a process killed
/// within the last second may have used the whole rate.
const RESTART_SHARE: f64 = 0.5;
/// Window of the rate limit: a second, with a margin for varying transit time.
const WINDOW: Micros = SEC + 20 * MS;
/// Longest time between the starts of an upstream and its gate that started together.
const START_TOLERANCE: Micros = 300 * MS;

/// Sliding window over the requests started on one upstream.
#[derive(Clone, Debug)]
pub(crate) struct ColdLimiter {
    rate: f64,
    until: Micros,
    unknown_until: Micros,
    /// Start and rank of each request of the last window.
    starts: VecDeque<(Micros, u8)>,
}

impl Default for ColdLimiter {
    fn default() -> Self {
        ColdLimiter { rate: f64::INFINITY, until: 0, unknown_until: 0, starts: VecDeque::new() }
    }
}

impl ColdLimiter {
    /// Sets the published limit in requests per second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Sets when the upstream stops being cold.
    pub fn set_until(&mut self, until: Micros) {
        self.until = until;
    }

    /// Records a start of the gate, which does not know the requests of the last second.
    pub fn record_restart(&mut self, now: Micros) {
        self.unknown_until = now + WINDOW;
    }

    /// Records for how long the upstream has been cold; requests from before that do not count.
    pub fn set_age(&mut self, now: Micros, age: Micros) {
        if self.unknown_until + age <= now + WINDOW + START_TOLERANCE {
            self.unknown_until = 0;
        }
    }

    /// Returns whether the upstream is cold.
    pub fn is_cold(&self, now: Micros) -> bool {
        now < self.until
    }

    /// Records the start of a request.
    pub fn start(&mut self, now: Micros, rank: u8) {
        self.starts.push_back((now, rank));
    }

    /// Number of requests that may start within a window while the upstream is cold.
    pub fn allowed(&self, now: Micros) -> usize {
        let share = if now < self.unknown_until { RESTART_SHARE } else { 1.0 };
        (self.rate * share).floor().max(1.0) as usize
    }

    /// Time for which the upstream is still cold.
    pub fn remaining(&self, now: Micros) -> Micros {
        self.until.saturating_sub(now)
    }

    /// Time until the rate limit allows a request of `rank` behind `ahead` others of its rank, if
    /// `kept` starts of each window are kept for more urgent ranks.
    pub fn rank_wait(&self, now: Micros, rank: u8, ahead: usize, kept: f64) -> Micros {
        if !self.is_cold(now) || kept <= 0.0 {
            return 0;
        }
        let allowed = self.allowed(now).saturating_sub(kept.round() as usize);
        if allowed == 0 {
            return self.remaining(now);
        }
        let (rounds, place) = (ahead / allowed, ahead % allowed);
        let counts = |(at, other): &&(Micros, u8)| at + WINDOW > now && *other >= rank;
        let starts: Vec<Micros> = self.starts.iter().filter(counts).map(|(at, _)| *at).collect();
        let first = match (starts.len() + place).checked_sub(allowed) {
            None => now,
            Some(index) => starts.get(index).map_or(now, |at| at + WINDOW),
        };
        (first + rounds as Micros * WINDOW).min(self.until).saturating_sub(now)
    }

    /// Time until the rate limit allows a request behind `ahead` others that wait; zero if it
    /// allows one now.
    pub fn wait(&mut self, now: Micros, ahead: usize) -> Micros {
        while self.starts.front().is_some_and(|(at, _)| at + WINDOW <= now) {
            self.starts.pop_front();
        }
        if !self.is_cold(now) {
            return 0;
        }
        let allowed = self.allowed(now);
        let (rounds, place) = (ahead / allowed, ahead % allowed);
        let used = self.starts.len();
        let first = match (used + place).checked_sub(allowed) {
            None => now,
            Some(index) => self.starts.get(index).map_or(now, |(at, _)| at + WINDOW),
        };
        let start = first + rounds as Micros * WINDOW;
        // Once the upstream is warm it takes all of them.
        start.min(self.until).saturating_sub(now)
    }
}
