//! Result of sending a request to one gate.

use bbv_core::admission::RefusalReason;

use crate::completion::GateResult;
use crate::message::GateOutcome;

/// Result of sending a request to one gate.
pub(crate) enum SendResult {
    /// The gate replied.
    Replied(Box<GateResult>),
    /// No byte was sent, for this reason.
    Unsent(String),
    /// The request may have run, but there is no reply, for this reason.
    Lost(String),
    /// There was no reply before the deadline.
    TimedOut,
}

impl SendResult {
    /// Name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            SendResult::Replied(result) => result.reply.outcome.name(),
            SendResult::Unsent(_) => "unsent",
            SendResult::Lost(_) => "gate-lost",
            SendResult::TimedOut => "late",
        }
    }

    /// Cause of a failure, for logs.
    pub fn cause(&self) -> &str {
        match self {
            SendResult::Unsent(cause) | SendResult::Lost(cause) => cause,
            SendResult::Replied(_) | SendResult::TimedOut => "none",
        }
    }

    /// Returns whether nothing has gone wrong: the request succeeded, or a slow gate handed it back.
    pub fn is_routine(&self) -> bool {
        let slow = GateOutcome::Refused(RefusalReason::Slow);
        let handed_back =
            matches!(self, SendResult::Replied(result) if result.reply.outcome == slow);
        handed_back || self.is_success()
    }

    /// Returns whether the upstream answered, and not with a server error.
    pub fn is_success(&self) -> bool {
        let response = match self {
            SendResult::Replied(result) => result.response.as_ref(),
            _ => None,
        };
        response.is_some_and(|response| !response.status().is_server_error())
    }
}
