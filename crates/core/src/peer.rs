//! Round-trip time and liveness of another bbv-mesh node. An ingress uses them to estimate the cost
//! of a send and to avoid nodes that do not respond.
//!
//! They matter when nodes freeze, are cut off or lose power with requests on the way.

use crate::distance::Distance;
use crate::units::{MS, Micros};

/// State of another node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peer {
    /// Whether it is stopping.
    pub stopping: bool,
    /// Consecutive failed connection attempts.
    pub connect_failures: u32,
    /// Exponential moving average of the round-trip time; zero if unknown.
    rtt: Micros,
    /// Time of the first request to it since its last message.
    silent_since: Option<Micros>,
}

/// Round-trip times assumed before the first measurement, within a zone, between zones and between
/// regions.
const DEFAULT_RTT: Micros = MS;
const DEFAULT_CROSS_ZONE_RTT: Micros = 10 * MS;
const DEFAULT_CROSS_REGION_RTT: Micros = 50 * MS;
/// Inverse of the weight of a new sample in the moving average of the round-trip time.
const RTT_DIVISOR: u64 = 8;
/// Time without a notice or response after which a node that got a request counts as
/// unresponsive: three missed notices, within a zone and between zones.
const SILENCE_TIMEOUT: Micros = 700 * MS;
const CROSS_ZONE_SILENCE_TIMEOUT: Micros = 3_000 * MS;

impl Peer {
    /// Records a request to the node.
    ///
    /// ```
    /// let mut peer = bbv_core::peer::Peer::default();
    /// peer.record_request(0);
    /// assert!(peer.is_unresponsive(1_000_000, true));
    /// ```
    pub fn record_request(&mut self, now: Micros) {
        self.silent_since.get_or_insert(now);
    }

    /// Records a notice or a response of the node.
    ///
    /// ```
    /// bbv_core::peer::Peer::default().record_message();
    /// ```
    pub fn record_message(&mut self) {
        self.silent_since = None;
    }

    /// Returns the round-trip time; zero if unknown.
    ///
    /// ```
    /// assert_eq!(bbv_core::peer::Peer::default().rtt(), 0);
    /// ```
    pub fn rtt(&self) -> Micros {
        self.rtt
    }

    /// Adds a sample to the exponential moving average of the round-trip time.
    ///
    /// ```
    /// bbv_core::peer::Peer::default().update_rtt(900);
    /// ```
    pub fn update_rtt(&mut self, rtt: Micros) {
        self.rtt = match self.rtt {
            0 => rtt,
            current => current - current / RTT_DIVISOR + rtt / RTT_DIVISOR,
        };
    }

    /// Returns the expected round-trip time to a node at `distance`.
    ///
    /// ```
    /// use bbv_core::distance::Distance;
    /// let peer = bbv_core::peer::Peer::default();
    /// assert!(peer.expected_rtt(Distance::Zone) < peer.expected_rtt(Distance::Remote));
    /// ```
    pub fn expected_rtt(&self, distance: Distance) -> Micros {
        if self.rtt > 0 {
            return self.rtt;
        }
        match distance {
            Distance::Zone => DEFAULT_RTT,
            Distance::Region => DEFAULT_CROSS_ZONE_RTT,
            Distance::Remote => DEFAULT_CROSS_REGION_RTT,
        }
    }

    /// Returns whether the node has not responded for too long after a request to it.
    ///
    /// ```
    /// assert!(!bbv_core::peer::Peer::default().is_unresponsive(9_000_000, true));
    /// ```
    pub fn is_unresponsive(&self, now: Micros, same_zone: bool) -> bool {
        let timeout = if same_zone { SILENCE_TIMEOUT } else { CROSS_ZONE_SILENCE_TIMEOUT };
        self.silent_since.is_some_and(|since| since + timeout < now)
    }
}
