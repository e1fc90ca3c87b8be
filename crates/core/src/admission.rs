//! Admission to an upstream that reports its load, its speed and whether it is cold.
//!
//! It answers three patterns of load: work that arrives faster than it can run (bounded
//! by time, ranked, refused at once when it cannot be answered in time), an upstream that
//! has just started (a rate over every sliding second), and an upstream that slows down
//! when nearly all of its slots are taken (a learned limit below its slots).

use crate::cold::Cold;
use crate::knee::Knee;
use crate::units::{MS, Micros};

/// A request that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Number that the caller of this module uses for the request.
    pub id: u64,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Time by which an answer is useless.
    pub deadline: Micros,
    /// Time until which an answer has its full worth.
    pub target: Micros,
    /// Time that it is expected to run on an upstream of usual speed.
    pub work: Micros,
}

/// Why a request is not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// It could not be answered before its deadline.
    Late,
    /// Too much work waits.
    Full,
    /// The upstream is cold and bears no further request now.
    Cold,
    /// The upstream is slow for a moment; the request ends sooner elsewhere or later.
    Slow,
    /// The upstream is leaving, out of service or unknown.
    Closed,
}

impl Reason {
    /// Name for messages, logs and metrics.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Reason::Full.name(), "full");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Reason::Late => "late",
            Reason::Full => "full",
            Reason::Cold => "cold",
            Reason::Slow => "slow",
            Reason::Closed => "closed",
        }
    }
}

/// Refusal with the time after which room is expected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// Time until room is expected.
    pub retry: Micros,
}

/// Decision about a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// Run it now.
    Run,
    /// Wait for [`Admission::poll`] to name it.
    Wait,
    /// It is not run.
    Refuse(Refused),
}

/// Decision about a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Run it now.
    Run(u64),
    /// It is not run.
    Refuse(u64, Refused),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    since: Micros,
    work: Micros,
    crowded: bool,
}

/// Share of the slots up to which an upstream is taken to run at its usual speed.
const ROOMY_SHARE: f64 = 0.8;
/// Gain of the mean time that a request runs.
const RUN_GAIN: f64 = 0.1;
/// Waiting requests per slot; a longer line is not served in time at any usual deadline.
const LINE_PER_SLOT: usize = 4;
/// Shortest time named to a caller that is to come back.
const RETRY_MIN: Micros = 20 * MS;

/// Admission control of one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: u32,
    foreign: u32,
    speed_pct: u32,
    closed: bool,
    cold: Cold,
    running: Vec<Running>,
    queue: Vec<Ask>,
    evicted: Vec<u64>,
    knee: Knee,
    mean_run: f64,
}

impl Admission {
    /// Creates the admission of an upstream of which nothing is known yet.
    ///
    /// ```
    /// let admission = bbv_core::admission::Admission::new(9);
    /// assert_eq!(admission.running(), 0);
    /// ```
    pub fn new(slots: u32) -> Self {
        Admission {
            slots,
            foreign: 0,
            speed_pct: 100,
            closed: false,
            cold: Cold::default(),
            running: Vec::new(),
            queue: Vec::new(),
            evicted: Vec::new(),
            knee: Knee::default(),
            mean_run: (50 * MS) as f64,
        }
    }

    /// Applies published limits.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).set_limits(6, 8.3);
    /// ```
    pub fn set_limits(&mut self, slots: u32, cold_rate: f64) {
        self.slots = slots.max(1);
        self.cold.set_rate(cold_rate);
    }

    /// Applies what the upstream says of itself: requests that run there in all, and how
    /// long work takes, in percent of usual.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).report(3, 500);
    /// ```
    pub fn report(&mut self, running: u32, speed_pct: u32) {
        self.foreign = running.saturating_sub(self.running.len() as u32);
        self.speed_pct = speed_pct.clamp(10, 10_000);
    }

    /// Sets the time until which the upstream is cold.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).set_cold(3_000_000);
    /// ```
    pub fn set_cold(&mut self, until: Micros) {
        self.cold.set_until(until);
    }

    /// Records that the gate has just started, so that requests that it does not know of may
    /// have begun on a cold upstream within the last second.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).restarted(0);
    /// ```
    pub fn restarted(&mut self, now: Micros) {
        self.cold.restarted(now);
    }

    /// Records for how long the upstream has been cold. If that is not longer than the gate
    /// has run, it has begun no request while cold that the gate does not know of.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).cold_for(5_000, 3_000);
    /// ```
    pub fn cold_for(&mut self, now: Micros, age: Micros) {
        self.cold.known_for(now, age);
    }

    /// Refuses new requests, or takes them again.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).close(true);
    /// ```
    pub fn close(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Whether new requests are refused.
    ///
    /// ```
    /// assert!(!bbv_core::admission::Admission::new(9).closed());
    /// ```
    pub fn closed(&self) -> bool {
        self.closed
    }

    /// Requests that run through this admission.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).running(), 0);
    /// ```
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Requests that wait.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).queued(), 0);
    /// ```
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Time that work takes now, in percent of usual.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).speed_pct(), 100);
    /// ```
    pub fn speed_pct(&self) -> u32 {
        self.speed_pct
    }

    /// Concurrent requests allowed now.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).limit(0), 9);
    /// ```
    pub fn limit(&self, now: Micros) -> u32 {
        let roomy = (f64::from(self.slots) * ROOMY_SHARE).floor() as u32;
        let limit = if self.knee.capped(now) { roomy } else { self.slots };
        limit.saturating_sub(self.foreign).max(1)
    }

    /// Whether the upstream is cold.
    ///
    /// ```
    /// assert!(!bbv_core::admission::Admission::new(9).cold(1));
    /// ```
    pub fn cold(&self, now: Micros) -> bool {
        self.cold.is_cold(now)
    }

    /// Expected time until a request behind `ahead` waiting ones starts.
    fn wait(&self, now: Micros, ahead: usize) -> Micros {
        let limit = self.limit(now) as usize;
        let busy = self.running.len();
        if busy + ahead < limit {
            return 0;
        }
        let behind = (busy + ahead + 1 - limit) as f64;
        let usual = self.mean_run * f64::from(self.speed_pct) / 100.0;
        // Requests that run longer than usual tell before they end that others will.
        let ages = self.running.iter().map(|run| now.saturating_sub(run.since) as f64);
        let run = usual.max(ages.sum::<f64>() / busy.max(1) as f64);
        (behind * run / limit as f64) as Micros
    }

    /// Time until a new request of the lowest rank would start.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).backlog(0), 0);
    /// ```
    pub fn backlog(&self, now: Micros) -> Micros {
        self.wait(now, self.queue.len())
    }

    fn run_time(&self, ask: &Ask) -> Micros {
        ask.work * u64::from(self.speed_pct) / 100
    }

    /// Decides about a new request.
    ///
    /// ```
    /// use bbv_core::admission::{Admission, Ask, Offer};
    /// let ask = Ask { id: 1, rank: 0, deadline: 90_000, target: 50_000, work: 10_000 };
    /// assert_eq!(Admission::new(9).offer(0, ask), Offer::Run);
    /// ```
    pub fn offer(&mut self, now: Micros, ask: Ask) -> Offer {
        if self.closed {
            return Offer::Refuse(Refused { reason: Reason::Closed, retry: RETRY_MIN });
        }
        let cold_wait = self.cold.wait(now);
        let ahead = self.queue.iter().filter(|other| other.rank <= ask.rank).count();
        let wait = self.wait(now, ahead).max(cold_wait);
        if now + wait + self.run_time(&ask) > ask.deadline {
            let reason = if cold_wait > 0 { Reason::Cold } else { Reason::Late };
            return Offer::Refuse(Refused { reason, retry: wait.max(RETRY_MIN) });
        }
        let room = self.running.len() < self.limit(now) as usize;
        if room && cold_wait == 0 && ahead == 0 {
            self.start(now, ask);
            return Offer::Run;
        }
        let full = self.queue.len() >= LINE_PER_SLOT * self.slots as usize;
        if full && !self.evict(ask.rank) {
            return Offer::Refuse(Refused { reason: Reason::Full, retry: wait.max(RETRY_MIN) });
        }
        self.queue.push(ask);
        Offer::Wait
    }

    /// Gives up the last of the waiting requests that rank below `rank`, if there is one.
    fn evict(&mut self, rank: u8) -> bool {
        let last = self.queue.iter().enumerate().max_by_key(|(_, ask)| (ask.rank, ask.deadline));
        let Some((at, _)) = last.filter(|(_, ask)| ask.rank > rank) else { return false };
        self.evicted.push(self.queue.swap_remove(at).id);
        true
    }

    fn start(&mut self, now: Micros, ask: Ask) {
        let roomy = (f64::from(self.slots) * ROOMY_SHARE).floor() as usize;
        let crowded = self.running.len() >= roomy;
        self.running.push(Running { id: ask.id, since: now, work: ask.work, crowded });
        self.cold.start(now);
    }

    /// Records that a request ended with an answer, and learns from it.
    ///
    /// `ran` is the time that it would have run at usual speed. An upstream runs a request to
    /// its end at the speed at which it began.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).finish(0, 1, 20_000);
    /// ```
    pub fn finish(&mut self, now: Micros, id: u64, ran: Micros) {
        let Some(run) = self.remove(id) else { return };
        let took = now.saturating_sub(run.since) as f64;
        let usual = took * 100.0 / f64::from(self.speed_pct);
        self.mean_run += (usual - self.mean_run) * RUN_GAIN;
        if run.work > 0 && !self.cold(now) {
            self.knee.learn(now, run.crowded, ran as f64 / run.work as f64);
        }
    }

    /// Records that a request ended without an answer, or forgets one that waits.
    ///
    /// ```
    /// bbv_core::admission::Admission::new(9).cancel(1);
    /// ```
    pub fn cancel(&mut self, id: u64) {
        self.remove(id);
        self.queue.retain(|ask| ask.id != id);
        self.evicted.retain(|evicted| *evicted != id);
    }

    fn remove(&mut self, id: u64) -> Option<Running> {
        let at = self.running.iter().position(|run| run.id == id)?;
        Some(self.running.swap_remove(at))
    }

    /// Appends the decisions that became due about waiting requests.
    ///
    /// ```
    /// let mut steps = Vec::new();
    /// bbv_core::admission::Admission::new(9).poll(0, &mut steps);
    /// assert!(steps.is_empty());
    /// ```
    pub fn poll(&mut self, now: Micros, steps: &mut Vec<Step>) {
        self.refuse_waiting(now, steps);
        while self.running.len() < self.limit(now) as usize && self.cold.wait(now) == 0 {
            let Some(at) = self.next(now) else { break };
            let ask = self.queue.swap_remove(at);
            self.start(now, ask);
            steps.push(Step::Run(ask.id));
        }
    }

    fn refuse_waiting(&mut self, now: Micros, steps: &mut Vec<Step>) {
        let (closed, speed) = (self.closed, u64::from(self.speed_pct));
        let retry = self.backlog(now).max(RETRY_MIN);
        let full = Refused { reason: Reason::Full, retry };
        steps.extend(self.evicted.drain(..).map(|id| Step::Refuse(id, full)));
        self.queue.retain(|ask| {
            let late = now + ask.work * speed / 100 > ask.deadline;
            if closed || late {
                let reason = if closed { Reason::Closed } else { Reason::Late };
                steps.push(Step::Refuse(ask.id, Refused { reason, retry }));
            }
            !(closed || late)
        });
    }

    /// The waiting request to run next: by rank; within it those that can still be
    /// answered with full worth first; among these the earliest deadline.
    fn next(&self, now: Micros) -> Option<usize> {
        let key = |ask: &Ask| (ask.rank, now + self.run_time(ask) > ask.target, ask.deadline);
        let best = self.queue.iter().enumerate().min_by_key(|(_, ask)| key(ask));
        best.map(|(at, _)| at)
    }

    /// Time at which [`Admission::poll`] has something to decide without any event.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::Admission::new(9).due(5), None);
    /// ```
    pub fn due(&mut self, now: Micros) -> Option<Micros> {
        let deadline =
            self.queue.iter().map(|ask| ask.deadline - self.run_time(ask).min(ask.deadline));
        let deadline = deadline.min()?;
        let cold = self.cold.wait(now);
        let cold = if cold > 0 { now + cold } else { Micros::MAX };
        Some(deadline.min(cold).max(now + MS))
    }
}
