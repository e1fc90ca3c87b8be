//! Simulates the callers of a trial. Calls arrive in an open loop with random gaps; callers reuse
//! tickets, retry calls and send poison requests.

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

/// XORed with the seed of a stream to seed its arrivals.
const ARRIVAL_SEED_MASK: u64 = 0x6172;
const MAX_SENDS: usize = 4;
const RETRY_DELAY: Micros = 50 * MS;
/// Time past the deadline of a call for which a caller waits for the outcome.
const DEADLINE_GRACE: Micros = 200 * MS;
const POISON_INTERVAL: Micros = 300 * MS;
const POISON_SENDS: usize = 10;

/// Callers of one stream.
pub struct SimulatedCallers {
    env: Arc<Environment>,
    stream: Stream,
    entry: Entry,
    spare_tickets: Mutex<Vec<Ticket>>,
    rng: Mutex<SmallRng>,
    seed: u64,
}

impl SimulatedCallers {
    /// Creates the callers of a stream whose catalogue entry is `entry`.
    pub fn new(env: &Arc<Environment>, stream: &Stream, entry: &Entry, seed: u64) -> Arc<Self> {
        Arc::new(SimulatedCallers {
            env: Arc::clone(env),
            stream: stream.clone(),
            entry: entry.clone(),
            spare_tickets: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            seed,
        })
    }

    /// Starts calls at random times until `until`.
    pub async fn run(self: Arc<Self>, until: Micros) {
        let timer = self.env.timer.clone();
        let capacity = self.env.plan.capacity(&self.entry.service);
        // Arrivals use a separate random number generator, so that they are the same under every
        // policy.
        let mut arrival_rng = SmallRng::seed_from_u64(self.seed ^ ARRIVAL_SEED_MASK);
        let mut arrival = timer.now() as f64;
        loop {
            let rate = capacity * self.stream.load * self.env.load_factor();
            let sample: f64 = arrival_rng.random();
            arrival += -(1.0 - sample).ln() / rate.max(0.001) * SEC as f64;
            if arrival as Micros >= until {
                return;
            }
            timer.sleep_until(arrival as Micros).await;
            let callers = Arc::clone(&self);
            tokio::spawn(async move { callers.call().await });
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

    fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.lock().random::<f64>() < probability
    }

    async fn call(self: Arc<Self>) {
        let duplicated = self.random_bool(self.stream.duplicates);
        if self.entry.idempotent {
            if duplicated {
                tokio::spawn(Arc::clone(&self).call_idempotent());
            }
            self.call_idempotent().await;
            return;
        }
        let start = self.env.timer.now();
        let id = self.env.next_call_id();
        let request = self.request(id, false);
        let ticket = self.acquire_ticket(&request).await;
        let caller_outcome = match (ticket, duplicated) {
            (None, _) => CallerOutcome::NotRun,
            (ticket, false) => self.send_operation(&request, ticket).await,
            (ticket, true) => {
                let duplicate = self.send_operation(&request, ticket);
                let (a, b) =
                    futures_util::future::join(self.send_operation(&request, ticket), duplicate)
                        .await;
                combine(a, b)
            }
        };
        self.record(id, start, caller_outcome);
    }

    fn record(&self, id: u64, start: Micros, caller_outcome: CallerOutcome) {
        let latency = self.env.timer.now() - start;
        let measured = self.env.is_measured(start);
        self.env.observer.record_outcome(id, &self.entry.name, caller_outcome, latency, measured);
    }

    /// Sends an idempotent call; each retry is a new request with its own id.
    async fn call_idempotent(self: Arc<Self>) {
        let start = self.env.timer.now();
        loop {
            let id = self.env.next_call_id();
            let outcome = self.send_once(&self.request(id, false), None).await;
            if self.random_bool(self.stream.answer_loss) {
                self.env.timer.sleep(RETRY_DELAY).await;
                continue;
            }
            let caller_outcome =
                outcome.map_or(CallerOutcome::Unknown, |outcome| self.classify(id, outcome.ending));
            return self.record(id, start, caller_outcome);
        }
    }

    /// Takes a spare ticket, or gets one by sending the call without a ticket.
    async fn acquire_ticket(&self, request: &CallerRequest) -> Option<Ticket> {
        let spare = self.spare_tickets.lock().pop();
        if spare.is_some() {
            return spare;
        }
        for _ in 0..MAX_SENDS {
            let outcome = self.send_once(request, None).await;
            if let Some(ticket) = outcome.and_then(|outcome| outcome.next_ticket) {
                return Some(ticket);
            }
        }
        None
    }

    /// Sends an operation until its outcome is known, at most [`MAX_SENDS`] times. Sends whose
    /// answer is lost are not counted.
    async fn send_operation(
        &self,
        request: &CallerRequest,
        ticket: Option<Ticket>,
    ) -> CallerOutcome {
        let id = request.path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let mut remaining = MAX_SENDS;
        while remaining > 0 {
            let outcome = self.send_once(request, ticket).await;
            if self.random_bool(self.stream.answer_loss) {
                self.env.timer.sleep(RETRY_DELAY).await;
                continue;
            }
            remaining -= 1;
            if let Some(outcome) = outcome {
                self.spare_tickets.lock().extend(outcome.next_ticket);
                match self.classify(id, outcome.ending) {
                    CallerOutcome::Unknown => {}
                    caller_outcome => return caller_outcome,
                }
            }
            self.env.timer.sleep(RETRY_DELAY).await;
        }
        CallerOutcome::Unknown
    }

    fn classify(&self, id: u64, ending: Ending) -> CallerOutcome {
        match ending {
            Ending::Answered(answer) => {
                let (success, failure) = (format!("call {id}"), format!("failed {id}"));
                if answer.body != success.as_bytes() && answer.body != failure.as_bytes() {
                    self.env.observer.update(|metrics| metrics.crossed_answers += 1);
                }
                if answer.status >= 500 { CallerOutcome::Failed } else { CallerOutcome::Answered }
            }
            Ending::NotRun(Refusal::TicketRequired) => CallerOutcome::Unknown,
            Ending::NotRun(_) => CallerOutcome::NotRun,
            Ending::Unknown(_) => CallerOutcome::Unknown,
        }
    }

    /// Sends a request through one node. Returns `None` if no outcome is received.
    async fn send_once(&self, request: &CallerRequest, ticket: Option<Ticket>) -> Option<Outcome> {
        let env = &self.env;
        let wait = self.entry.deadline_ms * MS + DEADLINE_GRACE;
        for _ in 0..MAX_SENDS {
            let member = {
                let mut rng = self.rng.lock();
                let preferred =
                    ticket.map(|ticket| ticket.owner.vm).filter(|_| rng.random::<f64>() < 0.8);
                env.choose_ingress(preferred, &mut rng)?
            };
            env.caller_delay().await;
            if !env.accepts_calls(&member) {
                env.caller_delay().await;
                continue;
            }
            member.node.timer().wait_while_frozen().await;
            let call = Call { request: request.clone(), ttl: None, ticket };
            let until = env.timer.now() + wait;
            let outcome = env.timer.timeout_at(until, member.node.call(call)).await;
            member.node.timer().wait_while_frozen().await;
            let exited = env.has_exited(&member);
            env.caller_delay().await;
            return outcome.filter(|_| !exited);
        }
        None
    }

    /// Sends the same request, which crashes upstreams, at a fixed interval.
    pub async fn send_poison(self: Arc<Self>) {
        let id = self.env.next_call_id();
        let request = self.request(id, true);
        let mut ticket = None;
        for _ in 0..POISON_SENDS {
            if !self.entry.idempotent && ticket.is_none() {
                ticket = self.acquire_ticket(&request).await;
            }
            self.send_once(&request, ticket).await;
            self.env.timer.sleep(POISON_INTERVAL).await;
        }
    }
}

/// Combines the outcomes of two copies of one operation; a refusal of either one takes precedence.
fn combine(a: CallerOutcome, b: CallerOutcome) -> CallerOutcome {
    if a == CallerOutcome::NotRun || b == CallerOutcome::NotRun {
        return CallerOutcome::NotRun;
    }
    if a == CallerOutcome::Answered { a } else { b }
}
