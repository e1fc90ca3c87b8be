//! Admission control in bbv-mesh for an upstream that reports its load, its speed and whether
//! it is cold.
//!
//! Under overload it queues by rank and refuses at once what cannot be answered in time. It
//! limits the request rate of a cold upstream over every sliding second, and learns a limit
//! below the slots of an upstream that slows down when nearly all of them are taken.

mod decision;

use std::cmp::Ordering;

pub use decision::{
    AdmissionDecision, AdmissionDequeued, AdmissionRefusal, AdmissionRequest, RefusalReason,
};

use crate::cold::ColdLimiter;
use crate::demand::Demand;
use crate::knee::{KneeDetector, LoadLevel};
use crate::room::Room;
use crate::slow_period::SlowPeriods;
use crate::units::{MS, Micros, SEC};

/// What a request does at the present speed of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pace {
    /// It starts.
    Start,
    /// It waits in the queue for the slow period to end.
    Hold,
    /// It runs elsewhere.
    Reroute,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    since: Micros,
    service_time: Micros,
    load: LoadLevel,
}

/// Share of the slots in use from which the load counts as high. Below it an upstream is
/// assumed to run at its normal speed.
const HIGH_LOAD_SHARE: f64 = 0.8;
/// Weight of a new sample in the mean service time.
const MEAN_GAIN: f64 = 0.1;
/// Mean service time assumed before a request has ended.
const INITIAL_MEAN: f64 = (50 * MS) as f64;
/// Time for which a request waits at least if it waits for the end of a slow period.
const SLOW_WAIT_STEP: Micros = 20 * MS;
/// Queued requests per slot; a longer queue is not served within usual deadlines.
const QUEUE_PER_SLOT: usize = 4;
/// Shortest retry delay given to a caller.
const MIN_RETRY_AFTER: Micros = 20 * MS;
/// Time for which a warm upstream counts as short of room after it has refused a request for that.
const SHORT_TIME: Micros = SEC;

/// Admission control for one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: u32,
    external: u32,
    speed_pct: u32,
    slow: SlowPeriods,
    closed: bool,
    cold: ColdLimiter,
    running: Vec<Running>,
    queue: Vec<AdmissionRequest>,
    evicted: Vec<u64>,
    knee: KneeDetector,
    demand: Demand,
    /// Until when the upstream counts as short of room, if it is warm.
    short_until: Micros,
    /// Mean service time at normal speed.
    mean_time: f64,
    /// Mean time for which a request occupies a slot, slow periods included.
    mean_occupancy: f64,
}

impl Admission {
    /// Creates admission control for an upstream with no measurements yet.
    ///
    /// ```
    /// let admission = bbv_core::admission::Admission::new(9);
    /// assert_eq!(admission.running(), 0);
    /// ```
    pub fn new(slots: u32) -> Self {
        Admission {
            slots,
            external: 0,
            speed_pct: 100,
            slow: SlowPeriods::default(),
            closed: false,
            cold: ColdLimiter::default(),
            running: Vec::new(),
            queue: Vec::new(),
            evicted: Vec::new(),
            knee: KneeDetector::default(),
            demand: Demand::default(),
            short_until: 0,
            mean_time: INITIAL_MEAN,
            mean_occupancy: INITIAL_MEAN,
        }
    }

    /// Sets the published slots and the rate limit, in requests per second, while cold.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).set_limits(6, 8.3);
    /// ```
    pub fn set_limits(&mut self, slots: u32, cold_rate: f64) {
        self.slots = slots.max(1);
        self.cold.set_rate(cold_rate);
    }

    /// Applies the load that the upstream reports: the total of its running requests and its
    /// service time in percent of normal.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).update_load(3, 500);
    /// ```
    pub fn update_load(&mut self, running: u32, speed_pct: u32) {
        self.external = running.saturating_sub(self.running.len() as u32);
        self.speed_pct = speed_pct.clamp(10, 10_000);
    }

    /// Records the service time that the upstream reports, in percent of normal, so that the
    /// length of its slow periods can be predicted.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).observe_speed(0, 500);
    /// ```
    pub fn observe_speed(&mut self, now: Micros, speed_pct: u32) {
        self.slow.set_cold(self.cold.is_cold(now));
        self.slow.observe(now, speed_pct);
        self.speed_pct = speed_pct.clamp(10, 10_000);
    }

    /// Expected time until the end of a slow period; zero if there is none or its end cannot be
    /// predicted.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).slow_remaining(0), 0);
    /// ```
    pub fn slow_remaining(&self, now: Micros) -> Micros {
        self.slow.remaining(now).unwrap_or(0)
    }

    /// Sets when the upstream stops being cold.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).set_cold_until(3_000_000);
    /// ```
    pub fn set_cold_until(&mut self, until: Micros) {
        self.cold.set_until(until);
    }

    /// Records a start of the gate. A previous process may have started requests on a cold
    /// upstream within the last second.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).record_restart(0);
    /// ```
    pub fn record_restart(&mut self, now: Micros) {
        self.cold.record_restart(now);
    }

    /// Records for how long the upstream has been cold. If the gate has run for as long, it
    /// has seen every request that the upstream started while cold.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).record_cold_age(5_000, 3_000);
    /// ```
    pub fn record_cold_age(&mut self, now: Micros, age: Micros) {
        self.cold.set_age(now, age);
    }

    /// Sets whether new requests are refused.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).set_closed(true);
    /// ```
    pub fn set_closed(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Returns whether new requests are refused.
    ///
    /// ```
    /// assert!(!bbv_core::admission::Admission::new(9).is_closed());
    /// ```
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Number of running requests admitted here.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).running(), 0);
    /// ```
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of queued requests.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).queued(), 0);
    /// ```
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Current service time in percent of normal.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).speed_pct(), 100);
    /// ```
    pub fn speed_pct(&self) -> u32 {
        self.speed_pct
    }

    /// Number of slots up to which the upstream is assumed to run at its normal speed.
    fn knee_slots(&self) -> u32 {
        (f64::from(self.slots) * HIGH_LOAD_SHARE).floor() as u32
    }

    /// Current limit on concurrent requests.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).limit(0), 9);
    /// ```
    pub fn limit(&self, now: Micros) -> u32 {
        let limit = if self.knee.capped(now) { self.knee_slots() } else { self.slots };
        limit.saturating_sub(self.external).max(1)
    }

    /// Returns whether the upstream is cold.
    ///
    /// ```
    /// assert!(!bbv_core::admission::Admission::new(9).is_cold(1));
    /// ```
    pub fn is_cold(&self, now: Micros) -> bool {
        self.cold.is_cold(now)
    }

    /// Records a request of `rank` that arrived for the first time and stands for `weight`
    /// requests, so that room is kept for its rank.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).record_demand(0, 1, 1.0, 50_000);
    /// ```
    pub fn record_demand(&mut self, now: Micros, rank: u8, weight: f64, service_time: Micros) {
        self.demand.record(now, rank, weight, service_time);
    }

    /// Room for the demand of the last second, by rank.
    ///
    /// ```
    /// use bbv_core::{admission::Admission, room::Room};
    /// assert_eq!(Admission::new(9).room(0), Room::default());
    /// ```
    pub fn room(&self, now: Micros) -> Room {
        if self.cold.is_cold(now) {
            let starts = self.cold.allowed(now) as f64;
            return Room::new(starts, &self.demand.requests(now), self.cold.remaining(now));
        }
        if now >= self.short_until {
            return Room::default();
        }
        let speed = (self.mean_time / self.mean_occupancy.max(1.0)).min(1.0);
        let capacity = f64::from(self.limit(now)) * SEC as f64 * speed;
        Room::new(capacity, &self.demand.work(now), self.backlog(now).max(SHORT_TIME))
    }

    /// Time until the rate limit of a cold upstream allows a request behind `ahead` others, of
    /// which `peers` are of its rank.
    fn cold_wait(&mut self, now: Micros, rank: u8, ahead: usize, peers: usize) -> Micros {
        let kept = self.demand.above(now, rank);
        self.cold.wait(now, ahead).max(self.cold.rank_wait(now, rank, peers, kept))
    }

    /// Expected time in the queue behind `ahead` other requests.
    fn queue_wait(&self, now: Micros, ahead: usize) -> Micros {
        let limit = self.limit(now) as usize;
        let busy = self.running.len();
        if busy + ahead < limit {
            return 0;
        }
        let behind = (busy + ahead + 1 - limit) as f64;
        // A slow period without a predictable end slows every request down.
        let expected = match self.slow_remaining(now) {
            0 => self.mean_occupancy.max(self.mean_time * f64::from(self.speed_pct) / 100.0),
            _ => self.mean_occupancy,
        };
        // The age of running requests shows a slow-down before any of them ends.
        let ages = self.running.iter().map(|run| now.saturating_sub(run.since) as f64);
        let run = expected.max(ages.sum::<f64>() / busy.max(1) as f64);
        (behind * run / limit as f64) as Micros
    }

    /// Expected queueing time of a new request of the lowest rank.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).backlog(0), 0);
    /// ```
    pub fn backlog(&self, now: Micros) -> Micros {
        self.queue_wait(now, self.queue.len())
    }

    /// Expected time from `start` until a request that may start then has ended: it starts at the
    /// present speed, or after the slow period.
    fn service_time(&self, now: Micros, start: Micros, request: &AdmissionRequest) -> Micros {
        let at_once = request.service_time.saturating_mul(u64::from(self.speed_pct)) / 100;
        match self.slow_remaining(now) {
            0 => at_once,
            rest => {
                let after = self.slow.base_time(request.service_time);
                at_once.min((now + rest).saturating_sub(start) + after)
            }
        }
    }

    /// Decides what a request does at the present speed once there is room for it.
    fn pace(&self, now: Micros, request: &AdmissionRequest) -> Pace {
        if request.reroutes && self.slow.worth_rerouting(request.service_time) {
            return Pace::Reroute;
        }
        if self.slow.may_wait(now, request.service_time, request.deadline, SLOW_WAIT_STEP) {
            return Pace::Hold;
        }
        Pace::Start
    }

    /// Order in which queued requests start: lowest rank number first, then requests that can
    /// still meet their target, then the earliest deadline.
    fn order(&self, now: Micros, request: &AdmissionRequest) -> (u8, bool, Micros) {
        let end = now + self.service_time(now, now, request);
        (request.rank, end > request.target, request.deadline)
    }

    /// Number of queued requests that start before a new one; those that wait for a slow period to
    /// end leave their slots to others.
    fn ahead(&self, now: Micros, request: &AdmissionRequest) -> usize {
        self.starting_before(now, request).count()
    }

    fn starting_before<'a>(
        &'a self,
        now: Micros,
        request: &'a AdmissionRequest,
    ) -> impl Iterator<Item = &'a AdmissionRequest> {
        let order = self.order(now, request);
        self.queue.iter().filter(move |queued| {
            self.order(now, queued) <= order && self.pace(now, queued) != Pace::Hold
        })
    }

    /// Admits, queues or refuses a new request.
    ///
    /// ```
    /// use bbv_core::admission::{Admission, AdmissionDecision, AdmissionRequest};
    /// let (deadline, target, service_time) = (90_000, 50_000, 10_000);
    /// let reroutes = false;
    /// let request = AdmissionRequest { id: 1, rank: 0, deadline, target, service_time, reroutes };
    /// assert_eq!(Admission::new(9).offer(0, request), AdmissionDecision::Run);
    /// ```
    pub fn offer(&mut self, now: Micros, request: AdmissionRequest) -> AdmissionDecision {
        if self.closed {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: RefusalReason::Closed,
                retry_after: MIN_RETRY_AFTER,
            });
        }
        let pace = self.pace(now, &request);
        if pace == Pace::Reroute {
            return AdmissionDecision::Refuse(self.refuse_slow(now));
        }
        let ahead = self.ahead(now, &request);
        let same_rank = |queued: &&AdmissionRequest| queued.rank == request.rank;
        let peers = self.starting_before(now, &request).filter(same_rank).count();
        let cold_wait = self.cold_wait(now, request.rank, ahead, peers);
        let wait = self.queue_wait(now, ahead).max(cold_wait);
        let start = now.saturating_add(wait);
        let end = start.saturating_add(self.service_time(now, start, &request));
        if end > request.deadline {
            let reason = if cold_wait > 0 { RefusalReason::Cold } else { RefusalReason::Late };
            if wait > 0 {
                self.short_until = now + SHORT_TIME;
            }
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason,
                retry_after: wait.max(MIN_RETRY_AFTER),
            });
        }
        let room = self.running.len() < self.limit(now) as usize;
        if room && cold_wait == 0 && ahead == 0 && pace == Pace::Start {
            self.start(now, request);
            return AdmissionDecision::Run;
        }
        let full = self.queue.len() >= QUEUE_PER_SLOT * self.slots as usize;
        if full {
            self.short_until = now + SHORT_TIME;
        }
        if full && !self.evict(request.rank) {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: RefusalReason::Full,
                retry_after: wait.max(MIN_RETRY_AFTER),
            });
        }
        self.queue.push(request);
        AdmissionDecision::Wait
    }

    fn refuse_slow(&self, now: Micros) -> AdmissionRefusal {
        let retry_after = self.slow_remaining(now).max(MIN_RETRY_AFTER);
        AdmissionRefusal { reason: RefusalReason::Slow, retry_after }
    }

    /// Evicts the queued request of the lowest rank and latest deadline if it ranks below `rank`.
    fn evict(&mut self, rank: u8) -> bool {
        let last = self
            .queue
            .iter()
            .enumerate()
            .max_by_key(|(_, request)| (request.rank, request.deadline));
        let Some((at, _)) = last.filter(|(_, request)| request.rank > rank) else { return false };
        self.evicted.push(self.queue.swap_remove(at).id);
        true
    }

    fn start(&mut self, now: Micros, request: AdmissionRequest) {
        let load = match (self.running.len() + 1).cmp(&(self.knee_slots() as usize)) {
            Ordering::Less => LoadLevel::Low,
            Ordering::Equal => LoadLevel::AtKnee,
            Ordering::Greater => LoadLevel::High,
        };
        let (id, rank, service_time) = (request.id, request.rank, request.service_time);
        self.running.push(Running { id, since: now, service_time, load });
        self.cold.start(now, rank);
    }

    /// Records that a request was answered and updates the measurements.
    ///
    /// `ran` is the service time converted to normal speed. An upstream runs a request to its
    /// end at the speed at which it started.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).finish(0, 1, 20_000);
    /// ```
    pub fn finish(&mut self, now: Micros, id: u64, ran: Micros) {
        let Some(run) = self.remove(id) else { return };
        let took = now.saturating_sub(run.since) as f64;
        self.mean_occupancy += (took - self.mean_occupancy) * MEAN_GAIN;
        self.mean_time += (ran as f64 - self.mean_time) * MEAN_GAIN;
        if run.service_time > 0 && !self.is_cold(now) {
            self.knee.record(now, run.load, ran as f64 / run.service_time as f64);
        }
    }

    /// Removes a request that ended without an answer or leaves the queue.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).cancel(1);
    /// ```
    pub fn cancel(&mut self, id: u64) {
        self.remove(id);
        self.queue.retain(|request| request.id != id);
        self.evicted.retain(|evicted| *evicted != id);
    }

    fn remove(&mut self, id: u64) -> Option<Running> {
        let at = self.running.iter().position(|run| run.id == id)?;
        Some(self.running.swap_remove(at))
    }

    /// Appends the decisions about queued requests that are due.
    ///
    /// ```
    /// let mut decided = Vec::new();
    /// bbv_core::admission::Admission::new(9).poll(0, &mut decided);
    /// assert!(decided.is_empty());
    /// ```
    pub fn poll(&mut self, now: Micros, decided: &mut Vec<AdmissionDequeued>) {
        self.refuse_queued(now, decided);
        while self.running.len() < self.limit(now) as usize && self.cold.wait(now, 0) == 0 {
            let Some(at) = self.next(now) else { break };
            let request = self.queue.swap_remove(at);
            if self.pace(now, &request) == Pace::Reroute {
                decided.push(AdmissionDequeued::Refuse(request.id, self.refuse_slow(now)));
                continue;
            }
            self.start(now, request);
            decided.push(AdmissionDequeued::Run(request.id));
        }
    }

    fn refuse_queued(&mut self, now: Micros, decided: &mut Vec<AdmissionDequeued>) {
        let retry_after = self.backlog(now).max(MIN_RETRY_AFTER);
        let full = AdmissionRefusal { reason: RefusalReason::Full, retry_after };
        decided.extend(self.evicted.drain(..).map(|id| AdmissionDequeued::Refuse(id, full)));
        let queue = std::mem::take(&mut self.queue);
        for request in queue {
            let late = now.saturating_add(self.service_time(now, now, &request)) > request.deadline;
            let reason = match (self.closed, late) {
                (true, _) => RefusalReason::Closed,
                (false, true) => RefusalReason::Late,
                (false, false) => {
                    self.queue.push(request);
                    continue;
                }
            };
            let refusal = AdmissionRefusal { reason, retry_after };
            decided.push(AdmissionDequeued::Refuse(request.id, refusal));
        }
    }

    /// Index of the queued request to run next.
    fn next(&self, now: Micros) -> Option<usize> {
        let may_start = |(_, request): &(usize, &AdmissionRequest)| {
            let kept = self.demand.above(now, request.rank);
            self.pace(now, request) != Pace::Hold
                && self.cold.rank_wait(now, request.rank, 0, kept) == 0
        };
        let waiting = self.queue.iter().enumerate().filter(may_start);
        waiting.min_by_key(|(_, request)| self.order(now, request)).map(|(at, _)| at)
    }

    /// Next time at which [`Admission::poll`] must be called if nothing else happens.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).next_poll(5), None);
    /// ```
    pub fn next_poll(&mut self, now: Micros) -> Option<Micros> {
        let deadline = self
            .queue
            .iter()
            .map(|request| request.deadline.saturating_sub(self.service_time(now, now, request)));
        let deadline = deadline.min()?;
        let rank = self.queue.iter().map(|request| request.rank).min()?;
        let cold = self.cold_wait(now, rank, 0, 0);
        let cold = if cold > 0 { now + cold } else { Micros::MAX };
        Some(deadline.min(cold).max(now + MS))
    }
}
