//! What a caller is told.

use bytes::Bytes;

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// With a whole answer.
    Answered {
        /// HTTP status of the upstream.
        status: u16,
        /// Body.
        body: Bytes,
    },
    /// It was not run.
    NotRun {
        /// Machine-readable reason.
        reason: String,
    },
    /// Whether it ran is not known.
    Unknown {
        /// Machine-readable reason.
        reason: String,
    },
}

/// How a call ended, with its receipt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// How the call ended.
    pub ending: Ending,
    /// Receipt that names the attempt in both sides' statements.
    pub receipt: Option<String>,
}
