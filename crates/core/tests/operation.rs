//! Model check of the operation protocol with the record types of the crate. It visits all states
//! that lost, late and duplicated messages, refusals, a gate restart and resends can lead to.

use std::collections::HashSet;

use bbv_core::attempt::{AttemptStatus, Attempts};
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::operation::{
    OperationDecision, RECORD_GRACE, SentAttempt, TICKET_LIFETIME, TicketOwner,
};
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::ticket::{Key, Ticket};

const FINGERPRINT: u64 = 7;
const GATE_COUNT: usize = 2;
const MAX_ATTEMPTS: u64 = 2;
const MAX_RESENDS: u32 = 2;
const MAX_CRASHES: u32 = 1;
const MAX_DUPLICATES: u32 = 2;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReplyKind {
    Answer,
    NotRun,
    Unknown,
    Gone,
    Running,
    Voided,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Message {
    Attempt(SentAttempt),
    Reply(AttemptId, ReplyKind),
    Void(SentAttempt),
    VoidReply(AttemptId, ReplyKind),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Awaited {
    Nothing,
    Reply(SentAttempt),
    Void(SentAttempt),
}

#[derive(Clone, Debug)]
struct Gate {
    incarnation: u64,
    attempts: Attempts<u8>,
    running: Vec<AttemptId>,
}

#[derive(Clone, Debug)]
struct Model {
    owner: TicketOwner<u8>,
    ticket: Ticket,
    gates: Vec<Gate>,
    in_flight: Vec<Message>,
    awaited: Awaited,
    serial: u64,
    resends: u32,
    crashes: u32,
    duplicates: u32,
    runs: u32,
    refusal_returned: bool,
    answer_returned: bool,
    voids_attempts: bool,
}

impl Model {
    fn new(voids_attempts: bool) -> Self {
        let mut owner = TicketOwner::new(NodeId { vm: Vm(9), incarnation: 1 }, Key([1, 2]), 9);
        let ticket = owner.mint(0).expect("the table is empty");
        let gate = Gate { incarnation: 1, attempts: Attempts::new(9), running: Vec::new() };
        let mut model = Model {
            owner,
            ticket,
            gates: vec![gate; GATE_COUNT],
            in_flight: Vec::new(),
            awaited: Awaited::Nothing,
            serial: 0,
            resends: 0,
            crashes: 0,
            duplicates: 0,
            runs: 0,
            refusal_returned: false,
            answer_returned: false,
            voids_attempts,
        };
        model.request();
        model
    }

    /// Delivers the caller's request, or a resend of it, to the owner.
    fn request(&mut self) {
        match self.owner.begin(0, &self.ticket, FINGERPRINT) {
            OperationDecision::Run => self.send_attempt(),
            OperationDecision::Resolve(sent) => {
                self.awaited = Awaited::Void(sent);
                self.in_flight.push(Message::Void(sent));
            }
            OperationDecision::Replay(_) => self.answer_returned = true,
            OperationDecision::Refuse(_) => self.refusal_returned = true,
            OperationDecision::Join | OperationDecision::Unknown(_) => {}
            OperationDecision::Moved(_) => unreachable!("no records are handed off"),
        }
    }

    fn send_attempt(&mut self) {
        if self.serial >= MAX_ATTEMPTS {
            self.owner.refuse(0, Refusal::Overload);
            self.refusal_returned = true;
            self.awaited = Awaited::Nothing;
            return;
        }
        let index = self.serial as usize % GATE_COUNT;
        self.serial += 1;
        let gate = NodeId { vm: Vm(index as u32), incarnation: self.gates[index].incarnation };
        let id = AttemptId { node: self.owner.id(), serial: self.serial };
        let sent = SentAttempt { id, gate };
        self.owner.attempt_sent(0, sent);
        self.in_flight.push(Message::Attempt(sent));
        self.awaited = Awaited::Reply(sent);
    }

    /// Applies the owner's timeout for the awaited message.
    fn time_out(&mut self) {
        match self.awaited {
            Awaited::Reply(sent) if self.voids_attempts => {
                self.awaited = Awaited::Void(sent);
                self.in_flight.push(Message::Void(sent));
            }
            // Deliberate fault that the check must find: the attempt is abandoned without a void.
            Awaited::Reply(_) => {
                self.owner.attempt_voided(0);
                self.send_attempt();
            }
            Awaited::Void(_) => {
                self.owner.attempt_lost(0);
                self.awaited = Awaited::Nothing;
            }
            Awaited::Nothing => {}
        }
    }

    fn reply_kind(status: AttemptStatus<u8>) -> ReplyKind {
        match status {
            AttemptStatus::Done(_) => ReplyKind::Answer,
            AttemptStatus::Lost => ReplyKind::Unknown,
            AttemptStatus::New | AttemptStatus::Running => ReplyKind::Running,
            AttemptStatus::Voided => ReplyKind::Voided,
        }
    }

    /// Returns the states after delivery of `message`; a gate may run or refuse a new attempt.
    fn deliver(&self, message: Message) -> Vec<Model> {
        let mut next = self.clone();
        match message {
            Message::Attempt(sent) => {
                let gate = &mut next.gates[sent.gate.vm.0 as usize];
                if gate.incarnation != sent.gate.incarnation {
                    next.in_flight.push(Message::Reply(sent.id, ReplyKind::Gone));
                    return vec![next];
                }
                match gate.attempts.register(0, sent.id) {
                    AttemptStatus::New => {
                        let mut refused = next.clone();
                        let gate = &mut refused.gates[sent.gate.vm.0 as usize];
                        gate.attempts.mark_refused(sent.id);
                        refused.in_flight.push(Message::Reply(sent.id, ReplyKind::NotRun));
                        next.gates[sent.gate.vm.0 as usize].running.push(sent.id);
                        next.runs += 1;
                        vec![next, refused]
                    }
                    status => {
                        next.in_flight.push(Message::Reply(sent.id, Self::reply_kind(status)));
                        vec![next]
                    }
                }
            }
            Message::Void(sent) => {
                let gate = &mut next.gates[sent.gate.vm.0 as usize];
                let kind = if gate.incarnation == sent.gate.incarnation {
                    Self::reply_kind(gate.attempts.void(0, sent.id))
                } else {
                    ReplyKind::Gone
                };
                next.in_flight.push(Message::VoidReply(sent.id, kind));
                vec![next]
            }
            Message::Reply(id, kind) => {
                next.receive(id, kind, false);
                vec![next]
            }
            Message::VoidReply(id, kind) => {
                next.receive(id, kind, true);
                vec![next]
            }
        }
    }

    fn receive(&mut self, id: AttemptId, kind: ReplyKind, void: bool) {
        let sent = match self.awaited {
            Awaited::Reply(sent) if !void && sent.id == id => sent,
            Awaited::Void(sent) if void && sent.id == id => sent,
            _ => return,
        };
        match kind {
            ReplyKind::Answer => {
                self.owner.attempt_answered(0, 1);
                self.answer_returned = true;
                self.awaited = Awaited::Nothing;
            }
            ReplyKind::NotRun => {
                self.owner.attempt_refused(0);
                self.send_attempt();
            }
            ReplyKind::Voided => {
                self.owner.attempt_voided(0);
                self.send_attempt();
            }
            ReplyKind::Unknown | ReplyKind::Gone => {
                self.owner.attempt_lost(0);
                self.awaited = Awaited::Nothing;
            }
            ReplyKind::Running => {
                self.awaited = Awaited::Void(sent);
                self.in_flight.push(Message::Void(sent));
            }
        }
    }

    fn next_states(&self) -> Vec<Model> {
        let mut states = Vec::new();
        for index in 0..self.in_flight.len() {
            let mut lost = self.clone();
            let message = lost.in_flight.remove(index);
            states.extend(lost.deliver(message));
            states.push(lost);
            if self.duplicates < MAX_DUPLICATES {
                let mut duplicated = self.clone();
                duplicated.duplicates += 1;
                duplicated.in_flight.push(message);
                states.push(duplicated);
            }
        }
        for gate in 0..GATE_COUNT {
            if let Some(id) = self.gates[gate].running.first().copied() {
                let mut done = self.clone();
                done.gates[gate].running.remove(0);
                done.gates[gate].attempts.mark_answered(id, 1);
                done.in_flight.push(Message::Reply(id, ReplyKind::Answer));
                states.push(done);
            }
            if self.crashes < MAX_CRASHES {
                let mut crashed = self.clone();
                crashed.crashes += 1;
                let incarnation = crashed.gates[gate].incarnation + 1;
                crashed.gates[gate] =
                    Gate { incarnation, attempts: Attempts::new(9), running: Vec::new() };
                states.push(crashed);
            }
        }
        if self.awaited != Awaited::Nothing {
            let mut timed_out = self.clone();
            timed_out.time_out();
            states.push(timed_out);
        }
        if self.resends < MAX_RESENDS {
            let mut resent = self.clone();
            resent.resends += 1;
            resent.request();
            states.push(resent);
        }
        states
    }

    /// Reduces models that behave the same to one form.
    fn normalize(&mut self) {
        let awaited = match self.awaited {
            Awaited::Reply(sent) => Some(sent.id),
            _ => None,
        };
        // A reply that is no longer awaited would be ignored on arrival.
        self.in_flight
            .retain(|message| !matches!(message, Message::Reply(id, _) if Some(*id) != awaited));
        let last = self.serial;
        self.in_flight
            .retain(|message| !matches!(message, Message::VoidReply(id, _) if id.serial < last));
        self.in_flight.sort_by_key(|message| format!("{message:?}"));
    }

    fn violation(&self) -> Option<&'static str> {
        if self.runs > 1 {
            return Some("operation ran twice");
        }
        if self.refusal_returned && self.runs > 0 {
            return Some("operation ran and the caller received not-run");
        }
        (self.answer_returned && self.runs == 0)
            .then_some("caller received an answer and the operation did not run")
    }
}

/// Visits every reachable state; returns the first violation and the number of states seen.
fn explore(initial: Model) -> (Option<&'static str>, usize) {
    let mut seen = HashSet::new();
    let mut unvisited = vec![initial];
    while let Some(model) = unvisited.pop() {
        if let Some(violation) = model.violation() {
            return (Some(violation), seen.len());
        }
        for mut next in model.next_states() {
            next.normalize();
            if seen.insert(format!("{next:?}")) {
                unvisited.push(next);
            }
        }
    }
    (None, seen.len())
}

#[test]
fn no_reachable_state_runs_twice_or_misreports_the_outcome() {
    let (violation, states) = explore(Model::new(true));
    assert_eq!(violation, None);
    assert!(states > 10_000, "only {states} states were visited");
}

#[test]
fn explore_detects_owner_that_does_not_void() {
    let (violation, _) = explore(Model::new(false));
    assert!(violation.is_some());
}

fn owner() -> TicketOwner<u8> {
    TicketOwner::new(NodeId { vm: Vm(1), incarnation: 5 }, Key([3, 4]), 2)
}

#[test]
fn full_table_mints_nothing_until_tickets_expire() {
    let mut owner = owner();
    assert!(owner.mint(0).is_some());
    assert!(owner.mint(0).is_some());
    assert!(owner.mint(TICKET_LIFETIME).is_none());
    assert!(owner.mint(TICKET_LIFETIME + RECORD_GRACE + 2_000_000).is_some());
}

#[test]
fn expired_ticket_is_never_called_not_run() {
    let mut owner = owner();
    let ticket = owner.mint(0).expect("the table is empty");
    assert_eq!(
        owner.begin(TICKET_LIFETIME, &ticket, FINGERPRINT),
        OperationDecision::Unknown(UnknownReason::TicketExpired)
    );
}

#[test]
fn forged_and_foreign_tickets_are_unknown() {
    let mut owner = owner();
    let ticket = owner.mint(0).expect("the table is empty");
    let forged = Ticket { serial: ticket.serial + 1, ..ticket };
    assert_eq!(
        owner.begin(0, &forged, FINGERPRINT),
        OperationDecision::Refuse(Refusal::TicketUnknown)
    );
    let longer = Ticket { expiry: ticket.expiry + 1, ..ticket };
    assert_eq!(
        owner.begin(0, &longer, FINGERPRINT),
        OperationDecision::Refuse(Refusal::TicketUnknown)
    );
}

#[test]
fn ticket_of_another_request_is_refused() {
    let mut owner = owner();
    let ticket = owner.mint(0).expect("the table is empty");
    assert_eq!(owner.begin(0, &ticket, FINGERPRINT), OperationDecision::Run);
    assert_eq!(
        owner.begin(0, &ticket, FINGERPRINT + 1),
        OperationDecision::Refuse(Refusal::Malformed)
    );
}

#[test]
fn successor_replays_what_the_owner_recorded() {
    let mut first = owner();
    let ticket = first.mint(0).expect("the table is empty");
    assert_eq!(first.begin(0, &ticket, FINGERPRINT), OperationDecision::Run);
    let sent = SentAttempt { id: AttemptId::default(), gate: NodeId::default() };
    first.attempt_sent(0, sent);
    assert!(first.hand_off(0, Vm(2)).is_none(), "an attempt is in flight");
    first.attempt_answered(0, 42);
    let handoff = first.hand_off(5_000, Vm(2)).expect("no attempt is in flight");
    assert_eq!(first.begin(0, &ticket, FINGERPRINT), OperationDecision::Moved(Vm(2)));
    // The successor's clock has another origin.
    let mut second = TicketOwner::adopt(900_000_000_000, handoff).expect("the records are valid");
    assert_eq!(second.begin(900_000_000_000, &ticket, FINGERPRINT), OperationDecision::Replay(42));
    assert!(second.mint(900_000_000_000).is_none());
}
