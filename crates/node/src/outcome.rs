//! A caller's call and the outcome that the node returns for it.

use bbv_core::id::AttemptId;
use bbv_core::outcome::{Refusal, UnknownReason};
use bbv_core::ticket::Ticket;
use bbv_core::units::Micros;
use bbv_wire::{Answer, CallerRequest};

/// A caller's call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request to run.
    pub request: CallerRequest,
    /// Time left until the caller's own deadline, if it set one.
    pub ttl: Option<Micros>,
    /// Ticket of the operation, if the caller sent one.
    pub ticket: Option<Ticket>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// The upstream returned a complete answer.
    Answered(Answer),
    /// The call was not run, and will not be run under this ticket.
    NotRun(Refusal),
    /// It is unknown whether the call was run.
    Unknown(UnknownReason),
}

/// How a call ended, with its receipt and the next ticket.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// How the call ended.
    pub ending: Ending,
    /// Last attempt, named in the caller's receipt.
    pub attempt: Option<AttemptId>,
    /// Ticket for the caller's next non-idempotent call.
    pub next_ticket: Option<Ticket>,
}

impl Outcome {
    /// Creates an outcome without attempt or ticket.
    ///
    /// ```
    /// use bbv_core::outcome::Refusal;
    /// use bbv_node::outcome::{Ending, Outcome};
    /// assert_eq!(Outcome::without_attempt(Ending::NotRun(Refusal::Poison)).next_ticket, None);
    /// ```
    pub fn without_attempt(ending: Ending) -> Self {
        Outcome { ending, attempt: None, next_ticket: None }
    }

    /// Creates the outcome of a call that is not begun, since it could outlast the stop of its node. One
    /// with a ticket may have run before.
    ///
    /// ```
    /// use bbv_node::outcome::{Ending, Outcome};
    /// assert!(matches!(Outcome::outlasting(false).ending, Ending::NotRun(_)));
    /// assert!(matches!(Outcome::outlasting(true).ending, Ending::Unknown(_)));
    /// ```
    pub fn outlasting(has_ticket: bool) -> Self {
        let refused = Ending::NotRun(Refusal::Draining);
        let unknown = Ending::Unknown(UnknownReason::Late);
        Outcome::without_attempt(if has_ticket { unknown } else { refused })
    }
}
