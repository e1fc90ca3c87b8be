//! Exhaustive check of the operation protocol on a small model: lost, late and doubled
//! messages, refusals, a restarted gate and resends, over the real record types.

use std::collections::HashSet;

use bbv_core::attempt::{Attempts, Known};
use bbv_core::id::{AttemptId, NodeId, Vm};
use bbv_core::operation::{Begin, GRACE, Owner, Sent, TICKET_LIFE};
use bbv_core::outcome::{Doubt, Refusal};
use bbv_core::ticket::{Key, Ticket};

const PRINT: u64 = 7;
const GATES: usize = 2;
const SENDS: u64 = 2;
const RESENDS: u32 = 2;
const CRASHES: u32 = 1;
const COPIES: u32 = 2;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Word {
    Answer,
    NotRun,
    Unknown,
    Gone,
    Running,
    Voided,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Message {
    Attempt(Sent),
    Reply(AttemptId, Word),
    Void(Sent),
    VoidReply(AttemptId, Word),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Waits {
    Nothing,
    Reply(Sent),
    Void(Sent),
}

#[derive(Clone, Debug)]
struct Gate {
    incarnation: u64,
    attempts: Attempts<u8>,
    running: Vec<AttemptId>,
}

#[derive(Clone, Debug)]
struct Model {
    owner: Owner<u8>,
    ticket: Ticket,
    gates: Vec<Gate>,
    net: Vec<Message>,
    waits: Waits,
    serial: u64,
    resends: u32,
    crashes: u32,
    copies: u32,
    runs: u32,
    told_not_run: bool,
    told_answer: bool,
    honest: bool,
}

impl Model {
    fn new(honest: bool) -> Self {
        let mut owner = Owner::new(NodeId { vm: Vm(9), incarnation: 1 }, Key([1, 2]), 9);
        let ticket = owner.mint(0).expect("the table is empty");
        let gate = Gate { incarnation: 1, attempts: Attempts::new(9), running: Vec::new() };
        let mut model = Model {
            owner,
            ticket,
            gates: vec![gate; GATES],
            net: Vec::new(),
            waits: Waits::Nothing,
            serial: 0,
            resends: 0,
            crashes: 0,
            copies: 0,
            runs: 0,
            told_not_run: false,
            told_answer: false,
            honest,
        };
        model.request();
        model
    }

    /// The caller's request, or a resend of it, arrives at the owner.
    fn request(&mut self) {
        match self.owner.begin(0, &self.ticket, PRINT) {
            Begin::Run => self.send_next(),
            Begin::Resolve(sent) => {
                self.waits = Waits::Void(sent);
                self.net.push(Message::Void(sent));
            }
            Begin::Replay(_) => self.told_answer = true,
            Begin::Refuse(_) => self.told_not_run = true,
            Begin::Join | Begin::Doubt(_) => {}
            Begin::Moved(_) => unreachable!("nothing is handed over"),
        }
    }

    fn send_next(&mut self) {
        if self.serial >= SENDS {
            self.owner.refuse(0, Refusal::Overload);
            self.told_not_run = true;
            self.waits = Waits::Nothing;
            return;
        }
        let at = self.serial as usize % GATES;
        self.serial += 1;
        let gate = NodeId { vm: Vm(at as u32), incarnation: self.gates[at].incarnation };
        let id = AttemptId { node: self.owner.id(), serial: self.serial };
        let sent = Sent { id, gate };
        self.owner.sent(0, sent);
        self.net.push(Message::Attempt(sent));
        self.waits = Waits::Reply(sent);
    }

    /// The owner gives up waiting for a message.
    fn time_out(&mut self) {
        match self.waits {
            Waits::Reply(sent) if self.honest => {
                self.waits = Waits::Void(sent);
                self.net.push(Message::Void(sent));
            }
            // The guard under test: an attempt is given up without being voided.
            Waits::Reply(_) => {
                self.owner.voided(0);
                self.send_next();
            }
            Waits::Void(_) => {
                self.owner.lost(0);
                self.waits = Waits::Nothing;
            }
            Waits::Nothing => {}
        }
    }

    fn word(known: Known<u8>) -> Word {
        match known {
            Known::Done(_) => Word::Answer,
            Known::Lost => Word::Unknown,
            Known::New | Known::Running => Word::Running,
            Known::Voided => Word::Voided,
        }
    }

    /// Results of a message at its receiver; an attempt may be run or refused.
    fn deliver(&self, message: Message) -> Vec<Model> {
        let mut next = self.clone();
        match message {
            Message::Attempt(sent) => {
                let gate = &mut next.gates[sent.gate.vm.0 as usize];
                if gate.incarnation != sent.gate.incarnation {
                    next.net.push(Message::Reply(sent.id, Word::Gone));
                    return vec![next];
                }
                match gate.attempts.arrive(0, sent.id) {
                    Known::New => {
                        let mut refused = next.clone();
                        let gate = &mut refused.gates[sent.gate.vm.0 as usize];
                        gate.attempts.refused(sent.id);
                        refused.net.push(Message::Reply(sent.id, Word::NotRun));
                        next.gates[sent.gate.vm.0 as usize].running.push(sent.id);
                        next.runs += 1;
                        vec![next, refused]
                    }
                    known => {
                        next.net.push(Message::Reply(sent.id, Self::word(known)));
                        vec![next]
                    }
                }
            }
            Message::Void(sent) => {
                let gate = &mut next.gates[sent.gate.vm.0 as usize];
                let word = if gate.incarnation == sent.gate.incarnation {
                    Self::word(gate.attempts.void(0, sent.id))
                } else {
                    Word::Gone
                };
                next.net.push(Message::VoidReply(sent.id, word));
                vec![next]
            }
            Message::Reply(id, word) => {
                next.hear(id, word, false);
                vec![next]
            }
            Message::VoidReply(id, word) => {
                next.hear(id, word, true);
                vec![next]
            }
        }
    }

    fn hear(&mut self, id: AttemptId, word: Word, void: bool) {
        let sent = match self.waits {
            Waits::Reply(sent) if !void && sent.id == id => sent,
            Waits::Void(sent) if void && sent.id == id => sent,
            _ => return,
        };
        match word {
            Word::Answer => {
                self.owner.answered(0, 1);
                self.told_answer = true;
                self.waits = Waits::Nothing;
            }
            Word::NotRun => {
                self.owner.refused(0);
                self.send_next();
            }
            Word::Voided => {
                self.owner.voided(0);
                self.send_next();
            }
            Word::Unknown | Word::Gone => {
                self.owner.lost(0);
                self.waits = Waits::Nothing;
            }
            Word::Running => {
                self.waits = Waits::Void(sent);
                self.net.push(Message::Void(sent));
            }
        }
    }

    fn steps(&self) -> Vec<Model> {
        let mut all = Vec::new();
        for at in 0..self.net.len() {
            let mut rest = self.clone();
            let message = rest.net.remove(at);
            all.extend(rest.deliver(message));
            all.push(rest);
            if self.copies < COPIES {
                let mut copy = self.clone();
                copy.copies += 1;
                copy.net.push(message);
                all.push(copy);
            }
        }
        for at in 0..GATES {
            if let Some(id) = self.gates[at].running.first().copied() {
                let mut done = self.clone();
                done.gates[at].running.remove(0);
                done.gates[at].attempts.answered(id, 1);
                done.net.push(Message::Reply(id, Word::Answer));
                all.push(done);
            }
            if self.crashes < CRASHES {
                let mut crash = self.clone();
                crash.crashes += 1;
                let incarnation = crash.gates[at].incarnation + 1;
                crash.gates[at] =
                    Gate { incarnation, attempts: Attempts::new(9), running: Vec::new() };
                all.push(crash);
            }
        }
        if self.waits != Waits::Nothing {
            let mut late = self.clone();
            late.time_out();
            all.push(late);
        }
        if self.resends < RESENDS {
            let mut again = self.clone();
            again.resends += 1;
            again.request();
            all.push(again);
        }
        all
    }

    /// Brings models that behave alike to one form.
    fn normalize(&mut self) {
        let awaited = match self.waits {
            Waits::Reply(sent) => Some(sent.id),
            _ => None,
        };
        // A reply that nobody waits for any more is ignored when it comes.
        self.net
            .retain(|message| !matches!(message, Message::Reply(id, _) if Some(*id) != awaited));
        let last = self.serial;
        self.net
            .retain(|message| !matches!(message, Message::VoidReply(id, _) if id.serial < last));
        self.net.sort_by_key(|message| format!("{message:?}"));
    }

    fn fault(&self) -> Option<&'static str> {
        if self.runs > 1 {
            return Some("it ran twice");
        }
        if self.told_not_run && self.runs > 0 {
            return Some("it ran and the caller was told that it did not");
        }
        (self.told_answer && self.runs == 0).then_some("an answer without a run")
    }
}

/// Visits every state that can be reached; returns the first fault and the count.
fn explore(first: Model) -> (Option<&'static str>, usize) {
    let mut seen = HashSet::new();
    let mut open = vec![first];
    while let Some(model) = open.pop() {
        if let Some(fault) = model.fault() {
            return (Some(fault), seen.len());
        }
        for mut next in model.steps() {
            next.normalize();
            if seen.insert(format!("{next:?}")) {
                open.push(next);
            }
        }
    }
    (None, seen.len())
}

#[test]
fn no_history_runs_twice_or_lies() {
    let (fault, states) = explore(Model::new(true));
    assert_eq!(fault, None);
    assert!(states > 10_000, "only {states} states were visited");
}

#[test]
fn the_check_finds_an_owner_that_does_not_void() {
    let (fault, _) = explore(Model::new(false));
    assert!(fault.is_some());
}

fn owner() -> Owner<u8> {
    Owner::new(NodeId { vm: Vm(1), incarnation: 5 }, Key([3, 4]), 2)
}

#[test]
fn full_table_mints_nothing_until_tickets_expire() {
    let mut owner = owner();
    assert!(owner.mint(0).is_some());
    assert!(owner.mint(0).is_some());
    assert!(owner.mint(TICKET_LIFE).is_none());
    assert!(owner.mint(TICKET_LIFE + GRACE + 2_000_000).is_some());
}

#[test]
fn expired_ticket_is_never_called_not_run() {
    let mut owner = owner();
    let ticket = owner.mint(0).expect("the table is empty");
    assert_eq!(owner.begin(TICKET_LIFE, &ticket, PRINT), Begin::Doubt(Doubt::TicketExpired));
}

#[test]
fn forged_and_foreign_tickets_are_unknown() {
    let mut owner = owner();
    let ticket = owner.mint(0).expect("the table is empty");
    let forged = Ticket { serial: ticket.serial + 1, ..ticket };
    assert_eq!(owner.begin(0, &forged, PRINT), Begin::Refuse(Refusal::TicketUnknown));
    let longer = Ticket { expiry: ticket.expiry + 1, ..ticket };
    assert_eq!(owner.begin(0, &longer, PRINT), Begin::Refuse(Refusal::TicketUnknown));
}

#[test]
fn ticket_of_another_request_is_refused() {
    let mut owner = owner();
    let ticket = owner.mint(0).expect("the table is empty");
    assert_eq!(owner.begin(0, &ticket, PRINT), Begin::Run);
    assert_eq!(owner.begin(0, &ticket, PRINT + 1), Begin::Refuse(Refusal::Malformed));
}

#[test]
fn successor_replays_what_the_owner_recorded() {
    let mut first = owner();
    let ticket = first.mint(0).expect("the table is empty");
    assert_eq!(first.begin(0, &ticket, PRINT), Begin::Run);
    let sent = Sent { id: AttemptId::default(), gate: NodeId::default() };
    first.sent(0, sent);
    assert!(first.hand_off(0, Vm(2)).is_none(), "an attempt is out");
    first.answered(0, 42);
    let handoff = first.hand_off(5_000, Vm(2)).expect("nothing is out");
    assert_eq!(first.begin(0, &ticket, PRINT), Begin::Moved(Vm(2)));
    // The successor's clock began at another time.
    let mut second = Owner::adopt(900_000_000_000, handoff).expect("the records are valid");
    assert_eq!(second.begin(900_000_000_000, &ticket, PRINT), Begin::Replay(42));
    assert!(second.mint(900_000_000_000).is_none());
}
