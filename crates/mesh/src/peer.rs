//! Round-trip time and liveness of another node. An ingress uses them to estimate the cost of a
//! send and to avoid nodes that do not respond.

use bbv_core::units::{MS, Micros};

/// State of another node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peer {
    /// Time of its last notice or response.
    pub last_seen: Micros,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Exponential moving average of the round-trip time; zero if unknown.
    pub rtt: Micros,
    /// Time of the last request to it.
    pub last_request: Micros,
    /// Consecutive failed connection attempts.
    pub connect_failures: u32,
}

/// Round-trip times assumed before the first measurement, within a zone and between zones.
const DEFAULT_RTT: Micros = MS;
const DEFAULT_CROSS_ZONE_RTT: Micros = 10 * MS;
/// Inverse of the weight of a new sample in the moving average of the round-trip time.
const RTT_DIVISOR: u64 = 8;
/// Time without a notice or response after which a node that got a request counts as
/// unresponsive: three missed notices, within a zone and between zones.
const SILENCE_TIMEOUT: Micros = 700 * MS;
const CROSS_ZONE_SILENCE_TIMEOUT: Micros = 3_000 * MS;

impl Peer {
    /// Adds a sample to the exponential moving average of the round-trip time.
    pub fn update_rtt(&mut self, rtt: Micros) {
        self.rtt = match self.rtt {
            0 => rtt,
            current => current - current / RTT_DIVISOR + rtt / RTT_DIVISOR,
        };
    }

    /// Returns the expected round-trip time to a node of the same or of another zone.
    pub fn expected_rtt(&self, same_zone: bool) -> Micros {
        match self.rtt {
            0 if same_zone => DEFAULT_RTT,
            0 => DEFAULT_CROSS_ZONE_RTT,
            rtt => rtt,
        }
    }

    /// Returns whether the node has not responded for too long after a request to it.
    pub fn is_unresponsive(&self, now: Micros, same_zone: bool) -> bool {
        let timeout = if same_zone { SILENCE_TIMEOUT } else { CROSS_ZONE_SILENCE_TIMEOUT };
        self.last_seen + timeout < now && self.last_request > self.last_seen
    }
}
