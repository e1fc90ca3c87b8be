//! How long a node has known that others know more of the fleet than it does.
//!
//! A node that does not read the store learns of changes from other nodes. If it hears of changes
//! but cannot fetch or decode them, it has to read the store itself before its routing is too old.

use crate::units::{Micros, Revision, SEC};

/// Time after which a node that is behind others reads the store.
pub const LAG_LIMIT: Micros = SEC;

/// Time since when a node has been behind others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    since: Option<Micros>,
    through: Revision,
}

impl Lag {
    /// Records that another node has announced `revision`, while this node knows the changes up to
    /// `through`.
    ///
    /// ```
    /// use bbv_core::lag::{LAG_LIMIT, Lag};
    /// let mut lag = Lag::default();
    /// lag.announce(5, 8, 7);
    /// assert!(lag.is_overdue(5 + LAG_LIMIT, 7));
    /// ```
    pub fn announce(&mut self, now: Micros, revision: Revision, through: Revision) {
        if revision <= through {
            return;
        }
        if through > self.through {
            *self = Lag { since: None, through };
        }
        self.since.get_or_insert(now);
    }

    /// Records that this node has read the store, which knows no less than the other nodes.
    ///
    /// ```
    /// use bbv_core::lag::{LAG_LIMIT, Lag};
    /// let mut lag = Lag::default();
    /// lag.announce(5, 8, 7);
    /// lag.record_read();
    /// assert!(!lag.is_overdue(5 + LAG_LIMIT, 7));
    /// ```
    pub fn record_read(&mut self) {
        self.since = None;
    }

    /// Returns whether this node, which knows the changes up to `through`, has made no progress for
    /// longer than [`LAG_LIMIT`] although another node knows more.
    ///
    /// ```
    /// assert!(!bbv_core::lag::Lag::default().is_overdue(9_000_000, 0));
    /// ```
    pub fn is_overdue(&self, now: Micros, through: Revision) -> bool {
        through <= self.through && self.since.is_some_and(|since| now >= since + LAG_LIMIT)
    }
}
