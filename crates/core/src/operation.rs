//! Decides at the node that owns a ticket whether its non-idempotent operation is run, joined,
//! replayed or refused, so that it runs at most once. Used by bbv-node for every call with a
//! ticket; the limit on unexpired tickets matters under a high rate of such calls.

use std::collections::{BTreeMap, VecDeque};
use std::sync::LazyLock;

use serde::{Deserialize, Serialize};

use crate::chart::{Chart, State};
use crate::id::{AttemptId, NodeId, Vm};
use crate::outcome::{Refusal, UnknownReason};
use crate::poison::Fingerprint;
use crate::ticket::{Key, Ticket};
use crate::units::{Micros, SEC};

/// State chart of an operation.
pub static CHART: LazyLock<Chart> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/operation.yaml")).expect("operation chart is valid")
});

/// Time from the minting of a ticket to its expiry.
pub const TICKET_LIFETIME: Micros = 600 * SEC;

/// Time for which a record is kept after its ticket expires.
pub const RECORD_GRACE: Micros = 60 * SEC;

/// An attempt that was sent to a gate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SentAttempt {
    /// Identifier of the attempt.
    pub id: AttemptId,
    /// Destination gate.
    pub gate: NodeId,
}

/// Action of the owner on a request with one of its tickets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperationDecision<A> {
    /// Send a first or further attempt.
    Run,
    /// Another request is running the operation; wait for its result.
    Join,
    /// Ask the gate for the status of the attempt, and void it if it has not arrived.
    Resolve(SentAttempt),
    /// Return the recorded answer.
    Replay(A),
    /// The operation is refused and will not run later.
    Refuse(Refusal),
    /// It is not known whether the operation ran.
    Unknown(UnknownReason),
    /// A successor holds the record.
    Moved(Vm),
}

#[derive(Clone, Debug)]
struct OperationRecord<A> {
    state: State,
    fingerprint: Fingerprint,
    expiry: Micros,
    in_progress: bool,
    sent: Option<SentAttempt>,
    answer: Option<A>,
    refusal: Option<Refusal>,
}

/// Operation record in a [`Handoff`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HandoffRecord<A> {
    /// Serial number of the ticket.
    pub serial: u64,
    /// Name of the state in the chart.
    pub state: String,
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Expiry of the ticket on the original owner's clock.
    pub expiry: Micros,
    /// Last attempt that was sent.
    pub sent: Option<SentAttempt>,
    /// Recorded answer.
    pub answer: Option<A>,
    /// Recorded refusal.
    pub refusal: Option<Refusal>,
}

/// Tickets and records that an owner transfers to its successor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Handoff<A> {
    /// Node that minted the tickets.
    pub owner: NodeId,
    /// Key that signs its tickets.
    pub key: Key,
    /// Serial number of the next ticket that it would have minted.
    pub next: u64,
    /// Time of the transfer on the original owner's clock.
    pub now: Micros,
    /// Records in order of serial number.
    pub records: Vec<HandoffRecord<A>>,
}

/// Tickets of one node and the records of their operations.
#[derive(Clone, Debug)]
pub struct TicketOwner<A> {
    id: NodeId,
    key: Key,
    next_serial: u64,
    capacity: usize,
    // Number of tickets per second of expiry, rounded up; dropped when RECORD_GRACE has passed.
    expiry_counts: VecDeque<(Micros, usize)>,
    outstanding: usize,
    records: BTreeMap<u64, OperationRecord<A>>,
    successor: Option<Vm>,
    closed: bool,
    // Difference between the original owner's clock and this node's.
    clock_offset: i64,
}

impl<A: Clone> TicketOwner<A> {
    /// Creates an owner with at most `capacity` tickets that are unexpired or in [`RECORD_GRACE`].
    ///
    /// ```
    /// use bbv_core::{id::NodeId, operation::TicketOwner, ticket::Key};
    /// let mut owner: TicketOwner<u32> = TicketOwner::new(NodeId::default(), Key([1, 2]), 1);
    /// assert!(owner.mint(0).is_some());
    /// assert!(owner.mint(0).is_none());
    /// ```
    pub fn new(id: NodeId, key: Key, capacity: usize) -> Self {
        TicketOwner {
            id,
            key,
            next_serial: 0,
            capacity,
            expiry_counts: VecDeque::new(),
            outstanding: 0,
            records: BTreeMap::new(),
            successor: None,
            closed: false,
            clock_offset: 0,
        }
    }

    /// Node that minted the tickets.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn owner_time(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.clock_offset)
    }

    /// Mints a ticket, or returns `None` if the table is full or the owner is closed.
    pub fn mint(&mut self, now: Micros) -> Option<Ticket> {
        self.expire(now);
        if self.outstanding >= self.capacity || self.closed {
            return None;
        }
        let expiry = self.owner_time(now) + TICKET_LIFETIME;
        let serial = self.next_serial;
        self.next_serial += 1;
        self.outstanding += 1;
        let second = expiry / SEC + 1;
        match self.expiry_counts.back_mut() {
            Some((last, count)) if *last == second => *count += 1,
            _ => self.expiry_counts.push_back((second, 1)),
        }
        let mac = self.key.mac(self.id, serial, expiry);
        Some(Ticket { owner: self.id, serial, expiry, mac })
    }

    /// Removes records whose ticket expired at least [`RECORD_GRACE`] ago.
    ///
    /// Records of operations in progress are kept.
    pub fn expire(&mut self, now: Micros) {
        let now = self.owner_time(now);
        while let Some((second, count)) = self.expiry_counts.front().copied() {
            if second * SEC + RECORD_GRACE > now {
                break;
            }
            self.outstanding -= count;
            self.expiry_counts.pop_front();
        }
        // Tickets are numbered in order of expiry, so the first record expires first.
        while let Some(entry) = self.records.first_entry() {
            let record = entry.get();
            if record.expiry + RECORD_GRACE > now || record.in_progress {
                break;
            }
            entry.remove();
        }
    }

    /// Decides what to do with a request that has `ticket`.
    ///
    /// ```
    /// use bbv_core::{id::NodeId, operation::{OperationDecision, TicketOwner}, ticket::Key};
    /// let mut owner: TicketOwner<u32> = TicketOwner::new(NodeId::default(), Key([1, 2]), 9);
    /// let ticket = owner.mint(0).unwrap();
    /// assert_eq!(owner.begin(0, &ticket, 7), OperationDecision::Run);
    /// assert_eq!(owner.begin(0, &ticket, 7), OperationDecision::Join);
    /// ```
    pub fn begin(
        &mut self,
        now: Micros,
        ticket: &Ticket,
        fingerprint: Fingerprint,
    ) -> OperationDecision<A> {
        let mac = self.key.mac(self.id, ticket.serial, ticket.expiry);
        if ticket.owner != self.id || mac != ticket.mac || ticket.serial >= self.next_serial {
            return OperationDecision::Refuse(Refusal::TicketUnknown);
        }
        if let Some(successor) = self.successor {
            return OperationDecision::Moved(successor);
        }
        let now = self.owner_time(now);
        if let Some(record) = self.records.get_mut(&ticket.serial) {
            return Self::resume(record, fingerprint, now);
        }
        if now >= ticket.expiry {
            return OperationDecision::Unknown(UnknownReason::TicketExpired);
        }
        self.records.insert(
            ticket.serial,
            OperationRecord {
                state: CHART.initial(),
                fingerprint,
                expiry: ticket.expiry,
                in_progress: true,
                sent: None,
                answer: None,
                refusal: None,
            },
        );
        OperationDecision::Run
    }

    fn resume(
        record: &mut OperationRecord<A>,
        fingerprint: Fingerprint,
        now: Micros,
    ) -> OperationDecision<A> {
        if record.fingerprint != fingerprint {
            return OperationDecision::Refuse(Refusal::Malformed);
        }
        if let Some(answer) = &record.answer {
            return OperationDecision::Replay(answer.clone());
        }
        if let Some(refusal) = record.refusal {
            return OperationDecision::Refuse(refusal);
        }
        if record.in_progress {
            return OperationDecision::Join;
        }
        if CHART.name(record.state) == "doubtful" {
            record.in_progress = true;
            return match record.sent {
                Some(sent) => OperationDecision::Resolve(sent),
                None => OperationDecision::Unknown(UnknownReason::PeerLost),
            };
        }
        if now >= record.expiry {
            return OperationDecision::Unknown(UnknownReason::TicketExpired);
        }
        record.in_progress = true;
        OperationDecision::Run
    }

    fn apply(&mut self, serial: u64, event: &str) -> Option<&mut OperationRecord<A>> {
        let record = self.records.get_mut(&serial)?;
        record.state = CHART.next(record.state, event).expect("operation event is allowed");
        Some(record)
    }

    /// Records that an attempt is sent; must be called before the message is sent.
    pub fn attempt_sent(&mut self, serial: u64, sent: SentAttempt) {
        if let Some(record) = self.apply(serial, "send") {
            record.sent = Some(sent);
        }
    }

    /// Records that the gate refused the attempt; another one may be sent.
    pub fn attempt_refused(&mut self, serial: u64) {
        self.apply(serial, "refused");
    }

    /// Records that the gate voided the attempt; another one may be sent.
    pub fn attempt_voided(&mut self, serial: u64) {
        self.apply(serial, "voided");
    }

    /// Records the answer to the attempt.
    pub fn attempt_answered(&mut self, serial: u64, answer: A) {
        if let Some(record) = self.apply(serial, "answered") {
            record.answer = Some(answer);
            record.in_progress = false;
        }
    }

    /// Records that the outcome of the attempt is currently unknown.
    pub fn attempt_lost(&mut self, serial: u64) {
        if let Some(record) = self.apply(serial, "lost") {
            record.in_progress = false;
        }
    }

    /// Refuses the operation for good.
    pub fn refuse(&mut self, serial: u64, refusal: Refusal) {
        if let Some(record) = self.apply(serial, "refuse") {
            record.refusal = Some(refusal);
            record.in_progress = false;
        }
    }

    /// Stops minting tickets.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Transfers all records to `successor`; later requests get [`OperationDecision::Moved`].
    ///
    /// Returns `None` while an operation is in progress, but closes the owner all the same.
    pub fn hand_off(&mut self, now: Micros, successor: Vm) -> Option<Handoff<A>> {
        self.close();
        if self.records.values().any(|record| record.in_progress) {
            return None;
        }
        self.successor = Some(successor);
        let records = self.records.iter().map(|(serial, record)| HandoffRecord {
            serial: *serial,
            state: CHART.name(record.state).to_owned(),
            fingerprint: record.fingerprint,
            expiry: record.expiry,
            sent: record.sent,
            answer: record.answer.clone(),
            refusal: record.refusal,
        });
        Some(Handoff {
            owner: self.id,
            key: self.key,
            next: self.next_serial,
            now: self.owner_time(now),
            records: records.collect(),
        })
    }

    /// Creates an owner from the records of another one; returns `None` for an unknown state.
    ///
    /// It mints no tickets.
    pub fn adopt(now: Micros, handoff: Handoff<A>) -> Option<Self> {
        let mut owner = TicketOwner::new(handoff.owner, handoff.key, 0);
        owner.closed = true;
        owner.next_serial = handoff.next;
        owner.clock_offset = handoff.now.cast_signed() - now.cast_signed();
        for handed in handoff.records {
            let record = OperationRecord {
                state: CHART.state(&handed.state)?,
                fingerprint: handed.fingerprint,
                expiry: handed.expiry,
                in_progress: false,
                sent: handed.sent,
                answer: handed.answer,
                refusal: handed.refusal,
            };
            owner.records.insert(handed.serial, record);
        }
        Some(owner)
    }
}
