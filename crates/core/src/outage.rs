//! Outages of the platform's store, as a bbv-mesh node that reads it sees them.
//!
//! Entries of upstreams expire only while the store is away for longer than an upstream's heartbeat
//! interval. A call that fails alone, since its connection was cut or has gone silent, is no outage:
//! an entry that is missing afterwards means that its upstream is gone.

use crate::units::Micros;

/// Time since when the store has not answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    since: Option<Micros>,
}

impl Outage {
    /// Records a failed call; the store may have been away from `since` on.
    ///
    /// ```
    /// bbv_core::outage::Outage::default().record_failure(7);
    /// ```
    pub fn record_failure(&mut self, since: Micros) {
        self.since.get_or_insert(since);
    }

    /// Records that the store answered at `now` a call that began at `asked`; returns whether this
    /// ends an outage of at least `shortest`.
    ///
    /// ```
    /// let mut outage = bbv_core::outage::Outage::default();
    /// outage.record_failure(10);
    /// assert!(!outage.record_answer(14, 13, 5));
    /// outage.record_failure(20);
    /// assert!(outage.record_answer(26, 25, 5));
    /// ```
    pub fn record_answer(&mut self, now: Micros, asked: Micros, shortest: Micros) -> bool {
        let Some(since) = self.since.take() else { return false };
        // A call that began before the outage may have waited for its end.
        let end = if asked < since { now } else { asked };
        end >= since + shortest
    }

    /// Forgets failed calls, since this node leaves outages to other readers.
    ///
    /// ```
    /// let mut outage = bbv_core::outage::Outage::default();
    /// outage.record_failure(10);
    /// outage.clear();
    /// assert!(!outage.record_answer(90, 80, 5));
    /// ```
    pub fn clear(&mut self) {
        self.since = None;
    }
}
