//! A bbv-mesh node's view of the fleet: routing, upstreams, and zones out of service.
//!
//! Applies the changes that the platform or another node sends. It matters when the fleet
//! changes and after an outage of the platform, not per request.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::route::{Name, Routing};
use crate::units::{Micros, Revision, SEC};

/// One upstream as the platform publishes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishedUpstream {
    /// Service that it runs.
    pub service: Name,
    /// Address, reachable only from the VM of its node.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is shutting down and gets no new requests.
    pub draining: bool,
    /// Start time of its process in milliseconds of Unix time, if published.
    pub born: Option<u64>,
}

/// One published change of the view, with its revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ViewChange {
    /// Revision that the change created.
    pub revision: Revision,
    /// Updated item.
    pub update: Update,
}

/// Updated item of the view, with its new value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Update {
    /// Routing, or `None` if it could not be parsed.
    Routing(Option<Arc<Routing>>),
    /// An upstream, or `None` if it was removed or its entry could not be parsed.
    Upstream(Name, Option<PublishedUpstream>),
    /// A zone, and whether it is out of service.
    Zone(Name, bool),
}

/// Effect of an update on a view, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// No change.
    Unchanged,
    /// The routing was replaced by this newer version.
    RoutingReplaced(u64),
    /// An upstream was added or changed.
    UpstreamUpdated(Name),
    /// An upstream was removed.
    UpstreamRemoved(Name),
    /// The entry of an upstream expired during an outage of the platform; the upstream is
    /// kept for the grace period.
    UpstreamExpired(Name),
    /// A zone went out of service or returned to service.
    Zone(Name, bool),
}

/// State of the fleet as of one revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct View {
    /// Revision up to which every change has been applied.
    pub through: Revision,
    /// Newest routing, if any was received.
    pub routing: Option<Arc<Routing>>,
    /// Upstreams by identifier.
    pub upstreams: BTreeMap<Name, PublishedUpstream>,
    /// Zones out of service.
    pub out: BTreeSet<Name>,
    #[serde(skip)]
    expired: BTreeMap<Name, Micros>,
    #[serde(skip)]
    grace_end: Micros,
}

/// Time after an outage of the platform within which upstreams whose entries expired register
/// again.
pub const REGISTRATION_GRACE: Micros = 2 * SEC + SEC / 4;

impl View {
    /// Records that the platform can be read again at `now` after an outage.
    ///
    /// Upstreams whose entries expired during the outage register again within
    /// [`REGISTRATION_GRACE`]; until then a missing entry does not mean that its upstream is gone.
    ///
    /// ```
    /// bbv_core::view::View::default().platform_recovered(0);
    /// ```
    pub fn platform_recovered(&mut self, now: Micros) {
        self.grace_end = now + REGISTRATION_GRACE;
    }

    /// Returns how long upstreams whose entries expired in an outage are still kept.
    ///
    /// ```
    /// assert_eq!(bbv_core::view::View::default().grace_left(0), 0);
    /// ```
    pub fn grace_left(&self, now: Micros) -> Micros {
        self.grace_end.saturating_sub(now)
    }

    /// Extends the grace period to `left`, the remaining time that another node reported.
    ///
    /// The period never gets shorter, nor longer than [`REGISTRATION_GRACE`] from `now`.
    ///
    /// ```
    /// let mut view = bbv_core::view::View::default();
    /// view.extend_grace(3, 4);
    /// assert_eq!(view.grace_left(5), 2);
    /// ```
    pub fn extend_grace(&mut self, now: Micros, left: Micros) {
        self.grace_end = self.grace_end.max(now + left.min(REGISTRATION_GRACE));
    }

    /// Applies one update.
    ///
    /// ```
    /// use bbv_core::view::{Effect, Update, View};
    /// let mut view = View::default();
    /// let effect = view.apply(0, Update::Zone("z".into(), true));
    /// assert_eq!(effect, Effect::Zone("z".into(), true));
    /// ```
    pub fn apply(&mut self, now: Micros, update: Update) -> Effect {
        match update {
            Update::Routing(Some(routing)) => self.set_routing(routing),
            Update::Routing(None) => Effect::Unchanged,
            Update::Upstream(id, Some(upstream)) => self.set_upstream(id, upstream),
            Update::Upstream(id, None) => self.remove_upstream(now, id),
            Update::Zone(zone, out) => {
                let changed =
                    if out { self.out.insert(zone.clone()) } else { self.out.remove(&zone) };
                if changed { Effect::Zone(zone, out) } else { Effect::Unchanged }
            }
        }
    }

    fn set_routing(&mut self, routing: Arc<Routing>) -> Effect {
        if self.routing.as_ref().is_some_and(|current| current.version >= routing.version) {
            return Effect::Unchanged;
        }
        let version = routing.version;
        self.routing = Some(routing);
        Effect::RoutingReplaced(version)
    }

    fn set_upstream(&mut self, id: Name, upstream: PublishedUpstream) -> Effect {
        self.expired.remove(&id);
        if self.upstreams.get(&id) == Some(&upstream) {
            return Effect::Unchanged;
        }
        self.upstreams.insert(id.clone(), upstream);
        Effect::UpstreamUpdated(id)
    }

    fn remove_upstream(&mut self, now: Micros, id: Name) -> Effect {
        let Some(upstream) = self.upstreams.get(&id) else { return Effect::Unchanged };
        if now < self.grace_end && !upstream.draining {
            self.expired.insert(id.clone(), self.grace_end);
            return Effect::UpstreamExpired(id);
        }
        self.expired.remove(&id);
        self.upstreams.remove(&id);
        Effect::UpstreamRemoved(id)
    }

    /// Replaces the whole view by a complete listing as of revision `through`.
    ///
    /// Upstreams that the listing lacks are removed, or kept for the grace period; zones that it
    /// lacks return to service. Returns the effects.
    ///
    /// ```
    /// use bbv_core::view::View;
    /// assert!(View::default().replace(0, 7, Vec::new()).is_empty());
    /// ```
    pub fn replace(&mut self, now: Micros, through: Revision, listing: Vec<Update>) -> Vec<Effect> {
        let mut missing: BTreeSet<Name> = self.upstreams.keys().cloned().collect();
        let mut restored = self.out.clone();
        for update in &listing {
            match update {
                Update::Upstream(id, Some(_)) => drop(missing.remove(id)),
                Update::Zone(zone, true) => drop(restored.remove(zone)),
                _ => {}
            }
        }
        let removals = missing.into_iter().map(|id| Update::Upstream(id, None));
        let restored = restored.into_iter().map(|zone| Update::Zone(zone, false));
        let updates = listing.into_iter().chain(removals).chain(restored).collect::<Vec<_>>();
        self.through = self.through.max(through);
        let effects = updates.into_iter().map(|update| self.apply(now, update));
        effects.filter(|effect| *effect != Effect::Unchanged).collect()
    }

    /// Replaces the view by that of a peer if the peer's is newer.
    ///
    /// ```
    /// use bbv_core::view::View;
    /// let mut view = View::default();
    /// let mut newer = View::default();
    /// newer.through = 4;
    /// view.update_from(0, newer);
    /// assert_eq!(view.through, 4);
    /// ```
    pub fn update_from(&mut self, now: Micros, peer: View) -> Vec<Effect> {
        if peer.through <= self.through {
            return Vec::new();
        }
        let routing = Update::Routing(peer.routing);
        let upstreams =
            peer.upstreams.into_iter().map(|(id, upstream)| Update::Upstream(id, Some(upstream)));
        let out = peer.out.into_iter().map(|zone| Update::Zone(zone, true));
        let listing = std::iter::once(routing).chain(upstreams).chain(out).collect();
        self.replace(now, peer.through, listing)
    }

    /// Removes upstreams that did not register again within the grace period.
    ///
    /// ```
    /// assert!(bbv_core::view::View::default().expire(0).is_empty());
    /// ```
    pub fn expire(&mut self, now: Micros) -> Vec<Name> {
        let due = self.expired.iter().filter(|(_, until)| **until <= now);
        let due: Vec<Name> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.expired.remove(id);
            self.upstreams.remove(id);
        }
        due
    }
}
