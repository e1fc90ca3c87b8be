//! Round-trip time and liveness of another node. An ingress uses them to estimate the
//! cost of a send and to avoid nodes that do not respond.

use bbv_core::units::{MS, Micros};

/// State of another node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peer {
    /// Time of its last notice or response.
    pub last_seen: Micros,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Mean round-trip time; zero if unknown.
    pub rtt: Micros,
    /// Time of the last request to it.
    pub last_request: Micros,
    /// Consecutive failed connection attempts.
    pub connect_failures: u32,
}

/// Round-trip times assumed before the first measurement, within the zone and to another one.
const DEFAULT_RTT: Micros = MS;
const DEFAULT_RTT_FAR: Micros = 10 * MS;
const RTT_WEIGHT: u64 = 8;
/// Time without a notice or response after which a node that got a request counts as
/// unresponsive: three missed notices, within the zone and in another one.
const SILENCE_TIMEOUT: Micros = 700 * MS;
const SILENCE_TIMEOUT_FAR: Micros = 3_000 * MS;

impl Peer {
    /// Adds a sample to the exponential moving average of the round-trip time.
    pub fn update_rtt(&mut self, rtt: Micros) {
        self.rtt = match self.rtt {
            0 => rtt,
            current => current - current / RTT_WEIGHT + rtt / RTT_WEIGHT,
        };
    }

    /// Returns the expected round-trip time; `near` means the same zone.
    pub fn expected_rtt(&self, near: bool) -> Micros {
        match self.rtt {
            0 if near => DEFAULT_RTT,
            0 => DEFAULT_RTT_FAR,
            rtt => rtt,
        }
    }

    /// Returns whether the node has not responded for too long after a request to it.
    pub fn is_unresponsive(&self, now: Micros, near: bool) -> bool {
        let timeout = if near { SILENCE_TIMEOUT } else { SILENCE_TIMEOUT_FAR };
        self.last_seen + timeout < now && self.last_request > self.last_seen
    }
}
