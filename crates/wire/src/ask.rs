//! Requests between nodes.

use bbv_core::documents::DocumentChange;
use bbv_core::id::AttemptId;
use bbv_core::load::Load;
use bbv_core::operation::Handoff;
use bbv_core::poison::{Crash, Fingerprint};
use bbv_core::ticket::Ticket;
use bbv_core::units::{Micros, Revision};
use bytes::Bytes;

use crate::answer::{Answer, Field};

/// A caller's request without the fields of one hop.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Catalogue entry.
    pub entry: String,
    /// HTTP method.
    pub method: String,
    /// Path and query that the upstream sees.
    pub path: String,
    /// Header fields.
    pub headers: Vec<Field>,
    /// Body.
    pub body: Bytes,
    /// Fingerprint of entry, method, path and body.
    pub print: Fingerprint,
}

/// One attempt to run a request at a gate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Identity.
    pub id: AttemptId,
    /// Incarnation of the gate, for an attempt that must not run twice.
    pub once: Option<u64>,
    /// Time left until the deadline.
    pub ttl: Micros,
    /// Request to run.
    pub request: Request,
}

/// A request that carries a ticket, on its way to the ticket's owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operate {
    /// Ticket.
    pub ticket: Ticket,
    /// Time left until the deadline.
    pub ttl: Micros,
    /// Request to run.
    pub request: Request,
}

/// Request of one node to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// Takes over the records of an owner that stops.
    Adopt(Handoff<Answer>),
    /// Runs a request on the upstream.
    Attempt(Attempt),
    /// Tells of crashed upstreams.
    Crashes(Vec<Crash>),
    /// Tells a changed load without having been asked.
    Notice(Load),
    /// Runs or resumes an operation.
    Operate(Operate),
    /// Asks for the load.
    Probe,
    /// Asks for changes after a revision.
    Pull(Revision),
    /// Passes changes on.
    Push(Vec<DocumentChange>),
    /// Voids an attempt that was sent to the given incarnation, or tells its outcome.
    Void {
        /// Attempt.
        id: AttemptId,
        /// Incarnation of the gate that it was sent to.
        incarnation: u64,
    },
}
