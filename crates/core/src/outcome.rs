//! Reasons for which a call was not run or its outcome is unknown. Used by bbv-node for its
//! replies, headers, logs and metrics; most refusals come under overload, while draining and when
//! zones or VMs are out of service.

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
    /// The request line, a header or the ticket is malformed, or the ticket was used for another
    /// request.
    Malformed,
    /// The entry does not allow the method.
    Method,
    /// No upstream is known for the service.
    NoUpstream,
    /// The upstream has no free slot and its queue is full.
    Overload,
    /// Earlier runs of the request crashed upstreams.
    Poison,
    /// The node is starting or resumed after a pause, and its state is not yet up to date.
    Stale,
    /// The table of tickets or of attempts is full.
    TableFull,
    /// The call is not idempotent and has no ticket.
    TicketRequired,
    /// The ticket is invalid or was not minted by the node that it names.
    TicketUnknown,
    /// The catalogue has no entry for the call.
    UnknownEntry,
    /// The VM is out of service.
    VmOut,
    /// The attempt was voided before it arrived.
    Voided,
    /// The availability zone is out of service.
    ZoneOut,
}

impl Refusal {
    /// Returns whether another upstream may accept the call.
    ///
    /// ```
    /// use bbv_core::outcome::Refusal;
    /// assert!(Refusal::Overload.is_retryable());
    /// assert!(!Refusal::Poison.is_retryable());
    /// ```
    pub fn is_retryable(self) -> bool {
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
pub enum UnknownReason {
    /// The upstream's answer was incomplete or had the wrong length.
    BrokenAnswer,
    /// The deadline passed while the attempt was running.
    Late,
    /// The owner of the ticket is no longer available.
    OwnerLost,
    /// The gate that received the attempt has restarted or cannot be reached.
    PeerLost,
    /// The ticket expired and its record may have been removed.
    TicketExpired,
    /// The upstream crashed or closed the connection during the attempt.
    UpstreamLost,
}

impl UnknownReason {
    /// Name used in headers, logs and metrics.
    ///
    /// ```
    /// assert_eq!(bbv_core::outcome::UnknownReason::Late.name(), "late");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            UnknownReason::BrokenAnswer => "broken-answer",
            UnknownReason::Late => "late",
            UnknownReason::OwnerLost => "owner-lost",
            UnknownReason::PeerLost => "peer-lost",
            UnknownReason::TicketExpired => "ticket-expired",
            UnknownReason::UpstreamLost => "upstream-lost",
        }
    }
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
