//! What a caller is told.

use bbv_core::id::AttemptId;
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::ticket::Ticket;
use bbv_core::units::Micros;
use bbv_wire::{Answer, Request};

/// A caller's call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request.
    pub request: Request,
    /// Time left until the caller's own deadline, if it stated one.
    pub ttl: Option<Micros>,
    /// Ticket, if it sent one.
    pub ticket: Option<Ticket>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// With a whole answer.
    Answered(Answer),
    /// It was not run, and will not be under this ticket.
    NotRun(Refusal),
    /// Whether it ran is not known.
    Unknown(UnknownReason),
}

/// How a call ended, with what the caller may use next.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// How the call ended.
    pub ending: Ending,
    /// Last attempt, which the caller's receipt names.
    pub attempt: Option<AttemptId>,
    /// Ticket for the caller's next non-idempotent call.
    pub spare: Option<Ticket>,
}

impl Outcome {
    /// Outcome without attempt or ticket.
    ///
    /// ```
    /// use bbv_core::outcome::Refusal;
    /// use bbv_node::outcome::{Ending, Outcome};
    /// assert_eq!(Outcome::bare(Ending::NotRun(Refusal::Poison)).spare, None);
    /// ```
    pub fn bare(ending: Ending) -> Self {
        Outcome { ending, attempt: None, spare: None }
    }
}
