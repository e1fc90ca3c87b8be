//! Model of an upstream, used in virtual time and behind HTTP.

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

/// Header that names the call.
pub const CALL: &str = "x-call";
/// Header that marks a call that must run at most once.
pub const ONCE: &str = "x-once";
/// Header that marks a request that crashes the upstream.
pub const CRASH: &str = "x-crash";

const FAIL_FAST: Micros = 100;
const RESTART: Micros = 500 * MS;
const COLD_SLOWDOWN: f64 = 5.0;

/// Mean service times of a cold upstream after its first start as such, within which
/// the first sign of its state can have come back.
const COLD_GRACE: f64 = 3.0;

struct Body {
    rng: SmallRng,
    running: u32,
    assigned: u32,
    slow: Vec<(Micros, Micros, f64)>,
    fail_until: Micros,
    cold_at: Option<Micros>,
    judged_from: Micros,
    down_until: Micros,
    instance: u64,
    out_since: Option<Micros>,
}

/// One upstream.
pub struct Model {
    /// Number of its VM.
    pub vm: u32,
    service: Service,
    pool: Pool,
    timer: Timer,
    observer: Arc<Observer>,
    slots: Semaphore,
    crashes: Notify,
    body: Mutex<Body>,
}

struct Inflight<'a>(&'a Model);

impl Drop for Inflight<'_> {
    fn drop(&mut self) {
        let mut body = self.0.body.lock();
        body.running -= 1;
        body.assigned = body.assigned.saturating_sub(1);
    }
}

impl Model {
    /// Creates an upstream; a cold one began at the timer's present time.
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
        Arc::new(Model {
            vm,
            service: service.clone(),
            pool: pool.clone(),
            timer: timer.clone(),
            observer: Arc::clone(observer),
            slots: Semaphore::new(service.slots as usize),
            crashes: Notify::new(),
            body: Mutex::new(Body {
                rng,
                running: 0,
                assigned: 0,
                slow: Vec::new(),
                fail_until: 0,
                cold_at: cold.then_some(now),
                judged_from: now,
                down_until: 0,
                instance,
                out_since: None,
            }),
        })
    }

    /// Runs slower by `factor` from `at` for `span`.
    pub fn slow(&self, at: Micros, span: Micros, factor: f64) {
        self.body.lock().slow.push((at, at + span, factor));
    }

    /// Fails every request at once until `until`.
    pub fn fail_fast(&self, until: Micros) {
        self.body.lock().fail_until = until;
    }

    /// Turns cold without a restart.
    pub fn chill(&self) {
        let mut body = self.body.lock();
        let now = self.timer.now();
        body.cold_at = Some(now);
        // Nothing can tell its state before something has run on it.
        body.judged_from = Micros::MAX;
    }

    /// Sets since when its zone is out of service.
    pub fn set_out(&self, since: Option<Micros>) {
        self.body.lock().out_since = since;
    }

    /// Crashes: everything that runs is lost, and it starts again cold.
    pub fn crash(&self) {
        let now = self.timer.now();
        let mut body = self.body.lock();
        body.down_until = now + RESTART;
        body.cold_at = Some(now + RESTART);
        body.judged_from = now + RESTART;
        body.instance = body.rng.random();
        drop(body);
        self.crashes.notify_waiters();
    }

    /// Requests that run or wait.
    pub fn running(&self) -> u32 {
        self.body.lock().running
    }

    /// Requests that the oracle has sent here and that have not ended.
    pub fn assigned(&self) -> u32 {
        self.body.lock().assigned
    }

    /// Counts a request that the oracle sends here.
    pub fn assign(&self) {
        self.body.lock().assigned += 1;
    }

    /// Factor by which it is slow now.
    pub fn slowness(&self) -> f64 {
        let now = self.timer.now();
        let body = self.body.lock();
        let slow = body.slow.iter().filter(|(from, to, _)| *from <= now && now < *to);
        slow.map(|(_, _, factor)| *factor).fold(1.0, f64::max)
    }

    /// Part of its warm-up that is over, from 0 to 1.
    fn warmth(&self, body: &Body, now: Micros) -> f64 {
        let Some(since) = body.cold_at else { return 1.0 };
        let span = (self.service.warmup_ms * MS).max(1) as f64;
        (now.saturating_sub(since) as f64 / span).min(1.0)
    }

    fn cold_limit(&self, warmth: f64) -> u32 {
        let (cold, slots) = (self.service.cold_slots as f64, self.service.slots as f64);
        (cold + (slots - cold) * warmth) as u32
    }

    /// Time at which work of `span` that starts at `from` ends.
    fn end(slow: &[(Micros, Micros, f64)], from: Micros, span: Micros) -> Micros {
        let mut edges: Vec<Micros> = slow.iter().flat_map(|(a, b, _)| [*a, *b]).collect();
        edges.sort_unstable();
        let (mut at, mut left) = (from, span as f64);
        for edge in edges.into_iter().chain([Micros::MAX]) {
            if edge <= at {
                continue;
            }
            let here = slow.iter().filter(|(a, b, _)| *a <= at && at < *b);
            let factor = here.map(|(_, _, factor)| *factor).fold(1.0, f64::max);
            let room = (edge - at) as f64 / factor;
            if left <= room {
                return at + (left * factor) as Micros;
            }
            left -= room;
            at = edge;
        }
        at
    }

    fn enter(&self) -> Result<Inflight<'_>, UpstreamError> {
        let now = self.timer.now();
        let mut body = self.body.lock();
        if now < body.down_until || u64::from(body.running) >= self.service.connections {
            return Err(UpstreamError::Unsent);
        }
        body.running += 1;
        let over = u64::from(body.running).saturating_sub(self.service.slots);
        if body.judged_from == Micros::MAX {
            body.judged_from = now + (self.pool.mean() * COLD_SLOWDOWN * COLD_GRACE) as Micros;
        }
        let warmth = self.warmth(&body, now);
        let overload =
            warmth < 1.0 && body.running > self.cold_limit(warmth) && now >= body.judged_from;
        let late = body.out_since.map_or(0, |since| now.saturating_sub(since));
        drop(body);
        self.observer.note(|facts| {
            facts.over_cap = facts.over_cap.max(over);
            facts.cold_overload += u64::from(overload);
            facts.late_out = facts.late_out.max(late);
        });
        Ok(Inflight(self))
    }

    /// Duration of one run that begins now.
    fn draw(&self) -> (Micros, Micros) {
        let now = self.timer.now();
        let mut body = self.body.lock();
        let normal: f64 = standard_normal(&mut body.rng);
        let warmth = self.warmth(&body, now);
        let cold = 1.0 + (COLD_SLOWDOWN - 1.0) * (1.0 - warmth);
        let cold_limit = f64::from(self.cold_limit(warmth).max(1));
        // An upstream above its cold limit gets slower for everyone.
        let pressed = (f64::from(body.running) / cold_limit).max(1.0);
        let pressed = if warmth < 1.0 { pressed * pressed } else { 1.0 };
        let factor = (self.pool.sigma * normal).exp() * cold * pressed;
        let span = (self.pool.median as f64 * factor).max(1.0) as Micros;
        (Self::end(&body.slow, now, span), now)
    }

    /// Runs one request.
    pub async fn run(&self, call: UpstreamCall) -> Result<UpstreamAnswer, UpstreamError> {
        let _inflight = self.enter()?;
        let crashed = self.crashes.notified();
        let work = self.work(&call);
        tokio::select! {
            biased;
            () = crashed => Err(UpstreamError::Lost),
            answer = work => answer,
        }
    }

    async fn work(&self, call: &UpstreamCall) -> Result<UpstreamAnswer, UpstreamError> {
        let find = |name: &str| call.request.headers.iter().find(|field| field.name == name);
        let id = find(CALL).and_then(|field| field.value.parse().ok()).unwrap_or(0);
        let failing = self.timer.now() < self.body.lock().fail_until;
        if failing {
            self.timer.sleep(FAIL_FAST).await;
            return Ok(self.answer(503, format!("failed {id}")));
        }
        let _slot = self.slots.acquire().await.expect("the semaphore is never closed");
        self.observer.ran(self.timer.now(), id, find(ONCE).is_some());
        let (end, now) = self.draw();
        if find(CRASH).is_some() {
            self.timer.sleep_until(now + (end - now) / 2).await;
            self.observer.note(|facts| *facts.poison_crashes.entry(id).or_default() += 1);
            self.crash();
            return Err(UpstreamError::Lost);
        }
        self.timer.sleep_until(end).await;
        Ok(self.answer(200, format!("call {id}")))
    }

    fn answer(&self, status: u16, body: String) -> UpstreamAnswer {
        let instance = self.body.lock().instance;
        let headers =
            vec![HeaderField { name: "content-type".to_owned(), value: "text/plain".to_owned() }];
        UpstreamAnswer { status, headers, body: body.into(), instance: Some(instance) }
    }
}

/// Normal deviate by the method of Box and Muller.
pub fn standard_normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
