//! What a node knows of another node.

use bbv_core::units::{MS, Micros};

/// What is known of another node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peer {
    /// Time of its newest notice or answer.
    pub last_seen: Micros,
    /// Whether it stops.
    pub stopping: bool,
    /// Time for the way there and back; zero if unknown.
    pub rtt: Micros,
    /// Time of the newest request to it.
    pub last_request: Micros,
    /// Connections to it in a row that could not be made.
    pub connect_failures: u32,
}

/// Way there and back that is expected until it was measured.
const DEFAULT_RTT: Micros = MS;
const DEFAULT_RTT_FAR: Micros = 10 * MS;
const RTT_WEIGHT: u64 = 8;
/// Silence after which a node that was asked something is taken to be unreachable: three
/// notices that did not come, in the same zone and in another one.
const SILENCE_TIMEOUT: Micros = 700 * MS;
const SILENCE_TIMEOUT_FAR: Micros = 3_000 * MS;

impl Peer {
    /// Learns the time of a way there and back.
    pub fn update_rtt(&mut self, rtt: Micros) {
        self.rtt = match self.rtt {
            0 => rtt,
            current => current - current / RTT_WEIGHT + rtt / RTT_WEIGHT,
        };
    }

    /// Time that the way there and back is expected to take; `near` is the same zone.
    pub fn expected_rtt(&self, near: bool) -> Micros {
        match self.rtt {
            0 if near => DEFAULT_RTT,
            0 => DEFAULT_RTT_FAR,
            rtt => rtt,
        }
    }

    /// Whether nothing was heard of the node for too long after a request to it.
    pub fn is_unresponsive(&self, now: Micros, near: bool) -> bool {
        let timeout = if near { SILENCE_TIMEOUT } else { SILENCE_TIMEOUT_FAR };
        self.last_seen + timeout < now && self.last_request > self.last_seen
    }
}
