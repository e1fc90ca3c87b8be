//! Slow start: the concurrency limit of an upstream that was started cold.
//!
//! The gate of bbv-node uses it; it matters after a start, a restart or a return to service,
//! when full load would overload the upstream.

use crate::units::Micros;

/// Warm-up plan of an upstream, from the catalogue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Concurrency limit of a cold upstream.
    pub cold_slots: u32,
    /// Time until all slots may be used.
    pub duration: Micros,
}

/// Limit that grows from `cold_slots` to all slots with time and with completed requests.
#[derive(Clone, Debug)]
pub struct Ramp {
    slots: u32,
    warmup: Warmup,
    cold_at: Micros,
    successes: u32,
    finished: bool,
}

/// Factor by which the ramp is slower than the configured warm-up.
const TIME_FACTOR: f64 = 1.25;

impl Ramp {
    /// Creates a ramp for an upstream that turned cold at `now`.
    ///
    /// ```
    /// use bbv_core::ramp::{Ramp, Warmup};
    /// let ramp = Ramp::new(9, Warmup { cold_slots: 2, duration: 1_000 }, 0);
    /// assert_eq!(ramp.limit(500), 2);
    /// ```
    pub fn new(slots: u32, warmup: Warmup, now: Micros) -> Self {
        Ramp { slots, warmup, cold_at: now, successes: 0, finished: false }
    }

    /// Restarts the ramp at `cold_slots`.
    ///
    /// ```
    /// # use bbv_core::ramp::{Ramp, Warmup};
    /// let mut ramp = Ramp::new(9, Warmup { cold_slots: 2, duration: 10 }, 0);
    /// ramp.restart(5);
    /// assert_eq!(ramp.limit(6), 2);
    /// ```
    pub fn restart(&mut self, now: Micros) {
        self.cold_at = now;
        self.successes = 0;
        self.finished = false;
    }

    /// Ends the ramp early and allows all slots.
    ///
    /// ```
    /// # use bbv_core::ramp::{Ramp, Warmup};
    /// let mut ramp = Ramp::new(9, Warmup { cold_slots: 2, duration: 10 }, 0);
    /// ramp.finish();
    /// assert!(ramp.warm(0));
    /// ```
    pub fn finish(&mut self) {
        self.finished = true;
    }

    /// Records a request that the upstream completed successfully.
    ///
    /// ```
    /// # use bbv_core::ramp::{Ramp, Warmup};
    /// let mut ramp = Ramp::new(9, Warmup { cold_slots: 2, duration: 10 }, 0);
    /// for _ in 0..100 { ramp.record_success(); }
    /// assert_eq!(ramp.limit(100), 9);
    /// ```
    pub fn record_success(&mut self) {
        self.successes = self.successes.saturating_add(1);
    }

    /// Concurrent requests allowed at `now`.
    ///
    /// ```
    /// # use bbv_core::ramp::{Ramp, Warmup};
    /// assert_eq!(Ramp::new(4, Warmup { cold_slots: 1, duration: 10 }, 0).limit(0), 1);
    /// ```
    pub fn limit(&self, now: Micros) -> u32 {
        if self.finished {
            return self.slots;
        }
        let cold = self.warmup.cold_slots.min(self.slots);
        let span = (self.slots - cold) as f64;
        let age = now.saturating_sub(self.cold_at) as f64;
        let by_time = age / (self.warmup.duration.max(1) as f64 * TIME_FACTOR);
        // The full limit needs two completed requests per slot.
        let needed = f64::from(self.slots) * 2.0;
        let by_successes = f64::from(self.successes) / needed;
        cold + (span * by_time.min(by_successes).min(1.0)) as u32
    }

    /// Returns whether all slots are allowed at `now`.
    ///
    /// ```
    /// # use bbv_core::ramp::{Ramp, Warmup};
    /// assert!(!Ramp::new(4, Warmup { cold_slots: 1, duration: 10 }, 0).warm(0));
    /// ```
    pub fn warm(&self, now: Micros) -> bool {
        self.limit(now) >= self.slots
    }
}
