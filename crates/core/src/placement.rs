//! Estimates the latency of a request on each upstream from slightly stale load reports, so that
//! bbv-mesh can choose the upstream with the least expected loss.
//!
//! It matters when upstreams differ in load or speed, fail, or are cold.

use crate::room::Room;
use crate::units::{MS, Micros, SEC};

/// Load of an upstream as reported by its node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Limit on concurrent requests.
    pub limit: u32,
    /// Current service time in percent of normal.
    pub speed_pct: u32,
    /// Expected time until the end of a slow period; zero if there is none or its end cannot be
    /// predicted.
    pub slow_remaining: Micros,
    /// Expected queueing time of a new request.
    pub backlog: Micros,
    /// Whether new requests are refused.
    pub closed: bool,
    /// Whether the upstream is cold.
    pub cold: bool,
    /// Room for each rank.
    pub room: Room,
}

/// Largest count and time in a report; larger ones come from a malformed message.
const MAX_COUNT: u32 = 1_000_000;
const MAX_TIME: Micros = 3_600 * SEC;

impl LoadReport {
    /// Returns the report with every value in the range that can occur.
    ///
    /// ```
    /// use bbv_core::placement::LoadReport;
    /// let report = LoadReport { running: u32::MAX, queued: u32::MAX, ..LoadReport::default() };
    /// assert!(report.clamped().running.checked_add(report.clamped().queued).is_some());
    /// ```
    pub fn clamped(self) -> Self {
        LoadReport {
            running: self.running.min(MAX_COUNT),
            queued: self.queued.min(MAX_COUNT),
            limit: self.limit.min(MAX_COUNT),
            speed_pct: self.speed_pct.min(MAX_COUNT),
            slow_remaining: self.slow_remaining.min(MAX_TIME),
            backlog: self.backlog.min(MAX_TIME),
            room: self.room.clamped(),
            ..self
        }
    }
}

/// Load and recent outcomes of one upstream, as known to one node.
#[derive(Clone, Debug, Default)]
pub struct UpstreamStats {
    report: Option<(Micros, LoadReport)>,
    sent: Vec<(u64, Micros)>,
    failure_rate: f64,
    updated_at: Micros,
    slowdown: f64,
    avoid_until: Micros,
}

/// Age from which a report is ignored.
const MAX_STALENESS: Micros = 2 * SEC;
/// Age from which the room in a report is ignored; reports from other zones come once a second.
const ROOM_STALENESS: Micros = 1_500 * MS;
/// Weight of a new sample in the failure rate.
const FAILURE_GAIN: f64 = 0.25;
/// Weight of a new sample in the slow-down.
const SLOWDOWN_GAIN: f64 = 0.15;
/// Half-life of the failure rate and the slow-down.
const HALF_LIFE: f64 = 1.5 * SEC as f64;
/// Weight of the failure rate in the cost: an upstream that always fails costs this many times
/// its latency more.
const FAILURE_WEIGHT: f64 = 12.0;
/// Weight of the share of slots in use, so that load counts before the last slot is taken.
const UTILIZATION_WEIGHT: f64 = 0.4;
/// Cost factor of a cold upstream, which is slower until it is warm.
const COLD_FACTOR: f64 = 2.0;

impl UpstreamStats {
    /// Records a report that arrived at `now`.
    ///
    /// ```
    /// use bbv_core::placement::{LoadReport, UpstreamStats};
    /// UpstreamStats::default().record_report(0, LoadReport::default());
    /// ```
    pub fn record_report(&mut self, now: Micros, report: LoadReport) {
        self.report = Some((now, report));
    }

    /// Age of the latest report.
    ///
    /// ```
    /// assert_eq!(bbv_core::placement::UpstreamStats::default().report_age(5), None);
    /// ```
    pub fn report_age(&self, now: Micros) -> Option<Micros> {
        self.report.map(|(at, _)| now.saturating_sub(at))
    }

    /// Records that a request was sent.
    ///
    /// ```
    /// bbv_core::placement::UpstreamStats::default().record_send(0, 1);
    /// ```
    pub fn record_send(&mut self, now: Micros, id: u64) {
        self.sent.push((id, now));
    }

    /// Records that a request ended.
    ///
    /// ```
    /// bbv_core::placement::UpstreamStats::default().record_end(1);
    /// ```
    pub fn record_end(&mut self, id: u64) {
        self.sent.retain(|(other, _)| *other != id);
    }

    /// Number of requests in flight from this node.
    ///
    /// ```
    /// assert_eq!(bbv_core::placement::UpstreamStats::default().in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// Records whether a request succeeded and the ratio of its service time to the expected one.
    ///
    /// ```
    /// bbv_core::placement::UpstreamStats::default().record_outcome(0, true, 1.0);
    /// ```
    pub fn record_outcome(&mut self, now: Micros, success: bool, ratio: f64) {
        let failure_rate = self.failure_rate(now);
        self.failure_rate =
            failure_rate + (f64::from(u8::from(!success)) - failure_rate) * FAILURE_GAIN;
        let slowdown = self.slowdown(now);
        self.slowdown = slowdown + (ratio.clamp(0.2, 20.0) - slowdown) * SLOWDOWN_GAIN;
        self.updated_at = now;
    }

    /// Avoids the upstream until `until` where others can be chosen.
    ///
    /// ```
    /// bbv_core::placement::UpstreamStats::default().avoid(5);
    /// ```
    pub fn avoid(&mut self, until: Micros) {
        self.avoid_until = self.avoid_until.max(until);
    }

    /// Stops avoiding the upstream.
    ///
    /// ```
    /// let mut stats = bbv_core::placement::UpstreamStats::default();
    /// stats.avoid(9);
    /// stats.stop_avoiding();
    /// assert!(!stats.is_avoided(5));
    /// ```
    pub fn stop_avoiding(&mut self) {
        self.avoid_until = 0;
    }

    /// Returns whether the upstream is avoided where others can be chosen.
    ///
    /// ```
    /// assert!(!bbv_core::placement::UpstreamStats::default().is_avoided(5));
    /// ```
    pub fn is_avoided(&self, now: Micros) -> bool {
        now < self.avoid_until
    }

    fn decay(&self, now: Micros) -> f64 {
        (-(now.saturating_sub(self.updated_at) as f64) / HALF_LIFE).exp2()
    }

    fn failure_rate(&self, now: Micros) -> f64 {
        self.failure_rate * self.decay(now)
    }

    fn slowdown(&self, now: Micros) -> f64 {
        let slowdown = if self.slowdown == 0.0 { 1.0 } else { self.slowdown };
        1.0 + (slowdown - 1.0) * self.decay(now)
    }

    /// Returns whether the upstream refuses new requests, according to a fresh report.
    ///
    /// ```
    /// assert!(!bbv_core::placement::UpstreamStats::default().is_closed(0));
    /// ```
    pub fn is_closed(&self, now: Micros) -> bool {
        self.fresh_report(now).is_some_and(|report| report.closed)
    }

    fn fresh_report(&self, now: Micros) -> Option<LoadReport> {
        let (at, report) = self.report?;
        (now.saturating_sub(at) < MAX_STALENESS).then_some(report)
    }

    /// Room of the upstream by a report that is fresh enough to decide by.
    ///
    /// ```
    /// assert_eq!(bbv_core::placement::UpstreamStats::default().room(0), None);
    /// ```
    pub fn room(&self, now: Micros) -> Option<Room> {
        let (at, report) = self.report?;
        (now.saturating_sub(at) < ROOM_STALENESS).then_some(report.room)
    }

    /// Expected latency of a request with `service_time` at normal speed, weighted by the
    /// failure rate, over a network path with round-trip time `rtt`.
    ///
    /// ```
    /// assert!(bbv_core::placement::UpstreamStats::default().cost(0, 1_000, 9, 0) >= 1_000);
    /// ```
    pub fn cost(&self, now: Micros, service_time: Micros, slots: u32, rtt: Micros) -> Micros {
        let report = self.fresh_report(now);
        let limit = report.map_or(slots, |report| report.limit).max(1);
        let speed = report.map_or(1.0, |report| f64::from(report.speed_pct) / 100.0);
        let reported = report.map_or(0, |report| report.running + report.queued) as usize;
        let since = self.report.map_or(0, |(at, _)| at.saturating_sub(rtt));
        let unreported = self.sent.iter().filter(|(_, at)| *at > since).count();
        let load = (reported + unreported) as f64;
        let limit = f64::from(limit);
        let normal = service_time.max(MS) as f64;
        let age = self.report_age(now).unwrap_or(0);
        let slow = report.map_or(0, |report| report.slow_remaining);
        // A slow period whose expected end has passed says nothing about the present speed.
        let speed = if slow > 0 && age >= slow { 1.0 } else { speed };
        let slow = slow.saturating_sub(age) as f64;
        // A gate starts a long request only after the slow period.
        let run = if slow > 0.0 { (normal * speed).min(normal + slow) } else { normal * speed };
        let run = run * self.slowdown(now);
        let excess = (load + 1.0 - limit).max(0.0);
        let queueing = run * excess / limit;
        let utilization = run * UTILIZATION_WEIGHT * (load / limit).min(1.0);
        let cold = if report.is_some_and(|report| report.cold) { COLD_FACTOR } else { 1.0 };
        let failures = 1.0 + FAILURE_WEIGHT * self.failure_rate(now);
        rtt + ((run * cold + queueing + utilization) * failures) as Micros
    }

    /// Expected queueing time of a new request, without the weights that only serve ranking.
    ///
    /// ```
    /// assert_eq!(bbv_core::placement::UpstreamStats::default().backlog(0), 0);
    /// ```
    pub fn backlog(&self, now: Micros) -> Micros {
        self.fresh_report(now).map_or(0, |report| report.backlog)
    }
}

/// Ratio of cost to target up to which an answer is almost certainly in time.
const SAFE_RATIO: f64 = 0.4;
/// Increase of the ratio over which an answer becomes almost certainly late.
const RISK_SPAN: f64 = 0.8;
/// Weight of the ratio itself, which only ranks upstreams that all answer in time.
const RATIO_WEIGHT: f64 = 0.05;

/// Expected loss of a request with `cost` when `target` is left: 0 if it is answered at once,
/// at least 1 if it is late.
///
/// ```
/// use bbv_core::placement::loss;
/// assert!(loss(10, 100) < 0.1);
/// assert!(loss(150, 100) >= 1.0);
/// ```
pub fn loss(cost: Micros, target: Micros) -> f64 {
    let ratio = cost as f64 / target.max(1) as f64;
    RATIO_WEIGHT * ratio + ((ratio - SAFE_RATIO) / RISK_SPAN).clamp(0.0, 1.0)
}
