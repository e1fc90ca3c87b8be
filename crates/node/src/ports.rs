//! Closures through which a node reaches its peers, the platform and its upstream. Simulations
//! replace them to run a node without a network.

use std::fmt;
use std::net::SocketAddr;

use bbv_core::documents::DocumentChange;
use bbv_core::units::{Micros, Revision};
use bbv_wire::{CallerRequest, HeaderField, ReplyEnvelope, RequestEnvelope};
use bytes::Bytes;
use futures_util::future::BoxFuture;

/// Reason why a message to a peer has no reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// Nothing was sent, so the peer did not process the message.
    Unsent(String),
    /// The message was sent at least in part, and no complete reply arrived.
    Lost(String),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Unsent(reason) => write!(f, "could not send to peer: {reason}"),
            LinkError::Lost(reason) => write!(f, "no reply from peer: {reason}"),
        }
    }
}

impl std::error::Error for LinkError {}

/// Request to the upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// Request to send.
    pub request: CallerRequest,
    /// Time left until the deadline.
    pub ttl: Micros,
}

/// Complete answer of the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
    /// Id that the upstream gives its process, if any.
    pub instance: Option<u64>,
}

/// Reason why the upstream gave no complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamError {
    /// The request could not be sent, so it was not run.
    Unsent,
    /// The connection broke while the request ran or before the answer was complete.
    Lost,
    /// The answer is too large to be checked for completeness.
    Broken,
}

/// Changes published by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Published {
    /// Revision up to which the changes are complete.
    pub through: Revision,
    /// Changes after the requested revision, or all documents.
    pub changes: Vec<DocumentChange>,
    /// Whether `changes` holds all documents.
    pub snapshot: bool,
}

/// Waits up to the given time for changes after the given revision.
pub type Platform =
    Box<dyn Fn(Revision, Micros) -> BoxFuture<'static, Result<Published, String>> + Send + Sync>;

/// Sends a request to a peer and returns its reply; dropping the future cancels it.
pub type Link = Box<
    dyn Fn(SocketAddr, RequestEnvelope) -> BoxFuture<'static, Result<ReplyEnvelope, LinkError>>
        + Send
        + Sync,
>;

/// Runs a request on the upstream; dropping the future cancels it.
pub type Upstream = Box<
    dyn Fn(UpstreamCall) -> BoxFuture<'static, Result<UpstreamAnswer, UpstreamError>> + Send + Sync,
>;

/// Everything that a node reaches outside its process.
pub struct Ports {
    /// Sends requests to peers.
    pub link: Link,
    /// Reads the configuration from the platform.
    pub platform: Platform,
    /// Runs requests on the upstream beside this node.
    pub upstream: Upstream,
}
