//! Recent changes of a bbv-mesh node's view, from which it answers a peer that is slightly
//! behind with only the changes that the peer lacks.
//!
//! It matters when the fleet changes often: a peer that is too far behind gets the whole view.

use std::collections::VecDeque;

use crate::units::Revision;
use crate::view::ViewChange;

/// Changes after one revision, in order of revision.
#[derive(Clone, Debug, Default)]
pub struct History {
    start: Revision,
    changes: VecDeque<ViewChange>,
}

/// Number of changes kept; a node that is further behind gets the whole view.
const MAX_CHANGES: usize = 512;

impl History {
    /// Drops all changes, after the whole view as of `revision` was received at once.
    ///
    /// ```
    /// let mut history = bbv_core::history::History::default();
    /// history.reset(7);
    /// assert_eq!(history.since(6), None);
    /// assert_eq!(history.since(7), Some(Vec::new()));
    /// ```
    pub fn reset(&mut self, revision: Revision) {
        self.start = revision;
        self.changes.clear();
    }

    /// Appends changes and drops the oldest ones beyond the maximum number.
    ///
    /// ```
    /// bbv_core::history::History::default().extend(&[]);
    /// ```
    pub fn extend(&mut self, changes: &[ViewChange]) {
        self.changes.extend(changes.iter().cloned());
        while self.changes.len() > MAX_CHANGES {
            if let Some(dropped) = self.changes.pop_front() {
                self.start = dropped.revision;
            }
        }
    }

    /// Returns the changes after `revision`, or `None` if some of them were dropped.
    ///
    /// ```
    /// assert_eq!(bbv_core::history::History::default().since(0), Some(Vec::new()));
    /// ```
    pub fn since(&self, revision: Revision) -> Option<Vec<ViewChange>> {
        if revision < self.start {
            return None;
        }
        let newer = self.changes.iter().filter(|change| change.revision > revision);
        Some(newer.cloned().collect())
    }
}
