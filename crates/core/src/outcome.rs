//! Outcomes of a call as seen by its caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a call was certainly not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The body is larger than the entry allows.
    BodyTooLarge,
    /// The deadline could not be met.
    Deadline,
    /// The node or upstream is shutting down.
    Draining,
    /// The request line, a header or the ticket is malformed.
    Malformed,
    /// The method is not allowed for this entry.
    Method,
    /// No upstream is known for the service.
    NoUpstream,
    /// The upstream and its queue are full.
    Overload,
    /// The request crashed upstreams before.
    Poison,
    /// The node woke from a pause or is starting and has not caught up.
    Stale,
    /// The operation table is full.
    TableFull,
    /// The call is not idempotent and carries no ticket.
    TicketRequired,
    /// No node minted this ticket.
    TicketUnknown,
    /// The catalogue has no such entry.
    UnknownEntry,
    /// The VM was taken out of service.
    VmOut,
    /// The attempt was voided before it arrived.
    Voided,
    /// The availability zone was taken out of service.
    ZoneOut,
}

impl Refusal {
    /// Tells whether another upstream may accept the call.
    ///
    /// ```
    /// use bbv_core::outcome::Refusal;
    /// assert!(Refusal::Overload.elsewhere());
    /// assert!(!Refusal::Poison.elsewhere());
    /// ```
    pub fn elsewhere(self) -> bool {
        matches!(
            self,
            Refusal::Draining
                | Refusal::Overload
                | Refusal::Stale
                | Refusal::VmOut
                | Refusal::Voided
                | Refusal::ZoneOut
        )
    }

    /// Name used in headers, logs and metrics.
    ///
    /// ```
    /// assert_eq!(bbv_core::outcome::Refusal::ZoneOut.name(), "zone-out");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Refusal::BodyTooLarge => "body-too-large",
            Refusal::Deadline => "deadline",
            Refusal::Draining => "draining",
            Refusal::Malformed => "malformed",
            Refusal::Method => "method",
            Refusal::NoUpstream => "no-upstream",
            Refusal::Overload => "overload",
            Refusal::Poison => "poison",
            Refusal::Stale => "stale",
            Refusal::TableFull => "table-full",
            Refusal::TicketRequired => "ticket-required",
            Refusal::TicketUnknown => "ticket-unknown",
            Refusal::UnknownEntry => "unknown-entry",
            Refusal::VmOut => "vm-out",
            Refusal::Voided => "voided",
            Refusal::ZoneOut => "zone-out",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why the outcome of a call is unknown.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Doubt {
    /// The upstream's answer was incomplete or had the wrong length.
    BrokenAnswer,
    /// The deadline passed while the attempt was running.
    Late,
    /// The owner of the ticket is gone.
    OwnerLost,
    /// The gate that held the attempt cannot be reached or restarted.
    PeerLost,
    /// The ticket expired and its record may be gone.
    TicketExpired,
    /// The upstream crashed or closed its connection while the attempt ran.
    UpstreamLost,
}

impl Doubt {
    /// Name used in headers, logs and metrics.
    ///
    /// ```
    /// assert_eq!(bbv_core::outcome::Doubt::Late.name(), "late");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Doubt::BrokenAnswer => "broken-answer",
            Doubt::Late => "late",
            Doubt::OwnerLost => "owner-lost",
            Doubt::PeerLost => "peer-lost",
            Doubt::TicketExpired => "ticket-expired",
            Doubt::UpstreamLost => "upstream-lost",
        }
    }
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
