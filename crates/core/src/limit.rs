//! Adaptive concurrency limit of one upstream, adjusted by latency and failures.
//!
//! The gate of bbv-node uses it; it matters once an upstream gets slower or fails below its
//! configured slots.

use crate::units::{MS, Micros};

/// Result of one finished request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completion {
    /// Time from the start at the upstream to its answer.
    pub latency: Micros,
    /// Whether the answer was complete and not a server error.
    pub success: bool,
}

/// Adaptive limit (additive increase, multiplicative decrease) of at most the configured slots.
///
/// It decreases while the recent latency is far above a slowly moving base latency, which
/// shows queueing or slowness inside the upstream, and on each failure.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: f64,
    limit: f64,
    recent_us: f64,
    base_us: f64,
    failure_ema: f64,
    decreased_at: Micros,
    sampled_at: Micros,
}

const RECENT_GAIN: f64 = 0.2;
const BASE_GAIN: f64 = 0.01;
const FAILURE_GAIN: f64 = 0.1;
const SLOW_FACTOR: f64 = 3.0;
const DECREASE_FACTOR: f64 = 0.7;
const DECREASE_INTERVAL: Micros = 20 * MS;
const RECENT_HALF_LIFE: Micros = 50 * MS;
const FAILING_RATE: f64 = 0.5;

impl ConcurrencyLimit {
    /// Creates a limit that starts at `slots`; `base_latency` is the configured latency of an
    /// unloaded upstream and the initial value of the moving average.
    ///
    /// ```
    /// assert_eq!(bbv_core::limit::ConcurrencyLimit::new(9, 5_000).current(), 9);
    /// ```
    pub fn new(slots: u32, base_latency: Micros) -> Self {
        let slots = f64::from(slots.max(1));
        let base_latency = base_latency.max(1) as f64;
        ConcurrencyLimit {
            slots,
            limit: slots,
            recent_us: base_latency,
            base_us: base_latency,
            failure_ema: 0.0,
            decreased_at: 0,
            sampled_at: 0,
        }
    }

    /// Adjusts the limit after a request to a warm upstream.
    ///
    /// ```
    /// use bbv_core::limit::{Completion, ConcurrencyLimit};
    /// let mut limit = ConcurrencyLimit::new(9, 5_000);
    /// limit.record(30_000, Completion { latency: 100, success: false });
    /// assert!(limit.current() < 9);
    /// ```
    pub fn record(&mut self, now: Micros, completion: Completion) {
        let failure = if completion.success { 0.0 } else { 1.0 };
        self.failure_ema += FAILURE_GAIN * (failure - self.failure_ema);
        if completion.success {
            self.record_latency(now, completion.latency as f64);
        }
        let slow = self.recent_us > SLOW_FACTOR * self.base_us;
        if !completion.success || slow {
            self.decrease(now);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(self.slots);
        }
    }

    /// Adjusts the limit after a request to an upstream that is still warming up.
    ///
    /// Its latency neither changes the base latency nor lowers the limit; only a failure
    /// lowers the limit.
    ///
    /// ```
    /// use bbv_core::limit::{Completion, ConcurrencyLimit};
    /// let mut limit = ConcurrencyLimit::new(9, 5_000);
    /// limit.record_warming(30_000, Completion { latency: 90_000, success: true });
    /// assert_eq!((limit.current(), limit.base_latency()), (9, 5_000));
    /// ```
    pub fn record_warming(&mut self, now: Micros, completion: Completion) {
        let failure = if completion.success { 0.0 } else { 1.0 };
        self.failure_ema += FAILURE_GAIN * (failure - self.failure_ema);
        if !completion.success {
            self.decrease(now);
            return;
        }
        self.record_recent(now, completion.latency as f64);
        self.limit = (self.limit + 1.0 / self.limit).min(self.slots);
    }

    fn record_recent(&mut self, now: Micros, latency: f64) {
        self.recent_us = self.decayed_recent(now);
        self.recent_us += RECENT_GAIN * (latency - self.recent_us);
        self.sampled_at = now;
    }

    fn decayed_recent(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.sampled_at) as f64;
        let weight = 0.5_f64.powf(age / RECENT_HALF_LIFE as f64);
        self.base_us + (self.recent_us - self.base_us) * weight
    }

    fn record_latency(&mut self, now: Micros, latency: f64) {
        self.record_recent(now, latency);
        // A latency far above the base moves it ten times more slowly than any other, so
        // that a slow period does not become the new base.
        let gain = if latency > SLOW_FACTOR * self.base_us { BASE_GAIN / 10.0 } else { BASE_GAIN };
        self.base_us += gain * (latency - self.base_us);
    }

    fn decrease(&mut self, now: Micros) {
        if now < self.decreased_at + DECREASE_INTERVAL && self.decreased_at != 0 {
            return;
        }
        self.decreased_at = now;
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }

    /// Concurrent requests allowed.
    ///
    /// ```
    /// assert_eq!(bbv_core::limit::ConcurrencyLimit::new(0, 5_000).current(), 1);
    /// ```
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Recent latency of successful answers.
    ///
    /// It decays to the base latency while no answers arrive: a slow upstream that then gets
    /// no requests would otherwise stay marked as slow.
    ///
    /// ```
    /// assert_eq!(bbv_core::limit::ConcurrencyLimit::new(4, 5_000).latency(0), 5_000);
    /// ```
    pub fn latency(&self, now: Micros) -> Micros {
        self.decayed_recent(now) as Micros
    }

    /// Long-term average latency of successful answers.
    ///
    /// ```
    /// assert_eq!(bbv_core::limit::ConcurrencyLimit::new(4, 5_000).base_latency(), 5_000);
    /// ```
    pub fn base_latency(&self) -> Micros {
        self.base_us as Micros
    }

    /// Exponential moving average of failures, from 0 to 1.
    ///
    /// ```
    /// assert_eq!(bbv_core::limit::ConcurrencyLimit::new(4, 5_000).failure_rate(), 0.0);
    /// ```
    pub fn failure_rate(&self) -> f64 {
        self.failure_ema
    }

    /// Returns whether at least half of the recent answers were failures.
    ///
    /// ```
    /// assert!(!bbv_core::limit::ConcurrencyLimit::new(4, 5_000).failing());
    /// ```
    pub fn failing(&self) -> bool {
        self.failure_ema >= FAILING_RATE
    }

    /// Resets the limit, recent latency and failures of an upstream that was replaced; the base
    /// latency is kept.
    ///
    /// ```
    /// bbv_core::limit::ConcurrencyLimit::new(4, 5_000).reset();
    /// ```
    pub fn reset(&mut self) {
        *self = ConcurrencyLimit {
            limit: self.slots,
            recent_us: self.base_us,
            failure_ema: 0.0,
            ..self.clone()
        };
    }
}
