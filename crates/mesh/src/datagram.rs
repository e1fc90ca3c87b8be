//! Datagrams about organisations, which nodes exchange on the socket of notices.

use bbv_core::granter::Grant;
use bbv_core::route::Name;
use bbv_core::units::{Micros, Revision};
use serde::{Deserialize, Serialize};

/// Start of each such datagram. As the start of a notice it would be the length of an instance name
/// that no datagram can hold.
const MARK: [u8; 2] = [0xff, 0xff];

/// Question or answer about organisations.
///
/// The postcard encoding depends on the order of the variants and fields. `id` is the random number of
/// a question, so that an answer to an earlier process at the same address is not taken for a new one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Datagram {
    /// Asks a granter for one token.
    AskToken { id: u32, organisation: Name },
    /// Answer of a granter.
    Grant { id: u32, grant: Grant },
    /// Asks how recent the known routing is.
    AskProof { id: u32 },
    /// The revision of the routing known, and the time since the store is proven to have had no newer one.
    Proof { id: u32, control: Revision, age: Option<Micros> },
}

impl Datagram {
    /// Encodes the datagram; `None` if that fails.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_extend(self, MARK.to_vec()).ok()
    }

    /// Decodes a datagram; `None` if it is a notice.
    pub fn decode(bytes: &[u8]) -> Option<Result<Self, postcard::Error>> {
        Some(postcard::from_bytes(bytes.strip_prefix(&MARK)?))
    }
}
