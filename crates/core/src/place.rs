//! Choice of the upstream for a request, from reports of load that are a little old.

use crate::units::{MS, Micros, SEC};

/// Load of an upstream as its node reports it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Concurrent requests allowed.
    pub limit: u32,
    /// Time that work takes now, in percent of usual.
    pub speed_pct: u32,
    /// Expected time until the upstream is as fast as usual; zero if it is, or if that
    /// cannot be told.
    pub spell: Micros,
    /// Time until a new request would start.
    pub backlog: Micros,
    /// Whether new requests are refused.
    pub closed: bool,
    /// Whether the upstream is cold.
    pub cold: bool,
}

/// What a node knows of one upstream's load.
#[derive(Clone, Debug, Default)]
pub struct Target {
    report: Option<(Micros, Report)>,
    sent: Vec<(u64, Micros)>,
    failing: f64,
    failed_at: Micros,
    slowness: f64,
    avoid_until: Micros,
}

/// Age from which a report says nothing any more.
const STALE: Micros = 2 * SEC;
/// Gain of the share of failed requests and of the slowness.
const FAIL_GAIN: f64 = 0.25;
const SLOW_GAIN: f64 = 0.15;
/// Time in which a known failure loses half of its weight.
const FAIL_HALF: f64 = 1.5 * SEC as f64;
/// Weight of failures against waiting time: an upstream that always fails looks this
/// many times as slow.
const FAIL_WEIGHT: f64 = 12.0;
/// Slots that are taken count a little before the last one is.
const USE_WEIGHT: f64 = 0.4;
/// Cost of a cold upstream, which runs slower until it is warm.
const COLD_FACTOR: f64 = 2.0;

impl Target {
    /// Records a report that arrived at `now`.
    ///
    /// ```
    /// use bbv_core::place::{Report, Target};
    /// Target::default().learn(0, Report::default());
    /// ```
    pub fn learn(&mut self, now: Micros, report: Report) {
        self.report = Some((now, report));
    }

    /// Age of the newest report.
    ///
    /// ```
    /// assert_eq!(bbv_core::place::Target::default().age(5), None);
    /// ```
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.report.map(|(at, _)| now.saturating_sub(at))
    }

    /// Records that a request was sent.
    ///
    /// ```
    /// bbv_core::place::Target::default().send(0, 1);
    /// ```
    pub fn send(&mut self, now: Micros, id: u64) {
        self.sent.push((id, now));
    }

    /// Records that a request ended.
    ///
    /// ```
    /// bbv_core::place::Target::default().done(1);
    /// ```
    pub fn done(&mut self, id: u64) {
        self.sent.retain(|(other, _)| *other != id);
    }

    /// Requests sent that have not ended.
    ///
    /// ```
    /// assert_eq!(bbv_core::place::Target::default().open(), 0);
    /// ```
    pub fn open(&self) -> usize {
        self.sent.len()
    }

    /// Learns whether a request was answered, and how much longer than expected it ran.
    ///
    /// ```
    /// bbv_core::place::Target::default().judge(0, true, 1.0);
    /// ```
    pub fn judge(&mut self, now: Micros, good: bool, ratio: f64) {
        let held = self.failing(now);
        self.failing = held + (f64::from(u8::from(!good)) - held) * FAIL_GAIN;
        let slow = self.slowness(now);
        self.slowness = slow + (ratio.clamp(0.2, 20.0) - slow) * SLOW_GAIN;
        self.failed_at = now;
    }

    /// Leaves the upstream out until `until` where others can be chosen.
    ///
    /// ```
    /// bbv_core::place::Target::default().avoid(5);
    /// ```
    pub fn avoid(&mut self, until: Micros) {
        self.avoid_until = self.avoid_until.max(until);
    }

    /// Ends the time in which the upstream is left out.
    ///
    /// ```
    /// let mut target = bbv_core::place::Target::default();
    /// target.avoid(9);
    /// target.reachable();
    /// assert!(!target.avoided(5));
    /// ```
    pub fn reachable(&mut self) {
        self.avoid_until = 0;
    }

    /// Whether the upstream is left out now where others can be chosen.
    ///
    /// ```
    /// assert!(!bbv_core::place::Target::default().avoided(5));
    /// ```
    pub fn avoided(&self, now: Micros) -> bool {
        now < self.avoid_until
    }

    fn fade(&self, now: Micros) -> f64 {
        (-(now.saturating_sub(self.failed_at) as f64) / FAIL_HALF).exp2()
    }

    fn failing(&self, now: Micros) -> f64 {
        self.failing * self.fade(now)
    }

    fn slowness(&self, now: Micros) -> f64 {
        let held = if self.slowness == 0.0 { 1.0 } else { self.slowness };
        1.0 + (held - 1.0) * self.fade(now)
    }

    /// Whether the upstream refuses new requests, as last reported.
    ///
    /// ```
    /// assert!(!bbv_core::place::Target::default().closed(0));
    /// ```
    pub fn closed(&self, now: Micros) -> bool {
        self.fresh(now).is_some_and(|report| report.closed)
    }

    fn fresh(&self, now: Micros) -> Option<Report> {
        let (at, report) = self.report?;
        (now.saturating_sub(at) < STALE).then_some(report)
    }

    /// Expected time until a request that takes `work` at usual speed is answered, with
    /// `link` as the time of the way there and back.
    ///
    /// ```
    /// assert!(bbv_core::place::Target::default().cost(0, 1_000, 9, 0) >= 1_000);
    /// ```
    pub fn cost(&self, now: Micros, work: Micros, slots: u32, link: Micros) -> Micros {
        let report = self.fresh(now);
        let limit = report.map_or(slots, |report| report.limit).max(1);
        let speed = report.map_or(1.0, |report| f64::from(report.speed_pct) / 100.0);
        let known = report.map_or(0, |report| report.running + report.queued) as usize;
        let since = self.report.map_or(0, |(at, _)| at.saturating_sub(link));
        let unseen = self.sent.iter().filter(|(_, at)| *at > since).count();
        let load = (known + unseen) as f64;
        let limit = f64::from(limit);
        let usual = work.max(MS) as f64;
        let spell = report.map_or(0, |report| report.spell) as f64;
        // A gate starts a long request only when the slow spell is over.
        let run = if spell > 0.0 { (usual * speed).min(usual + spell) } else { usual * speed };
        let work = run * self.slowness(now);
        let over = (load + 1.0 - limit).max(0.0);
        let waiting = work * over / limit;
        let crowding = work * USE_WEIGHT * (load / limit).min(1.0);
        let cold = if report.is_some_and(|report| report.cold) { COLD_FACTOR } else { 1.0 };
        let failing = 1.0 + FAIL_WEIGHT * self.failing(now);
        link + ((work * cold + waiting + crowding) * failing) as Micros
    }

    /// Expected time until a request ends there without the weights that only rank.
    ///
    /// ```
    /// assert_eq!(bbv_core::place::Target::default().wait(0), 0);
    /// ```
    pub fn wait(&self, now: Micros) -> Micros {
        self.fresh(now).map_or(0, |report| report.backlog)
    }
}

/// Part of the target up to which an answer is nearly sure to be in time.
const SURE: f64 = 0.4;
/// Span over which it gets nearly sure to be late.
const UNSURE: f64 = 0.8;
/// Loss of a request that is answered just at its target and surely in time; it only ranks.
const SLOWER: f64 = 0.05;

/// Expected loss of a request that takes `cost` when `target` is left: 0 for one that is
/// answered at once, 1 and more for one that is late.
///
/// ```
/// use bbv_core::place::loss;
/// assert!(loss(10, 100) < 0.1);
/// assert!(loss(150, 100) >= 1.0);
/// ```
pub fn loss(cost: Micros, target: Micros) -> f64 {
    let ratio = cost as f64 / target.max(1) as f64;
    SLOWER * ratio + ((ratio - SURE) / UNSURE).clamp(0.0, 1.0)
}
