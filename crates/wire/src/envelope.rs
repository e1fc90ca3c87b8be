//! What every message between nodes carries.

use bbv_core::id::NodeId;
use bbv_core::load::Load;
use bbv_core::units::{Micros, Revision};

use crate::ask::Ask;
use crate::reply::Reply;

/// Request with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct AskEnvelope {
    /// Sender.
    pub from: NodeId,
    /// Revision up to which the sender knows every change.
    pub revision: Revision,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Request.
    pub ask: Ask,
}

/// Reply with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplyEnvelope {
    /// Sender.
    pub from: NodeId,
    /// Revision up to which the sender knows every change.
    pub revision: Revision,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Load of the sender's upstream.
    pub load: Load,
    /// Time between the arrival of the request and this reply.
    pub held: Micros,
    /// Reply.
    pub reply: Reply,
}
