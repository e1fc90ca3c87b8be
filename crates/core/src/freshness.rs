//! Age of what a node knows of the published state, counted from its source: a node that reads the platform.
//! Messages that hand knowledge on carry this age, and a node whose knowledge is too old gets it from
//! elsewhere.

use crate::units::{MS, Micros};

/// Time for which knowledge counts as fresh: three heartbeats and a margin.
pub const FRESH_TIME: Micros = 700 * MS;

/// Latest time at which the source is known to have had nothing newer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
    confirmed_at: Option<Micros>,
}

impl Freshness {
    /// Records that the source had nothing newer `age` before `now`. An older confirmation than the
    /// one known has no effect, nor has one without an age.
    ///
    /// ```
    /// let mut freshness = bbv_core::freshness::Freshness::default();
    /// freshness.confirm(9, Some(2));
    /// freshness.confirm(9, Some(5));
    /// freshness.confirm(9, None);
    /// assert_eq!(freshness.age(10), Some(3));
    /// ```
    pub fn confirm(&mut self, now: Micros, age: Option<Micros>) {
        let Some(age) = age else { return };
        self.confirmed_at = self.confirmed_at.max(Some(now.saturating_sub(age)));
    }

    /// Returns how long ago the source had nothing newer; `None` if that was never confirmed.
    ///
    /// ```
    /// assert_eq!(bbv_core::freshness::Freshness::default().age(10), None);
    /// ```
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether the knowledge is older than `limit`, or was never confirmed.
    ///
    /// ```
    /// let mut freshness = bbv_core::freshness::Freshness::default();
    /// assert!(freshness.is_older(0, 5));
    /// freshness.confirm(0, Some(0));
    /// assert!(!freshness.is_older(5, 5) && freshness.is_older(6, 5));
    /// ```
    pub fn is_older(&self, now: Micros, limit: Micros) -> bool {
        self.age(now).is_none_or(|age| age > limit)
    }
}
