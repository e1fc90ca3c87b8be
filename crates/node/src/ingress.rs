//! Ingress side of a node: picks upstreams for a caller's request, sends and retries attempts,
//! and returns the outcome.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bbv_core::catalogue::Entry;
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::poison::{self, Suspicion};
use bbv_core::reconciliation::{Mark, Side};
use bbv_core::units::{MS, Micros};
use bbv_wire::{Attempt, CallerRequest, OperationRequest, PeerRequest, Reply};
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;

use crate::admission::mark_of;
use crate::node::Node;
use crate::outcome::{Call, Ending, Outcome};
use crate::ports::LinkError;

const SERVING_POLL_INTERVAL: Micros = 5 * MS;
const REFUSED_EXCLUSION: Micros = 5 * MS;

/// Ends an attempt in the load estimate of its target and writes its ingress row on drop, so
/// that cancelled attempts are counted too.
struct IngressRow {
    node: Arc<Node>,
    id: AttemptId,
    gate: NodeId,
    service: String,
    entry: String,
    mark: Mark,
}

impl Drop for IngressRow {
    fn drop(&mut self) {
        {
            let mut state = self.node.lock();
            let balancer = state.balancers.get_mut(&self.service);
            if let Some(target) = balancer.and_then(|balancer| balancer.target_mut(self.gate.vm)) {
                target.load.end_attempt(self.id.serial);
            }
        }
        self.node.write_row(Side::Ingress, self.id, Some(self.gate), &self.entry, self.mark);
    }
}

/// Counts a call as open until it ends or its caller disconnects.
struct OpenCall(Arc<Node>);

impl OpenCall {
    fn new(node: &Arc<Node>) -> Self {
        node.open_calls.fetch_add(1, Ordering::Relaxed);
        OpenCall(Arc::clone(node))
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Result of one attempt.
pub(crate) struct AttemptResult {
    pub id: AttemptId,
    pub reply: Result<Reply, LinkError>,
}

impl Node {
    /// Handles a caller's call to its end.
    pub async fn call(self: &Arc<Self>, call: Call) -> Outcome {
        let now = self.now();
        self.check_pause(now);
        self.metrics.calls.inc();
        let _open_call = OpenCall::new(self);
        let has_ticket = call.ticket.is_some();
        let outcome = if self.may_outlast_stop(now + self.ttl(&call)) {
            Outcome::outlasting(has_ticket)
        } else {
            tokio::select! {
                // The order keeps simulations deterministic.
                biased;
                outcome = self.run_call(call) => outcome,
                () = self.wait_until_late() => {
                    Outcome::without_attempt(Ending::Unknown(UnknownReason::Late))
                }
            }
        };
        self.metrics.count_outcome(&outcome.ending);
        self.metrics.observe_latency(self.now().saturating_sub(now));
        outcome
    }

    async fn run_call(self: &Arc<Self>, call: Call) -> Outcome {
        // Only the owner of a ticket may refuse its operation, so local checks are skipped.
        let Some(ticket) = call.ticket else { return self.call_without_ticket(call).await };
        let ttl = self.ttl(&call);
        self.call_ticket_owner(OperationRequest { ticket, ttl, request: call.request }).await
    }

    fn ttl(&self, call: &Call) -> Micros {
        let state = self.lock();
        let entry = state.catalogue.entries.get(&call.request.entry);
        let limit = entry.map_or(1_000, |entry| entry.deadline_ms) * MS;
        call.ttl.map_or(limit, |ttl| ttl.min(limit))
    }

    async fn call_without_ticket(self: &Arc<Self>, call: Call) -> Outcome {
        let deadline = self.now() + self.ttl(&call);
        if !self.wait_until_serving(deadline).await {
            return Outcome::without_attempt(Ending::NotRun(Refusal::Stale));
        }
        let entry = match self.check_request(&call.request) {
            Ok(entry) => entry,
            Err(refusal) => return Outcome::without_attempt(Ending::NotRun(refusal)),
        };
        if !entry.idempotent {
            let next_ticket = self.mint_ticket();
            let refusal =
                if next_ticket.is_some() { Refusal::TicketRequired } else { Refusal::TableFull };
            return Outcome { ending: Ending::NotRun(refusal), attempt: None, next_ticket };
        }
        self.run_idempotent(&entry, call.request, deadline).await
    }

    /// Waits until the node's routing state is fresh enough to serve.
    pub(crate) async fn wait_until_serving(self: &Arc<Self>, deadline: Micros) -> bool {
        loop {
            let state_name = self.lock().node_state_name().to_owned();
            if matches!(state_name.as_str(), "serving" | "draining") {
                return true;
            }
            if self.now() + SERVING_POLL_INTERVAL > deadline {
                return false;
            }
            self.timer.sleep(SERVING_POLL_INTERVAL).await;
        }
    }

    /// Checks a request against the limits of its entry.
    pub(crate) fn check_request(&self, request: &CallerRequest) -> Result<Entry, Refusal> {
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

    /// Picks the VM for the next attempt, if one is left.
    pub(crate) fn pick_vm(&self, entry: &Entry, fingerprint: u64, tried: &[Vm]) -> Option<Vm> {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        if let Some(pick) = &self.options.baseline {
            let vms = state.vms_of(&entry.service);
            return pick(&entry.service, tried, &vms, &mut state.rng);
        }
        if state.suspects.suspicion(now, fingerprint) == Suspicion::Suspect {
            let crashed = state.suspects.crashes(fingerprint)[0].vm;
            let vms = state.vms_of(&entry.service);
            return poison::retry_vm(fingerprint, &vms, crashed).filter(|vm| !tried.contains(vm));
        }
        state.ensure_balancer(now, &entry.service);
        let balancer = state.balancers.get(&entry.service)?;
        balancer.pick(now, tried, &mut state.rng)
    }

    /// Records the start of an attempt and returns the future that sends it.
    pub(crate) fn start_attempt(
        self: &Arc<Self>,
        entry: &Entry,
        request: &CallerRequest,
        vm: Vm,
        at_most_once: bool,
        deadline: Micros,
    ) -> (AttemptId, NodeId, BoxFuture<'static, AttemptResult>) {
        let now = self.now();
        let mut state = self.lock();
        let serial = state.attempt_log.next_serial();
        let id = AttemptId { node: state.me, serial };
        let incarnation = if vm == state.me.vm {
            Some(state.me.incarnation)
        } else {
            state.fleet.member(vm).and_then(|member| member.incarnation)
        };
        let gate = NodeId { vm, incarnation: incarnation.unwrap_or_default() };
        if let Some(target) =
            state.balancers.get_mut(&entry.service).and_then(|balancer| balancer.target_mut(vm))
        {
            target.load.start_attempt(now, serial);
        }
        drop(state);
        let mut row = IngressRow {
            node: Arc::clone(self),
            id,
            gate,
            service: entry.service.clone(),
            entry: entry.name.clone(),
            mark: Mark::Cancelled,
        };
        let expected_incarnation = at_most_once.then_some(gate.incarnation);
        let ttl = deadline.saturating_sub(now);
        let attempt = Attempt { id, expected_incarnation, ttl, request: request.clone() };
        let node = Arc::clone(self);
        let future = Box::pin(async move {
            let reply = node.send_attempt(vm, attempt).await;
            row.mark = reply.as_ref().map_or(Mark::Unknown, mark_of);
            node.record_reply(&row.service, vm, &reply);
            AttemptResult { id, reply }
        });
        (id, gate, future)
    }

    async fn send_attempt(self: &Arc<Self>, vm: Vm, attempt: Attempt) -> Result<Reply, LinkError> {
        let id = attempt.id;
        let reply = if vm == self.options.vm {
            let reply = self.run_attempt(attempt).await;
            self.record_local_load();
            reply
        } else {
            self.send_request(vm, PeerRequest::Attempt(attempt)).await?
        };
        match &reply {
            // An answer to another attempt must not reach the caller.
            Reply::Answer(answer) if answer.attempt != id => {
                self.metrics.crossed.inc();
                Err(LinkError::Lost(format!(
                    "reply answers attempt {} instead of {id}",
                    answer.attempt
                )))
            }
            _ => Ok(reply),
        }
    }

    fn record_local_load(&self) {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        let load = state.gate.load(now);
        if let Some(balancer) = state.balancers.get_mut(&state.service) {
            balancer.record_sample(now, state.me.vm, load);
        }
    }

    /// Feeds the result of an attempt to the load estimate of its target.
    fn record_reply(&self, service: &str, vm: Vm, reply: &Result<Reply, LinkError>) {
        let now = self.now();
        let mut state = self.lock();
        let balancer = state.balancers.get_mut(service);
        let Some(target) = balancer.and_then(|balancer| balancer.target_mut(vm)) else { return };
        match reply {
            Ok(Reply::Answer(answer)) => target.load.record_answer(now, answer.status < 500),
            Ok(Reply::NotRun { .. }) => target.load.exclude(now + REFUSED_EXCLUSION),
            Ok(Reply::Unknown { reason: UnknownReason::Late, .. }) => {}
            _ => target.load.record_answer(now, false),
        }
    }

    /// Runs an idempotent request: a first attempt, then a hedge and retries within the budgets.
    async fn run_idempotent(
        self: &Arc<Self>,
        entry: &Entry,
        request: CallerRequest,
        deadline: Micros,
    ) -> Outcome {
        self.earn_budgets();
        let mut tried = Vec::new();
        let mut in_flight: FuturesUnordered<BoxFuture<'static, AttemptResult>> =
            FuturesUnordered::new();
        let mut last = Outcome::without_attempt(Ending::NotRun(Refusal::NoUpstream));
        let mut ran = false;
        let mut hedged = self.options.baseline.is_some();
        let mut hedge_at = self.send_to_next(entry, &request, &mut tried, &mut in_flight, deadline);
        while !in_flight.is_empty() {
            let until = if hedged { deadline } else { hedge_at.min(deadline) };
            // The gate enforces the deadline; its reply arrives up to one link latency later.
            let until = if until == deadline { deadline + LINK_GRACE } else { until };
            let Some(Some(result)) = self.timer.timeout_at(until, in_flight.next()).await else {
                if until > deadline {
                    last.ending = Ending::Unknown(UnknownReason::Late);
                    break;
                }
                hedged = true;
                if self.lock().hedge_budget.spend() {
                    self.metrics.hedges.inc();
                    self.send_to_next(entry, &request, &mut tried, &mut in_flight, deadline);
                }
                continue;
            };
            last.attempt = Some(result.id);
            let refused = matches!(result.reply, Ok(Reply::NotRun { .. }));
            let retryable = match result.reply {
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
                Ok(Reply::Unknown { reason, .. }) => {
                    ran = true;
                    last.ending = Ending::Unknown(reason);
                    reason != UnknownReason::Late
                }
                Ok(_) | Err(LinkError::Lost(_)) => {
                    ran = true;
                    last.ending = Ending::Unknown(UnknownReason::PeerLost);
                    true
                }
                Err(LinkError::Unsent(_)) => true,
            };
            if retryable
                && in_flight.is_empty()
                && self.now() < deadline
                && self.spend_retry(refused)
            {
                hedge_at = self.send_to_next(entry, &request, &mut tried, &mut in_flight, deadline);
            }
        }
        last
    }

    /// Spends a token for a retry. A refused attempt cost no upstream any work, so its retry
    /// has a budget of its own.
    pub(crate) fn spend_retry(&self, refused: bool) -> bool {
        let mut state = self.lock();
        let budget = if refused { &mut state.refused_budget } else { &mut state.retry_budget };
        let allowed = budget.spend();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Credits all budgets for a first attempt.
    pub(crate) fn earn_budgets(&self) {
        let mut state = self.lock();
        state.retry_budget.earn();
        state.hedge_budget.earn();
        state.refused_budget.earn();
        state.probe_budget.earn();
        state.notice_budget.earn();
    }

    /// Sends an attempt to the next target; returns the time at which a hedge may follow.
    fn send_to_next(
        self: &Arc<Self>,
        entry: &Entry,
        request: &CallerRequest,
        tried: &mut Vec<Vm>,
        in_flight: &mut FuturesUnordered<BoxFuture<'static, AttemptResult>>,
        deadline: Micros,
    ) -> Micros {
        let Some(vm) = self.pick_vm(entry, request.fingerprint, tried) else { return deadline };
        tried.push(vm);
        let (_, _, future) = self.start_attempt(entry, request, vm, false, deadline);
        in_flight.push(future);
        let state = self.lock();
        let hedge_delay =
            state.balancers.get(&entry.service).map_or(0, |balancer| balancer.hedge_delay(vm));
        self.now() + hedge_delay
    }
}

const LINK_GRACE: Micros = 50 * MS;

/// Converts the reply of a ticket's owner to the outcome of the call.
pub(crate) fn outcome_from(reply: Reply) -> Outcome {
    match reply {
        Reply::Answer(answer) => {
            let attempt = Some(answer.attempt);
            Outcome { ending: Ending::Answered(answer), attempt, next_ticket: None }
        }
        Reply::NotRun { attempt, refusal } => Outcome {
            ending: Ending::NotRun(refusal),
            attempt: sent_attempt(attempt),
            next_ticket: None,
        },
        Reply::Unknown { attempt, reason } => Outcome {
            ending: Ending::Unknown(reason),
            attempt: sent_attempt(attempt),
            next_ticket: None,
        },
        _ => Outcome::without_attempt(Ending::Unknown(UnknownReason::PeerLost)),
    }
}

/// Attempt of a reply; the default id means that none was sent.
fn sent_attempt(attempt: AttemptId) -> Option<AttemptId> {
    (attempt != AttemptId::default()).then_some(attempt)
}
