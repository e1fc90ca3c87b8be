//! Admission to one upstream from exact local knowledge.

use std::collections::BTreeMap;

use crate::limit::{Finish, Limit};
use crate::load::Load;
use crate::outcome::Refusal;
use crate::queue::{Ask, Class, Owner, Queue};
use crate::ramp::{Ramp, Warmup};
use crate::units::Micros;

/// Limits of an upstream, from the catalogue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Concurrent requests.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Warm-up after a cold start.
    pub warmup: Warmup,
    /// Latency of an unloaded upstream, used before the first answer.
    pub usual: Micros,
}

/// Answer of the gate to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admit {
    /// Run it now.
    Run,
    /// Wait for [`Gate::poll`] to name it.
    Wait,
    /// It is not run.
    Refuse(Refusal),
}

/// Decision about a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Run it now.
    Run(u64),
    /// It is not run.
    Refuse(u64, Refusal),
}

/// Evidence on whether an upstream that got slow is cold.
#[derive(Clone, Copy, Debug, Default)]
struct Doubted {
    count: u32,
    ratio: f64,
}

/// Admission control of one upstream, through which all of its requests pass.
#[derive(Clone, Debug)]
pub struct Gate {
    bounds: Bounds,
    limit: Limit,
    ramp: Ramp,
    queue: Queue,
    running: u32,
    owners: BTreeMap<Owner, u32>,
    starts: Vec<(u64, Micros)>,
    slow_score: f64,
    doubt: Option<Doubted>,
    doubted_at: Micros,
    instance: Option<u64>,
    closed: Option<Refusal>,
}

const COLD_FACTOR: u64 = 4;
const DRIFT: f64 = 2.5;
const RATIO_MAX: f64 = 6.0;
const SLOW_SCORE: f64 = 8.0;
const STUCK: usize = 2;
const STUCK_FACTOR: u64 = 10;
const WARMING_FACTOR: u64 = 3;
const DOUBT_ANSWERS: u32 = 6;
const DOUBT_GAIN: f64 = 0.2;
const RECOVERED_RATIO: f64 = 1.25;

impl Gate {
    /// Creates the gate of an upstream that is taken to be cold at `now`.
    ///
    /// ```
    /// use bbv_core::{gate::{Bounds, Gate}, ramp::Warmup};
    /// let warmup = Warmup { cold_slots: 1, time: 1_000 };
    /// let gate = Gate::new(Bounds { slots: 9, connections: 200, warmup, usual: 5_000 }, 0);
    /// assert_eq!(gate.allowed(0), 1);
    /// ```
    pub fn new(bounds: Bounds, now: Micros) -> Self {
        Gate {
            limit: Limit::new(bounds.slots, bounds.usual),
            ramp: Ramp::new(bounds.slots, bounds.warmup, now),
            queue: Queue::default(),
            running: 0,
            owners: BTreeMap::new(),
            starts: Vec::new(),
            slow_score: 0.0,
            doubt: None,
            doubted_at: 0,
            instance: None,
            closed: None,
            bounds,
        }
    }

    /// Bounds in force.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Applies changed bounds from the catalogue; a larger bound is ramped up to.
    pub fn rebound(&mut self, bounds: Bounds, now: Micros) {
        if bounds == self.bounds {
            return;
        }
        self.bounds = bounds;
        self.limit = Limit::new(bounds.slots, bounds.usual);
        self.ramp = Ramp::new(bounds.slots, bounds.warmup, now);
    }

    /// Refuses new work with `reason`, or accepts it again with `None`.
    ///
    /// Requests already running or waiting are not affected.
    pub fn close(&mut self, reason: Option<Refusal>) {
        self.closed = reason;
    }

    /// Restarts the warm-up, for a zone or VM that returns to service.
    pub fn chill(&mut self, now: Micros) {
        self.ramp.chill(now);
        self.limit.reset();
        self.slow_score = 0.0;
        self.doubt = None;
    }

    /// Concurrent requests allowed at `now`.
    pub fn allowed(&self, now: Micros) -> u32 {
        let cap = self.bounds.slots.min(self.bounds.connections);
        self.limit.current().min(self.ramp.limit(now)).min(cap).max(1)
    }

    /// Takes the upstream to be cold when several requests run far too long.
    fn watch(&mut self, now: Micros) {
        let warm = self.ramp.warm(now);
        if self.doubt.is_some() {
            return;
        }
        // An upstream that is known to be cold is slow anyway.
        let base = self.limit.baseline().max(if warm { 0 } else { self.limit.latency(now) });
        let fresh = self.starts.iter().filter(|(_, at)| *at >= self.doubted_at);
        let ages = fresh.map(|(_, at)| now.saturating_sub(*at));
        let (several, single) =
            if warm { (COLD_FACTOR, STUCK_FACTOR) } else { (WARMING_FACTOR, STUCK_FACTOR) };
        let old = ages.clone().filter(|age| *age > several * base).count();
        let oldest = ages.max().unwrap_or(0);
        if old < STUCK && oldest <= single * base {
            return;
        }
        if warm {
            self.chill_by_latency(now);
        } else {
            self.ramp.chill(now);
            self.doubted_at = now;
        }
    }

    /// Starts the ramp again, but keeps what is known for the case that it was only slow.
    fn chill_by_latency(&mut self, now: Micros) {
        self.ramp.chill(now);
        self.slow_score = 0.0;
        self.doubt = Some(Doubted::default());
        self.doubted_at = now;
    }

    /// Learns from a request that started after the upstream was taken to be cold.
    ///
    /// A cold upstream stays slow while it warms up; one that is as fast as before was
    /// not cold and has its slots back.
    fn relearn(&mut self, now: Micros, latency: Micros) {
        let base = self.limit.baseline().max(1) as f64;
        let Some(doubt) = &mut self.doubt else { return };
        let ratio = latency as f64 / base;
        doubt.ratio += (ratio - doubt.ratio) * if doubt.count == 0 { 1.0 } else { DOUBT_GAIN };
        doubt.count += 1;
        // Later in the warm-up a cold upstream is nearly as fast as a warm one, but does
        // not sustain as many requests.
        let early = now < self.doubted_at + self.bounds.warmup.time / 2;
        let fast = doubt.count >= DOUBT_ANSWERS && doubt.ratio < RECOVERED_RATIO;
        let recovered = early && fast;
        if recovered {
            self.ramp.restore();
        }
        if recovered || self.ramp.warm(now) {
            self.doubt = None;
        }
    }

    /// Requests running on the upstream.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Decides about a new request.
    ///
    /// ```
    /// use bbv_core::{gate::*, queue::{Ask, Class}, ramp::Warmup};
    /// let warmup = Warmup { cold_slots: 1, time: 1_000 };
    /// let bounds = Bounds { slots: 9, connections: 200, warmup, usual: 5_000 };
    /// let mut gate = Gate::new(bounds, 0);
    /// let ask = Ask { id: 1, class: Class::Critical, owner: 0, share: 1.0, deadline: 90_000 };
    /// assert_eq!(gate.offer(0, ask), Admit::Run);
    /// ```
    pub fn offer(&mut self, now: Micros, ask: Ask) -> Admit {
        if let Some(reason) = self.closed {
            return Admit::Refuse(reason);
        }
        self.watch(now);
        let allowed = self.allowed(now);
        if self.running < allowed && self.queue.is_empty() {
            self.start(now, ask.id, ask.owner);
            return Admit::Run;
        }
        if let Some(reason) = self.no_room(now, allowed, &ask) {
            return Admit::Refuse(reason);
        }
        self.queue.push(ask);
        Admit::Wait
    }

    fn no_room(&self, now: Micros, allowed: u32, ask: &Ask) -> Option<Refusal> {
        let room = self.room(allowed, ask.class);
        if self.queue.len() >= room {
            return Some(Refusal::Overload);
        }
        let mine = (room as f64 * ask.share).ceil() as usize;
        let held = self.owners.get(&ask.owner).copied().unwrap_or(0);
        let over = f64::from(held) >= (f64::from(allowed) * ask.share).max(1.0);
        if over && self.queue.of_owner(ask.owner) >= mine {
            return Some(Refusal::Overload);
        }
        let service = self.service(now);
        let wait = service * (self.queue.len() as u64 + 1) / u64::from(allowed.max(1));
        (now + wait + service > ask.deadline).then_some(Refusal::Deadline)
    }

    /// Waiting places by class, so that the lowest class is refused first.
    fn room(&self, allowed: u32, class: Class) -> usize {
        let full = (allowed as usize).max(2);
        match class {
            Class::Critical => full,
            Class::Interactive => (full * 3).div_ceil(4),
            Class::Batch => full.div_ceil(3),
        }
    }

    fn service(&self, now: Micros) -> Micros {
        self.limit.latency(now)
    }

    fn start(&mut self, now: Micros, id: u64, owner: Owner) {
        self.running += 1;
        *self.owners.entry(owner).or_insert(0) += 1;
        self.starts.push((id, now));
    }

    /// Records that a running request ended.
    ///
    /// `instance` is the upstream's own name for its process, when it gives one; a
    /// change means that it restarted and is cold.
    pub fn finish(
        &mut self,
        now: Micros,
        id: u64,
        owner: Owner,
        finish: Finish,
        instance: Option<u64>,
    ) {
        self.release(id, owner);
        let restarted = instance.is_some() && self.instance.is_some() && instance != self.instance;
        self.instance = instance.or(self.instance);
        if restarted {
            self.chill(now);
            return;
        }
        if now.saturating_sub(finish.latency) < self.doubted_at {
            // It tells how the upstream was before it was taken to be cold.
            return;
        }
        if finish.good {
            self.ramp.succeed();
        }
        if finish.good && self.doubt.is_some() {
            self.relearn(now, finish.latency);
        }
        if !self.ramp.warm(now) {
            self.limit.finish_warming(now, finish);
            return;
        }
        if self.turned_cold(&finish) {
            self.chill_by_latency(now);
            return;
        }
        self.limit.finish(now, finish);
    }

    /// Sums up how far latencies lie above twice the usual one; tells when it is enough.
    fn turned_cold(&mut self, finish: &Finish) -> bool {
        let base = self.limit.baseline();
        if !finish.good {
            return false;
        }
        let ratio = (finish.latency as f64 / base as f64).min(RATIO_MAX);
        self.slow_score = (self.slow_score + ratio - DRIFT).max(0.0);
        self.slow_score >= SLOW_SCORE
    }

    /// Records that a running request was cancelled; nothing is learned from it.
    pub fn release(&mut self, id: u64, owner: Owner) {
        self.starts.retain(|(other, _)| *other != id);
        self.running = self.running.saturating_sub(1);
        if let Some(held) = self.owners.get_mut(&owner) {
            *held = held.saturating_sub(1);
        }
    }

    /// Records that the connection to the upstream broke: it crashed or restarted.
    pub fn lost(&mut self, now: Micros, id: u64, owner: Owner) {
        self.finish(now, id, owner, Finish { latency: 0, good: false }, None);
        self.chill(now);
    }

    /// Removes a request that still waits; returns whether it did.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.queue.cancel(id)
    }

    /// Appends the decisions that became due about waiting requests.
    pub fn poll(&mut self, now: Micros, steps: &mut Vec<Step>) {
        self.watch(now);
        while let Some(ask) = self.queue.expire(now) {
            steps.push(Step::Refuse(ask.id, Refusal::Deadline));
        }
        while self.running < self.allowed(now) {
            let owners = &self.owners;
            let next = self.queue.pop(|owner| owners.get(&owner).copied().unwrap_or(0));
            let Some(ask) = next else { break };
            self.start(now, ask.id, ask.owner);
            steps.push(Step::Run(ask.id));
        }
    }

    /// Tells whether a request has run far longer than usual.
    pub fn stalled(&self, now: Micros) -> bool {
        let oldest = self.starts.first().map_or(0, |(_, at)| now.saturating_sub(*at));
        oldest > COLD_FACTOR * self.service(now)
    }

    /// Tells whether the warm-up is over.
    pub fn warm(&self, now: Micros) -> bool {
        self.ramp.warm(now)
    }

    /// Tells whether the upstream mostly fails.
    pub fn failing(&self) -> bool {
        self.limit.failing()
    }

    /// Load as reported to ingresses with each answer.
    pub fn load(&self, now: Micros) -> Load {
        let oldest = self.starts.first().map_or(0, |(_, at)| now.saturating_sub(*at));
        Load {
            running: self.running as u16,
            queued: self.queue.len() as u16,
            allowed: self.allowed(now) as u16,
            service_us: self.service(now).min(u64::from(u32::MAX)) as u32,
            oldest_us: oldest.min(u64::from(u32::MAX)) as u32,
            failing_pct: (self.limit.failure_share() * 100.0) as u8,
            closed: self.closed.is_some(),
        }
    }
}
