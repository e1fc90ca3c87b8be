//! Audit trail of configuration and state changes.

use std::collections::VecDeque;

use bbv_core::units::{Micros, Revision};
use serde::{Deserialize, Serialize};

/// What changed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A document came into force.
    InForce,
    /// A document was refused; the former one stays in force.
    Refused,
    /// The node changed its state.
    NodeState,
    /// The upstream changed its state.
    UpstreamState,
    /// A peer was replaced by another process.
    PeerReplaced,
    /// Records of another owner were taken over or handed off.
    Handoff,
}

/// One line of the trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Position in this node's trail.
    pub serial: u64,
    /// Time since the node started.
    pub at: Micros,
    /// What changed.
    pub event: Event,
    /// Document, VM or state that changed.
    pub subject: String,
    /// Why.
    pub cause: String,
    /// Revision of the document, or zero.
    pub revision: Revision,
    /// Time from publication to force in milliseconds, if it is known.
    pub delay_ms: Option<u64>,
}

/// Bounded trail; each line is also logged.
#[derive(Debug)]
pub struct Audit {
    lines: VecDeque<Line>,
    next: u64,
    cap: usize,
}

impl Audit {
    /// Creates a trail of at most `cap` lines.
    ///
    /// ```
    /// assert!(bbv_node::audit::Audit::new(9).since(0).is_empty());
    /// ```
    pub fn new(cap: usize) -> Self {
        Audit { lines: VecDeque::new(), next: 0, cap }
    }

    /// Appends a line.
    pub fn write(&mut self, at: Micros, event: Event, subject: &str, cause: &str) {
        self.write_revision(at, event, subject, cause, 0, None);
    }

    /// Appends a line about a revision.
    pub fn write_revision(
        &mut self,
        at: Micros,
        event: Event,
        subject: &str,
        cause: &str,
        revision: Revision,
        delay_ms: Option<u64>,
    ) {
        let line = Line {
            serial: self.next,
            at,
            event,
            subject: subject.to_owned(),
            cause: cause.to_owned(),
            revision,
            delay_ms,
        };
        log::info!(
            "event=audit kind={event:?} subject={subject:?} cause={cause:?} revision={revision} \
             delay_ms={}",
            delay_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string())
        );
        self.next += 1;
        self.lines.push_back(line);
        if self.lines.len() > self.cap {
            self.lines.pop_front();
        }
    }

    /// Lines from `serial` on that are still held.
    pub fn since(&self, serial: u64) -> Vec<Line> {
        self.lines.iter().filter(|line| line.serial >= serial).cloned().collect()
    }
}
