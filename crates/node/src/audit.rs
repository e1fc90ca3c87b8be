//! Bounded audit trail of configuration and state changes, for operators.

use std::collections::VecDeque;

use bbv_core::units::{Micros, Revision};
use serde::{Deserialize, Serialize};

/// Kind of an audit line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A document came into force.
    InForce,
    /// A document was refused; the previous one stays in force.
    Refused,
    /// The node changed its state.
    NodeState,
    /// The upstream changed its state.
    UpstreamState,
    /// A peer was replaced by another process.
    PeerReplaced,
    /// Operation records were adopted or handed over.
    Handoff,
}

/// Line of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Number of the line in the trail of this node.
    pub serial: u64,
    /// Time since the node started.
    pub at: Micros,
    /// Kind of the change.
    pub event: Event,
    /// Document, node, VM or state that the line concerns.
    pub subject: String,
    /// Reason for the change.
    pub cause: String,
    /// Revision of the document, or zero if the line concerns none.
    pub revision: Revision,
    /// Time from the publication of the document until it took effect, in milliseconds, if known.
    pub delay_ms: Option<u64>,
}

/// Audit trail that keeps the latest lines; each line is also logged.
#[derive(Debug)]
pub struct Audit {
    lines: VecDeque<Line>,
    next: u64,
    max_lines: usize,
}

impl Audit {
    /// Creates a trail that keeps at most `max_lines` lines.
    ///
    /// ```
    /// assert!(bbv_node::audit::Audit::new(9).since(0).is_empty());
    /// ```
    pub fn new(max_lines: usize) -> Self {
        Audit { lines: VecDeque::new(), next: 0, max_lines }
    }

    /// Appends a line.
    pub fn write(&mut self, at: Micros, event: Event, subject: &str, cause: &str) {
        self.write_revision(at, event, subject, cause, 0, None);
    }

    /// Appends a line about a revision of a document.
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
        if self.lines.len() > self.max_lines {
            self.lines.pop_front();
        }
    }

    /// Lines from number `serial` on that are still kept.
    pub fn since(&self, serial: u64) -> Vec<Line> {
        self.lines.iter().filter(|line| line.serial >= serial).cloned().collect()
    }
}
