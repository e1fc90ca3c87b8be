//! Replies between nodes.

use bbv_core::documents::CatchUp;
use bbv_core::id::{AttemptId, Vm};
use bbv_core::outcome::{Refusal, UnknownReason};

use crate::answer::Answer;

/// Reply of one node to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Done; there is nothing to tell.
    Ack,
    /// The attempt or operation was answered.
    Answer(Answer),
    /// Changes that were asked for.
    Changes(CatchUp),
    /// The incarnation that was addressed is gone.
    Gone,
    /// Another node holds the records of the ticket's owner.
    Moved(Vm),
    /// The attempt or operation was not run.
    NotRun {
        /// Attempt or the last one of the operation.
        attempt: AttemptId,
        /// Reason.
        refusal: Refusal,
    },
    /// The attempt still runs.
    Running,
    /// It is not known whether the attempt or operation ran.
    Unknown {
        /// Attempt or the last one of the operation.
        attempt: AttemptId,
        /// Reason.
        doubt: UnknownReason,
    },
    /// The attempt did not run and never will.
    Voided,
}
