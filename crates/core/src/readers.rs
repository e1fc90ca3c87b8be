//! Selects the bbv-mesh nodes that watch the platform, so that its request rate does not grow
//! with the fleet.
//!
//! Each zone has a few readers, which pass changes on to the other nodes. There is no consensus: a
//! node that knows of too few readers becomes one, and a reader that knows of enough readers of
//! higher weight stops. A wrong decision costs an extra call or a short delay, never correctness.
//! While calls to the platform fail, the nodes of a zone take turns, so that the calls of a zone do not grow
//! with its nodes.

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
    /// Time of this node's turn while others of the zone fail to read the platform.
    turn_at: Option<Micros>,
    /// Time of the latest failed call in the zone that is known.
    failed_at: Option<Micros>,
    /// Failed calls of this node in a row.
    failures: u32,
    /// Whether the other nodes are to be told of a failed call.
    unannounced: bool,
    /// Target number of readers in the zone.
    target: usize,
    /// Number of nodes in the zone.
    size: usize,
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
/// Mean interval between the turns of a zone's nodes while none of them can read the platform.
const TURN_INTERVAL: Micros = 250 * MS;
/// Failed calls in a row, of both topics, that end a turn.
const MAX_FAILURES: u32 = 4;
/// Time after a failed call of another node for which nodes take turns; longer than a call may last.
const TURNS_TIMEOUT: Micros = 2_000 * MS;

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
            turn_at: None,
            failed_at: None,
            failures: 0,
            unannounced: false,
            target: READERS_PER_ZONE,
            size: 1,
        }
    }

    /// Sets the number of nodes in the zone.
    ///
    /// ```
    /// bbv_core::readers::Readers::new(1, "z").set_zone_size(60);
    /// ```
    pub fn set_zone_size(&mut self, nodes: usize) {
        self.size = nodes.max(1);
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

    /// Records that a call of another node of the zone to the platform has failed.
    ///
    /// ```
    /// bbv_core::readers::Readers::new(1, "z").record_peer_failure(0, 2);
    /// ```
    pub fn record_peer_failure(&mut self, now: Micros, other: u64) {
        self.last_seen.remove(&other);
        self.failed_at = Some(now);
    }

    /// Records a failed call of this node. A reader that keeps failing ends its turn, so that other
    /// nodes of the zone try; `share`, from 0 to 1, is random and spreads its next turn.
    ///
    /// ```
    /// let mut readers = bbv_core::readers::Readers::new(1, "z");
    /// readers.record_failure(0, 0.5);
    /// assert!(readers.take_unannounced());
    /// ```
    pub fn record_failure(&mut self, now: Micros, share: f64) {
        self.failures += 1;
        self.failed_at = Some(now);
        self.unannounced = true;
        if self.reading && self.size > 1 && self.failures >= MAX_FAILURES {
            self.reading = false;
            self.turn_at = Some(now + self.turns(0.5 + share));
        }
    }

    /// Records that a call of this node was answered.
    ///
    /// ```
    /// bbv_core::readers::Readers::new(1, "z").record_answer();
    /// ```
    pub fn record_answer(&mut self) {
        self.failures = 0;
        self.failed_at = None;
    }

    /// Returns whether calls of the zone's nodes fail and none is known to be answered.
    ///
    /// ```
    /// let mut readers = bbv_core::readers::Readers::new(1, "z");
    /// assert!(!readers.is_failing(0));
    /// readers.record_peer_failure(0, 2);
    /// assert!(readers.is_failing(0));
    /// ```
    pub fn is_failing(&self, now: Micros) -> bool {
        self.failed_at.is_some_and(|at| now < at + TURNS_TIMEOUT)
    }

    /// Returns whether another node of the zone is known to read the platform.
    ///
    /// ```
    /// let mut readers = bbv_core::readers::Readers::new(1, "z");
    /// readers.record_heartbeat(0, 2, true);
    /// assert!(readers.hears_reader());
    /// ```
    pub fn hears_reader(&self) -> bool {
        !self.last_seen.is_empty()
    }

    /// Iterates over the other nodes of the zone that are known to read the platform.
    ///
    /// ```
    /// let mut readers = bbv_core::readers::Readers::new(1, "z");
    /// readers.record_heartbeat(0, 2, true);
    /// assert!(readers.heard().eq([2]));
    /// ```
    pub fn heard(&self) -> impl Iterator<Item = u64> {
        self.last_seen.keys().copied()
    }

    /// Returns whether a failed call of this node has not been announced yet, and records that it is.
    ///
    /// ```
    /// assert!(!bbv_core::readers::Readers::new(1, "z").take_unannounced());
    /// ```
    pub fn take_unannounced(&mut self) -> bool {
        std::mem::take(&mut self.unannounced)
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
            (self.reads_at, self.turn_at, self.failed_at) = (None, None, None);
            return false;
        }
        self.reading = now >= self.next_start(now);
        if self.reading {
            (self.reads_at, self.turn_at, self.failures) = (None, None, 0);
        }
        self.reading
    }

    /// Returns when this node becomes a reader if there are too few until then.
    fn next_start(&mut self, now: Micros) -> Micros {
        if !self.is_failing(now) {
            self.turn_at = None;
            let start = now + self.delay();
            return *self.reads_at.get_or_insert(start);
        }
        self.reads_at = None;
        let turn = now + self.turns(self.rank());
        *self.turn_at.get_or_insert(turn)
    }

    /// Returns `share` of the time in which each node of the zone has one turn.
    fn turns(&self, share: f64) -> Micros {
        (share * self.size as f64 * TURN_INTERVAL as f64) as Micros
    }

    fn weight(&self, node: u64) -> (u64, u64) {
        (rendezvous::weight(&self.zone, node), node)
    }

    /// Position of this node in the order of weights, from 0 for the highest to 1.
    fn rank(&self) -> f64 {
        1.0 - rendezvous::weight(&self.zone, self.node) as f64 / u64::MAX as f64
    }

    /// Additional delay before this node becomes a reader; shorter for a higher weight.
    fn delay(&self) -> Micros {
        (self.rank() * MAX_DELAY as f64) as Micros
    }
}
