//! Concurrency allowed to an upstream that started cold.

use crate::units::Micros;

/// Warm-up plan of an upstream, from the catalogue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Concurrency limit of a cold upstream.
    pub cold_slots: u32,
    /// Time until all slots may be used.
    pub time: Micros,
}

/// Limit that grows from cold to full with time and with completed requests.
#[derive(Clone, Debug)]
pub struct Ramp {
    slots: u32,
    warmup: Warmup,
    cold_at: Micros,
    done: u32,
    restored: bool,
}

/// The ramp stays behind the stated warm-up by this factor.
const LAG: f64 = 1.25;

impl Ramp {
    /// Creates a ramp for an upstream that turned cold at `now`.
    ///
    /// ```
    /// use bbv_core::ramp::{Ramp, Warmup};
    /// let ramp = Ramp::new(9, Warmup { cold_slots: 2, time: 1_000 }, 0);
    /// assert_eq!(ramp.limit(500), 2);
    /// ```
    pub fn new(slots: u32, warmup: Warmup, now: Micros) -> Self {
        Ramp { slots, warmup, cold_at: now, done: 0, restored: false }
    }

    /// Starts again from cold.
    ///
    /// ```
    /// # use bbv_core::ramp::{Ramp, Warmup};
    /// let mut ramp = Ramp::new(9, Warmup { cold_slots: 2, time: 10 }, 0);
    /// ramp.chill(5);
    /// assert_eq!(ramp.limit(6), 2);
    /// ```
    pub fn chill(&mut self, now: Micros) {
        self.cold_at = now;
        self.done = 0;
        self.restored = false;
    }

    /// Takes the upstream to be warm again.
    ///
    /// ```
    /// # use bbv_core::ramp::{Ramp, Warmup};
    /// let mut ramp = Ramp::new(9, Warmup { cold_slots: 2, time: 10 }, 0);
    /// ramp.restore();
    /// assert!(ramp.warm(0));
    /// ```
    pub fn restore(&mut self) {
        self.restored = true;
    }

    /// Records a request that the upstream completed well.
    ///
    /// ```
    /// # use bbv_core::ramp::{Ramp, Warmup};
    /// let mut ramp = Ramp::new(9, Warmup { cold_slots: 2, time: 10 }, 0);
    /// for _ in 0..100 { ramp.succeed(); }
    /// assert_eq!(ramp.limit(100), 9);
    /// ```
    pub fn succeed(&mut self) {
        self.done = self.done.saturating_add(1);
    }

    /// Concurrent requests allowed at `now`.
    ///
    /// ```
    /// # use bbv_core::ramp::{Ramp, Warmup};
    /// assert_eq!(Ramp::new(4, Warmup { cold_slots: 1, time: 10 }, 0).limit(0), 1);
    /// ```
    pub fn limit(&self, now: Micros) -> u32 {
        if self.restored {
            return self.slots;
        }
        let cold = self.warmup.cold_slots.min(self.slots);
        let span = (self.slots - cold) as f64;
        let age = now.saturating_sub(self.cold_at) as f64;
        let by_time = age / (self.warmup.time.max(1) as f64 * LAG);
        // Each further slot needs two completed requests per slot already open.
        let needed = f64::from(self.slots) * 2.0;
        let by_work = f64::from(self.done) / needed;
        cold + (span * by_time.min(by_work).min(1.0)) as u32
    }

    /// Tells whether the upstream has all its slots at `now`.
    ///
    /// ```
    /// # use bbv_core::ramp::{Ramp, Warmup};
    /// assert!(!Ramp::new(4, Warmup { cold_slots: 1, time: 10 }, 0).warm(0));
    /// ```
    pub fn warm(&self, now: Micros) -> bool {
        self.limit(now) >= self.slots
    }
}
