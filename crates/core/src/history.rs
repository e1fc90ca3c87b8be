//! Recent changes, so that a node that is a little behind is told only those.

use std::collections::VecDeque;

use crate::units::Revision;
use crate::view::Change;

/// Changes after one revision, in order.
#[derive(Clone, Debug, Default)]
pub struct History {
    floor: Revision,
    changes: VecDeque<Change>,
}

/// Changes that are kept; a node that is further behind is told everything.
const KEPT: usize = 512;

impl History {
    /// Forgets everything: what is known as of `floor` was learned at once.
    ///
    /// ```
    /// let mut history = bbv_core::history::History::default();
    /// history.restart(7);
    /// assert_eq!(history.since(6), None);
    /// assert_eq!(history.since(7), Some(Vec::new()));
    /// ```
    pub fn restart(&mut self, floor: Revision) {
        self.floor = floor;
        self.changes.clear();
    }

    /// Appends changes.
    ///
    /// ```
    /// bbv_core::history::History::default().extend(&[]);
    /// ```
    pub fn extend(&mut self, changes: &[Change]) {
        self.changes.extend(changes.iter().cloned());
        while self.changes.len() > KEPT {
            if let Some(dropped) = self.changes.pop_front() {
                self.floor = dropped.revision;
            }
        }
    }

    /// Changes after `revision`; none if some of them are no longer known.
    ///
    /// ```
    /// assert_eq!(bbv_core::history::History::default().since(0), Some(Vec::new()));
    /// ```
    pub fn since(&self, revision: Revision) -> Option<Vec<Change>> {
        if revision < self.floor {
            return None;
        }
        let newer = self.changes.iter().filter(|change| change.revision > revision);
        Some(newer.cloned().collect())
    }
}
