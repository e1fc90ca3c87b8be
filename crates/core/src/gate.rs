//! Admission control of one upstream, from exact counts of its requests.
//!
//! The gate of a bbv-node runs, queues or refuses each request; it matters when the upstream is
//! cold, slow or overloaded.

use std::collections::BTreeMap;

use crate::limit::{Completion, ConcurrencyLimit};
use crate::load::Load;
use crate::outcome::Refusal;
use crate::queue::{Class, OwnerId, PendingRequest, Queue};
use crate::ramp::{Ramp, Warmup};
use crate::units::Micros;

/// Configured limits of an upstream, from the catalogue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Concurrent requests.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Warm-up after a cold start.
    pub warmup: Warmup,
    /// Latency of an unloaded upstream, the initial value of the moving averages.
    pub base_latency: Micros,
}

/// Decision of the gate about a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// Run it now.
    Run,
    /// It is queued until [`Gate::poll`] returns it.
    Wait,
    /// Refuse it.
    Refuse(Refusal),
}

/// Decision about a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDequeued {
    /// Run it now.
    Run(u64),
    /// Refuse it.
    Refuse(u64, Refusal),
}

/// Answers seen since the upstream was assumed to be cold, to find out whether it was only slow.
#[derive(Clone, Copy, Debug, Default)]
struct RecoveryCheck {
    count: u32,
    ratio: f64,
}

/// Admission control of one upstream; all of its requests pass through it.
#[derive(Clone, Debug)]
pub struct Gate {
    bounds: Bounds,
    limit: ConcurrencyLimit,
    ramp: Ramp,
    queue: Queue,
    running: u32,
    owners: BTreeMap<OwnerId, u32>,
    starts: Vec<(u64, Micros)>,
    cusum: f64,
    recovery: Option<RecoveryCheck>,
    suspected_at: Micros,
    instance: Option<u64>,
    closed: Option<Refusal>,
}

const STALL_FACTOR: u64 = 4;
const CUSUM_DRIFT: f64 = 2.5;
const MAX_LATENCY_RATIO: f64 = 6.0;
const CUSUM_THRESHOLD: f64 = 8.0;
const STALLED_REQUESTS: usize = 2;
const SINGLE_STALL_FACTOR: u64 = 10;
const WARMING_STALL_FACTOR: u64 = 3;
const RECOVERY_ANSWERS: u32 = 6;
const RECOVERY_GAIN: f64 = 0.2;
const RECOVERY_RATIO: f64 = 1.25;

impl Gate {
    /// Creates the gate of an upstream that is assumed to be cold at `now`.
    ///
    /// ```
    /// use bbv_core::{gate::{Bounds, Gate}, ramp::Warmup};
    /// let warmup = Warmup { cold_slots: 1, duration: 1_000 };
    /// let gate = Gate::new(Bounds { slots: 9, connections: 200, warmup, base_latency: 5_000 }, 0);
    /// assert_eq!(gate.allowed(0), 1);
    /// ```
    pub fn new(bounds: Bounds, now: Micros) -> Self {
        Gate {
            limit: ConcurrencyLimit::new(bounds.slots, bounds.base_latency),
            ramp: Ramp::new(bounds.slots, bounds.warmup, now),
            queue: Queue::default(),
            running: 0,
            owners: BTreeMap::new(),
            starts: Vec::new(),
            cusum: 0.0,
            recovery: None,
            suspected_at: 0,
            instance: None,
            closed: None,
            bounds,
        }
    }

    /// Current bounds.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Applies changed bounds from the catalogue; the limit ramps up to them from cold.
    pub fn set_bounds(&mut self, bounds: Bounds, now: Micros) {
        if bounds == self.bounds {
            return;
        }
        self.bounds = bounds;
        self.limit = ConcurrencyLimit::new(bounds.slots, bounds.base_latency);
        self.ramp = Ramp::new(bounds.slots, bounds.warmup, now);
    }

    /// Refuses new requests with `reason`, or accepts them again with `None`.
    ///
    /// Running and queued requests are not affected.
    pub fn close(&mut self, reason: Option<Refusal>) {
        self.closed = reason;
    }

    /// Restarts the warm-up, for a zone or VM that returns to service.
    pub fn restart_warmup(&mut self, now: Micros) {
        self.ramp.restart(now);
        self.limit.reset();
        self.cusum = 0.0;
        self.recovery = None;
    }

    /// Concurrent requests allowed at `now`.
    pub fn allowed(&self, now: Micros) -> u32 {
        let cap = self.bounds.slots.min(self.bounds.connections);
        self.limit.current().min(self.ramp.limit(now)).min(cap).max(1)
    }

    /// Assumes that the upstream is cold if several requests run for several times, or one for
    /// many times, the base latency.
    fn detect_stall(&mut self, now: Micros) {
        let warm = self.ramp.warm(now);
        if self.recovery.is_some() {
            return;
        }
        // An upstream known to be cold is expected to be slow and compared to its recent latency.
        let base = self.limit.base_latency().max(if warm { 0 } else { self.limit.latency(now) });
        let started = self.starts.iter().filter(|(_, at)| *at >= self.suspected_at);
        let ages = started.map(|(_, at)| now.saturating_sub(*at));
        let (several, single) = if warm {
            (STALL_FACTOR, SINGLE_STALL_FACTOR)
        } else {
            (WARMING_STALL_FACTOR, SINGLE_STALL_FACTOR)
        };
        let stalled_count = ages.clone().filter(|age| *age > several * base).count();
        let oldest = ages.max().unwrap_or(0);
        if stalled_count < STALLED_REQUESTS && oldest <= single * base {
            return;
        }
        if warm {
            self.suspect_cold(now);
        } else {
            self.ramp.restart(now);
            self.suspected_at = now;
        }
    }

    /// Restarts the ramp but keeps the learned limit, in case the upstream was only slow.
    fn suspect_cold(&mut self, now: Micros) {
        self.ramp.restart(now);
        self.cusum = 0.0;
        self.recovery = Some(RecoveryCheck::default());
        self.suspected_at = now;
    }

    /// Evaluates a request that started after the upstream was assumed to be cold.
    ///
    /// A cold upstream stays slow while it warms up; one that is as fast as before was not cold
    /// and gets all its slots back.
    fn check_recovery(&mut self, now: Micros, latency: Micros) {
        let base = self.limit.base_latency().max(1) as f64;
        let Some(recovery) = &mut self.recovery else { return };
        let ratio = latency as f64 / base;
        recovery.ratio +=
            (ratio - recovery.ratio) * if recovery.count == 0 { 1.0 } else { RECOVERY_GAIN };
        recovery.count += 1;
        // Later in the warm-up a cold upstream is nearly as fast as a warm one, but sustains
        // fewer concurrent requests.
        let early = now < self.suspected_at + self.bounds.warmup.duration / 2;
        let fast = recovery.count >= RECOVERY_ANSWERS && recovery.ratio < RECOVERY_RATIO;
        let recovered = early && fast;
        if recovered {
            self.ramp.finish();
        }
        if recovered || self.ramp.warm(now) {
            self.recovery = None;
        }
    }

    /// Number of requests running on the upstream.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Runs, queues or refuses a new request.
    ///
    /// ```
    /// use bbv_core::{gate::*, queue::{Class, PendingRequest}, ramp::Warmup};
    /// let warmup = Warmup { cold_slots: 1, duration: 1_000 };
    /// let bounds = Bounds { slots: 9, connections: 200, warmup, base_latency: 5_000 };
    /// let mut gate = Gate::new(bounds, 0);
    /// let request = PendingRequest {
    ///     id: 1, class: Class::Critical, owner: 0, share: 1.0, deadline: 90_000,
    /// };
    /// assert_eq!(gate.offer(0, request), GateDecision::Run);
    /// ```
    pub fn offer(&mut self, now: Micros, request: PendingRequest) -> GateDecision {
        if let Some(reason) = self.closed {
            return GateDecision::Refuse(reason);
        }
        self.detect_stall(now);
        let allowed = self.allowed(now);
        if self.running < allowed && self.queue.is_empty() {
            self.start(now, request.id, request.owner);
            return GateDecision::Run;
        }
        if let Some(reason) = self.refusal_for(now, allowed, &request) {
            return GateDecision::Refuse(reason);
        }
        self.queue.push(request);
        GateDecision::Wait
    }

    fn refusal_for(&self, now: Micros, allowed: u32, request: &PendingRequest) -> Option<Refusal> {
        let queue_limit = self.queue_limit(allowed, request.class);
        if self.queue.len() >= queue_limit {
            return Some(Refusal::Overload);
        }
        let owner_limit = (queue_limit as f64 * request.share).ceil() as usize;
        let running = self.owners.get(&request.owner).copied().unwrap_or(0);
        let over_share = f64::from(running) >= (f64::from(allowed) * request.share).max(1.0);
        if over_share && self.queue.count_owner(request.owner) >= owner_limit {
            return Some(Refusal::Overload);
        }
        let run_time = self.run_time(now);
        let wait = run_time * (self.queue.len() as u64 + 1) / u64::from(allowed.max(1));
        (now + wait + run_time > request.deadline).then_some(Refusal::Deadline)
    }

    /// Queue limit of `class`; the lowest class has the smallest and is refused first.
    fn queue_limit(&self, allowed: u32, class: Class) -> usize {
        let full = (allowed as usize).max(2);
        match class {
            Class::Critical => full,
            Class::Interactive => (full * 3).div_ceil(4),
            Class::Batch => full.div_ceil(3),
        }
    }

    fn run_time(&self, now: Micros) -> Micros {
        self.limit.latency(now)
    }

    fn start(&mut self, now: Micros, id: u64, owner: OwnerId) {
        self.running += 1;
        *self.owners.entry(owner).or_insert(0) += 1;
        self.starts.push((id, now));
    }

    /// Records that a running request ended.
    ///
    /// `instance` identifies the process of the upstream, if it reports one; a change means that
    /// it restarted and is cold.
    pub fn finish(
        &mut self,
        now: Micros,
        id: u64,
        owner: OwnerId,
        completion: Completion,
        instance: Option<u64>,
    ) {
        self.release(id, owner);
        let restarted = instance.is_some() && self.instance.is_some() && instance != self.instance;
        self.instance = instance.or(self.instance);
        if restarted {
            self.restart_warmup(now);
            return;
        }
        if now.saturating_sub(completion.latency) < self.suspected_at {
            // It started before the upstream was assumed to be cold.
            return;
        }
        if completion.success {
            self.ramp.record_success();
        }
        if completion.success && self.recovery.is_some() {
            self.check_recovery(now, completion.latency);
        }
        if !self.ramp.warm(now) {
            self.limit.record_warming(now, completion);
            return;
        }
        if self.detect_slowdown(&completion) {
            self.suspect_cold(now);
            return;
        }
        self.limit.record(now, completion);
    }

    /// Updates the cumulative sum (CUSUM) of latency relative to the base latency; returns whether
    /// it reached the threshold. Only latencies above `CUSUM_DRIFT` times the base raise it.
    fn detect_slowdown(&mut self, completion: &Completion) -> bool {
        let base = self.limit.base_latency();
        if !completion.success {
            return false;
        }
        let ratio = (completion.latency as f64 / base as f64).min(MAX_LATENCY_RATIO);
        self.cusum = (self.cusum + ratio - CUSUM_DRIFT).max(0.0);
        self.cusum >= CUSUM_THRESHOLD
    }

    /// Records that a running request was cancelled; its latency is not used.
    pub fn release(&mut self, id: u64, owner: OwnerId) {
        self.starts.retain(|(other, _)| *other != id);
        self.running = self.running.saturating_sub(1);
        if let Some(running) = self.owners.get_mut(&owner) {
            *running = running.saturating_sub(1);
        }
    }

    /// Records that the connection to the upstream broke, because it crashed or restarted.
    pub fn connection_lost(&mut self, now: Micros, id: u64, owner: OwnerId) {
        self.finish(now, id, owner, Completion { latency: 0, success: false }, None);
        self.restart_warmup(now);
    }

    /// Removes a queued request; returns whether it was queued.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.queue.cancel(id)
    }

    /// Appends the queued requests that can run now and those whose deadline has passed.
    pub fn poll(&mut self, now: Micros, dequeued: &mut Vec<GateDequeued>) {
        self.detect_stall(now);
        while let Some(request) = self.queue.expire(now) {
            dequeued.push(GateDequeued::Refuse(request.id, Refusal::Deadline));
        }
        while self.running < self.allowed(now) {
            let owners = &self.owners;
            let next = self.queue.pop(|owner| owners.get(&owner).copied().unwrap_or(0));
            let Some(request) = next else { break };
            self.start(now, request.id, request.owner);
            dequeued.push(GateDequeued::Run(request.id));
        }
    }

    /// Returns whether a request has run several times longer than the recent latency.
    pub fn stalled(&self, now: Micros) -> bool {
        let oldest = self.starts.first().map_or(0, |(_, at)| now.saturating_sub(*at));
        oldest > STALL_FACTOR * self.run_time(now)
    }

    /// Returns whether the warm-up is over.
    pub fn warm(&self, now: Micros) -> bool {
        self.ramp.warm(now)
    }

    /// Returns whether at least half of the recent answers were failures.
    pub fn failing(&self) -> bool {
        self.limit.failing()
    }

    /// Load that is reported to ingresses with each answer.
    pub fn load(&self, now: Micros) -> Load {
        let oldest = self.starts.first().map_or(0, |(_, at)| now.saturating_sub(*at));
        Load {
            running: self.running as u16,
            queued: self.queue.len() as u16,
            allowed: self.allowed(now) as u16,
            service_us: self.run_time(now).min(u64::from(u32::MAX)) as u32,
            oldest_us: oldest.min(u64::from(u32::MAX)) as u32,
            failing_pct: (self.limit.failure_rate() * 100.0) as u8,
            closed: self.closed.is_some(),
        }
    }
}
