//! Concurrency limit learned from latency and failures.

use crate::units::{MS, Micros};

/// What one finished request told about the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finish {
    /// Time from the start at the upstream to its answer.
    pub latency: Micros,
    /// Whether the answer was whole and not a server failure.
    pub good: bool,
}

/// Adaptive limit below the stated slots.
///
/// Latency against a slowly moving baseline tells queueing or slowness inside the
/// upstream; failures cut the limit at once.
#[derive(Clone, Debug)]
pub struct Limit {
    slots: f64,
    limit: f64,
    fast_us: f64,
    base_us: f64,
    failing: f64,
    cut_at: Micros,
    seen_at: Micros,
}

const FAST_GAIN: f64 = 0.2;
const BASE_GAIN: f64 = 0.01;
const FAIL_GAIN: f64 = 0.1;
const SLOW_FACTOR: f64 = 3.0;
const CUT: f64 = 0.7;
const CUT_EVERY: Micros = 20 * MS;
const FADE: Micros = 50 * MS;
const FAILING_SHARE: f64 = 0.5;

impl Limit {
    /// Creates a limit that starts at `slots`; `usual` is the stated latency of an
    /// unloaded upstream, from which the baseline starts.
    ///
    /// ```
    /// assert_eq!(bbv_core::limit::Limit::new(9, 5_000).current(), 9);
    /// ```
    pub fn new(slots: u32, usual: Micros) -> Self {
        let slots = f64::from(slots.max(1));
        let usual = usual.max(1) as f64;
        Limit {
            slots,
            limit: slots,
            fast_us: usual,
            base_us: usual,
            failing: 0.0,
            cut_at: 0,
            seen_at: 0,
        }
    }

    /// Learns from one finished request.
    ///
    /// ```
    /// use bbv_core::limit::{Finish, Limit};
    /// let mut limit = Limit::new(9, 5_000);
    /// limit.finish(30_000, Finish { latency: 100, good: false });
    /// assert!(limit.current() < 9);
    /// ```
    pub fn finish(&mut self, now: Micros, finish: Finish) {
        let sick = if finish.good { 0.0 } else { 1.0 };
        self.failing += FAIL_GAIN * (sick - self.failing);
        if finish.good {
            self.learn(now, finish.latency as f64);
        }
        let slow = self.fast_us > SLOW_FACTOR * self.base_us;
        if !finish.good || slow {
            self.cut(now);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(self.slots);
        }
    }

    /// Learns from one finished request of an upstream that is still warming up.
    ///
    /// Its latency tells nothing about the usual one and lowers nothing; only a failure
    /// does.
    ///
    /// ```
    /// use bbv_core::limit::{Finish, Limit};
    /// let mut limit = Limit::new(9, 5_000);
    /// limit.finish_warming(30_000, Finish { latency: 90_000, good: true });
    /// assert_eq!((limit.current(), limit.baseline()), (9, 5_000));
    /// ```
    pub fn finish_warming(&mut self, now: Micros, finish: Finish) {
        let sick = if finish.good { 0.0 } else { 1.0 };
        self.failing += FAIL_GAIN * (sick - self.failing);
        if !finish.good {
            self.cut(now);
            return;
        }
        self.learn_fast(now, finish.latency as f64);
        self.limit = (self.limit + 1.0 / self.limit).min(self.slots);
    }

    fn learn_fast(&mut self, now: Micros, latency: f64) {
        self.fast_us = self.faded(now);
        self.fast_us += FAST_GAIN * (latency - self.fast_us);
        self.seen_at = now;
    }

    fn faded(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.seen_at) as f64;
        let weight = 0.5_f64.powf(age / FADE as f64);
        self.base_us + (self.fast_us - self.base_us) * weight
    }

    fn learn(&mut self, now: Micros, latency: f64) {
        self.learn_fast(now, latency);
        // The baseline follows a slower upstream only slowly, a faster one at once.
        let gain = if latency > SLOW_FACTOR * self.base_us { BASE_GAIN / 10.0 } else { BASE_GAIN };
        self.base_us += gain * (latency - self.base_us);
    }

    fn cut(&mut self, now: Micros) {
        if now < self.cut_at + CUT_EVERY && self.cut_at != 0 {
            return;
        }
        self.cut_at = now;
        self.limit = (self.limit * CUT).max(1.0);
    }

    /// Concurrent requests allowed.
    ///
    /// ```
    /// assert_eq!(bbv_core::limit::Limit::new(0, 5_000).current(), 1);
    /// ```
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Recent latency of good answers.
    ///
    /// It fades to the usual latency while no answers come, since an upstream that was
    /// slow and is left alone would otherwise look slow for ever.
    ///
    /// ```
    /// assert_eq!(bbv_core::limit::Limit::new(4, 5_000).latency(0), 5_000);
    /// ```
    pub fn latency(&self, now: Micros) -> Micros {
        self.faded(now) as Micros
    }

    /// Usual latency of good answers.
    ///
    /// ```
    /// assert_eq!(bbv_core::limit::Limit::new(4, 5_000).baseline(), 5_000);
    /// ```
    pub fn baseline(&self) -> Micros {
        self.base_us as Micros
    }

    /// Share of recent answers that failed.
    ///
    /// ```
    /// assert_eq!(bbv_core::limit::Limit::new(4, 5_000).failure_share(), 0.0);
    /// ```
    pub fn failure_share(&self) -> f64 {
        self.failing
    }

    /// Tells whether the upstream mostly fails.
    ///
    /// ```
    /// assert!(!bbv_core::limit::Limit::new(4, 5_000).failing());
    /// ```
    pub fn failing(&self) -> bool {
        self.failing >= FAILING_SHARE
    }

    /// Forgets what was learned, for an upstream that was replaced.
    ///
    /// ```
    /// bbv_core::limit::Limit::new(4, 5_000).reset();
    /// ```
    pub fn reset(&mut self) {
        *self = Limit { limit: self.slots, fast_us: self.base_us, failing: 0.0, ..self.clone() };
    }
}
