//! Records of non-idempotent operations at the node that owns their tickets.

use std::collections::{BTreeMap, VecDeque};
use std::sync::LazyLock;

use serde::{Deserialize, Serialize};

use crate::chart::{Chart, State};
use crate::id::{AttemptId, NodeId, Vm};
use crate::outcome::{Doubt, Refusal};
use crate::poison::Fingerprint;
use crate::ticket::{Key, Ticket};
use crate::units::{Micros, SEC};

/// State chart of an operation.
pub static CHART: LazyLock<Chart> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/operation.yaml")).expect("operation chart is valid")
});

/// Time for which a ticket may be used.
pub const TICKET_LIFE: Micros = 600 * SEC;

/// Time for which a record outlives its ticket.
pub const GRACE: Micros = 60 * SEC;

/// An attempt that was sent to a gate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sent {
    /// Identity of the attempt.
    pub id: AttemptId,
    /// Gate that it was sent to.
    pub gate: NodeId,
}

/// What the owner does with a request that carries its ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Begin<A> {
    /// Send a first or further attempt.
    Run,
    /// Another request drives the operation; wait for its result.
    Join,
    /// Ask the gate what became of the attempt.
    Resolve(Sent),
    /// Return the recorded answer.
    Replay(A),
    /// The operation is not run, now or later.
    Refuse(Refusal),
    /// The outcome cannot be told.
    Doubt(Doubt),
    /// A successor holds the record.
    Moved(Vm),
}

#[derive(Clone, Debug)]
struct Record<A> {
    state: State,
    print: Fingerprint,
    expiry: Micros,
    driven: bool,
    sent: Option<Sent>,
    answer: Option<A>,
    refusal: Option<Refusal>,
}

/// Form in which a record is handed to a successor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Handed<A> {
    /// Serial number of the ticket.
    pub serial: u64,
    /// Name of the state in the chart.
    pub state: String,
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// Expiry of the ticket on the first owner's clock.
    pub expiry: Micros,
    /// Last attempt sent.
    pub sent: Option<Sent>,
    /// Recorded answer.
    pub answer: Option<A>,
    /// Recorded refusal.
    pub refusal: Option<Refusal>,
}

/// All records of an owner, for its successor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Handoff<A> {
    /// Node that minted the tickets.
    pub owner: NodeId,
    /// Key of its tickets.
    pub key: Key,
    /// Next serial number that it would have minted.
    pub next: u64,
    /// Time on the first owner's clock.
    pub now: Micros,
    /// Records.
    pub records: Vec<Handed<A>>,
}

/// Tickets and operation records of one owner.
#[derive(Clone, Debug)]
pub struct Owner<A> {
    id: NodeId,
    key: Key,
    next: u64,
    cap: usize,
    minted: VecDeque<(Micros, usize)>,
    outstanding: usize,
    records: BTreeMap<u64, Record<A>>,
    successor: Option<Vm>,
    closed: bool,
    // Added to this node's clock to read the first owner's.
    shift: i64,
}

impl<A: Clone> Owner<A> {
    /// Creates an owner that keeps at most `cap` unexpired tickets.
    ///
    /// ```
    /// use bbv_core::{id::NodeId, operation::Owner, ticket::Key};
    /// let mut owner: Owner<u32> = Owner::new(NodeId::default(), Key([1, 2]), 1);
    /// assert!(owner.mint(0).is_some());
    /// assert!(owner.mint(0).is_none());
    /// ```
    pub fn new(id: NodeId, key: Key, cap: usize) -> Self {
        Owner {
            id,
            key,
            next: 0,
            cap,
            minted: VecDeque::new(),
            outstanding: 0,
            records: BTreeMap::new(),
            successor: None,
            closed: false,
            shift: 0,
        }
    }

    /// Node whose tickets these are.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Records kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn clock(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.shift)
    }

    /// Mints a ticket, or none when the table is full or the node is stopping.
    pub fn mint(&mut self, now: Micros) -> Option<Ticket> {
        self.expire(now);
        if self.outstanding >= self.cap || self.closed {
            return None;
        }
        let expiry = self.clock(now) + TICKET_LIFE;
        let serial = self.next;
        self.next += 1;
        self.outstanding += 1;
        let second = expiry / SEC + 1;
        match self.minted.back_mut() {
            Some((at, count)) if *at == second => *count += 1,
            _ => self.minted.push_back((second, 1)),
        }
        let mac = self.key.mac(self.id, serial, expiry);
        Some(Ticket { owner: self.id, serial, expiry, mac })
    }

    /// Forgets records whose ticket expired more than [`GRACE`] ago.
    pub fn expire(&mut self, now: Micros) {
        let now = self.clock(now);
        while let Some((second, count)) = self.minted.front().copied() {
            if second * SEC + GRACE > now {
                break;
            }
            self.outstanding -= count;
            self.minted.pop_front();
        }
        // Serials are minted in order of expiry, so the first records expire first.
        while let Some(entry) = self.records.first_entry() {
            let record = entry.get();
            if record.expiry + GRACE > now || record.driven {
                break;
            }
            entry.remove();
        }
    }

    /// Decides about a request that carries `ticket`.
    ///
    /// ```
    /// use bbv_core::{id::NodeId, operation::{Begin, Owner}, ticket::Key};
    /// let mut owner: Owner<u32> = Owner::new(NodeId::default(), Key([1, 2]), 9);
    /// let ticket = owner.mint(0).unwrap();
    /// assert_eq!(owner.begin(0, &ticket, 7), Begin::Run);
    /// assert_eq!(owner.begin(0, &ticket, 7), Begin::Join);
    /// ```
    pub fn begin(&mut self, now: Micros, ticket: &Ticket, print: Fingerprint) -> Begin<A> {
        let mac = self.key.mac(self.id, ticket.serial, ticket.expiry);
        if ticket.owner != self.id || mac != ticket.mac || ticket.serial >= self.next {
            return Begin::Refuse(Refusal::TicketUnknown);
        }
        if let Some(successor) = self.successor {
            return Begin::Moved(successor);
        }
        let now = self.clock(now);
        if let Some(record) = self.records.get_mut(&ticket.serial) {
            return Self::resume(record, print, now);
        }
        if now >= ticket.expiry {
            return Begin::Doubt(Doubt::TicketExpired);
        }
        self.records.insert(
            ticket.serial,
            Record {
                state: CHART.initial(),
                print,
                expiry: ticket.expiry,
                driven: true,
                sent: None,
                answer: None,
                refusal: None,
            },
        );
        Begin::Run
    }

    fn resume(record: &mut Record<A>, print: Fingerprint, now: Micros) -> Begin<A> {
        if record.print != print {
            return Begin::Refuse(Refusal::Malformed);
        }
        if let Some(answer) = &record.answer {
            return Begin::Replay(answer.clone());
        }
        if let Some(refusal) = record.refusal {
            return Begin::Refuse(refusal);
        }
        if record.driven {
            return Begin::Join;
        }
        if CHART.name(record.state) == "doubtful" {
            record.driven = true;
            return match record.sent {
                Some(sent) => Begin::Resolve(sent),
                None => Begin::Doubt(Doubt::PeerLost),
            };
        }
        if now >= record.expiry {
            return Begin::Doubt(Doubt::TicketExpired);
        }
        record.driven = true;
        Begin::Run
    }

    fn apply(&mut self, serial: u64, event: &str) -> Option<&mut Record<A>> {
        let record = self.records.get_mut(&serial)?;
        record.state = CHART.next(record.state, event).expect("operation event is allowed");
        Some(record)
    }

    /// Records that an attempt is sent; must come before the message leaves.
    pub fn sent(&mut self, serial: u64, sent: Sent) {
        if let Some(record) = self.apply(serial, "send") {
            record.sent = Some(sent);
        }
    }

    /// Records that the gate refused the attempt; another may be sent.
    pub fn refused(&mut self, serial: u64) {
        self.apply(serial, "refused");
    }

    /// Records that the gate voided the attempt; another may be sent.
    pub fn voided(&mut self, serial: u64) {
        self.apply(serial, "voided");
    }

    /// Records the answer.
    pub fn answered(&mut self, serial: u64, answer: A) {
        if let Some(record) = self.apply(serial, "answered") {
            record.answer = Some(answer);
            record.driven = false;
        }
    }

    /// Records that the outcome of the attempt is not known now.
    pub fn lost(&mut self, serial: u64) {
        if let Some(record) = self.apply(serial, "lost") {
            record.driven = false;
        }
    }

    /// Records that the operation is not run, now or later.
    pub fn refuse(&mut self, serial: u64, refusal: Refusal) {
        if let Some(record) = self.apply(serial, "refuse") {
            record.refusal = Some(refusal);
            record.driven = false;
        }
    }

    /// Mints no more tickets.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Hands all records to `successor` and answers [`Begin::Moved`] from now on.
    ///
    /// Returns none while an attempt is out.
    pub fn hand_off(&mut self, now: Micros, successor: Vm) -> Option<Handoff<A>> {
        self.close();
        if self.records.values().any(|record| record.driven) {
            return None;
        }
        self.successor = Some(successor);
        let records = self.records.iter().map(|(serial, record)| Handed {
            serial: *serial,
            state: CHART.name(record.state).to_owned(),
            print: record.print,
            expiry: record.expiry,
            sent: record.sent,
            answer: record.answer.clone(),
            refusal: record.refusal,
        });
        Some(Handoff {
            owner: self.id,
            key: self.key,
            next: self.next,
            now: self.clock(now),
            records: records.collect(),
        })
    }

    /// Takes over the records of another owner; returns none for an unknown state.
    pub fn adopt(now: Micros, handoff: Handoff<A>) -> Option<Self> {
        let mut owner = Owner::new(handoff.owner, handoff.key, 0);
        owner.closed = true;
        owner.next = handoff.next;
        owner.shift = handoff.now.cast_signed() - now.cast_signed();
        for handed in handoff.records {
            let record = Record {
                state: CHART.state(&handed.state)?,
                print: handed.print,
                expiry: handed.expiry,
                driven: false,
                sent: handed.sent,
                answer: handed.answer,
                refusal: handed.refusal,
            };
            owner.records.insert(handed.serial, record);
        }
        Some(owner)
    }
}
