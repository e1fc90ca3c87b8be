//! Requests that one node sends to another.

use bbv_core::documents::DocumentChange;
use bbv_core::id::AttemptId;
use bbv_core::load::Load;
use bbv_core::operation::Handoff;
use bbv_core::poison::{Crash, Fingerprint};
use bbv_core::ticket::Ticket;
use bbv_core::units::{Micros, Revision};
use bytes::Bytes;

use crate::answer::{Answer, HeaderField};

/// Request of a caller without hop-by-hop header fields.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerRequest {
    /// Name of the catalogue entry.
    pub entry: String,
    /// HTTP method.
    pub method: String,
    /// Path and query as sent to the upstream.
    pub path: String,
    /// Header fields.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
    /// Fingerprint of method, path and body.
    pub fingerprint: Fingerprint,
}

/// One attempt to run a request at a gate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Identifier of the attempt.
    pub id: AttemptId,
    /// Incarnation that the gate must have, for an attempt that must not run twice.
    pub expected_incarnation: Option<u64>,
    /// Time left until the deadline.
    pub ttl: Micros,
    /// Request to run.
    pub request: CallerRequest,
}

/// Request with a ticket, forwarded to the owner of the ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperationRequest {
    /// Ticket.
    pub ticket: Ticket,
    /// Time left until the deadline.
    pub ttl: Micros,
    /// Request to run.
    pub request: CallerRequest,
}

/// Request of one node to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Takes over the tickets and records of an owner that is stopping.
    Adopt(Handoff<Answer>),
    /// Runs one attempt on the upstream.
    Attempt(Attempt),
    /// Reports crashes of upstreams.
    Crashes(Vec<Crash>),
    /// Reports a changed load without a probe.
    Notice(Load),
    /// Runs or resumes an operation.
    Operate(OperationRequest),
    /// Asks for the load, which every reply contains.
    Probe,
    /// Asks for the document changes after a revision.
    Pull(Revision),
    /// Forwards document changes.
    Push(Vec<DocumentChange>),
    /// Voids an attempt that has not arrived, or asks for its status.
    Void {
        /// Identifier of the attempt.
        id: AttemptId,
        /// Incarnation of the gate that the attempt was sent to.
        incarnation: u64,
    },
}
