//! What a node knows of one topic of the published state, compared with the store and other nodes.

use std::collections::BTreeMap;
use std::net::IpAddr;

use bbv_core::lag::Lag;
use bbv_core::units::{Micros, Revision};

/// State of one topic besides its content.
pub(crate) struct Knowledge {
    /// Whether the store or a peer has confirmed the content since the start; a listing alone may be
    /// seconds old and name upstreams that have left.
    pub confirmed: bool,
    /// Whether the last call to the store failed.
    pub store_failed: bool,
    /// Whether changes are being fetched from a peer.
    pub pulling: bool,
    /// Peers that announced a newer revision.
    pub newer_peers: BTreeMap<IpAddr, Revision>,
    /// Time since when other nodes have known more than this one.
    pub lag: Lag,
}

impl Knowledge {
    /// Creates the state of a topic of which nothing is known yet; `lag_delay` is how much longer
    /// than others this node waits before it reads the store as it is behind.
    pub fn new(lag_delay: Micros) -> Self {
        Knowledge {
            confirmed: false,
            store_failed: true,
            pulling: false,
            newer_peers: BTreeMap::new(),
            lag: Lag::new(lag_delay),
        }
    }

    /// Records that the peer at `from` knows changes up to `revision`, while this node knows those
    /// up to `through`; returns whether changes have to be fetched.
    pub fn announce(
        &mut self,
        now: Micros,
        from: IpAddr,
        revision: Revision,
        through: Revision,
    ) -> bool {
        self.lag.announce(now, revision, through);
        if revision <= through {
            return false;
        }
        self.newer_peers.insert(from, revision);
        !std::mem::replace(&mut self.pulling, true)
    }

    /// Records that the store, which can be reached, has confirmed the content up to `through`.
    pub fn confirm(&mut self, through: Revision) {
        self.store_failed = false;
        self.confirmed = true;
        self.lag.record_read(through);
    }
}
