//! Selects the bbv-mesh nodes that watch the platform, so that its request rate does not grow
//! with the fleet.
//!
//! Each zone has a few readers, which pass changes on to the other nodes. There is no consensus: a
//! node that knows of too few readers becomes one, and a reader that knows of enough readers of
//! higher weight stops. A wrong decision costs an extra call or a short delay, never correctness.

use std::collections::BTreeMap;

use crate::rendezvous;
use crate::units::{MS, Micros};

/// Readers of one zone, as known to one node.
#[derive(Clone, Debug)]
pub struct Readers {
    node: u64,
    zone: Vec<u8>,
    last_seen: BTreeMap<u64, Micros>,
    reading: bool,
    /// Time at which this node becomes a reader if there are too few until then.
    reads_at: Option<Micros>,
    /// Target number of readers in the zone.
    target: usize,
}

/// Target number of readers in a zone.
const READERS_PER_ZONE: usize = 2;
/// Number of nodes from which one reader is enough: in a large zone, notices from other zones tell
/// of a new revision many times a second, also if the reader fails.
const LARGE_ZONE: usize = 12;
/// Additional delay of a starting node for each node of higher weight, which should read first.
const START_STEP: Micros = 15 * MS;
/// Time without a heartbeat after which a reader counts as gone: three heartbeats.
pub const READER_TIMEOUT: Micros = 700 * MS;
/// Longest additional delay before a node becomes a reader. It differs from node to node, so that
/// not all become readers at the same time.
const MAX_DELAY: Micros = 400 * MS;

impl Readers {
    /// Creates the state of `node` in `zone`, which is not a reader yet.
    ///
    /// ```
    /// assert!(!bbv_core::readers::Readers::new(1, "z").is_reading());
    /// ```
    pub fn new(node: u64, zone: &str) -> Self {
        let zone = zone.as_bytes().to_vec();
        Readers {
            node,
            zone,
            last_seen: BTreeMap::new(),
            reading: false,
            reads_at: None,
            target: READERS_PER_ZONE,
        }
    }

    /// Sets the number of nodes in the zone.
    ///
    /// ```
    /// bbv_core::readers::Readers::new(1, "z").set_zone_size(60);
    /// ```
    pub fn set_zone_size(&mut self, nodes: usize) {
        self.target = if nodes < LARGE_ZONE { READERS_PER_ZONE } else { 1 };
    }

    /// Records that this node has just started and knows the other nodes `others` of its zone.
    ///
    /// It does not wait for heartbeats of readers for as long as a running node, since the whole
    /// zone may have started. Nodes of higher weight go first.
    ///
    /// ```
    /// let mut readers = bbv_core::readers::Readers::new(1, "z");
    /// readers.start(0, &[]);
    /// assert!(readers.decide(0), "there is no other node");
    /// ```
    pub fn start(&mut self, now: Micros, others: &[u64]) {
        let own = self.weight(self.node);
        let higher = others.iter().filter(|other| self.weight(**other) > own).count();
        let delay = (higher as Micros * START_STEP).min(MAX_DELAY);
        self.reads_at = Some(now + delay);
    }

    /// Records a heartbeat from node `other` of the same zone.
    ///
    /// ```
    /// bbv_core::readers::Readers::new(1, "z").record_heartbeat(0, 2, true);
    /// ```
    pub fn record_heartbeat(&mut self, now: Micros, other: u64, reading: bool) {
        if reading {
            self.last_seen.insert(other, now);
        } else {
            self.last_seen.remove(&other);
        }
    }

    /// Returns whether this node is a reader.
    ///
    /// ```
    /// assert!(!bbv_core::readers::Readers::new(1, "z").is_reading());
    /// ```
    pub fn is_reading(&self) -> bool {
        self.reading
    }

    /// Makes this node stop reading, as others do not hear from it. It still becomes a reader if it
    /// was about to, since it may hear of one topic and not of the other.
    ///
    /// ```
    /// let mut readers = bbv_core::readers::Readers::new(1, "z");
    /// readers.start(0, &[]);
    /// readers.stop();
    /// assert!(readers.decide(0));
    /// ```
    pub fn stop(&mut self) {
        self.reading = false;
    }

    /// Decides whether this node is a reader from now on.
    ///
    /// ```
    /// let mut readers = bbv_core::readers::Readers::new(1, "z");
    /// assert!(!readers.decide(0));
    /// assert!(readers.decide(2_000_000), "there is no other reader");
    /// ```
    pub fn decide(&mut self, now: Micros) -> bool {
        self.last_seen.retain(|_, at| now < *at + READER_TIMEOUT);
        if self.reading {
            let own = self.weight(self.node);
            let higher = self.last_seen.keys().filter(|other| self.weight(**other) > own).count();
            self.reading = higher < self.target;
            return self.reading;
        }
        if self.last_seen.len() >= self.target {
            self.reads_at = None;
            return false;
        }
        let timeout = now + READER_TIMEOUT + self.delay();
        let at = *self.reads_at.get_or_insert(timeout);
        self.reading = now >= at;
        if self.reading {
            self.reads_at = None;
        }
        self.reading
    }

    fn weight(&self, node: u64) -> (u64, u64) {
        (rendezvous::weight(&self.zone, node), node)
    }

    /// Additional delay before this node becomes a reader; shorter for a higher weight.
    fn delay(&self) -> Micros {
        let share = 1.0 - rendezvous::weight(&self.zone, self.node) as f64 / u64::MAX as f64;
        (share * MAX_DELAY as f64) as Micros
    }
}
