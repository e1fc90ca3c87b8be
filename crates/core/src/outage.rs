//! Outages of the platform's store, as a bbv-mesh node sees them.
//!
//! Entries of upstreams expire only while the store is away for longer than an upstream's heartbeat
//! interval. A call that fails alone, since its connection was cut or has gone silent, is no outage:
//! an entry that is missing afterwards means that its upstream is gone. The same holds while calls of
//! other nodes are answered, so that an outage lasts from the latest answer that is known of any node.

use crate::units::{MS, Micros, SEC};

/// Time for which a node that waits for changes may claim that the store answers while it is away: the
/// wait, and the time until the answer is overdue.
const CLAIM_TIME: Micros = 2 * SEC;
/// Least time without an answer that counts as an outage, whatever the heartbeat interval.
const MIN_OUTAGE: Micros = 500 * MS;
/// Longest time between the starts of two calls of a node that reads the store in vain.
const CALL_GAP: Micros = 2 * SEC + 100 * MS;
/// Time by which an outage may have ended before the answer that ends it where this node did not try.
const UNTRIED_TIME: Micros = SEC + 450 * MS;
/// Time after an outage for which what other nodes still keep is kept here as well.
const SPARE_TIME: Micros = 2 * SEC + SEC / 4;

/// Time since when the store has not answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    since: Option<Micros>,
    /// Time of the latest answer known, to this node or another.
    answered_at: Micros,
    /// Start of the latest call of this node that failed.
    tried_at: Option<Micros>,
    /// Time until which what others keep since their outage is kept.
    spared_until: Micros,
}

/// Returns the least time without a known answer in which entries may expire: an entry expires after
/// three heartbeat intervals of silence, one of which may lie before the outage.
///
/// ```
/// assert_eq!(bbv_core::outage::shortest_outage(1_500_000), 1_000_000);
/// ```
pub fn shortest_outage(heartbeat: Micros) -> Micros {
    (2 * heartbeat).saturating_sub(CLAIM_TIME).max(MIN_OUTAGE)
}

impl Outage {
    /// Records a failed call of this node or another of its zone; the store may have been away from
    /// `since` on, but not before the latest answer that is known.
    ///
    /// ```
    /// bbv_core::outage::Outage::default().record_failure(7);
    /// ```
    pub fn record_failure(&mut self, since: Micros) {
        let since = since.max(self.answered_at);
        self.since = Some(self.since.map_or(since, |known| known.min(since)));
    }

    /// Records that the call of this node which began at `asked` has failed: the store was away then.
    ///
    /// ```
    /// bbv_core::outage::Outage::default().record_attempt(7);
    /// ```
    pub fn record_attempt(&mut self, asked: Micros) {
        self.tried_at = self.tried_at.max(Some(asked));
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

    /// Records that the store answered at `now` a call that began at `asked`, of this node or another.
    /// If this ends an outage of at least `shortest`, returns the earliest time at which it may have
    /// ended.
    ///
    /// ```
    /// let mut outage = bbv_core::outage::Outage::default();
    /// outage.record_failure(10);
    /// assert_eq!(outage.record_answer(14, 13, 5), None);
    /// outage.record_failure(20);
    /// outage.record_attempt(23);
    /// assert_eq!(outage.record_answer(26, 25, 5), Some(23));
    /// ```
    pub fn record_answer(
        &mut self,
        now: Micros,
        asked: Micros,
        shortest: Micros,
    ) -> Option<Micros> {
        self.answered_at = self.answered_at.max(now);
        // Word of an answer may be older than the failures known.
        let since = self.since.filter(|since| *since <= now)?;
        self.since = None;
        let tried = self.tried_at.take();
        // A call that began before the outage may have waited for its end.
        let end = if asked < since { now } else { asked };
        if end < since + shortest {
            return None;
        }
        self.spared_until = now + SPARE_TIME;
        let tried = tried.filter(|tried| now <= *tried + CALL_GAP);
        Some(tried.unwrap_or(now.saturating_sub(UNTRIED_TIME)))
    }

    /// Returns whether this node has, or had a moment ago, an outage of at least `shortest`: only then is
    /// what others keep since their outage no departure for this node.
    ///
    /// ```
    /// let mut outage = bbv_core::outage::Outage::default();
    /// assert!(!outage.spares(9, 5));
    /// outage.record_failure(1);
    /// assert!(outage.spares(9, 5));
    /// ```
    pub fn spares(&self, now: Micros, shortest: Micros) -> bool {
        now < self.spared_until || self.lasted(now).is_some_and(|lasted| lasted >= shortest)
    }
}
