//! Spells in which an upstream is slow because of its neighbours.
//!
//! The load pattern that this answers: an upstream's speed changes several times a second.
//! A request that starts during a slow spell runs slowly to its end, so that one with much
//! work ends sooner if it starts a little later.

use crate::units::{MS, Micros};

/// Slow spells of one upstream.
#[derive(Clone, Debug)]
pub struct Spells {
    since: Option<Micros>,
    speed_pct: u32,
    mean: f64,
}

/// Time that work takes, in percent of usual, from which an upstream counts as slow.
const SLOW_PCT: u32 = 150;
/// Length of a spell that is expected before one was seen.
const MEAN_UNKNOWN: f64 = (100 * MS) as f64;
const MEAN_GAIN: f64 = 0.1;
const MEAN_MAX: f64 = (400 * MS) as f64;
/// A spell that lasts this many times the mean is a lasting change that waiting does not help.
const LASTING: f64 = 3.0;

impl Default for Spells {
    fn default() -> Self {
        Spells { since: None, speed_pct: 100, mean: MEAN_UNKNOWN }
    }
}

impl Spells {
    /// Records a report of the time that work takes, in percent of usual.
    ///
    /// ```
    /// bbv_core::spell::Spells::default().observe(0, 500);
    /// ```
    pub fn observe(&mut self, now: Micros, speed_pct: u32) {
        self.speed_pct = speed_pct;
        match self.since {
            None if speed_pct >= SLOW_PCT => self.since = Some(now),
            Some(since) if speed_pct < SLOW_PCT => {
                let length = (now.saturating_sub(since) as f64).min(MEAN_MAX);
                self.mean += (length - self.mean) * MEAN_GAIN;
                self.since = None;
            }
            _ => {}
        }
    }

    /// Expected time until the upstream is as fast as usual; none if it is, or if the
    /// spell has lasted too long to be one.
    ///
    /// ```
    /// let mut spells = bbv_core::spell::Spells::default();
    /// assert_eq!(spells.remaining(0), None);
    /// spells.observe(0, 500);
    /// assert_eq!(spells.remaining(0), Some(100_000));
    /// ```
    pub fn remaining(&self, now: Micros) -> Option<Micros> {
        let age = now.saturating_sub(self.since?) as f64;
        (age < self.mean * LASTING).then_some(self.mean as Micros)
    }

    /// Whether a request with `work` at usual speed ends sooner if it starts later.
    ///
    /// ```
    /// let mut spells = bbv_core::spell::Spells::default();
    /// spells.observe(0, 500);
    /// assert!(spells.worth_waiting(0, 100_000));
    /// assert!(!spells.worth_waiting(0, 10_000));
    /// ```
    pub fn worth_waiting(&self, now: Micros, work: Micros) -> bool {
        let extra = work * u64::from(self.speed_pct.saturating_sub(100)) / 100;
        self.remaining(now).is_some_and(|remaining| extra > remaining)
    }

    /// Whether a request with `work` at usual speed that must end by `latest` waits for `step`
    /// more before it starts.
    ///
    /// ```
    /// let mut spells = bbv_core::spell::Spells::default();
    /// spells.observe(0, 500);
    /// assert!(spells.may_wait(0, 100_000, 150_000, 20_000));
    /// assert!(!spells.may_wait(0, 100_000, 110_000, 20_000));
    /// ```
    pub fn may_wait(&self, now: Micros, work: Micros, latest: Micros, step: Micros) -> bool {
        let late = now + step + work > latest;
        self.worth_waiting(now, work) && !late
    }
}
