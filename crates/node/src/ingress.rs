//! Ingress side: sends a caller's request to an upstream and returns the outcome.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bbv_core::catalogue::Entry;
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::poison::{self, Suspicion};
use bbv_core::reconciliation::{Mark, Side};
use bbv_core::units::{MS, Micros};
use bbv_wire::{Ask, Attempt, Operate, Reply, Request};
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;

use crate::admission::mark_of;
use crate::node::Node;
use crate::outcome::{Call, Ending, Outcome};
use crate::ports::LinkError;

const STALE_WAIT: Micros = 5 * MS;
const AVOID_REFUSING: Micros = 5 * MS;

/// Bookkeeping of one attempt; writes the ingress row, also when the attempt is dropped.
struct Sending {
    node: Arc<Node>,
    id: AttemptId,
    gate: NodeId,
    service: String,
    entry: String,
    mark: Mark,
}

impl Drop for Sending {
    fn drop(&mut self) {
        {
            let mut state = self.node.lock();
            let steer = state.steers.get_mut(&self.service);
            if let Some(target) = steer.and_then(|steer| steer.target_mut(self.gate.vm)) {
                target.load.end_attempt(self.id.serial);
            }
        }
        self.node.write_row(Side::Ingress, self.id, Some(self.gate), &self.entry, self.mark);
    }
}

/// Counts a call as open until it ends or its caller goes away.
struct Open(Arc<Node>);

impl Open {
    fn new(node: &Arc<Node>) -> Self {
        node.open_calls.fetch_add(1, Ordering::Relaxed);
        Open(Arc::clone(node))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Result of one attempt.
pub(crate) struct Tried {
    pub id: AttemptId,
    pub reply: Result<Reply, LinkError>,
}

impl Node {
    /// Handles a caller's call to its end.
    pub async fn call(self: &Arc<Self>, call: Call) -> Outcome {
        let now = self.now();
        self.check_pause(now);
        self.metrics.calls.inc();
        let _open = Open::new(self);
        let outcome = match call.ticket {
            // Only the owner of a ticket may say that its operation is not run.
            Some(ticket) => {
                let ttl = self.ttl(&call);
                self.call_owner(Operate { ticket, ttl, request: call.request }).await
            }
            None => self.call_plain(call).await,
        };
        self.metrics.outcome(&outcome.ending);
        self.metrics.added(self.now().saturating_sub(now));
        outcome
    }

    fn ttl(&self, call: &Call) -> Micros {
        let state = self.lock();
        let entry = state.catalogue.entries.get(&call.request.entry);
        let limit = entry.map_or(1_000, |entry| entry.deadline_ms) * MS;
        call.ttl.map_or(limit, |ttl| ttl.min(limit))
    }

    async fn call_plain(self: &Arc<Self>, call: Call) -> Outcome {
        let deadline = self.now() + self.ttl(&call);
        if !self.wait_serving(deadline).await {
            return Outcome::bare(Ending::NotRun(Refusal::Stale));
        }
        let entry = match self.check(&call.request) {
            Ok(entry) => entry,
            Err(refusal) => return Outcome::bare(Ending::NotRun(refusal)),
        };
        if !entry.idempotent {
            let spare = self.mint();
            let refusal =
                if spare.is_some() { Refusal::TicketRequired } else { Refusal::TableFull };
            return Outcome { ending: Ending::NotRun(refusal), attempt: None, spare };
        }
        self.race(&entry, call.request, deadline).await
    }

    /// Waits until what the node knows is not stale.
    pub(crate) async fn wait_serving(self: &Arc<Self>, deadline: Micros) -> bool {
        loop {
            let name = self.lock().phase_name().to_owned();
            if matches!(name.as_str(), "serving" | "draining") {
                return true;
            }
            if self.now() + STALE_WAIT > deadline {
                return false;
            }
            self.timer.sleep(STALE_WAIT).await;
        }
    }

    /// Checks a request against its entry.
    pub(crate) fn check(&self, request: &Request) -> Result<Entry, Refusal> {
        let state = self.lock();
        let entry = state.catalogue.entries.get(&request.entry).ok_or(Refusal::UnknownEntry)?;
        if request.body.len() as u64 > entry.body_limit_kb * 1_024 {
            return Err(Refusal::BodyTooLarge);
        }
        if !state.catalogue.services.contains_key(&entry.service) {
            return Err(Refusal::NoUpstream);
        }
        Ok(entry.clone())
    }

    /// Picks a target for a further attempt.
    pub(crate) fn pick(&self, entry: &Entry, print: u64, tried: &[Vm]) -> Option<Vm> {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        if let Some(pick) = &self.options.baseline {
            let vms = state.vms_of(&entry.service);
            return pick(&entry.service, tried, &vms, &mut state.rng);
        }
        if state.suspects.suspicion(now, print) == Suspicion::Suspect {
            let crashed = state.suspects.crashes(print)[0].vm;
            let vms = state.vms_of(&entry.service);
            return poison::retry_vm(print, &vms, crashed).filter(|vm| !tried.contains(vm));
        }
        state.ensure_steer(now, &entry.service);
        let steer = state.steers.get(&entry.service)?;
        steer.pick(now, tried, &mut state.rng)
    }

    /// Sends one attempt and records it.
    pub(crate) fn attempt(
        self: &Arc<Self>,
        entry: &Entry,
        request: &Request,
        vm: Vm,
        once: bool,
        deadline: Micros,
    ) -> (AttemptId, NodeId, BoxFuture<'static, Tried>) {
        let now = self.now();
        let mut state = self.lock();
        let serial = state.tally.next_serial();
        let id = AttemptId { node: state.me, serial };
        let known = if vm == state.me.vm {
            Some(state.me.incarnation)
        } else {
            state.fleet.member(vm).and_then(|member| member.incarnation)
        };
        let gate = NodeId { vm, incarnation: known.unwrap_or_default() };
        if let Some(target) =
            state.steers.get_mut(&entry.service).and_then(|steer| steer.target_mut(vm))
        {
            target.load.start_attempt(now, serial);
        }
        drop(state);
        let mut sending = Sending {
            node: Arc::clone(self),
            id,
            gate,
            service: entry.service.clone(),
            entry: entry.name.clone(),
            mark: Mark::Cancelled,
        };
        let once = once.then_some(gate.incarnation);
        let ttl = deadline.saturating_sub(now);
        let attempt = Attempt { id, once, ttl, request: request.clone() };
        let node = Arc::clone(self);
        let future = Box::pin(async move {
            let reply = node.deliver(vm, attempt).await;
            sending.mark = reply.as_ref().map_or(Mark::Unknown, mark_of);
            node.judge(&sending.service, vm, &reply);
            Tried { id, reply }
        });
        (id, gate, future)
    }

    async fn deliver(self: &Arc<Self>, vm: Vm, attempt: Attempt) -> Result<Reply, LinkError> {
        let id = attempt.id;
        let reply = if vm == self.options.vm {
            let reply = self.admit(attempt).await;
            self.learn_local();
            reply
        } else {
            self.ask(vm, Ask::Attempt(attempt)).await?
        };
        match &reply {
            // An answer to another attempt is never passed on.
            Reply::Answer(answer) if answer.attempt != id => {
                self.metrics.crossed.inc();
                Err(LinkError::Lost(format!("answer to {} in place of {id}", answer.attempt)))
            }
            _ => Ok(reply),
        }
    }

    fn learn_local(&self) {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        let load = state.gate.load(now);
        if let Some(steer) = state.steers.get_mut(&state.service) {
            steer.record_sample(now, state.me.vm, load);
        }
    }

    /// Learns whether the target fails or refuses.
    fn judge(&self, service: &str, vm: Vm, reply: &Result<Reply, LinkError>) {
        let now = self.now();
        let mut state = self.lock();
        let steer = state.steers.get_mut(service);
        let Some(target) = steer.and_then(|steer| steer.target_mut(vm)) else { return };
        match reply {
            Ok(Reply::Answer(answer)) => target.load.record_answer(now, answer.status < 500),
            Ok(Reply::NotRun { .. }) => target.load.exclude(now + AVOID_REFUSING),
            Ok(Reply::Unknown { doubt: UnknownReason::Late, .. }) => {}
            _ => target.load.record_answer(now, false),
        }
    }

    /// Runs an idempotent request: one attempt, and others within the budgets.
    async fn race(self: &Arc<Self>, entry: &Entry, request: Request, deadline: Micros) -> Outcome {
        self.earn();
        let mut tried = Vec::new();
        let mut open: FuturesUnordered<BoxFuture<'static, Tried>> = FuturesUnordered::new();
        let mut last = Outcome::bare(Ending::NotRun(Refusal::NoUpstream));
        let mut ran = false;
        let mut hedged = self.options.baseline.is_some();
        let mut hedge_at = self.send_next(entry, &request, &mut tried, &mut open, deadline);
        while !open.is_empty() {
            let until = if hedged { deadline } else { hedge_at.min(deadline) };
            // The gate keeps the deadline; the reply may need the link's time on top.
            let until = if until == deadline { deadline + LINK_GRACE } else { until };
            let Some(Some(result)) = self.timer.timeout_at(until, open.next()).await else {
                if until > deadline {
                    last.ending = Ending::Unknown(UnknownReason::Late);
                    break;
                }
                hedged = true;
                if self.lock().hedges.spend() {
                    self.metrics.hedges.inc();
                    self.send_next(entry, &request, &mut tried, &mut open, deadline);
                }
                continue;
            };
            last.attempt = Some(result.id);
            let refused = matches!(result.reply, Ok(Reply::NotRun { .. }));
            let again = match result.reply {
                Ok(Reply::Answer(answer)) => {
                    let failed = answer.status >= 500;
                    last.ending = Ending::Answered(answer);
                    if !failed {
                        return last;
                    }
                    ran = true;
                    true
                }
                Ok(Reply::NotRun { refusal, .. }) => {
                    if !ran {
                        last.ending = Ending::NotRun(refusal);
                    }
                    refusal.is_retryable()
                }
                Ok(Reply::Unknown { doubt, .. }) => {
                    ran = true;
                    last.ending = Ending::Unknown(doubt);
                    doubt != UnknownReason::Late
                }
                Ok(_) | Err(LinkError::Lost(_)) => {
                    ran = true;
                    last.ending = Ending::Unknown(UnknownReason::PeerLost);
                    true
                }
                Err(LinkError::Unsent(_)) => true,
            };
            if again && open.is_empty() && self.now() < deadline && self.may_retry(refused) {
                hedge_at = self.send_next(entry, &request, &mut tried, &mut open, deadline);
            }
        }
        last
    }

    /// Takes a further attempt from its budget; one that was refused cost no upstream
    /// anything, so it has a budget of its own.
    pub(crate) fn may_retry(&self, refused: bool) -> bool {
        let mut state = self.lock();
        let budget = if refused { &mut state.detours } else { &mut state.retries };
        let allowed = budget.spend();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Records a first attempt with all budgets.
    pub(crate) fn earn(&self) {
        let mut state = self.lock();
        state.retries.earn();
        state.hedges.earn();
        state.detours.earn();
        state.probes.earn();
        state.notices.earn();
    }

    /// Sends an attempt to the next target; returns when a second one may follow.
    fn send_next(
        self: &Arc<Self>,
        entry: &Entry,
        request: &Request,
        tried: &mut Vec<Vm>,
        open: &mut FuturesUnordered<BoxFuture<'static, Tried>>,
        deadline: Micros,
    ) -> Micros {
        let Some(vm) = self.pick(entry, request.print, tried) else { return deadline };
        tried.push(vm);
        let (_, _, future) = self.attempt(entry, request, vm, false, deadline);
        open.push(future);
        let state = self.lock();
        let after = state.steers.get(&entry.service).map_or(0, |steer| steer.hedge_delay(vm));
        self.now() + after
    }
}

const LINK_GRACE: Micros = 50 * MS;

/// Outcome of a call from the owner's reply.
pub(crate) fn outcome_of(reply: Reply) -> Outcome {
    match reply {
        Reply::Answer(answer) => {
            let attempt = Some(answer.attempt);
            Outcome { ending: Ending::Answered(answer), attempt, spare: None }
        }
        Reply::NotRun { attempt, refusal } => {
            Outcome { ending: Ending::NotRun(refusal), attempt: named(attempt), spare: None }
        }
        Reply::Unknown { attempt, doubt } => {
            Outcome { ending: Ending::Unknown(doubt), attempt: named(attempt), spare: None }
        }
        _ => Outcome::bare(Ending::Unknown(UnknownReason::PeerLost)),
    }
}

/// An attempt, unless none was sent.
fn named(attempt: AttemptId) -> Option<AttemptId> {
    (attempt != AttemptId::default()).then_some(attempt)
}
