//! What a node knows of one topic of the published state, compared with the store and other nodes.

use std::collections::BTreeMap;
use std::net::IpAddr;

use bbv_core::freshness::Freshness;
use bbv_core::lag::Lag;
use bbv_core::units::{Micros, Revision};

/// Latest call to the store of a node that reads it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum StoreCall {
    /// None since this node began to read.
    #[default]
    None,
    /// It was answered.
    Answered,
    /// It failed.
    Failed,
}

/// State of one topic besides its content.
pub(crate) struct Knowledge {
    /// Whether the store or a peer has confirmed the content since the start; a listing alone may be
    /// seconds old and name upstreams that have left.
    pub confirmed: bool,
    /// Latest call to the store while this node reads it.
    pub call: StoreCall,
    /// Age of the content, as told by other nodes or found at the store.
    pub freshness: Freshness,
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
            call: StoreCall::None,
            freshness: Freshness::default(),
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

    /// Records that the store, called at `asked`, has confirmed the content up to `through`.
    pub fn confirm(&mut self, now: Micros, asked: Micros, through: Revision) {
        self.call = StoreCall::Answered;
        self.confirmed = true;
        self.freshness.confirm(now, Some(now.saturating_sub(asked)));
        self.lag.record_read(through);
    }

    /// Returns the age of the content that this node hands on. A reader whose latest call was answered
    /// has the next one open, which the store answers when something changes.
    pub fn age(&self, now: Micros, reads: bool) -> Option<Micros> {
        if reads && self.call == StoreCall::Answered { Some(0) } else { self.freshness.age(now) }
    }
}
