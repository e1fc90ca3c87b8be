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
    /// Records a failed call of this node or another of its zone; the store may have been away from
    /// `since` on.
    ///
    /// ```
    /// bbv_core::outage::Outage::default().record_failure(7);
    /// ```
    pub fn record_failure(&mut self, since: Micros) {
        self.since = Some(self.since.map_or(since, |known| known.min(since)));
    }

    /// Returns how long the store has not answered, or `None` if it has.
    ///
    /// ```
    /// let mut outage = bbv_core::outage::Outage::default();
    /// outage.record_failure(7);
    /// outage.record_failure(5);
    /// assert_eq!(outage.lasted(9), Some(4));
    /// ```
    pub fn lasted(&self, now: Micros) -> Option<Micros> {
        self.since.map(|since| now.saturating_sub(since))
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

    /// Forgets failed calls, since another reader of the zone gets answers.
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
