//! Requests for admission and the decisions about them.

use crate::units::Micros;

/// Request for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Identifier chosen by the user of this module.
    pub id: u64,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Time after which the answer is of no use.
    pub deadline: Micros,
    /// Time by which the answer should arrive.
    pub target: Micros,
    /// Expected service time at the normal speed of the upstream.
    pub service_time: Micros,
    /// Whether the request should rather run elsewhere while the upstream is slow.
    pub reroutes: bool,
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The request cannot be answered before its deadline.
    Late,
    /// The queue is full.
    Full,
    /// The upstream is cold and its rate limit is used up.
    Cold,
    /// The upstream is in a slow period; the request ends sooner elsewhere or later.
    Slow,
    /// The upstream is draining, out of service or unknown.
    Closed,
}

impl RefusalReason {
    /// Name in messages, logs and metrics.
    ///
    /// ```
    /// assert_eq!(bbv_core::admission::RefusalReason::Full.name(), "full");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::Late => "late",
            RefusalReason::Full => "full",
            RefusalReason::Cold => "cold",
            RefusalReason::Slow => "slow",
            RefusalReason::Closed => "closed",
        }
    }
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Expected time until there is capacity.
    pub retry_after: Micros,
}

/// Decision about a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// Run the request now.
    Run,
    /// Wait until [`Admission::poll`] returns the request.
    Wait,
    /// Refuse the request.
    Refuse(AdmissionRefusal),
}

/// Decision about a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDequeued {
    /// Run the request now.
    Run(u64),
    /// Refuse the request.
    Refuse(u64, AdmissionRefusal),
}
