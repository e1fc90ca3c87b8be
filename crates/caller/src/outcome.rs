//! Defines the outcome of a call and its receipt.

use bytes::Bytes;

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The complete answer was received.
    Answered {
        /// HTTP status from the upstream.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// The call did not run.
    NotRun {
        /// Machine-readable reason.
        reason: String,
    },
    /// It is unknown whether the call ran.
    Unknown {
        /// Machine-readable reason.
        reason: String,
    },
}

/// Outcome of a call, with its receipt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// How the call ended.
    pub ending: Ending,
    /// Receipt that identifies the attempt in the statements of both sides.
    pub receipt: Option<String>,
}
