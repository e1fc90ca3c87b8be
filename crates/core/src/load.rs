//! Recent load samples of one target, as an ingress knows them.

use serde::{Deserialize, Serialize};

use crate::units::{MS, Micros};

/// Load of an upstream as its gate reports it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests running.
    pub running: u16,
    /// Requests waiting at the gate.
    pub queued: u16,
    /// Concurrent requests allowed.
    pub allowed: u16,
    /// Recent latency of the upstream in microseconds.
    pub service_us: u32,
    /// Age of the oldest running request in microseconds.
    pub oldest_us: u32,
    /// Share of recent answers that failed, in percent.
    pub failing_pct: u8,
    /// Whether the gate refuses new work.
    pub closed: bool,
}

/// What an ingress knows about one target.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    load: Load,
    taken: Option<Micros>,
    open: Vec<(u64, Micros)>,
    since: u32,
    avoid_until: Micros,
    failing: f64,
    failed_at: Micros,
}

/// Age at which a sample has lost half of its weight.
pub const HALF_LIFE: Micros = 25 * MS;

impl Pool {
    /// Records a load sample taken at `now`.
    ///
    /// ```
    /// use bbv_core::load::{Load, Pool};
    /// let mut pool = Pool::default();
    /// pool.learn(5, Load { running: 3, ..Load::default() });
    /// assert_eq!(pool.age(9), Some(4));
    /// ```
    pub fn learn(&mut self, now: Micros, load: Load) {
        self.load = load;
        self.taken = Some(now);
        self.since = 0;
    }

    /// Records attempt `serial` sent to the target.
    ///
    /// ```
    /// let mut pool = bbv_core::load::Pool::default();
    /// pool.send(0, 1);
    /// assert_eq!(pool.sent(), 1);
    /// ```
    pub fn send(&mut self, now: Micros, serial: u64) {
        self.open.push((serial, now));
        self.since += 1;
    }

    /// Records that attempt `serial` ended.
    ///
    /// ```
    /// let mut pool = bbv_core::load::Pool::default();
    /// pool.send(0, 1);
    /// pool.done(1);
    /// assert_eq!(pool.sent(), 0);
    /// ```
    pub fn done(&mut self, serial: u64) {
        self.open.retain(|(other, _)| *other != serial);
    }

    /// Attempts of this ingress that have not ended.
    ///
    /// ```
    /// assert_eq!(bbv_core::load::Pool::default().sent(), 0);
    /// ```
    pub fn sent(&self) -> u32 {
        self.open.len() as u32
    }

    /// Age of the oldest attempt that has not ended, or zero.
    ///
    /// ```
    /// let mut pool = bbv_core::load::Pool::default();
    /// pool.send(3, 1);
    /// assert_eq!(pool.oldest(10), 7);
    /// ```
    pub fn oldest(&self, now: Micros) -> Micros {
        self.open.first().map_or(0, |(_, at)| now.saturating_sub(*at))
    }

    /// Age of the newest sample, or none without one.
    ///
    /// ```
    /// assert_eq!(bbv_core::load::Pool::default().age(9), None);
    /// ```
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.taken.map(|taken| now.saturating_sub(taken))
    }

    /// Newest sample.
    ///
    /// ```
    /// assert_eq!(bbv_core::load::Pool::default().load().running, 0);
    /// ```
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// Forgets the sample, after a pause or when the target was replaced.
    ///
    /// ```
    /// bbv_core::load::Pool::default().forget();
    /// ```
    pub fn forget(&mut self) {
        self.taken = None;
        self.load = Load::default();
        self.since = 0;
    }

    /// Keeps the target out of choice until `until`.
    ///
    /// ```
    /// let mut pool = bbv_core::load::Pool::default();
    /// pool.avoid(10);
    /// assert!(pool.avoided(9));
    /// ```
    pub fn avoid(&mut self, until: Micros) {
        self.avoid_until = self.avoid_until.max(until);
    }

    /// Tells whether the target is out of choice at `now`.
    ///
    /// ```
    /// assert!(!bbv_core::load::Pool::default().avoided(0));
    /// ```
    pub fn avoided(&self, now: Micros) -> bool {
        now < self.avoid_until
    }

    /// Records whether an answer from the target was a failure.
    ///
    /// ```
    /// let mut pool = bbv_core::load::Pool::default();
    /// pool.judge(0, false);
    /// assert!(pool.failure_share(0) > 0.0);
    /// ```
    pub fn judge(&mut self, now: Micros, good: bool) {
        let sick = if good { 0.0 } else { 1.0 };
        self.failing = self.failure_share(now) * 0.8 + sick * 0.2;
        self.failed_at = now;
    }

    /// Share of recent failures, which fades so that the target is tried again.
    ///
    /// ```
    /// assert_eq!(bbv_core::load::Pool::default().failure_share(0), 0.0);
    /// ```
    pub fn failure_share(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.failed_at) as f64;
        self.failing * 0.5_f64.powf(age / (200 * MS) as f64)
    }

    /// Requests expected at the target: those reported and those sent since.
    ///
    /// An old sample counts less, and `prior` requests are assumed in its place.
    ///
    /// ```
    /// let mut pool = bbv_core::load::Pool::default();
    /// pool.send(0, 1);
    /// assert_eq!(pool.expected(0, 2.0), 3.0);
    /// ```
    pub fn expected(&self, now: Micros, prior: f64) -> f64 {
        let since = f64::from(self.since.min(self.sent()));
        let Some(age) = self.age(now) else { return prior + since };
        let trust = 0.5_f64.powf(age as f64 / HALF_LIFE as f64);
        let seen = f64::from(self.load.running) + f64::from(self.load.queued);
        seen * trust + prior * (1.0 - trust) + since
    }
}
