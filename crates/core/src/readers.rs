//! Which nodes watch the platform, so that its calls do not grow with the fleet.
//!
//! Each zone keeps a few readers; the others learn from them. Nothing is agreed on: a node
//! that hears of too few readers becomes one, and one that hears of enough better ones stops.
//! Being wrong costs a call, or a moment, and never correctness.

use std::collections::BTreeMap;

use crate::rendezvous;
use crate::units::{MS, Micros};

/// Readers of one zone, as one node knows them.
#[derive(Clone, Debug)]
pub struct Readers {
    me: u64,
    zone: Vec<u8>,
    heard: BTreeMap<u64, Micros>,
    reading: bool,
    lacking_since: Option<Micros>,
}

/// Readers that a zone keeps.
const WANTED: usize = 2;
/// Silence after which a reader is taken to be gone: three of its notices.
pub const SILENCE: Micros = 700 * MS;
/// Longest further wait before a node becomes a reader; nodes differ, so that not all
/// become one at the same time.
const SPREAD: Micros = 400 * MS;

impl Readers {
    /// Creates the view of node `me` in `zone`, which does not read.
    ///
    /// ```
    /// assert!(!bbv_core::readers::Readers::new(1, "z").reading());
    /// ```
    pub fn new(me: u64, zone: &str) -> Self {
        let zone = zone.as_bytes().to_vec();
        Readers { me, zone, heard: BTreeMap::new(), reading: false, lacking_since: None }
    }

    /// Records a notice of node `other` of the same zone.
    ///
    /// ```
    /// bbv_core::readers::Readers::new(1, "z").heard(0, 2, true);
    /// ```
    pub fn heard(&mut self, now: Micros, other: u64, reads: bool) {
        if reads {
            self.heard.insert(other, now);
        } else {
            self.heard.remove(&other);
        }
    }

    /// Whether this node reads.
    ///
    /// ```
    /// assert!(!bbv_core::readers::Readers::new(1, "z").reading());
    /// ```
    pub fn reading(&self) -> bool {
        self.reading
    }

    /// Decides whether this node reads from now on.
    ///
    /// ```
    /// let mut readers = bbv_core::readers::Readers::new(1, "z");
    /// assert!(!readers.decide(0));
    /// assert!(readers.decide(2_000_000), "nobody else reads");
    /// ```
    pub fn decide(&mut self, now: Micros) -> bool {
        self.heard.retain(|_, at| now < *at + SILENCE);
        if self.reading {
            let mine = self.weight(self.me);
            let better = self.heard.keys().filter(|other| self.weight(**other) > mine).count();
            self.reading = better < WANTED;
            return self.reading;
        }
        if self.heard.len() >= WANTED {
            self.lacking_since = None;
            return false;
        }
        let since = *self.lacking_since.get_or_insert(now);
        self.reading = now >= since + SILENCE + self.patience();
        if self.reading {
            self.lacking_since = None;
        }
        self.reading
    }

    fn weight(&self, node: u64) -> (u64, u64) {
        (rendezvous::weight(&self.zone, node), node)
    }

    /// Better candidates wait less.
    fn patience(&self) -> Micros {
        let share = 1.0 - rendezvous::weight(&self.zone, self.me) as f64 / u64::MAX as f64;
        (share * SPREAD as f64) as Micros
    }
}
