//! Gate side of a node: admits attempts that ingresses send and runs them on the local upstream.

use std::sync::Arc;

use bbv_core::attempt::AttemptStatus;
use bbv_core::gate::{GateDecision, GateDequeued};
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::limit::Completion;
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::poison::{self, Crash, Suspicion};
use bbv_core::queue::{OwnerId, PendingRequest};
use bbv_core::reconciliation::{Mark, Row, Side, WINDOW};
use bbv_core::units::{MS, Micros};
use bbv_wire::{Answer, Attempt, CallerRequest, PeerRequest, Reply};
use tokio::sync::oneshot;

use crate::node::Node;
use crate::ports::{UpstreamAnswer, UpstreamCall, UpstreamError};

const CRASH_NOTICE_TIMEOUT: Micros = 100 * MS;

/// Slot of one attempt at the gate; released on drop.
struct GateSlot {
    node: Arc<Node>,
    id: u64,
    owner: OwnerId,
    fingerprint: u64,
    held: bool,
}

impl Drop for GateSlot {
    fn drop(&mut self) {
        if !self.held {
            return;
        }
        let now = self.node.now();
        let mut state = self.node.lock();
        state.waiters.remove(&self.id);
        state.suspect_retries.remove(&self.fingerprint);
        if !state.gate.cancel(self.id) {
            state.gate.release(self.id, self.owner);
        }
        state.wake_waiters(now);
    }
}

/// Writes the gate's row of an attempt on drop, so that cancelled attempts are counted too.
struct GateRow {
    node: Arc<Node>,
    attempt: AttemptId,
    name: String,
    mark: Mark,
}

impl Drop for GateRow {
    fn drop(&mut self) {
        self.node.write_row(Side::Gate, self.attempt, None, &self.name, self.mark);
    }
}

impl Node {
    pub(crate) fn write_row(
        &self,
        side: Side,
        attempt: AttemptId,
        gate: Option<NodeId>,
        entry: &str,
        mark: Mark,
    ) {
        let window = self.now() / WINDOW;
        let mut state = self.lock();
        let owner = state.catalogue.entries.get(entry).map(|entry| entry.owner.clone());
        let row = Row {
            attempt,
            gate: gate.unwrap_or(state.me),
            entry: entry.to_owned(),
            owner: owner.unwrap_or_default(),
            window,
            mark,
        };
        state.attempt_log.record(side, row);
        self.metrics.count_attempt(side, mark);
    }

    /// Runs an attempt if the gate admits it, and replies when it has ended.
    pub(crate) async fn run_attempt(self: &Arc<Self>, attempt: Attempt) -> Reply {
        if attempt.expected_incarnation.is_none() {
            return self.run_and_record(attempt).await;
        }
        // A spawned task outlives its sender: an attempt that must not run twice runs to its end.
        let node = Arc::clone(self);
        let id = attempt.id;
        let task = tokio::spawn(async move { node.run_once(attempt).await });
        task.await.unwrap_or(Reply::Unknown { attempt: id, reason: UnknownReason::PeerLost })
    }

    async fn run_once(self: Arc<Self>, attempt: Attempt) -> Reply {
        let id = attempt.id;
        if let Some(reply) = self.register_once(&attempt) {
            return reply;
        }
        let reply = self.run_and_record(attempt).await;
        let mut state = self.lock();
        match &reply {
            Reply::Answer(answer) => state.attempts.mark_answered(id, answer.clone()),
            Reply::NotRun { .. } => state.attempts.mark_refused(id),
            _ => state.attempts.mark_lost(id),
        }
        reply
    }

    /// Registers the attempt; returns a reply if it must not run.
    fn register_once(&self, attempt: &Attempt) -> Option<Reply> {
        let now = self.now();
        let mut state = self.lock();
        let id = attempt.id;
        if attempt.expected_incarnation != Some(state.me.incarnation) {
            return Some(Reply::Gone);
        }
        state.attempts.expire(now);
        if state.attempts.is_full() {
            return Some(Reply::NotRun { attempt: id, refusal: Refusal::TableFull });
        }
        match state.attempts.register(now, id) {
            AttemptStatus::New => None,
            status => Some(reply_for(id, status)),
        }
    }

    /// Voids an attempt that has not arrived, or returns its current status.
    pub(crate) fn void_attempt(&self, id: AttemptId, incarnation: u64) -> Reply {
        let now = self.now();
        let mut state = self.lock();
        if incarnation != state.me.incarnation {
            return Reply::Gone;
        }
        let status = state.attempts.void(now, id);
        reply_for(id, status)
    }

    async fn run_and_record(self: &Arc<Self>, attempt: Attempt) -> Reply {
        let name = attempt.request.entry.clone();
        let node = Arc::clone(self);
        let mut row = GateRow { node, attempt: attempt.id, name, mark: Mark::Cancelled };
        let reply = self.run_admitted(attempt).await;
        row.mark = mark_of(&reply);
        reply
    }

    async fn run_admitted(self: &Arc<Self>, attempt: Attempt) -> Reply {
        let id = attempt.id;
        let deadline = self.now() + attempt.ttl;
        let mut slot = match self.acquire_slot(&attempt, deadline).await {
            Ok(slot) => slot,
            Err(refusal) => return Reply::NotRun { attempt: id, refusal },
        };
        let fingerprint = attempt.request.fingerprint;
        let started = self.now();
        let ttl = deadline.saturating_sub(started);
        let call = UpstreamCall { request: attempt.request, ttl };
        let run = (self.ports.upstream)(call);
        let result = match attempt.expected_incarnation {
            // A started operation runs past the deadline, so that its answer is known.
            Some(_) => Some(run.await),
            None => self.timer.timeout_at(deadline, run).await,
        };
        let Some(result) = result else {
            // The run was cut at the deadline and is no sample of the upstream's latency, so
            // the slot is released without one.
            return Reply::Unknown { attempt: id, reason: UnknownReason::Late };
        };
        let latency = self.now().saturating_sub(started);
        self.complete_run(&mut slot, id, fingerprint, latency, result).await
    }

    /// Waits until the gate grants a slot on the upstream.
    async fn acquire_slot(
        self: &Arc<Self>,
        attempt: &Attempt,
        deadline: Micros,
    ) -> Result<GateSlot, Refusal> {
        let now = self.now();
        let (slot, waiter) = {
            let mut state = self.lock();
            let from = attempt.id.node.vm;
            state.recent_ingresses.insert(from, now);
            self.check_poison(&mut state, now, &attempt.request)?;
            let name = &attempt.request.entry;
            let entry = state.catalogue.entries.get(name).cloned().ok_or(Refusal::UnknownEntry)?;
            let owner = state.entry_owner_id(&entry.owner);
            let id = self.metrics.next_request_id();
            let fingerprint = attempt.request.fingerprint;
            let slot = GateSlot { node: Arc::clone(self), id, owner, fingerprint, held: true };
            if self.options.baseline.is_some() {
                // Baseline policies run without admission control.
                return Ok(disarm(slot));
            }
            let share = entry.share_pct as f64 / 100.0;
            let pending = PendingRequest { id, class: entry.class, owner, share, deadline };
            match state.gate.offer(now, pending) {
                GateDecision::Run => return Ok(slot),
                GateDecision::Refuse(refusal) => {
                    state.suspect_retries.remove(&fingerprint);
                    drop(disarm(slot));
                    return Err(refusal);
                }
                GateDecision::Wait => {
                    let (sender, waiter) = oneshot::channel();
                    state.waiters.insert(id, sender);
                    (slot, waiter)
                }
            }
        };
        match self.timer.timeout_at(deadline, waiter).await {
            Some(Ok(GateDequeued::Run(_))) => Ok(slot),
            Some(Ok(GateDequeued::Refuse(_, refusal))) => {
                self.lock().suspect_retries.remove(&slot.fingerprint);
                drop(disarm(slot));
                Err(refusal)
            }
            Some(Err(_)) | None => Err(Refusal::Deadline),
        }
    }

    /// Refuses a request that crashed upstreams, unless this VM is the one that may retry it.
    fn check_poison(
        &self,
        state: &mut crate::state::State,
        now: Micros,
        request: &CallerRequest,
    ) -> Result<(), Refusal> {
        match state.suspects.suspicion(now, request.fingerprint) {
            Suspicion::Clear => Ok(()),
            Suspicion::Poison => Err(Refusal::Poison),
            Suspicion::Suspect => {
                let crashed = state.suspects.crashes(request.fingerprint)[0].vm;
                let vms = state.vms_of(&state.service);
                let retry_vm = poison::retry_vm(request.fingerprint, &vms, crashed);
                if retry_vm == Some(state.me.vm)
                    && state.suspect_retries.insert(request.fingerprint)
                {
                    return Ok(());
                }
                Err(Refusal::Poison)
            }
        }
    }

    fn finish_run(&self, slot: &mut GateSlot, completion: Completion, instance: Option<u64>) {
        let now = self.now();
        if !slot.held {
            return;
        }
        slot.held = false;
        let mut state = self.lock();
        state.suspect_retries.remove(&slot.fingerprint);
        state.gate.finish(now, slot.id, slot.owner, completion, instance);
        state.wake_waiters(now);
    }

    async fn complete_run(
        self: &Arc<Self>,
        slot: &mut GateSlot,
        id: AttemptId,
        fingerprint: u64,
        latency: Micros,
        result: Result<UpstreamAnswer, UpstreamError>,
    ) -> Reply {
        match result {
            Ok(answer) => {
                let success = answer.status < 500;
                self.finish_run(slot, Completion { latency, success }, answer.instance);
                let UpstreamAnswer { status, headers, body, .. } = answer;
                Reply::Answer(Answer { attempt: id, status, headers, body })
            }
            Err(UpstreamError::Unsent) => {
                self.finish_run(slot, Completion { latency, success: false }, None);
                Reply::NotRun { attempt: id, refusal: Refusal::Overload }
            }
            Err(UpstreamError::Broken) => {
                self.finish_run(slot, Completion { latency, success: false }, None);
                Reply::Unknown { attempt: id, reason: UnknownReason::BrokenAnswer }
            }
            Err(UpstreamError::Lost) => {
                self.record_lost(slot);
                self.report_crash(fingerprint).await;
                Reply::Unknown { attempt: id, reason: UnknownReason::UpstreamLost }
            }
        }
    }

    fn record_lost(&self, slot: &mut GateSlot) {
        let now = self.now();
        self.metrics.upstream_lost.inc();
        if !slot.held {
            return;
        }
        slot.held = false;
        let mut state = self.lock();
        state.gate.connection_lost(now, slot.id, slot.owner);
        state.wake_waiters(now);
    }

    /// Notifies every gate of the service before the sender can retry the request.
    async fn report_crash(self: &Arc<Self>, fingerprint: u64) {
        let now = self.now();
        let (crash, peers) = {
            let mut state = self.lock();
            let crash = Crash { fingerprint, vm: state.me.vm };
            if !state.suspects.record_crash(now, crash) {
                return;
            }
            let mut peers = state.vms_of(&state.service);
            peers.retain(|vm| *vm != crash.vm);
            (crash, peers)
        };
        let notices =
            peers.into_iter().map(|vm| self.send_request(vm, PeerRequest::Crashes(vec![crash])));
        let all_sent = futures_util::future::join_all(notices);
        self.timer.timeout_at(now + CRASH_NOTICE_TIMEOUT, all_sent).await;
    }

    /// Notifies recent ingresses when the gate starts or stops stalling or failing.
    pub(crate) fn notify_load(self: &Arc<Self>, now: Micros) {
        let (load, peers) = {
            let mut state = self.lock();
            let stalled = state.gate.stalled(now) || state.gate.failing();
            if stalled == state.stalled {
                return;
            }
            state.stalled = stalled;
            let mut peers: Vec<Vm> = state.recent_ingresses(now);
            let me = state.me.vm;
            peers.retain(|vm| *vm != me);
            peers.retain(|_| state.notice_budget.spend());
            let load = state.gate.load(now);
            if let Some(balancer) = {
                let service = state.service.clone();
                state.balancers.get_mut(&service)
            } {
                balancer.record_sample(now, me, load);
            }
            (load, peers)
        };
        self.metrics.measure_sent.inc_by(peers.len() as u64);
        for vm in peers {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.send_request(vm, PeerRequest::Notice(load)).await });
        }
    }
}

/// Disarms a slot, so that dropping it releases nothing.
fn disarm(mut slot: GateSlot) -> GateSlot {
    slot.held = false;
    slot
}

fn reply_for(id: AttemptId, status: AttemptStatus<Answer>) -> Reply {
    match status {
        AttemptStatus::Done(answer) => Reply::Answer(answer),
        AttemptStatus::Lost => Reply::Unknown { attempt: id, reason: UnknownReason::UpstreamLost },
        AttemptStatus::New | AttemptStatus::Running => Reply::Running,
        AttemptStatus::Voided => Reply::Voided,
    }
}

pub(crate) fn mark_of(reply: &Reply) -> Mark {
    match reply {
        Reply::Answer(_) => Mark::Answered,
        Reply::NotRun { .. } | Reply::Voided => Mark::Refused,
        _ => Mark::Unknown,
    }
}
