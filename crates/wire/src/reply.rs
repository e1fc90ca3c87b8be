//! Replies of a node to the requests of another.

use bbv_core::documents::CatchUp;
use bbv_core::id::{AttemptId, Vm};
use bbv_core::outcome::{Refusal, UnknownReason};

use crate::answer::Answer;

/// Reply of one node to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The request was handled and has no result.
    Ack,
    /// Answer of the upstream to the attempt or operation.
    Answer(Answer),
    /// Document changes after the requested revision.
    Changes(CatchUp),
    /// The addressed incarnation of the gate or ticket owner no longer exists.
    Gone,
    /// This node took over the records of the ticket's owner.
    Moved(Vm),
    /// The attempt or operation was not run.
    NotRun {
        /// The attempt, or the last one of the operation.
        attempt: AttemptId,
        /// Reason of the refusal.
        refusal: Refusal,
    },
    /// The attempt is still running.
    Running,
    /// It is not known whether the attempt or operation ran.
    Unknown {
        /// The attempt, or the last one of the operation.
        attempt: AttemptId,
        /// Why the outcome is unknown.
        reason: UnknownReason,
    },
    /// The attempt has not run and will not run.
    Voided,
}
