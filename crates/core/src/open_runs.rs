//! Requests that run on the upstream beside a bbv-mesh node, and which of them a crash is put down to.
//!
//! All requests that were open when an upstream crashed may have crashed it. They are suspect then, and
//! suspects run one at a time on each upstream: if it crashes again, it was that one. A request may lose its
//! upstream at any point, from the first byte of it that is sent to the last one of its answer, and also
//! after its caller has left, since an upstream may go on with it.

use std::collections::BTreeMap;

use crate::poison::Fingerprint;
use crate::units::{Micros, SEC};

/// Time for which an upstream may go on with a request whose connection was closed.
pub const AFTERMATH: Micros = 2 * SEC;
/// Most requests without an answer that are remembered.
const MAX_UNANSWERED: usize = 64;

/// Request that runs or has ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Run {
    fingerprint: Fingerprint,
    /// Whether it was suspect when it started.
    suspect: bool,
}

/// What a crash is put down to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Blame {
    /// No request was open.
    Nobody,
    /// One of these caused it.
    OneOf(Vec<Fingerprint>),
    /// This one did, as it was the only suspect.
    Proven(Fingerprint),
}

/// Requests that run on one upstream, by number, and those that ended without an answer.
#[derive(Clone, Debug, Default)]
pub struct OpenRuns {
    running: BTreeMap<u64, Run>,
    unanswered: Vec<(Micros, Run)>,
}

impl OpenRuns {
    /// Records that the request with `number` is sent to the upstream.
    ///
    /// ```
    /// bbv_core::open_runs::OpenRuns::default().start(1, 7, false);
    /// ```
    pub fn start(&mut self, number: u64, fingerprint: Fingerprint, suspect: bool) {
        self.running.insert(number, Run { fingerprint, suspect });
    }

    /// Records that the request with `number` has its whole answer, or did not run.
    ///
    /// ```
    /// use bbv_core::open_runs::{Blame, OpenRuns};
    /// let mut runs = OpenRuns::default();
    /// runs.start(1, 7, false);
    /// runs.end(1);
    /// assert_eq!(runs.take_blame(0), Blame::Nobody);
    /// ```
    pub fn end(&mut self, number: u64) {
        self.running.remove(&number);
    }

    /// Records that the request with `number` has ended without its whole answer.
    ///
    /// ```
    /// use bbv_core::open_runs::{Blame, OpenRuns};
    /// let mut runs = OpenRuns::default();
    /// runs.start(1, 7, false);
    /// runs.abandon(0, 1);
    /// assert_eq!(runs.take_blame(9), Blame::OneOf(vec![7]));
    /// ```
    pub fn abandon(&mut self, now: Micros, number: u64) {
        let Some(run) = self.running.remove(&number) else { return };
        self.unanswered.retain(|(at, _)| now < *at + AFTERMATH);
        if self.unanswered.len() < MAX_UNANSWERED {
            self.unanswered.push((now, run));
        }
    }

    /// Returns whether a crash now could be put down to a request.
    ///
    /// ```
    /// assert!(!bbv_core::open_runs::OpenRuns::default().may_crash(0));
    /// ```
    pub fn may_crash(&self, now: Micros) -> bool {
        !self.running.is_empty() || self.unanswered.iter().any(|(at, _)| now < *at + AFTERMATH)
    }

    /// Returns what a crash of the upstream is put down to, and forgets all requests: none runs on.
    ///
    /// ```
    /// use bbv_core::open_runs::{Blame, OpenRuns};
    /// let mut runs = OpenRuns::default();
    /// runs.start(1, 7, false);
    /// runs.start(2, 8, true);
    /// assert_eq!(runs.take_blame(0), Blame::Proven(8));
    /// assert_eq!(runs.take_blame(0), Blame::Nobody);
    /// ```
    pub fn take_blame(&mut self, now: Micros) -> Blame {
        let unanswered = std::mem::take(&mut self.unanswered).into_iter();
        let recent = unanswered.filter(|(at, _)| now < *at + AFTERMATH).map(|(_, run)| run);
        let running = std::mem::take(&mut self.running).into_values();
        let mut open: Vec<Run> = running.chain(recent).collect();
        open.sort_by_key(|run| run.fingerprint);
        open.dedup();
        let suspects: Vec<Fingerprint> =
            open.iter().filter(|run| run.suspect).map(|run| run.fingerprint).collect();
        match suspects[..] {
            [only] => Blame::Proven(only),
            [] if open.is_empty() => Blame::Nobody,
            [] => Blame::OneOf(open.iter().map(|run| run.fingerprint).collect()),
            _ => Blame::OneOf(suspects),
        }
    }
}
