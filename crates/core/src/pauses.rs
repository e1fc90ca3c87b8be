//! Pauses of a process, found by ticks that come late. What the process measured across one says nothing
//! about others: responses lie in its buffers meanwhile.

use crate::units::{MS, Micros};

/// Delay of a tick from which the process was paused.
pub const PAUSE_THRESHOLD: Micros = 500 * MS;

/// Ticks of a process, which come every few milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pauses {
    ticked_at: Micros,
    ended_at: Option<Micros>,
}

impl Pauses {
    /// Starts with a tick at `now`.
    ///
    /// ```
    /// assert!(!bbv_core::pauses::Pauses::new(9).spans(10, 9));
    /// ```
    pub fn new(now: Micros) -> Self {
        Pauses { ticked_at: now, ended_at: None }
    }

    /// Records a tick.
    ///
    /// ```
    /// let mut pauses = bbv_core::pauses::Pauses::new(0);
    /// pauses.record_tick(10_000);
    /// pauses.record_tick(4_000_000);
    /// assert!(pauses.spans(4_000_001, 3_999_999) && !pauses.spans(4_000_002, 4_000_001));
    /// ```
    pub fn record_tick(&mut self, now: Micros) {
        if now > self.ticked_at + PAUSE_THRESHOLD {
            self.ended_at = Some(now);
        }
        self.ticked_at = now;
    }

    /// Returns whether the process was paused at some time from `since` to `now`; the tick after the pause
    /// may still be due.
    ///
    /// ```
    /// assert!(bbv_core::pauses::Pauses::new(0).spans(4_000_000, 10_000));
    /// ```
    pub fn spans(&self, now: Micros, since: Micros) -> bool {
        let overdue = now > self.ticked_at + PAUSE_THRESHOLD;
        overdue || self.ended_at.is_some_and(|ended_at| ended_at >= since)
    }
}
