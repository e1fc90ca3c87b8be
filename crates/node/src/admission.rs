//! Gate side: runs attempts on the upstream beside this node.

use std::sync::Arc;

use bbv_core::attempt::AttemptStatus;
use bbv_core::gate::{GateDecision, GateDequeued};
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::limit::Completion;
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::poison::{self, Crash, Suspicion};
use bbv_core::queue::{OwnerId, PendingRequest as Place};
use bbv_core::reconciliation::{Mark, Row, Side, WINDOW};
use bbv_core::units::{MS, Micros};
use bbv_wire::{Answer, Ask, Attempt, Reply, Request};
use tokio::sync::oneshot;

use crate::node::Node;
use crate::ports::{UpstreamAnswer, UpstreamCall, UpstreamError};

const CRASH_NOTICE: Micros = 100 * MS;

/// Place of one attempt at the gate; gives it back when dropped.
struct Slot {
    node: Arc<Node>,
    id: u64,
    owner: OwnerId,
    print: u64,
    held: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.held {
            return;
        }
        let now = self.node.now();
        let mut state = self.node.lock();
        state.waiters.remove(&self.id);
        state.trials.remove(&self.print);
        if !state.gate.cancel(self.id) {
            state.gate.release(self.id, self.owner);
        }
        state.pump(now);
    }
}

/// Writes the gate's row of an attempt, also when the attempt is dropped.
struct Entry {
    node: Arc<Node>,
    attempt: AttemptId,
    name: String,
    mark: Mark,
}

impl Drop for Entry {
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
        state.tally.record(side, row);
        self.metrics.count(side, mark);
    }

    /// Runs an attempt if it may run here, and replies when it has ended.
    pub(crate) async fn admit(self: &Arc<Self>, attempt: Attempt) -> Reply {
        if attempt.once.is_none() {
            return self.admit_counted(attempt).await;
        }
        // An attempt that must not run twice goes on when its sender goes away.
        let node = Arc::clone(self);
        let id = attempt.id;
        let task = tokio::spawn(async move { node.admit_once(attempt).await });
        task.await.unwrap_or(Reply::Unknown { attempt: id, doubt: UnknownReason::PeerLost })
    }

    async fn admit_once(self: Arc<Self>, attempt: Attempt) -> Reply {
        let id = attempt.id;
        if let Some(reply) = self.arrive_once(&attempt) {
            return reply;
        }
        let reply = self.admit_counted(attempt).await;
        let mut state = self.lock();
        match &reply {
            Reply::Answer(answer) => state.attempts.mark_answered(id, answer.clone()),
            Reply::NotRun { .. } => state.attempts.mark_refused(id),
            _ => state.attempts.mark_lost(id),
        }
        reply
    }

    /// Records the arrival; returns a reply when the attempt may not run.
    fn arrive_once(&self, attempt: &Attempt) -> Option<Reply> {
        let now = self.now();
        let mut state = self.lock();
        let id = attempt.id;
        if attempt.once != Some(state.me.incarnation) {
            return Some(Reply::Gone);
        }
        state.attempts.expire(now);
        if state.attempts.is_full() {
            return Some(Reply::NotRun { attempt: id, refusal: Refusal::TableFull });
        }
        match state.attempts.register(now, id) {
            AttemptStatus::New => None,
            known => Some(known_reply(id, known)),
        }
    }

    /// Voids an attempt that has not arrived, or tells what became of it.
    pub(crate) fn void(&self, id: AttemptId, incarnation: u64) -> Reply {
        let now = self.now();
        let mut state = self.lock();
        if incarnation != state.me.incarnation {
            return Reply::Gone;
        }
        let known = state.attempts.void(now, id);
        known_reply(id, known)
    }

    async fn admit_counted(self: &Arc<Self>, attempt: Attempt) -> Reply {
        let name = attempt.request.entry.clone();
        let node = Arc::clone(self);
        let mut entry = Entry { node, attempt: attempt.id, name, mark: Mark::Cancelled };
        let reply = self.admit_here(attempt).await;
        entry.mark = mark_of(&reply);
        reply
    }

    async fn admit_here(self: &Arc<Self>, attempt: Attempt) -> Reply {
        let id = attempt.id;
        let deadline = self.now() + attempt.ttl;
        let mut slot = match self.enter(&attempt, deadline).await {
            Ok(slot) => slot,
            Err(refusal) => return Reply::NotRun { attempt: id, refusal },
        };
        let print = attempt.request.print;
        let started = self.now();
        let ttl = deadline.saturating_sub(started);
        let call = UpstreamCall { request: attempt.request, ttl };
        let run = (self.ports.upstream)(call);
        let result = match attempt.once {
            // An operation that started is followed to its end, so that its answer is known.
            Some(_) => Some(run.await),
            None => self.timer.timeout_at(deadline, run).await,
        };
        let Some(result) = result else {
            // The time that was left tells nothing of the upstream's latency; the slot is
            // given back without learning.
            return Reply::Unknown { attempt: id, doubt: UnknownReason::Late };
        };
        let latency = self.now().saturating_sub(started);
        self.settle_run(&mut slot, id, print, latency, result).await
    }

    /// Waits for a place on the upstream.
    async fn enter(self: &Arc<Self>, attempt: &Attempt, deadline: Micros) -> Result<Slot, Refusal> {
        let now = self.now();
        let (slot, waiter) = {
            let mut state = self.lock();
            let from = attempt.id.node.vm;
            state.recent.insert(from, now);
            self.check_suspect(&mut state, now, &attempt.request)?;
            let name = &attempt.request.entry;
            let entry = state.catalogue.entries.get(name).cloned().ok_or(Refusal::UnknownEntry)?;
            let owner = state.owner_id(&entry.owner);
            let id = self.metrics.next_place();
            let print = attempt.request.print;
            let slot = Slot { node: Arc::clone(self), id, owner, print, held: true };
            if self.options.baseline.is_some() {
                // Baselines have no admission.
                return Ok(unheld(slot));
            }
            let share = entry.share_pct as f64 / 100.0;
            let place = Place { id, class: entry.class, owner, share, deadline };
            match state.gate.offer(now, place) {
                GateDecision::Run => return Ok(slot),
                GateDecision::Refuse(refusal) => {
                    state.trials.remove(&print);
                    drop(unheld(slot));
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
                self.lock().trials.remove(&slot.print);
                drop(unheld(slot));
                Err(refusal)
            }
            Some(Err(_)) | None => Err(Refusal::Deadline),
        }
    }

    /// Refuses a request that crashed upstreams, unless this VM may run it again.
    fn check_suspect(
        &self,
        state: &mut crate::state::State,
        now: Micros,
        request: &Request,
    ) -> Result<(), Refusal> {
        match state.suspects.suspicion(now, request.print) {
            Suspicion::Clear => Ok(()),
            Suspicion::Poison => Err(Refusal::Poison),
            Suspicion::Suspect => {
                let crashed = state.suspects.crashes(request.print)[0].vm;
                let vms = state.vms_of(&state.service);
                let retry_vm = poison::retry_vm(request.print, &vms, crashed);
                if retry_vm == Some(state.me.vm) && state.trials.insert(request.print) {
                    return Ok(());
                }
                Err(Refusal::Poison)
            }
        }
    }

    fn end_run(&self, slot: &mut Slot, finish: Completion, instance: Option<u64>) {
        let now = self.now();
        if !slot.held {
            return;
        }
        slot.held = false;
        let mut state = self.lock();
        state.trials.remove(&slot.print);
        state.gate.finish(now, slot.id, slot.owner, finish, instance);
        state.pump(now);
    }

    async fn settle_run(
        self: &Arc<Self>,
        slot: &mut Slot,
        id: AttemptId,
        print: u64,
        latency: Micros,
        result: Result<UpstreamAnswer, UpstreamError>,
    ) -> Reply {
        match result {
            Ok(answer) => {
                let good = answer.status < 500;
                self.end_run(slot, Completion { latency, success: good }, answer.instance);
                let UpstreamAnswer { status, headers, body, .. } = answer;
                Reply::Answer(Answer { attempt: id, status, headers, body })
            }
            Err(UpstreamError::Unsent) => {
                self.end_run(slot, Completion { latency, success: false }, None);
                Reply::NotRun { attempt: id, refusal: Refusal::Overload }
            }
            Err(UpstreamError::Broken) => {
                self.end_run(slot, Completion { latency, success: false }, None);
                Reply::Unknown { attempt: id, doubt: UnknownReason::BrokenAnswer }
            }
            Err(UpstreamError::Lost) => {
                self.lost(slot);
                self.report_crash(print).await;
                Reply::Unknown { attempt: id, doubt: UnknownReason::UpstreamLost }
            }
        }
    }

    fn lost(&self, slot: &mut Slot) {
        let now = self.now();
        self.metrics.upstream_lost.inc();
        if !slot.held {
            return;
        }
        slot.held = false;
        let mut state = self.lock();
        state.gate.connection_lost(now, slot.id, slot.owner);
        state.pump(now);
    }

    /// Tells every gate of the service before the sender can send the request again.
    async fn report_crash(self: &Arc<Self>, print: u64) {
        let now = self.now();
        let (crash, peers) = {
            let mut state = self.lock();
            let crash = Crash { fingerprint: print, vm: state.me.vm };
            if !state.suspects.record_crash(now, crash) {
                return;
            }
            let mut peers = state.vms_of(&state.service);
            peers.retain(|vm| *vm != crash.vm);
            (crash, peers)
        };
        let notices = peers.into_iter().map(|vm| self.ask(vm, Ask::Crashes(vec![crash])));
        let all = futures_util::future::join_all(notices);
        self.timer.timeout_at(now + CRASH_NOTICE, all).await;
    }

    /// Tells recent ingresses when the load has changed sharply.
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
            peers.retain(|_| state.notices.spend());
            let load = state.gate.load(now);
            if let Some(steer) = {
                let service = state.service.clone();
                state.steers.get_mut(&service)
            } {
                steer.record_sample(now, me, load);
            }
            (load, peers)
        };
        self.metrics.measure_sent.inc_by(peers.len() as u64);
        for vm in peers {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.ask(vm, Ask::Notice(load)).await });
        }
    }
}

/// Takes a slot apart so that dropping it gives nothing back.
fn unheld(mut slot: Slot) -> Slot {
    slot.held = false;
    slot
}

fn known_reply(id: AttemptId, known: AttemptStatus<Answer>) -> Reply {
    match known {
        AttemptStatus::Done(answer) => Reply::Answer(answer),
        AttemptStatus::Lost => Reply::Unknown { attempt: id, doubt: UnknownReason::UpstreamLost },
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
