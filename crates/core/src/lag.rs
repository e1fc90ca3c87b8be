//! How long a node has known that others know more of the fleet than it does.
//!
//! A node that does not read the store learns of changes from other nodes. If it hears of changes
//! but cannot fetch or decode them, it has to read the store itself before its routing is too old.

use crate::units::{MS, Micros, Revision, SEC};

/// Time after which a node that is behind others reads the store, besides its own delay.
pub const LAG_LIMIT: Micros = SEC;
/// Longest delay of a node, so that the nodes of a fleet do not read the store at the same time.
pub const MAX_LAG_DELAY: Micros = 300 * MS;

/// Time since when a node has been behind others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    since: Option<Micros>,
    through: Revision,
    /// Newest revision that was announced.
    announced: Revision,
    /// Announced revision that the store did not know.
    refuted: Revision,
    delay: Micros,
}

impl Lag {
    /// Creates the lag of a node that waits for `delay` longer than [`LAG_LIMIT`].
    ///
    /// ```
    /// use bbv_core::lag::{LAG_LIMIT, Lag};
    /// let mut lag = Lag::new(3);
    /// lag.announce(5, 8, 7);
    /// assert!(!lag.is_overdue(5 + LAG_LIMIT, 7));
    /// ```
    pub fn new(delay: Micros) -> Self {
        Lag { delay, ..Lag::default() }
    }

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
        if revision <= through || revision == self.refuted {
            return;
        }
        if through > self.through {
            self.since = None;
            self.through = through;
        }
        self.announced = self.announced.max(revision);
        self.since.get_or_insert(now);
    }

    /// Records that this node has read the store, and knows the changes up to `through` since.
    ///
    /// The store knows no less than the other nodes, so that a revision beyond it does not exist.
    ///
    /// ```
    /// use bbv_core::lag::{LAG_LIMIT, Lag};
    /// let mut lag = Lag::default();
    /// lag.announce(5, 8, 7);
    /// lag.record_read(7);
    /// lag.announce(6, 8, 7);
    /// assert!(!lag.is_overdue(6 + LAG_LIMIT, 7));
    /// ```
    pub fn record_read(&mut self, through: Revision) {
        if self.since.take().is_some() && self.announced > through {
            self.refuted = self.announced;
        }
        self.announced = 0;
    }

    /// Records that this node has received a part of the changes that it lacks.
    ///
    /// ```
    /// use bbv_core::lag::{LAG_LIMIT, Lag};
    /// let mut lag = Lag::default();
    /// lag.announce(5, 8, 7);
    /// lag.record_progress(6);
    /// assert!(!lag.is_overdue(5 + LAG_LIMIT, 7));
    /// ```
    pub fn record_progress(&mut self, now: Micros) {
        if self.since.is_some() {
            self.since = Some(now);
        }
    }

    /// Returns whether another node is known to know more than this one, which knows the changes up
    /// to `through`.
    ///
    /// ```
    /// let mut lag = bbv_core::lag::Lag::default();
    /// lag.announce(5, 8, 7);
    /// assert!(lag.is_behind(7) && !lag.is_behind(8));
    /// ```
    pub fn is_behind(&self, through: Revision) -> bool {
        self.announced > through
    }

    /// Returns whether this node, which knows the changes up to `through`, has made no progress for
    /// longer than [`LAG_LIMIT`] although another node knows more.
    ///
    /// ```
    /// assert!(!bbv_core::lag::Lag::default().is_overdue(9_000_000, 0));
    /// ```
    pub fn is_overdue(&self, now: Micros, through: Revision) -> bool {
        through <= self.through
            && self.since.is_some_and(|since| now >= since + LAG_LIMIT + self.delay)
    }
}
