//! Callers of a trial: open arrivals, tickets, resends and poison requests.

use std::sync::Arc;

use bbv_core::catalogue::Entry;
use bbv_core::outcome::Refusal;
use bbv_core::ticket::Ticket;
use bbv_core::units::{MS, Micros, SEC};
use bbv_node::caller_api::fingerprint;
use bbv_node::outcome::{Call, Ending, Outcome};
use bbv_wire::{CallerRequest, HeaderField};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::environment::Environment;
use crate::model::{CALL_HEADER, CRASH_HEADER, ONCE_HEADER};
use crate::observer::CallerOutcome;
use crate::plan::Stream;

const ARRIVALS: u64 = 0x6172;
const RESENDS: usize = 4;
const RESEND_AFTER: Micros = 50 * MS;
const CALLER_GRACE: Micros = 200 * MS;
const POISON_EVERY: Micros = 300 * MS;
const POISON_RESENDS: usize = 10;

/// Calls of one stream.
pub struct Source {
    scene: Arc<Environment>,
    stream: Stream,
    entry: Entry,
    spare: Mutex<Vec<Ticket>>,
    rng: Mutex<SmallRng>,
    seed: u64,
}

impl Source {
    /// Creates the calls of a stream; the entry is in the catalogue.
    pub fn new(scene: &Arc<Environment>, stream: &Stream, entry: &Entry, seed: u64) -> Arc<Self> {
        Arc::new(Source {
            scene: Arc::clone(scene),
            stream: stream.clone(),
            entry: entry.clone(),
            spare: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            seed,
        })
    }

    /// Offers calls until `until`.
    pub async fn offer(self: Arc<Self>, until: Micros) {
        let timer = self.scene.timer.clone();
        let capacity = self.scene.plan.capacity(&self.entry.service);
        // Arrivals have random numbers of their own, so that they are the same for every
        // policy.
        let mut arrivals = SmallRng::seed_from_u64(self.seed ^ ARRIVALS);
        let mut at = timer.now() as f64;
        loop {
            let rate = capacity * self.stream.load * self.scene.load_factor();
            let uniform: f64 = arrivals.random();
            at += -(1.0 - uniform).ln() / rate.max(0.001) * SEC as f64;
            if at as Micros >= until {
                return;
            }
            timer.sleep_until(at as Micros).await;
            let source = Arc::clone(&self);
            tokio::spawn(async move { source.call().await });
        }
    }

    fn request(&self, id: u64, crash: bool) -> CallerRequest {
        let path = format!("/{}/{id}", self.entry.name);
        let field = |name: &str, value: String| HeaderField { name: name.to_owned(), value };
        let mut headers = vec![field(CALL_HEADER, id.to_string())];
        if !self.entry.idempotent {
            headers.push(field(ONCE_HEADER, "1".to_owned()));
        }
        if crash {
            headers.push(field(CRASH_HEADER, "1".to_owned()));
        }
        CallerRequest {
            entry: self.entry.name.clone(),
            method: "POST".to_owned(),
            fingerprint: fingerprint("POST", &path, b""),
            path,
            headers,
            body: bytes::Bytes::new(),
        }
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.rng.lock().random::<f64>() < share
    }

    async fn call(self: Arc<Self>) {
        let twice = self.chance(self.stream.duplicates);
        if self.entry.idempotent {
            if twice {
                tokio::spawn(Arc::clone(&self).look_up());
            }
            self.look_up().await;
            return;
        }
        let start = self.scene.timer.now();
        let id = self.scene.next_call_id();
        let request = self.request(id, false);
        let ticket = self.ticket(&request).await;
        let seen = match (ticket, twice) {
            (None, _) => CallerOutcome::NotRun,
            (ticket, false) => self.send(&request, ticket).await,
            (ticket, true) => {
                let copy = self.send(&request, ticket);
                let (a, b) = futures_util::future::join(self.send(&request, ticket), copy).await;
                worst(a, b)
            }
        };
        self.ended(id, start, seen);
    }

    fn ended(&self, id: u64, start: Micros, seen: CallerOutcome) {
        let latency = self.scene.timer.now() - start;
        let measured = self.scene.is_measured(start);
        self.scene.observer.record_outcome(id, &self.entry.name, seen, latency, measured);
    }

    /// Sends an idempotent call; each resend is a request of its own.
    async fn look_up(self: Arc<Self>) {
        let start = self.scene.timer.now();
        loop {
            let id = self.scene.next_call_id();
            let outcome = self.once(&self.request(id, false), None).await;
            if self.chance(self.stream.answer_loss) {
                self.scene.timer.sleep(RESEND_AFTER).await;
                continue;
            }
            let seen =
                outcome.map_or(CallerOutcome::Unknown, |outcome| self.judge(id, outcome.ending));
            return self.ended(id, start, seen);
        }
    }

    /// Takes a spare ticket, or asks for one by sending the call without.
    async fn ticket(&self, request: &CallerRequest) -> Option<Ticket> {
        let spare = self.spare.lock().pop();
        if spare.is_some() {
            return spare;
        }
        for _ in 0..RESENDS {
            let outcome = self.once(request, None).await;
            if let Some(ticket) = outcome.and_then(|outcome| outcome.next_ticket) {
                return Some(ticket);
            }
        }
        None
    }

    /// Sends an operation until its outcome is certain or the resends are used up.
    async fn send(&self, request: &CallerRequest, ticket: Option<Ticket>) -> CallerOutcome {
        let id = request.path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let mut sends = RESENDS;
        while sends > 0 {
            let outcome = self.once(request, ticket).await;
            if self.chance(self.stream.answer_loss) {
                self.scene.timer.sleep(RESEND_AFTER).await;
                continue;
            }
            sends -= 1;
            if let Some(outcome) = outcome {
                self.spare.lock().extend(outcome.next_ticket);
                match self.judge(id, outcome.ending) {
                    CallerOutcome::Unknown => {}
                    seen => return seen,
                }
            }
            self.scene.timer.sleep(RESEND_AFTER).await;
        }
        CallerOutcome::Unknown
    }

    fn judge(&self, id: u64, ending: Ending) -> CallerOutcome {
        match ending {
            Ending::Answered(answer) => {
                let (good, failed) = (format!("call {id}"), format!("failed {id}"));
                if answer.body != good.as_bytes() && answer.body != failed.as_bytes() {
                    self.scene.observer.update(|metrics| metrics.crossed_answers += 1);
                }
                if answer.status >= 500 { CallerOutcome::Failed } else { CallerOutcome::Answered }
            }
            Ending::NotRun(Refusal::TicketRequired) => CallerOutcome::Unknown,
            Ending::NotRun(_) => CallerOutcome::NotRun,
            Ending::Unknown(_) => CallerOutcome::Unknown,
        }
    }

    /// Sends a request through one node; none when no outcome came back.
    async fn once(&self, request: &CallerRequest, ticket: Option<Ticket>) -> Option<Outcome> {
        let scene = &self.scene;
        let limit = self.entry.deadline_ms * MS + CALLER_GRACE;
        for _ in 0..RESENDS {
            let member = {
                let mut rng = self.rng.lock();
                let home =
                    ticket.map(|ticket| ticket.owner.vm).filter(|_| rng.random::<f64>() < 0.8);
                scene.choose_ingress(home, &mut rng)?
            };
            scene.caller_delay().await;
            if !scene.accepts_calls(&member) {
                scene.caller_delay().await;
                continue;
            }
            member.node.timer().wait_while_frozen().await;
            let call = Call { request: request.clone(), ttl: None, ticket };
            let until = scene.timer.now() + limit;
            let outcome = scene.timer.timeout_at(until, member.node.call(call)).await;
            member.node.timer().wait_while_frozen().await;
            let died = scene.has_exited(&member);
            scene.caller_delay().await;
            return outcome.filter(|_| !died);
        }
        None
    }

    /// Sends one request that crashes upstreams, again and again.
    pub async fn poison(self: Arc<Self>) {
        let id = self.scene.next_call_id();
        let request = self.request(id, true);
        let mut ticket = None;
        for _ in 0..POISON_RESENDS {
            if !self.entry.idempotent && ticket.is_none() {
                ticket = self.ticket(&request).await;
            }
            self.once(&request, ticket).await;
            self.scene.timer.sleep(POISON_EVERY).await;
        }
    }
}

/// What two copies of one operation tell together; a refusal of either one stands.
fn worst(a: CallerOutcome, b: CallerOutcome) -> CallerOutcome {
    if a == CallerOutcome::NotRun || b == CallerOutcome::NotRun {
        return CallerOutcome::NotRun;
    }
    if a == CallerOutcome::Answered { a } else { b }
}
