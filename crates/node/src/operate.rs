//! Runs non-idempotent operations at most once: forwards a call to the owner of its ticket and,
//! at the owner, runs the operation until its outcome is recorded.

use std::sync::Arc;

use bbv_core::catalogue::Entry;
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::operation::{Handoff, OperationDecision, SentAttempt, TicketOwner};
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::rendezvous;
use bbv_core::ticket::Ticket;
use bbv_core::units::{MS, Micros};
use bbv_wire::{Answer, CallerRequest, OperationRequest, PeerRequest, Reply};
use tokio::sync::broadcast;

use crate::audit::Event;
use crate::ingress::outcome_from;
use crate::node::Node;
use crate::outcome::Outcome;
use crate::ports::LinkError;
use crate::state::OperationKey;

const RESOLVE_INTERVAL: Micros = 20 * MS;
const MAX_OWNER_TRIES: usize = 3;
const MAX_SUCCESSORS: usize = 3;

/// Result of an attempt, as its gate reports it.
enum Resolution {
    Answered(Answer),
    NeverRun,
    Lost(UnknownReason),
}

/// Operation that this node runs as the owner of its ticket.
struct Operation {
    key: OperationKey,
    entry: Entry,
    request: CallerRequest,
    deadline: Micros,
}

impl Node {
    /// Mints a ticket for a caller.
    pub(crate) fn mint_ticket(&self) -> Option<Ticket> {
        let now = self.now();
        let mut state = self.lock();
        let me = state.me;
        state.ticket_owners.get_mut(&me).and_then(|owner| owner.mint(now))
    }

    /// Forwards a call to the owner of its ticket.
    pub(crate) async fn call_ticket_owner(
        self: &Arc<Self>,
        operation_request: OperationRequest,
    ) -> Outcome {
        let reply = self.forward_to_owner(operation_request).await;
        let mut outcome = outcome_from(reply);
        outcome.next_ticket = self.mint_ticket();
        outcome
    }

    async fn forward_to_owner(self: &Arc<Self>, operation_request: OperationRequest) -> Reply {
        let owner = operation_request.ticket.owner;
        let deadline = self.now() + operation_request.ttl;
        let mut next = Some(owner.vm);
        if self.lock().ticket_owners.contains_key(&owner) {
            match self.run_operation(operation_request.clone()).await {
                Reply::Moved(vm) => next = Some(vm),
                reply => return reply,
            }
        }
        let mut tried_vms = Vec::new();
        let mut successors = self.successors(owner).into_iter();
        while let Some(vm) = next.take().or_else(|| successors.next()) {
            if vm == self.options.vm || tried_vms.contains(&vm) {
                continue;
            }
            tried_vms.push(vm);
            let ttl = deadline.saturating_sub(self.now());
            let forwarded = OperationRequest { ttl, ..operation_request.clone() };
            match self.send_to_owner(vm, forwarded, deadline).await {
                Some(Reply::Moved(vm)) => next = Some(vm),
                Some(Reply::Gone) | None => {}
                Some(reply) => return reply,
            }
        }
        Reply::Unknown { attempt: AttemptId::default(), reason: UnknownReason::OwnerLost }
    }

    /// Sends the call to a possible owner. Retries are safe: they join the operation that is
    /// already running.
    async fn send_to_owner(
        self: &Arc<Self>,
        vm: Vm,
        operation_request: OperationRequest,
        deadline: Micros,
    ) -> Option<Reply> {
        for _ in 0..MAX_OWNER_TRIES {
            let request = self.send_request(vm, PeerRequest::Operate(operation_request.clone()));
            match self.timer.timeout_at(deadline, request).await {
                Some(Ok(reply)) => return Some(reply),
                Some(Err(LinkError::Unsent(_) | LinkError::Lost(_))) => {}
                None => break,
            }
            if self.now() + RESOLVE_INTERVAL > deadline {
                break;
            }
            self.timer.sleep(RESOLVE_INTERVAL).await;
        }
        None
    }

    /// Nodes to which an owner may have handed off its records, in order of preference.
    pub(crate) fn successors(&self, owner: NodeId) -> Vec<Vm> {
        let state = self.lock();
        let others = state.fleet.members().filter(|member| member.listed.vm != owner.vm);
        let vms: Vec<u64> = others.map(|member| u64::from(member.listed.vm.0)).collect();
        let key = owner_key(owner);
        rendezvous::top(&key, &vms, MAX_SUCCESSORS).into_iter().map(|vm| Vm(vm as u32)).collect()
    }

    /// Runs or resumes an operation whose records this node holds.
    pub(crate) async fn run_operation(
        self: &Arc<Self>,
        operation_request: OperationRequest,
    ) -> Reply {
        let deadline = self.now() + operation_request.ttl;
        let key = (operation_request.ticket.owner, operation_request.ticket.serial);
        if !self.wait_until_serving(deadline).await {
            return Reply::Unknown { attempt: AttemptId::default(), reason: UnknownReason::Late };
        }
        let mut result = match self.begin_operation(&operation_request, key, deadline) {
            Ok(result) => result,
            Err(reply) => return reply,
        };
        let late = Reply::Unknown { attempt: AttemptId::default(), reason: UnknownReason::Late };
        match self.timer.timeout_at(deadline, result.recv()).await {
            Some(Ok(reply)) => reply,
            Some(Err(_)) | None => late,
        }
    }

    /// Starts, joins or resumes an operation; returns the channel of its result, or a reply if its
    /// record already decides the outcome.
    fn begin_operation(
        self: &Arc<Self>,
        operation_request: &OperationRequest,
        key: OperationKey,
        deadline: Micros,
    ) -> Result<broadcast::Receiver<Reply>, Reply> {
        let now = self.now();
        let mut state = self.lock();
        let fingerprint = operation_request.request.fingerprint;
        let refuse = |refusal| Reply::NotRun { attempt: AttemptId::default(), refusal };
        let entry = state.catalogue.entries.get(&operation_request.request.entry).cloned();
        let Some(owner) = state.ticket_owners.get_mut(&key.0) else { return Err(Reply::Gone) };
        let decision = owner.begin(now, &operation_request.ticket, fingerprint);
        let unresolved = match decision {
            OperationDecision::Replay(answer) => return Err(Reply::Answer(answer)),
            OperationDecision::Refuse(refusal) => return Err(refuse(refusal)),
            OperationDecision::Unknown(reason) => {
                return Err(Reply::Unknown { attempt: AttemptId::default(), reason });
            }
            OperationDecision::Moved(vm) => return Err(Reply::Moved(vm)),
            OperationDecision::Join => {
                let sender = state
                    .operation_results
                    .get(&key)
                    .expect("a running operation has a result channel");
                return Ok(sender.subscribe());
            }
            OperationDecision::Run => None,
            OperationDecision::Resolve(sent) => Some(sent),
        };
        let Some(entry) = entry else {
            if unresolved.is_none() {
                owner.refuse(key.1, Refusal::UnknownEntry);
                return Err(refuse(Refusal::UnknownEntry));
            }
            owner.attempt_lost(key.1);
            return Err(Reply::Unknown {
                attempt: AttemptId::default(),
                reason: UnknownReason::PeerLost,
            });
        };
        let (sender, receiver) = broadcast::channel(1);
        state.operation_results.insert(key, sender);
        drop(state);
        let operation =
            Operation { key, entry, request: operation_request.request.clone(), deadline };
        let node = Arc::clone(self);
        tokio::spawn(async move { node.complete_operation(operation, unresolved).await });
        Ok(receiver)
    }

    /// Runs an operation until its outcome is known or its deadline has passed.
    async fn complete_operation(
        self: Arc<Self>,
        operation: Operation,
        unresolved: Option<SentAttempt>,
    ) {
        let reply = self.run_attempts(&operation, unresolved).await;
        let sender = self.lock().operation_results.remove(&operation.key);
        if let Some(sender) = sender {
            // Sending fails if no caller waits any more.
            let _ = sender.send(reply);
        }
    }

    fn with_owner<T>(
        &self,
        key: OperationKey,
        update: impl FnOnce(&mut TicketOwner<Answer>) -> T,
    ) -> T {
        let mut state = self.lock();
        update(
            state.ticket_owners.get_mut(&key.0).expect("records of a running operation are kept"),
        )
    }

    async fn run_attempts(
        self: &Arc<Self>,
        operation: &Operation,
        unresolved: Option<SentAttempt>,
    ) -> Reply {
        let serial = operation.key.1;
        if let Some(sent) = unresolved {
            match self.resolve(sent, operation.deadline).await {
                Resolution::Answered(answer) => return self.record_answer(operation, answer),
                Resolution::Lost(reason) => return self.record_unknown(operation, sent.id, reason),
                Resolution::NeverRun => {
                    self.with_owner(operation.key, |owner| owner.attempt_voided(serial))
                }
            }
        }
        self.earn_budgets();
        let mut tried = Vec::new();
        let mut last = (AttemptId::default(), Refusal::NoUpstream);
        if let Err(refusal) = self.check_request(&operation.request) {
            return self.record_refusal(operation, last.0, refusal);
        }
        loop {
            if self.now() >= operation.deadline {
                return self.record_refusal(operation, last.0, Refusal::Deadline);
            }
            let Some(vm) = self.pick_vm(&operation.entry, operation.request.fingerprint, &tried)
            else {
                return self.record_refusal(operation, last.0, last.1);
            };
            if !self.learn_incarnation(vm, operation.deadline).await {
                tried.push(vm);
                continue;
            }
            tried.push(vm);
            match self.send_once(operation, vm).await {
                AttemptEnd::Answered(answer) => return self.record_answer(operation, answer),
                AttemptEnd::Lost(id, reason) => return self.record_unknown(operation, id, reason),
                AttemptEnd::NotRun(id, refusal) => {
                    last = (id, refusal);
                    if !refusal.is_retryable() || !self.spend_retry(true) {
                        return self.record_refusal(operation, id, refusal);
                    }
                }
            }
        }
    }

    /// Sends one attempt and returns its result; a lost reply is resolved with the gate.
    async fn send_once(self: &Arc<Self>, operation: &Operation, vm: Vm) -> AttemptEnd {
        let serial = operation.key.1;
        let Operation { entry, request, deadline, .. } = operation;
        let (id, gate, future) = self.start_attempt(entry, request, vm, true, *deadline);
        self.with_owner(operation.key, |owner| {
            owner.attempt_sent(serial, SentAttempt { id, gate })
        });
        let result = self.timer.timeout_at(*deadline, future).await;
        let resolution = match result.map(|result| result.reply) {
            Some(Ok(Reply::Answer(answer))) => Resolution::Answered(answer),
            Some(Ok(Reply::NotRun { refusal, .. })) => {
                self.with_owner(operation.key, |owner| owner.attempt_refused(serial));
                return AttemptEnd::NotRun(id, refusal);
            }
            Some(Ok(Reply::Voided) | Err(LinkError::Unsent(_))) => Resolution::NeverRun,
            Some(Ok(Reply::Unknown { reason, .. })) => Resolution::Lost(reason),
            Some(Ok(Reply::Gone)) => Resolution::Lost(UnknownReason::PeerLost),
            Some(Ok(_) | Err(LinkError::Lost(_))) => {
                self.resolve(SentAttempt { id, gate }, *deadline).await
            }
            None => Resolution::Lost(UnknownReason::Late),
        };
        match resolution {
            Resolution::Answered(answer) => AttemptEnd::Answered(answer),
            Resolution::Lost(reason) => AttemptEnd::Lost(id, reason),
            Resolution::NeverRun => {
                self.with_owner(operation.key, |owner| owner.attempt_voided(serial));
                AttemptEnd::NotRun(id, Refusal::Voided)
            }
        }
    }

    /// Probes the node on `vm` if its incarnation is unknown; returns whether it is known now.
    async fn learn_incarnation(self: &Arc<Self>, vm: Vm, deadline: Micros) -> bool {
        if vm == self.options.vm {
            return true;
        }
        let known = |node: &Node| {
            let state = node.lock();
            state.fleet.member(vm).is_some_and(|member| member.incarnation.is_some())
        };
        if known(self) {
            return true;
        }
        self.metrics.measure_sent.inc();
        let probe = self.send_request(vm, PeerRequest::Probe);
        self.timer.timeout_at(deadline, probe).await;
        known(self)
    }

    /// Asks the gate for the result of an attempt, and voids the attempt if it has not arrived.
    async fn resolve(self: &Arc<Self>, sent: SentAttempt, deadline: Micros) -> Resolution {
        loop {
            let reply = if sent.gate.vm == self.options.vm {
                Some(Ok(self.void_attempt(sent.id, sent.gate.incarnation)))
            } else {
                let request = PeerRequest::Void { id: sent.id, incarnation: sent.gate.incarnation };
                self.timer.timeout_at(deadline, self.send_request(sent.gate.vm, request)).await
            };
            match reply {
                Some(Ok(Reply::Answer(answer))) if answer.attempt == sent.id => {
                    return Resolution::Answered(answer);
                }
                Some(Ok(Reply::Voided)) => return Resolution::NeverRun,
                Some(Ok(Reply::Gone)) => return Resolution::Lost(UnknownReason::PeerLost),
                Some(Ok(Reply::Unknown { reason, .. })) => return Resolution::Lost(reason),
                Some(Ok(_) | Err(_)) => {}
                None => return Resolution::Lost(UnknownReason::Late),
            }
            if self.now() + RESOLVE_INTERVAL > deadline {
                return Resolution::Lost(UnknownReason::Late);
            }
            self.timer.sleep(RESOLVE_INTERVAL).await;
        }
    }

    fn record_answer(&self, operation: &Operation, answer: Answer) -> Reply {
        self.with_owner(operation.key, |owner| {
            owner.attempt_answered(operation.key.1, answer.clone())
        });
        Reply::Answer(answer)
    }

    fn record_unknown(
        &self,
        operation: &Operation,
        attempt: AttemptId,
        reason: UnknownReason,
    ) -> Reply {
        self.with_owner(operation.key, |owner| owner.attempt_lost(operation.key.1));
        Reply::Unknown { attempt, reason }
    }

    fn record_refusal(&self, operation: &Operation, attempt: AttemptId, refusal: Refusal) -> Reply {
        self.with_owner(operation.key, |owner| owner.refuse(operation.key.1, refusal));
        Reply::NotRun { attempt, refusal }
    }

    /// Takes over the records of a stopping owner.
    pub(crate) fn adopt_operations(&self, handoff: Handoff<Answer>) -> Reply {
        let now = self.now();
        let mut state = self.lock();
        let refuse = Reply::NotRun { attempt: AttemptId::default(), refusal: Refusal::Draining };
        if state.draining() {
            return refuse;
        }
        let id = handoff.owner;
        if state.ticket_owners.contains_key(&id) {
            return Reply::Ack;
        }
        let count = handoff.records.len();
        let Some(owner) = TicketOwner::adopt(now, handoff) else { return refuse };
        state.ticket_owners.insert(id, owner);
        let cause = format!("took over {count} records");
        state.audit.write(now, Event::Handoff, &id.to_string(), &cause);
        Reply::Ack
    }
}

/// Result of one attempt of an operation, after a lost reply was resolved with its gate.
enum AttemptEnd {
    Answered(Answer),
    Lost(AttemptId, UnknownReason),
    NotRun(AttemptId, Refusal),
}

fn owner_key(owner: NodeId) -> [u8; 12] {
    let mut key = [0; 12];
    key[..4].copy_from_slice(&owner.vm.0.to_be_bytes());
    key[4..].copy_from_slice(&owner.incarnation.to_be_bytes());
    key
}
