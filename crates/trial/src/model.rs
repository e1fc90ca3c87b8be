//! Model of an upstream: service times, slots, warm-up, slowdowns and crashes. Simulated trials
//! call it in virtual time, real nodes over HTTP.

use std::sync::Arc;

use bbv_core::catalogue::Service;
use bbv_core::units::{MS, Micros};
use bbv_node::ports::{UpstreamAnswer, UpstreamCall, UpstreamError};
use bbv_node::timer::Timer;
use bbv_wire::HeaderField;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, Semaphore};

use crate::observer::Observer;
use crate::plan::Pool;

/// Header that carries the call id.
pub const CALL_HEADER: &str = "x-call";
/// Header that marks an at-most-once call.
pub const ONCE_HEADER: &str = "x-once";
/// Header that marks a poison request, which crashes the upstream.
pub const CRASH_HEADER: &str = "x-crash";

const FAIL_FAST_DELAY: Micros = 100;
const RESTART_TIME: Micros = 500 * MS;
const COLD_SLOWDOWN: f64 = 5.0;

/// Grace period after the first request to an upstream that turned cold, in mean service times
/// of a cold upstream. The first response that shows its state can only arrive within it, so
/// requests above the cold limit aren't counted as overload before it ends.
const COLD_GRACE_RUNS: f64 = 3.0;

struct ModelState {
    rng: SmallRng,
    in_flight: u32,
    assigned: u32,
    slowdowns: Vec<(Micros, Micros, f64)>,
    fail_until: Micros,
    cold_since: Option<Micros>,
    cold_check_from: Micros,
    down_until: Micros,
    instance: u64,
    out_since: Option<Micros>,
}

/// A simulated upstream.
pub struct UpstreamModel {
    /// Number of the VM that it runs on.
    pub vm: u32,
    service: Service,
    pool: Pool,
    timer: Timer,
    observer: Arc<Observer>,
    slots: Semaphore,
    crashes: Notify,
    state: Mutex<ModelState>,
}

struct InFlightGuard<'a>(&'a UpstreamModel);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.in_flight -= 1;
        state.assigned = state.assigned.saturating_sub(1);
    }
}

impl UpstreamModel {
    /// Creates an upstream; if it is `cold`, its warm-up starts now.
    pub fn new(
        vm: u32,
        service: &Service,
        pool: &Pool,
        timer: &Timer,
        observer: &Arc<Observer>,
        seed: u64,
        cold: bool,
    ) -> Arc<Self> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instance = rng.random();
        let now = timer.now();
        Arc::new(UpstreamModel {
            vm,
            service: service.clone(),
            pool: pool.clone(),
            timer: timer.clone(),
            observer: Arc::clone(observer),
            slots: Semaphore::new(service.slots as usize),
            crashes: Notify::new(),
            state: Mutex::new(ModelState {
                rng,
                in_flight: 0,
                assigned: 0,
                slowdowns: Vec::new(),
                fail_until: 0,
                cold_since: cold.then_some(now),
                cold_check_from: now,
                down_until: 0,
                instance,
                out_since: None,
            }),
        })
    }

    /// Slows the upstream down by `factor` from `start` for `duration`.
    pub fn add_slowdown(&self, start: Micros, duration: Micros, factor: f64) {
        self.state.lock().slowdowns.push((start, start + duration, factor));
    }

    /// Answers every request with an error without delay until `until`.
    pub fn fail_fast(&self, until: Micros) {
        self.state.lock().fail_until = until;
    }

    /// Turns the upstream cold without a restart.
    pub fn turn_cold(&self) {
        let mut state = self.state.lock();
        let now = self.timer.now();
        state.cold_since = Some(now);
        // No gate can know its state before a request has run on it.
        state.cold_check_from = Micros::MAX;
    }

    /// Sets the time since which the zone of the upstream is out of service.
    pub fn set_out_since(&self, since: Option<Micros>) {
        self.state.lock().out_since = since;
    }

    /// Crashes the upstream: all requests are lost and it restarts cold.
    pub fn crash(&self) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        state.down_until = now + RESTART_TIME;
        state.cold_since = Some(now + RESTART_TIME);
        state.cold_check_from = now + RESTART_TIME;
        state.instance = state.rng.random();
        drop(state);
        self.crashes.notify_waiters();
    }

    /// Returns the number of requests that run or wait for a slot.
    pub fn in_flight(&self) -> u32 {
        self.state.lock().in_flight
    }

    /// Returns the number of requests that the oracle has assigned and that haven't ended.
    pub fn assigned(&self) -> u32 {
        self.state.lock().assigned
    }

    /// Counts a request that the oracle assigns to the upstream.
    pub fn assign(&self) {
        self.state.lock().assigned += 1;
    }

    /// Returns the current slowdown factor.
    pub fn slowdown(&self) -> f64 {
        let now = self.timer.now();
        let state = self.state.lock();
        let active = state.slowdowns.iter().filter(|(from, to, _)| *from <= now && now < *to);
        active.map(|(_, _, factor)| *factor).fold(1.0, f64::max)
    }

    /// Returns the completed share of the warm-up, from 0 to 1.
    fn warmup_progress(&self, state: &ModelState, now: Micros) -> f64 {
        let Some(since) = state.cold_since else { return 1.0 };
        let duration = (self.service.warmup_ms * MS).max(1) as f64;
        (now.saturating_sub(since) as f64 / duration).min(1.0)
    }

    fn cold_limit(&self, warmup_progress: f64) -> u32 {
        let (cold, slots) = (self.service.cold_slots as f64, self.service.slots as f64);
        (cold + (slots - cold) * warmup_progress) as u32
    }

    /// Returns the time at which a run of `duration` from `start` ends under `slowdowns`.
    fn run_end(slowdowns: &[(Micros, Micros, f64)], start: Micros, duration: Micros) -> Micros {
        let mut edges: Vec<Micros> = slowdowns.iter().flat_map(|(a, b, _)| [*a, *b]).collect();
        edges.sort_unstable();
        let (mut time, mut remaining) = (start, duration as f64);
        for edge in edges.into_iter().chain([Micros::MAX]) {
            if edge <= time {
                continue;
            }
            let active = slowdowns.iter().filter(|(a, b, _)| *a <= time && time < *b);
            let factor = active.map(|(_, _, factor)| *factor).fold(1.0, f64::max);
            let available = (edge - time) as f64 / factor;
            if remaining <= available {
                return time + (remaining * factor) as Micros;
            }
            remaining -= available;
            time = edge;
        }
        time
    }

    fn start_request(&self) -> Result<InFlightGuard<'_>, UpstreamError> {
        let now = self.timer.now();
        let mut state = self.state.lock();
        if now < state.down_until || u64::from(state.in_flight) >= self.service.connections {
            return Err(UpstreamError::Unsent);
        }
        state.in_flight += 1;
        let over_slots = u64::from(state.in_flight).saturating_sub(self.service.slots);
        if state.cold_check_from == Micros::MAX {
            state.cold_check_from =
                now + (self.pool.mean() * COLD_SLOWDOWN * COLD_GRACE_RUNS) as Micros;
        }
        let warmup_progress = self.warmup_progress(&state, now);
        let overload = warmup_progress < 1.0
            && state.in_flight > self.cold_limit(warmup_progress)
            && now >= state.cold_check_from;
        let late = state.out_since.map_or(0, |since| now.saturating_sub(since));
        drop(state);
        self.observer.update(|metrics| {
            metrics.over_slots = metrics.over_slots.max(over_slots);
            metrics.cold_overload += u64::from(overload);
            metrics.late_work = metrics.late_work.max(late);
        });
        Ok(InFlightGuard(self))
    }

    /// Draws the end of a run that starts now; returns it with the current time.
    fn draw_run_end(&self) -> (Micros, Micros) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let normal: f64 = standard_normal(&mut state.rng);
        let warmup_progress = self.warmup_progress(&state, now);
        let cold = 1.0 + (COLD_SLOWDOWN - 1.0) * (1.0 - warmup_progress);
        let cold_limit = f64::from(self.cold_limit(warmup_progress).max(1));
        // A cold upstream above its cold limit slows down all of its requests.
        let contention = (f64::from(state.in_flight) / cold_limit).max(1.0);
        let contention = if warmup_progress < 1.0 { contention * contention } else { 1.0 };
        let factor = (self.pool.sigma * normal).exp() * cold * contention;
        let duration = (self.pool.median as f64 * factor).max(1.0) as Micros;
        (Self::run_end(&state.slowdowns, now, duration), now)
    }

    /// Runs one request.
    pub async fn run(&self, call: UpstreamCall) -> Result<UpstreamAnswer, UpstreamError> {
        let _guard = self.start_request()?;
        let crashed = self.crashes.notified();
        let execute = self.execute(&call);
        tokio::select! {
            biased;
            () = crashed => Err(UpstreamError::Lost),
            answer = execute => answer,
        }
    }

    async fn execute(&self, call: &UpstreamCall) -> Result<UpstreamAnswer, UpstreamError> {
        let find = |name: &str| call.request.headers.iter().find(|field| field.name == name);
        let id = find(CALL_HEADER).and_then(|field| field.value.parse().ok()).unwrap_or(0);
        let fails_fast = self.timer.now() < self.state.lock().fail_until;
        if fails_fast {
            self.timer.sleep(FAIL_FAST_DELAY).await;
            return Ok(self.answer(503, format!("failed {id}")));
        }
        let _slot = self.slots.acquire().await.expect("the semaphore is never closed");
        self.observer.record_run(self.timer.now(), id, find(ONCE_HEADER).is_some());
        let (end, now) = self.draw_run_end();
        if find(CRASH_HEADER).is_some() {
            self.timer.sleep_until(now + (end - now) / 2).await;
            self.observer.update(|metrics| *metrics.poison_crashes.entry(id).or_default() += 1);
            self.crash();
            return Err(UpstreamError::Lost);
        }
        self.timer.sleep_until(end).await;
        Ok(self.answer(200, format!("call {id}")))
    }

    fn answer(&self, status: u16, body: String) -> UpstreamAnswer {
        let instance = self.state.lock().instance;
        let headers =
            vec![HeaderField { name: "content-type".to_owned(), value: "text/plain".to_owned() }];
        UpstreamAnswer { status, headers, body: body.into(), instance: Some(instance) }
    }
}

/// Draws from the standard normal distribution by the Box-Muller transform.
pub fn standard_normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
