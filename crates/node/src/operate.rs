//! Operations that run at most once: the owner's side and the way to the owner.

use std::sync::Arc;

use bbv_core::catalogue::Entry;
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::operation::{Handoff, OperationDecision, SentAttempt, TicketOwner};
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::rendezvous;
use bbv_core::ticket::Ticket;
use bbv_core::units::{MS, Micros};
use bbv_wire::{Answer, Ask, Operate, Reply, Request};
use tokio::sync::broadcast;

use crate::audit::Event;
use crate::ingress::outcome_of;
use crate::node::Node;
use crate::outcome::Outcome;
use crate::ports::LinkError;
use crate::state::OpKey;

const RESOLVE_EVERY: Micros = 20 * MS;
const OWNER_TRIES: usize = 3;
const SUCCESSORS: usize = 3;

/// What became of an attempt after its gate was asked.
enum Word {
    Answered(Answer),
    NeverRun,
    Lost(UnknownReason),
}

/// One operation that this node drives.
struct Drive {
    key: OpKey,
    entry: Entry,
    request: Request,
    deadline: Micros,
}

impl Node {
    /// Mints a ticket for a caller.
    pub(crate) fn mint(&self) -> Option<Ticket> {
        let now = self.now();
        let mut state = self.lock();
        let me = state.me;
        state.owners.get_mut(&me).and_then(|owner| owner.mint(now))
    }

    /// Takes a call to the owner of its ticket.
    pub(crate) async fn call_owner(self: &Arc<Self>, operate: Operate) -> Outcome {
        let reply = self.find_owner(operate).await;
        let mut outcome = outcome_of(reply);
        outcome.spare = self.mint();
        outcome
    }

    async fn find_owner(self: &Arc<Self>, operate: Operate) -> Reply {
        let owner = operate.ticket.owner;
        let deadline = self.now() + operate.ttl;
        let mut next = Some(owner.vm);
        if self.lock().owners.contains_key(&owner) {
            match self.operate(operate.clone()).await {
                Reply::Moved(vm) => next = Some(vm),
                reply => return reply,
            }
        }
        let mut asked = Vec::new();
        let mut successors = self.successors(owner).into_iter();
        while let Some(vm) = next.take().or_else(|| successors.next()) {
            if vm == self.options.vm || asked.contains(&vm) {
                continue;
            }
            asked.push(vm);
            let left = deadline.saturating_sub(self.now());
            let ask = Operate { ttl: left, ..operate.clone() };
            match self.ask_owner(vm, ask, deadline).await {
                Some(Reply::Moved(vm)) => next = Some(vm),
                Some(Reply::Gone) | None => {}
                Some(reply) => return reply,
            }
        }
        Reply::Unknown { attempt: AttemptId::default(), doubt: UnknownReason::OwnerLost }
    }

    /// Asks a possible owner; asking again is safe, since it joins the same operation.
    async fn ask_owner(
        self: &Arc<Self>,
        vm: Vm,
        operate: Operate,
        deadline: Micros,
    ) -> Option<Reply> {
        for _ in 0..OWNER_TRIES {
            let ask = self.ask(vm, Ask::Operate(operate.clone()));
            match self.timer.timeout_at(deadline, ask).await {
                Some(Ok(reply)) => return Some(reply),
                Some(Err(LinkError::Unsent(_) | LinkError::Lost(_))) => {}
                None => break,
            }
            if self.now() + RESOLVE_EVERY > deadline {
                break;
            }
            self.timer.sleep(RESOLVE_EVERY).await;
        }
        None
    }

    /// Nodes that an owner may have handed its records to, in order.
    pub(crate) fn successors(&self, owner: NodeId) -> Vec<Vm> {
        let state = self.lock();
        let others = state.fleet.members().filter(|member| member.listed.vm != owner.vm);
        let vms: Vec<u64> = others.map(|member| u64::from(member.listed.vm.0)).collect();
        let key = owner_key(owner);
        rendezvous::top(&key, &vms, SUCCESSORS).into_iter().map(|vm| Vm(vm as u32)).collect()
    }

    /// Runs or resumes an operation whose records this node holds.
    pub(crate) async fn operate(self: &Arc<Self>, operate: Operate) -> Reply {
        let deadline = self.now() + operate.ttl;
        let key = (operate.ticket.owner, operate.ticket.serial);
        if !self.wait_serving(deadline).await {
            return Reply::Unknown { attempt: AttemptId::default(), doubt: UnknownReason::Late };
        }
        let mut result = match self.begin(&operate, key, deadline) {
            Ok(result) => result,
            Err(reply) => return reply,
        };
        let late = Reply::Unknown { attempt: AttemptId::default(), doubt: UnknownReason::Late };
        match self.timer.timeout_at(deadline, result.recv()).await {
            Some(Ok(reply)) => reply,
            Some(Err(_)) | None => late,
        }
    }

    /// Consults the record; returns the result to wait for, or a reply at once.
    fn begin(
        self: &Arc<Self>,
        operate: &Operate,
        key: OpKey,
        deadline: Micros,
    ) -> Result<broadcast::Receiver<Reply>, Reply> {
        let now = self.now();
        let mut state = self.lock();
        let print = operate.request.print;
        let refuse = |refusal| Reply::NotRun { attempt: AttemptId::default(), refusal };
        let entry = state.catalogue.entries.get(&operate.request.entry).cloned();
        let Some(owner) = state.owners.get_mut(&key.0) else { return Err(Reply::Gone) };
        let begin = owner.begin(now, &operate.ticket, print);
        let resolve = match begin {
            OperationDecision::Replay(answer) => return Err(Reply::Answer(answer)),
            OperationDecision::Refuse(refusal) => return Err(refuse(refusal)),
            OperationDecision::Unknown(doubt) => {
                return Err(Reply::Unknown { attempt: AttemptId::default(), doubt });
            }
            OperationDecision::Moved(vm) => return Err(Reply::Moved(vm)),
            OperationDecision::Join => {
                let sender = state.watched.get(&key).expect("a driven operation is watched");
                return Ok(sender.subscribe());
            }
            OperationDecision::Run => None,
            OperationDecision::Resolve(sent) => Some(sent),
        };
        let Some(entry) = entry else {
            if resolve.is_none() {
                owner.refuse(key.1, Refusal::UnknownEntry);
                return Err(refuse(Refusal::UnknownEntry));
            }
            owner.attempt_lost(key.1);
            return Err(Reply::Unknown {
                attempt: AttemptId::default(),
                doubt: UnknownReason::PeerLost,
            });
        };
        let (sender, receiver) = broadcast::channel(1);
        state.watched.insert(key, sender);
        drop(state);
        let drive = Drive { key, entry, request: operate.request.clone(), deadline };
        let node = Arc::clone(self);
        tokio::spawn(async move { node.drive(drive, resolve).await });
        Ok(receiver)
    }

    /// Drives an operation until its outcome is known or its time is up.
    async fn drive(self: Arc<Self>, drive: Drive, resolve: Option<SentAttempt>) {
        let reply = self.drive_to_end(&drive, resolve).await;
        let sender = self.lock().watched.remove(&drive.key);
        if let Some(sender) = sender {
            // Nobody may wait any longer.
            let _ = sender.send(reply);
        }
    }

    fn owner<T>(&self, key: OpKey, act: impl FnOnce(&mut TicketOwner<Answer>) -> T) -> T {
        let mut state = self.lock();
        act(state.owners.get_mut(&key.0).expect("records of a driven operation are kept"))
    }

    async fn drive_to_end(self: &Arc<Self>, drive: &Drive, resolve: Option<SentAttempt>) -> Reply {
        let serial = drive.key.1;
        if let Some(sent) = resolve {
            match self.resolve(sent, drive.deadline).await {
                Word::Answered(answer) => return self.record(drive, answer),
                Word::Lost(doubt) => return self.doubt(drive, sent.id, doubt),
                Word::NeverRun => self.owner(drive.key, |owner| owner.attempt_voided(serial)),
            }
        }
        self.earn();
        let mut tried = Vec::new();
        let mut last = (AttemptId::default(), Refusal::NoUpstream);
        if let Err(refusal) = self.check(&drive.request) {
            return self.refuse(drive, last.0, refusal);
        }
        loop {
            if self.now() >= drive.deadline {
                return self.refuse(drive, last.0, Refusal::Deadline);
            }
            let Some(vm) = self.pick(&drive.entry, drive.request.print, &tried) else {
                return self.refuse(drive, last.0, last.1);
            };
            if !self.know_incarnation(vm, drive.deadline).await {
                tried.push(vm);
                continue;
            }
            tried.push(vm);
            match self.send_once(drive, vm).await {
                Tried::Answered(answer) => return self.record(drive, answer),
                Tried::Lost(id, doubt) => return self.doubt(drive, id, doubt),
                Tried::NotRun(id, refusal) => {
                    last = (id, refusal);
                    if !refusal.is_retryable() || !self.may_retry(true) {
                        return self.refuse(drive, id, refusal);
                    }
                }
            }
        }
    }

    /// Sends one attempt and settles what became of it.
    async fn send_once(self: &Arc<Self>, drive: &Drive, vm: Vm) -> Tried {
        let serial = drive.key.1;
        let Drive { entry, request, deadline, .. } = drive;
        let (id, gate, future) = self.attempt(entry, request, vm, true, *deadline);
        self.owner(drive.key, |owner| owner.attempt_sent(serial, SentAttempt { id, gate }));
        let tried = self.timer.timeout_at(*deadline, future).await;
        let word = match tried.map(|tried| tried.reply) {
            Some(Ok(Reply::Answer(answer))) => Word::Answered(answer),
            Some(Ok(Reply::NotRun { refusal, .. })) => {
                self.owner(drive.key, |owner| owner.attempt_refused(serial));
                return Tried::NotRun(id, refusal);
            }
            Some(Ok(Reply::Voided) | Err(LinkError::Unsent(_))) => Word::NeverRun,
            Some(Ok(Reply::Unknown { doubt, .. })) => Word::Lost(doubt),
            Some(Ok(Reply::Gone)) => Word::Lost(UnknownReason::PeerLost),
            Some(Ok(_) | Err(LinkError::Lost(_))) => {
                self.resolve(SentAttempt { id, gate }, *deadline).await
            }
            None => Word::Lost(UnknownReason::Late),
        };
        match word {
            Word::Answered(answer) => Tried::Answered(answer),
            Word::Lost(doubt) => Tried::Lost(id, doubt),
            Word::NeverRun => {
                self.owner(drive.key, |owner| owner.attempt_voided(serial));
                Tried::NotRun(id, Refusal::Voided)
            }
        }
    }

    /// Makes sure that the incarnation of the node on `vm` is known.
    async fn know_incarnation(self: &Arc<Self>, vm: Vm, deadline: Micros) -> bool {
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
        let probe = self.ask(vm, Ask::Probe);
        self.timer.timeout_at(deadline, probe).await;
        known(self)
    }

    /// Asks the gate what became of an attempt, and voids it if it has not arrived.
    async fn resolve(self: &Arc<Self>, sent: SentAttempt, deadline: Micros) -> Word {
        loop {
            let reply = if sent.gate.vm == self.options.vm {
                Some(Ok(self.void(sent.id, sent.gate.incarnation)))
            } else {
                let ask = Ask::Void { id: sent.id, incarnation: sent.gate.incarnation };
                self.timer.timeout_at(deadline, self.ask(sent.gate.vm, ask)).await
            };
            match reply {
                Some(Ok(Reply::Answer(answer))) if answer.attempt == sent.id => {
                    return Word::Answered(answer);
                }
                Some(Ok(Reply::Voided)) => return Word::NeverRun,
                Some(Ok(Reply::Gone)) => return Word::Lost(UnknownReason::PeerLost),
                Some(Ok(Reply::Unknown { doubt, .. })) => return Word::Lost(doubt),
                Some(Ok(_) | Err(_)) => {}
                None => return Word::Lost(UnknownReason::Late),
            }
            if self.now() + RESOLVE_EVERY > deadline {
                return Word::Lost(UnknownReason::Late);
            }
            self.timer.sleep(RESOLVE_EVERY).await;
        }
    }

    fn record(&self, drive: &Drive, answer: Answer) -> Reply {
        self.owner(drive.key, |owner| owner.attempt_answered(drive.key.1, answer.clone()));
        Reply::Answer(answer)
    }

    fn doubt(&self, drive: &Drive, attempt: AttemptId, doubt: UnknownReason) -> Reply {
        self.owner(drive.key, |owner| owner.attempt_lost(drive.key.1));
        Reply::Unknown { attempt, doubt }
    }

    fn refuse(&self, drive: &Drive, attempt: AttemptId, refusal: Refusal) -> Reply {
        self.owner(drive.key, |owner| owner.refuse(drive.key.1, refusal));
        Reply::NotRun { attempt, refusal }
    }

    /// Takes over the records of an owner that stops.
    pub(crate) fn adopt(&self, handoff: Handoff<Answer>) -> Reply {
        let now = self.now();
        let mut state = self.lock();
        let refuse = Reply::NotRun { attempt: AttemptId::default(), refusal: Refusal::Draining };
        if state.draining() {
            return refuse;
        }
        let id = handoff.owner;
        if state.owners.contains_key(&id) {
            return Reply::Ack;
        }
        let count = handoff.records.len();
        let Some(owner) = TicketOwner::adopt(now, handoff) else { return refuse };
        state.owners.insert(id, owner);
        let cause = format!("took over {count} records");
        state.audit.write(now, Event::Handoff, &id.to_string(), &cause);
        Reply::Ack
    }
}

/// Result of one attempt of an operation.
enum Tried {
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
