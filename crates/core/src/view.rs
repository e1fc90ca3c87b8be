//! What a node knows of the fleet: routing, upstreams, and zones out of service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::route::{Name, Routing};
use crate::units::{Micros, Revision, SEC};

/// One upstream as it is published.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Service.
    pub service: Name,
    /// Address, reachable from the VM of its node only.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Concurrent requests.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Start of the process, in milliseconds of Unix time, if published.
    pub born: Option<u64>,
}

/// One published change with its revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Revision that it made.
    pub revision: Revision,
    /// What changed.
    pub update: Update,
}

/// What changed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Update {
    /// Routing; none if it could not be read.
    Routing(Option<Arc<Routing>>),
    /// An upstream; none if it is gone or its entry could not be read.
    Upstream(Name, Option<Upstream>),
    /// A zone that is out of service, or back.
    Zone(Name, bool),
}

/// Effect of a change on a view, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// Nothing changed.
    Same,
    /// A newer routing is in force.
    Routed(u64),
    /// An upstream is new or differs.
    Listed(Name),
    /// An upstream is gone.
    Unlisted(Name),
    /// An upstream lapsed while the platform was away and is kept for a while.
    Lapsed(Name),
    /// A zone went out of service, or came back.
    Zone(Name, bool),
}

/// Knowledge of the fleet up to one revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct View {
    /// Revision up to which everything is known.
    pub through: Revision,
    /// Newest routing.
    pub routing: Option<Arc<Routing>>,
    /// Upstreams by id.
    pub upstreams: BTreeMap<Name, Upstream>,
    /// Zones out of service.
    pub out: BTreeSet<Name>,
    #[serde(skip)]
    lapsed: BTreeMap<Name, Micros>,
    #[serde(skip)]
    keep_until: Micros,
}

/// Time after the platform's return in which upstreams that lapsed register again.
pub const REGISTER_TIME: Micros = 2 * SEC + SEC / 4;

impl View {
    /// Records that the platform can be read again at `now` after an outage.
    ///
    /// Upstreams whose entries expired meanwhile register again within
    /// [`REGISTER_TIME`], so that their absence says nothing before.
    ///
    /// ```
    /// bbv_core::view::View::default().platform_returned(0);
    /// ```
    pub fn platform_returned(&mut self, now: Micros) {
        self.keep_until = now + REGISTER_TIME;
    }

    /// Time for which upstreams whose entries expired in an outage are still kept.
    ///
    /// ```
    /// assert_eq!(bbv_core::view::View::default().keep_left(0), 0);
    /// ```
    pub fn keep_left(&self, now: Micros) -> Micros {
        self.keep_until.saturating_sub(now)
    }

    /// Keeps upstreams whose entries expire for `left`, as another node does.
    ///
    /// ```
    /// let mut view = bbv_core::view::View::default();
    /// view.keep_for(3, 4);
    /// assert_eq!(view.keep_left(5), 2);
    /// ```
    pub fn keep_for(&mut self, now: Micros, left: Micros) {
        self.keep_until = self.keep_until.max(now + left.min(REGISTER_TIME));
    }

    /// Applies one change.
    ///
    /// ```
    /// use bbv_core::view::{Applied, Update, View};
    /// let mut view = View::default();
    /// let applied = view.apply(0, Update::Zone("z".into(), true));
    /// assert_eq!(applied, Applied::Zone("z".into(), true));
    /// ```
    pub fn apply(&mut self, now: Micros, update: Update) -> Applied {
        match update {
            Update::Routing(Some(routing)) => self.route(routing),
            Update::Routing(None) => Applied::Same,
            Update::Upstream(id, Some(upstream)) => self.list(id, upstream),
            Update::Upstream(id, None) => self.unlist(now, id),
            Update::Zone(zone, out) => {
                let changed =
                    if out { self.out.insert(zone.clone()) } else { self.out.remove(&zone) };
                if changed { Applied::Zone(zone, out) } else { Applied::Same }
            }
        }
    }

    fn route(&mut self, routing: Arc<Routing>) -> Applied {
        if self.routing.as_ref().is_some_and(|held| held.version >= routing.version) {
            return Applied::Same;
        }
        let version = routing.version;
        self.routing = Some(routing);
        Applied::Routed(version)
    }

    fn list(&mut self, id: Name, upstream: Upstream) -> Applied {
        self.lapsed.remove(&id);
        if self.upstreams.get(&id) == Some(&upstream) {
            return Applied::Same;
        }
        self.upstreams.insert(id.clone(), upstream);
        Applied::Listed(id)
    }

    fn unlist(&mut self, now: Micros, id: Name) -> Applied {
        let Some(upstream) = self.upstreams.get(&id) else { return Applied::Same };
        if now < self.keep_until && !upstream.draining {
            self.lapsed.insert(id.clone(), self.keep_until);
            return Applied::Lapsed(id);
        }
        self.lapsed.remove(&id);
        self.upstreams.remove(&id);
        Applied::Unlisted(id)
    }

    /// Replaces everything by a complete listing as of `through`.
    ///
    /// ```
    /// use bbv_core::view::View;
    /// assert!(View::default().replace(0, 7, Vec::new()).is_empty());
    /// ```
    pub fn replace(&mut self, now: Micros, through: Revision, all: Vec<Update>) -> Vec<Applied> {
        let mut missing: BTreeSet<Name> = self.upstreams.keys().cloned().collect();
        let mut back = self.out.clone();
        for update in &all {
            match update {
                Update::Upstream(id, Some(_)) => drop(missing.remove(id)),
                Update::Zone(zone, true) => drop(back.remove(zone)),
                _ => {}
            }
        }
        let gone = missing.into_iter().map(|id| Update::Upstream(id, None));
        let back = back.into_iter().map(|zone| Update::Zone(zone, false));
        let updates = all.into_iter().chain(gone).chain(back).collect::<Vec<_>>();
        self.through = self.through.max(through);
        let applied = updates.into_iter().map(|update| self.apply(now, update));
        applied.filter(|applied| *applied != Applied::Same).collect()
    }

    /// Takes over what a peer knows if it knows more.
    ///
    /// ```
    /// use bbv_core::view::View;
    /// let mut view = View::default();
    /// let mut newer = View::default();
    /// newer.through = 4;
    /// view.adopt(0, newer);
    /// assert_eq!(view.through, 4);
    /// ```
    pub fn adopt(&mut self, now: Micros, peer: View) -> Vec<Applied> {
        if peer.through <= self.through {
            return Vec::new();
        }
        let routing = Update::Routing(peer.routing);
        let upstreams = peer.upstreams.into_iter().map(|(id, up)| Update::Upstream(id, Some(up)));
        let out = peer.out.into_iter().map(|zone| Update::Zone(zone, true));
        let all = std::iter::once(routing).chain(upstreams).chain(out).collect();
        self.replace(now, peer.through, all)
    }

    /// Drops upstreams that lapsed and did not register again in time.
    ///
    /// ```
    /// assert!(bbv_core::view::View::default().expire(0).is_empty());
    /// ```
    pub fn expire(&mut self, now: Micros) -> Vec<Name> {
        let due = self.lapsed.iter().filter(|(_, until)| **until <= now);
        let due: Vec<Name> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.lapsed.remove(id);
            self.upstreams.remove(id);
        }
        due
    }
}
