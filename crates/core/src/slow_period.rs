//! Slow periods of an upstream that shares its machine with other processes. bbv-mesh uses them
//! to decide whether to delay a request.
//!
//! They matter when the speed changes several times a second: a request that starts in a slow
//! period runs slowly to its end, so a long one ends sooner if it starts a little later.

use crate::units::{MS, Micros};

/// Slow periods of one upstream.
#[derive(Clone, Debug)]
pub struct SlowPeriods {
    since: Option<Micros>,
    speed_pct: u32,
    /// Service time outside slow periods, in percent of normal: more than 100 while cold.
    base_pct: u32,
    cold: bool,
    mean: f64,
    samples: u32,
}

/// Service time, in percent of normal, of an upstream that is not cold.
const NORMAL_PCT: u32 = 100;
/// Service time, in percent of that outside slow periods, from which an upstream counts as slow.
const SLOW_PCT: u32 = 150;
/// Expected length of a slow period before one has been observed.
const INITIAL_MEAN: f64 = (200 * MS) as f64;
/// Least weight of a new sample in the mean length.
const MEAN_GAIN: f64 = 0.1;
/// Cap on the length of a sample.
const MAX_LENGTH: f64 = (2_000 * MS) as f64;
/// A slow period longer than this many times the mean counts as permanent; waiting for its end
/// does not help.
const PERMANENT_FACTOR: f64 = 3.0;
/// Expected rest of a slow period as a share of the mean length. The speed is drawn anew at fixed
/// intervals, so that a period in progress has used up half an interval on average.
const REST_SHARE: f64 = 0.65;
/// Additional service time that makes it worthwhile to ask another gate.
const REROUTE_COST: Micros = 20 * MS;

impl Default for SlowPeriods {
    fn default() -> Self {
        SlowPeriods {
            since: None,
            speed_pct: NORMAL_PCT,
            base_pct: NORMAL_PCT,
            cold: false,
            mean: INITIAL_MEAN,
            samples: 1,
        }
    }
}

impl SlowPeriods {
    /// Records whether the upstream is cold. A cold upstream takes longer for every request; the
    /// least service time that it reports while cold counts as its normal one.
    ///
    /// ```
    /// bbv_core::slow_period::SlowPeriods::default().set_cold(true);
    /// ```
    pub fn set_cold(&mut self, cold: bool) {
        if cold == self.cold {
            return;
        }
        self.cold = cold;
        // The next report lowers it.
        self.base_pct = if cold { u32::MAX } else { NORMAL_PCT };
    }

    /// Records a reported service time in percent of normal.
    ///
    /// ```
    /// bbv_core::slow_period::SlowPeriods::default().observe(0, 500);
    /// ```
    pub fn observe(&mut self, now: Micros, speed_pct: u32) {
        self.speed_pct = speed_pct;
        self.base_pct = self.base_pct.min(speed_pct.max(NORMAL_PCT));
        let slow = u64::from(speed_pct) * 100 >= u64::from(self.base_pct) * u64::from(SLOW_PCT);
        match self.since {
            None if slow => self.since = Some(now),
            Some(since) if !slow => {
                let length = (now.saturating_sub(since) as f64).min(MAX_LENGTH);
                self.samples = self.samples.saturating_add(1);
                // The first samples have equal weight, since intervals differ between fleets.
                let gain = MEAN_GAIN.max(1.0 / f64::from(self.samples));
                self.mean += (length - self.mean) * gain;
                self.since = None;
            }
            _ => {}
        }
    }

    /// Expected time until the upstream is back at normal speed; none if it is, or if it has
    /// been slow for so long that the end cannot be predicted.
    ///
    /// ```
    /// let mut periods = bbv_core::slow_period::SlowPeriods::default();
    /// assert_eq!(periods.remaining(0), None);
    /// periods.observe(0, 500);
    /// assert_eq!(periods.remaining(0), Some(130_000));
    /// ```
    pub fn remaining(&self, now: Micros) -> Option<Micros> {
        let age = now.saturating_sub(self.since?) as f64;
        (age < self.mean * PERMANENT_FACTOR).then_some((self.mean * REST_SHARE) as Micros)
    }

    /// Time that a request with `service_time` at normal speed takes outside slow periods.
    ///
    /// ```
    /// assert_eq!(bbv_core::slow_period::SlowPeriods::default().base_time(5_000), 5_000);
    /// ```
    pub fn base_time(&self, service_time: Micros) -> Micros {
        service_time.saturating_mul(u64::from(self.base_pct)) / 100
    }

    /// Additional time that a request with `service_time` at normal speed takes at present.
    fn extra(&self, service_time: Micros) -> Micros {
        service_time.saturating_mul(u64::from(self.speed_pct.saturating_sub(self.base_pct))) / 100
    }

    /// Returns whether a request with `service_time` at normal speed should rather ask another
    /// gate, which is probably at normal speed.
    ///
    /// ```
    /// let mut periods = bbv_core::slow_period::SlowPeriods::default();
    /// assert!(!periods.worth_rerouting(50_000));
    /// periods.observe(0, 500);
    /// assert!(periods.worth_rerouting(50_000));
    /// assert!(!periods.worth_rerouting(1_000));
    /// ```
    pub fn worth_rerouting(&self, service_time: Micros) -> bool {
        self.since.is_some() && self.extra(service_time) > REROUTE_COST
    }

    /// Returns whether a request with `service_time` at normal speed ends sooner if it starts
    /// later.
    ///
    /// ```
    /// let mut periods = bbv_core::slow_period::SlowPeriods::default();
    /// periods.observe(0, 500);
    /// assert!(periods.worth_waiting(0, 100_000));
    /// assert!(!periods.worth_waiting(0, 10_000));
    /// ```
    pub fn worth_waiting(&self, now: Micros, service_time: Micros) -> bool {
        self.remaining(now).is_some_and(|remaining| self.extra(service_time) > remaining)
    }

    /// Returns whether a request with `service_time` at normal speed that must end by `deadline`
    /// should wait for another `step` before it starts.
    ///
    /// ```
    /// let mut periods = bbv_core::slow_period::SlowPeriods::default();
    /// periods.observe(0, 500);
    /// assert!(periods.may_wait(0, 100_000, 150_000, 20_000));
    /// assert!(!periods.may_wait(0, 100_000, 110_000, 20_000));
    /// ```
    pub fn may_wait(
        &self,
        now: Micros,
        service_time: Micros,
        deadline: Micros,
        step: Micros,
    ) -> bool {
        let late = now + step + self.base_time(service_time) > deadline;
        self.worth_waiting(now, service_time) && !late
    }
}
