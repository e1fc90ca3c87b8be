//! Envelopes of requests and replies: sender, configuration revision, shutdown state and load.

use bbv_core::id::NodeId;
use bbv_core::load::Load;
use bbv_core::units::{Micros, Revision};

use crate::reply::Reply;
use crate::request::PeerRequest;

/// Request with the state of its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestEnvelope {
    /// Sending node.
    pub from: NodeId,
    /// Revision up to which the sender has all document changes.
    pub revision: Revision,
    /// Whether the sender is shutting down.
    pub stopping: bool,
    /// Request.
    pub request: PeerRequest,
}

/// Reply with the state of its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplyEnvelope {
    /// Sending node.
    pub from: NodeId,
    /// Revision up to which the sender has all document changes.
    pub revision: Revision,
    /// Time for which the sender knows that the platform had nothing newer, in microseconds; `None` if it
    /// never knew that.
    pub age: Option<Micros>,
    /// Whether the sender is shutting down.
    pub stopping: bool,
    /// Load of the sender's upstream.
    pub load: Load,
    /// Time from the arrival of the request to this reply.
    pub processing_time: Micros,
    /// Reply.
    pub reply: Reply,
}
