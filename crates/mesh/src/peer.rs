//! What a node knows of another node.

use bbv_core::units::{MS, Micros};

/// What is known of another node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peer {
    /// Time of its newest notice or answer.
    pub heard: Micros,
    /// Whether it stops.
    pub stopping: bool,
    /// Time for the way there and back; zero if unknown.
    pub link: Micros,
    /// Time of the newest request to it.
    pub asked: Micros,
    /// Connections to it in a row that could not be made.
    pub unreachable: u32,
}

/// Way there and back that is expected until it was measured.
const LINK_NEAR: Micros = MS;
const LINK_FAR: Micros = 10 * MS;
const LINK_GAIN: u64 = 8;
/// Silence after which a node that was asked something is taken to be unreachable: three
/// notices that did not come, in the same zone and in another one.
const SILENT: Micros = 700 * MS;
const SILENT_FAR: Micros = 3_000 * MS;

impl Peer {
    /// Learns the time of a way there and back.
    pub fn learn_link(&mut self, link: Micros) {
        self.link = match self.link {
            0 => link,
            held => held - held / LINK_GAIN + link / LINK_GAIN,
        };
    }

    /// Time that the way there and back is expected to take; `near` is the same zone.
    pub fn expected_link(&self, near: bool) -> Micros {
        match self.link {
            0 if near => LINK_NEAR,
            0 => LINK_FAR,
            link => link,
        }
    }

    /// Whether nothing was heard of the node for too long after a request to it.
    pub fn silent(&self, now: Micros, near: bool) -> bool {
        let silence = if near { SILENT } else { SILENT_FAR };
        self.heard + silence < now && self.asked > self.heard
    }
}
