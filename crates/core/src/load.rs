//! Load of one target as an ingress estimates it from samples and its own attempts.
//!
//! The ingress of bbv-node uses it through the balancer; it matters when samples are
//! stale.

use serde::{Deserialize, Serialize};

use crate::units::{MS, Micros};

/// Load of an upstream, reported by its gate.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Running requests.
    pub running: u16,
    /// Requests queued at the gate.
    pub queued: u16,
    /// Concurrent requests allowed.
    pub allowed: u16,
    /// Recent latency of the upstream in microseconds.
    pub service_us: u32,
    /// Age of the oldest running request in microseconds.
    pub oldest_us: u32,
    /// Share of recent answers that failed, in percent.
    pub failing_pct: u8,
    /// Whether the gate refuses new requests.
    pub closed: bool,
}

/// Estimated load of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetLoad {
    load: Load,
    sampled_at: Option<Micros>,
    attempts: Vec<(u64, Micros)>,
    sent_since: u32,
    excluded_until: Micros,
    failure_ema: f64,
    answered_at: Micros,
}

/// Half-life of the weight of a sample.
pub const SAMPLE_HALF_LIFE: Micros = 25 * MS;

impl TargetLoad {
    /// Records a load sample received at `now`.
    ///
    /// ```
    /// use bbv_core::load::{Load, TargetLoad};
    /// let mut target = TargetLoad::default();
    /// target.record_sample(5, Load { running: 3, ..Load::default() });
    /// assert_eq!(target.sample_age(9), Some(4));
    /// ```
    pub fn record_sample(&mut self, now: Micros, load: Load) {
        self.load = load;
        self.sampled_at = Some(now);
        self.sent_since = 0;
    }

    /// Records attempt `serial` sent to the target.
    ///
    /// ```
    /// let mut target = bbv_core::load::TargetLoad::default();
    /// target.start_attempt(0, 1);
    /// assert_eq!(target.in_flight(), 1);
    /// ```
    pub fn start_attempt(&mut self, now: Micros, serial: u64) {
        self.attempts.push((serial, now));
        self.sent_since += 1;
    }

    /// Records that attempt `serial` ended.
    ///
    /// ```
    /// let mut target = bbv_core::load::TargetLoad::default();
    /// target.start_attempt(0, 1);
    /// target.end_attempt(1);
    /// assert_eq!(target.in_flight(), 0);
    /// ```
    pub fn end_attempt(&mut self, serial: u64) {
        self.attempts.retain(|(other, _)| *other != serial);
    }

    /// Number of attempts of this ingress in flight.
    ///
    /// ```
    /// assert_eq!(bbv_core::load::TargetLoad::default().in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Age of the oldest attempt in flight, or zero.
    ///
    /// ```
    /// let mut target = bbv_core::load::TargetLoad::default();
    /// target.start_attempt(3, 1);
    /// assert_eq!(target.oldest_age(10), 7);
    /// ```
    pub fn oldest_age(&self, now: Micros) -> Micros {
        self.attempts.first().map_or(0, |(_, at)| now.saturating_sub(*at))
    }

    /// Age of the latest sample, if there is one.
    ///
    /// ```
    /// assert_eq!(bbv_core::load::TargetLoad::default().sample_age(9), None);
    /// ```
    pub fn sample_age(&self, now: Micros) -> Option<Micros> {
        self.sampled_at.map(|at| now.saturating_sub(at))
    }

    /// Latest sample.
    ///
    /// ```
    /// assert_eq!(bbv_core::load::TargetLoad::default().latest().running, 0);
    /// ```
    pub fn latest(&self) -> &Load {
        &self.load
    }

    /// Clears the sample, after a pause or when the target was replaced.
    ///
    /// ```
    /// bbv_core::load::TargetLoad::default().clear_sample();
    /// ```
    pub fn clear_sample(&mut self) {
        self.sampled_at = None;
        self.load = Load::default();
        self.sent_since = 0;
    }

    /// Excludes the target from selection before `until`.
    ///
    /// ```
    /// let mut target = bbv_core::load::TargetLoad::default();
    /// target.exclude(10);
    /// assert!(target.excluded(9));
    /// ```
    pub fn exclude(&mut self, until: Micros) {
        self.excluded_until = self.excluded_until.max(until);
    }

    /// Returns whether the target is excluded from selection at `now`.
    ///
    /// ```
    /// assert!(!bbv_core::load::TargetLoad::default().excluded(0));
    /// ```
    pub fn excluded(&self, now: Micros) -> bool {
        now < self.excluded_until
    }

    /// Records whether an answer of the target was successful.
    ///
    /// ```
    /// let mut target = bbv_core::load::TargetLoad::default();
    /// target.record_answer(0, false);
    /// assert!(target.failure_rate(0) > 0.0);
    /// ```
    pub fn record_answer(&mut self, now: Micros, success: bool) {
        let failure = if success { 0.0 } else { 1.0 };
        self.failure_ema = self.failure_rate(now) * 0.8 + failure * 0.2;
        self.answered_at = now;
    }

    /// Exponential moving average of failures; it decays so that the target is tried again.
    ///
    /// ```
    /// assert_eq!(bbv_core::load::TargetLoad::default().failure_rate(0), 0.0);
    /// ```
    pub fn failure_rate(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.answered_at) as f64;
        self.failure_ema * 0.5_f64.powf(age / (200 * MS) as f64)
    }

    /// Expected requests at the target: those in the latest sample and those sent after it.
    ///
    /// A sample loses weight with its age; `prior` requests are assumed for the rest.
    ///
    /// ```
    /// let mut target = bbv_core::load::TargetLoad::default();
    /// target.start_attempt(0, 1);
    /// assert_eq!(target.expected_load(0, 2.0), 3.0);
    /// ```
    pub fn expected_load(&self, now: Micros, prior: f64) -> f64 {
        let sent_since = f64::from(self.sent_since.min(self.in_flight()));
        let Some(age) = self.sample_age(now) else { return prior + sent_since };
        let weight = 0.5_f64.powf(age as f64 / SAMPLE_HALF_LIFE as f64);
        let sampled = f64::from(self.load.running) + f64::from(self.load.queued);
        sampled * weight + prior * (1.0 - weight) + sent_since
    }
}
