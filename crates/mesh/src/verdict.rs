//! What nodes of a service tell each other about crashes of its upstreams.

use bbv_core::id::Vm;
use bbv_core::poison::{Crash, Fingerprint};
use serde::{Deserialize, Serialize};

/// What is known of a request that was open when an upstream crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Verdict {
    /// It or another one caused the crash.
    Suspect(Crash),
    /// It caused the crashes of these two.
    Poison(Fingerprint, [Vm; 2]),
    /// It was answered since.
    Clear(Fingerprint),
}

impl Verdict {
    /// Returns the verdict on a request that is refused for `crashes`, if these are two.
    pub fn of(crashes: &[Crash]) -> Option<Self> {
        let [first, second] = crashes else { return None };
        Some(Verdict::Poison(first.fingerprint, [first.vm, second.vm]))
    }
}
