//! A bbv-mesh node's view of the fleet: routing, upstreams, and zones out of service.
//!
//! Applies the changes that the platform or another node sends. It matters when the fleet
//! changes and after an outage of the platform, not per request.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::restoration::Restoration;
use crate::revision::begins_era;
use crate::route::{Name, Routing};
use crate::units::{MS, Micros, Revision, SEC};

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

/// Part of what the platform publishes, which a node follows with a revision of its own: a large
/// routing must not hold up the word that an upstream leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// Upstreams.
    Upstreams,
    /// Routing and zones out of service.
    Control,
}

impl Topic {
    /// All topics.
    pub const ALL: [Topic; 2] = [Topic::Upstreams, Topic::Control];

    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Topic::Upstreams => "upstreams",
            Topic::Control => "control",
        }
    }
}

/// State of the fleet, each topic as of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Revision up to which every change of upstreams has been applied.
    pub through: Revision,
    /// Revision up to which every change of the routing and of zones has been applied.
    pub control: Revision,
    /// Revision up to which changes of zones have been applied, at least `control`.
    pub zones_through: Revision,
    /// Newest routing, if any was received.
    pub routing: Option<Arc<Routing>>,
    /// Upstreams by identifier.
    pub upstreams: BTreeMap<Name, PublishedUpstream>,
    /// Zones out of service.
    pub out: BTreeSet<Name>,
    expired: BTreeMap<Name, Micros>,
    grace_end: Micros,
    /// Whether the grace period began with an era, in which writers write again what the store has lost.
    era_grace: bool,
    restoration: Restoration,
}

/// Time after an outage of the platform within which upstreams whose entries expired register
/// again.
pub const REGISTRATION_GRACE: Micros = 2 * SEC + SEC / 4;
/// Time from the end of an outage after which no upstream that has left may be in use any more: nodes
/// count as undisturbed 3 s after it.
const SETTLING_TIME: Micros = 2 * SEC + 850 * MS;

impl View {
    /// Records that the platform can be read again at `now` after an outage, which ended at `ended` or
    /// later.
    ///
    /// Upstreams whose entries expired during the outage register again within about two seconds of its
    /// end. Those that are missing from the first complete content afterwards are kept for as
    /// long; an upstream that it names and that is removed later has not expired in the outage.
    ///
    /// ```
    /// bbv_core::view::View::default().platform_recovered(0, 0);
    /// ```
    pub fn platform_recovered(&mut self, now: Micros, ended: Micros) {
        let grace_end = (ended + SETTLING_TIME).min(now + REGISTRATION_GRACE);
        self.grace_end = self.grace_end.max(grace_end);
        self.era_grace &= now < self.grace_end;
    }

    /// Records that the content up to now is complete as of a time after the outage: an entry that goes
    /// missing from now on belongs to an upstream that has left. After a return from an older copy this
    /// holds only when the writers have had their time.
    ///
    /// ```
    /// let mut view = bbv_core::view::View::default();
    /// view.platform_recovered(0, 0);
    /// view.end_grace();
    /// assert_eq!(view.grace_left(0), 0);
    /// ```
    pub fn end_grace(&mut self) {
        if !self.era_grace {
            self.grace_end = 0;
        }
    }

    /// Returns how long upstreams that are found missing now are kept.
    ///
    /// ```
    /// assert_eq!(bbv_core::view::View::default().grace_left(0), 0);
    /// ```
    pub fn grace_left(&self, now: Micros) -> Micros {
        self.grace_end.saturating_sub(now)
    }

    /// Returns the upstreams that are kept although their entries expired, with the time left for
    /// each until it counts as gone.
    ///
    /// ```
    /// assert!(bbv_core::view::View::default().kept(0).is_empty());
    /// ```
    pub fn kept(&self, now: Micros) -> BTreeMap<Name, Micros> {
        let left = |until: &Micros| until.saturating_sub(now);
        self.expired.iter().map(|(id, until)| (id.clone(), left(until))).collect()
    }

    /// Records that a peer only keeps the upstreams `kept`, each for the time left. Returns the
    /// effects.
    fn limit_kept(&mut self, now: Micros, kept: &BTreeMap<Name, Micros>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (id, left) in kept.iter().filter(|(id, _)| self.upstreams.contains_key(*id)) {
            let until = now + (*left).min(REGISTRATION_GRACE);
            match self.expired.entry(id.clone()) {
                Entry::Occupied(mut known) => *known.get_mut() = until.min(*known.get()),
                Entry::Vacant(unknown) => {
                    unknown.insert(until);
                    effects.push(Effect::UpstreamExpired(id.clone()));
                }
            }
        }
        effects
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
                self.restoration.release_zone(&zone);
                let changed =
                    if out { self.out.insert(zone.clone()) } else { self.out.remove(&zone) };
                if changed { Effect::Zone(zone, out) } else { Effect::Unchanged }
            }
        }
    }

    /// Replaces the routing by a newer version; an older one has no effect.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use bbv_core::{route::{CallerLimits, Routing}, view::{Effect, View}};
    /// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    /// let routing = Routing::new(3, limits, Default::default(), Vec::new());
    /// let effect = View::default().set_routing(Arc::new(routing));
    /// assert_eq!(effect, Effect::RoutingReplaced(3));
    /// ```
    pub fn set_routing(&mut self, mut routing: Arc<Routing>) -> Effect {
        if self.routing.as_ref().is_some_and(|current| current.version >= routing.version) {
            return Effect::Unchanged;
        }
        let version = routing.version;
        if let (Some(current), Some(next)) = (&self.routing, Arc::get_mut(&mut routing)) {
            next.share_routes(current);
        }
        self.routing = Some(routing);
        Effect::RoutingReplaced(version)
    }

    fn set_upstream(&mut self, id: Name, mut upstream: PublishedUpstream) -> Effect {
        self.expired.remove(&id);
        self.restoration.forget(&id);
        if let Some(known) = self.upstreams.get(&id) {
            // A process that is shutting down does not return; an older copy may say otherwise.
            let same_start = known.born.is_some() && known.born == upstream.born;
            upstream.draining |= same_start && known.draining;
            if *known == upstream {
                return Effect::Unchanged;
            }
        }
        self.upstreams.insert(id.clone(), upstream);
        Effect::UpstreamUpdated(id)
    }

    fn remove_upstream(&mut self, now: Micros, id: Name) -> Effect {
        self.restoration.remove_entry(&id);
        let Some(upstream) = self.upstreams.get(&id) else { return Effect::Unchanged };
        if now < self.grace_end && !upstream.draining {
            self.expired.insert(id.clone(), self.grace_end);
            return Effect::UpstreamExpired(id);
        }
        self.expired.remove(&id);
        self.restoration.record_departure(now, id.clone(), upstream);
        self.upstreams.remove(&id);
        Effect::UpstreamRemoved(id)
    }

    /// Returns the revision up to which every change of `topic` has been applied.
    ///
    /// ```
    /// use bbv_core::view::{Topic, View};
    /// assert_eq!(View::default().revision(Topic::Control), 0);
    /// ```
    pub fn revision(&self, topic: Topic) -> Revision {
        match topic {
            Topic::Upstreams => self.through,
            Topic::Control => self.control,
        }
    }

    /// Records that every change of `topic` up to `revision` has been applied.
    ///
    /// ```
    /// use bbv_core::view::{Topic, View};
    /// let mut view = View::default();
    /// view.advance(Topic::Upstreams, 7);
    /// assert_eq!(view.through, 7);
    /// ```
    pub fn advance(&mut self, topic: Topic, revision: Revision) {
        match topic {
            Topic::Upstreams => self.through = self.through.max(revision),
            Topic::Control => {
                self.control = self.control.max(revision);
                self.zones_through = self.zones_through.max(self.control);
            }
        }
    }

    /// Replaces `topic` by a complete listing as of `revision`.
    ///
    /// Upstreams that the listing lacks are removed, or kept for the grace period; zones that it
    /// lacks return to service. A listing of a later era comes from an older copy of the store: it
    /// begins a grace period and takes back neither departures nor zones at once. Returns the effects.
    ///
    /// ```
    /// use bbv_core::view::{Topic, View};
    /// assert!(View::default().replace(0, Topic::Upstreams, 7, Vec::new()).is_empty());
    /// ```
    pub fn replace(
        &mut self,
        now: Micros,
        topic: Topic,
        revision: Revision,
        listing: Vec<Update>,
    ) -> Vec<Effect> {
        let (listing, missing) = match topic {
            Topic::Upstreams => {
                let restored = begins_era(self.through, revision);
                if restored {
                    self.platform_recovered(now, now);
                    self.era_grace = true;
                }
                let listing = self.restoration.filter(now, restored, listing);
                let missing = self.missing_upstreams(&listing);
                (listing, missing)
            }
            Topic::Control => {
                let missing = self.missing_zones(now, revision, &listing);
                (listing, missing)
            }
        };
        let zones_known = topic == Topic::Control && revision < self.zones_through;
        self.advance(topic, revision);
        let updates = listing.into_iter().chain(missing);
        let updates = updates.filter(|update| !(zones_known && matches!(update, Update::Zone(..))));
        let effects = updates.map(|update| self.apply(now, update));
        effects.filter(|effect| *effect != Effect::Unchanged).collect()
    }

    /// Applies changes after the revision of `topic`, which are complete up to `through`. Changes of
    /// zones that a peer has told before are left out. Returns the effects.
    ///
    /// ```
    /// use bbv_core::view::{Topic, View};
    /// let mut view = View::default();
    /// assert!(view.apply_changes(0, Topic::Control, 7, Vec::new()).is_empty());
    /// assert_eq!(view.control, 7);
    /// ```
    pub fn apply_changes(
        &mut self,
        now: Micros,
        topic: Topic,
        through: Revision,
        changes: Vec<ViewChange>,
    ) -> Vec<Effect> {
        let zones_through = self.zones_through;
        self.advance(topic, through);
        let is_new = |change: &ViewChange| {
            change.revision > zones_through || !matches!(change.update, Update::Zone(..))
        };
        let updates = changes.into_iter().filter(is_new).map(|change| change.update);
        let effects = updates.map(|update| self.apply(now, update));
        effects.filter(|effect| *effect != Effect::Unchanged).collect()
    }

    fn missing_upstreams(&self, listing: &[Update]) -> Vec<Update> {
        let mut missing: BTreeSet<Name> = self.upstreams.keys().cloned().collect();
        for update in listing {
            if let Update::Upstream(id, Some(_)) = update {
                missing.remove(id);
            }
        }
        missing.into_iter().map(|id| Update::Upstream(id, None)).collect()
    }

    /// Returns the zones that return to service, since `listing` as of `revision` lacks them. If that
    /// begins an era, they stay out of service for a while.
    fn missing_zones(
        &mut self,
        now: Micros,
        revision: Revision,
        listing: &[Update],
    ) -> Vec<Update> {
        let mut missing = self.out.clone();
        for update in listing {
            if let Update::Zone(zone, true) = update {
                missing.remove(zone);
            }
        }
        if begins_era(self.zones_through, revision) {
            missing.iter().for_each(|zone| self.restoration.hold_zone(now, zone.clone()));
        }
        missing.retain(|zone| !self.restoration.holds_zone(zone));
        missing.into_iter().map(|zone| Update::Zone(zone, false)).collect()
    }

    /// Returns the zones that only stay out of service since an older copy of the store lacks them,
    /// with the time left for each.
    ///
    /// ```
    /// assert!(bbv_core::view::View::default().held_zones(0).is_empty());
    /// ```
    pub fn held_zones(&self, now: Micros) -> BTreeMap<Name, Micros> {
        self.restoration.held_zones(now)
    }

    /// Replaces the zones out of service by those that a peer knows as of `revision`, if its
    /// knowledge of them is newer. The peer only holds those in `held`, each for the time left.
    /// Returns the effects.
    ///
    /// ```
    /// use bbv_core::view::{Effect, View};
    /// let mut view = View::default();
    /// let effects = view.update_zones(0, 4, ["z".into()].into(), &Default::default());
    /// assert_eq!(effects, [Effect::Zone("z".into(), true)]);
    /// ```
    pub fn update_zones(
        &mut self,
        now: Micros,
        revision: Revision,
        out: BTreeSet<Name>,
        held: &BTreeMap<Name, Micros>,
    ) -> Vec<Effect> {
        if revision <= self.zones_through {
            return Vec::new();
        }
        let listing: Vec<Update> = out.into_iter().map(|zone| Update::Zone(zone, true)).collect();
        let missing = self.missing_zones(now, revision, &listing);
        self.zones_through = revision;
        let effects = listing.into_iter().chain(missing).map(|update| self.apply(now, update));
        let effects = effects.filter(|effect| *effect != Effect::Unchanged).collect();
        for (zone, left) in held.iter().filter(|(zone, _)| self.out.contains(*zone)) {
            self.restoration.limit_zone(now, zone.clone(), *left);
        }
        effects
    }

    /// Replaces the upstreams by those that a peer knows as of `through`, if its knowledge is newer.
    /// The peer only keeps those in `kept`, each for the time left; unless this node `spares` them after
    /// an outage of its own, or enters an era, they have left.
    ///
    /// ```
    /// use bbv_core::view::View;
    /// let mut view = View::default();
    /// view.update_upstreams(0, 4, Default::default(), &Default::default(), true);
    /// assert_eq!(view.through, 4);
    /// ```
    pub fn update_upstreams(
        &mut self,
        now: Micros,
        through: Revision,
        upstreams: BTreeMap<Name, PublishedUpstream>,
        kept: &BTreeMap<Name, Micros>,
        spares: bool,
    ) -> Vec<Effect> {
        if through <= self.through {
            return Vec::new();
        }
        let spares = spares || begins_era(self.through, through);
        let updates = upstreams.into_iter().filter(|(id, _)| spares || !kept.contains_key(id));
        let listing = updates.map(|(id, upstream)| Update::Upstream(id, Some(upstream))).collect();
        let mut effects = self.replace(now, Topic::Upstreams, through, listing);
        if spares {
            effects.extend(self.limit_kept(now, kept));
        }
        effects
    }

    /// Applies changes of upstreams that a peer sent after this view's revision, complete up to
    /// `through`. The peer only keeps those in `kept`, each for the time left; unless this node `spares`
    /// them after an outage of its own, they have left. Returns the effects.
    ///
    /// ```
    /// use bbv_core::view::View;
    /// let mut view = View::default();
    /// view.apply_upstreams(0, 4, Vec::new(), &Default::default(), true);
    /// assert_eq!(view.through, 4);
    /// ```
    pub fn apply_upstreams(
        &mut self,
        now: Micros,
        through: Revision,
        mut changes: Vec<ViewChange>,
        kept: &BTreeMap<Name, Micros>,
        spares: bool,
    ) -> Vec<Effect> {
        if !spares {
            return self.apply_changes(now, Topic::Upstreams, through, changes);
        }
        let is_kept = |change: &ViewChange| match &change.update {
            Update::Upstream(id, None) => kept.contains_key(id),
            _ => false,
        };
        changes.retain(|change| !is_kept(change));
        let mut effects = self.apply_changes(now, Topic::Upstreams, through, changes);
        effects.extend(self.limit_kept(now, kept));
        effects
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
            if let Some(upstream) = self.upstreams.remove(id) {
                self.restoration.record_departure(now, id.clone(), &upstream);
            }
        }
        due
    }

    /// Returns the upstreams as the store lists them: also those that had left and that an older
    /// copy of the store shows again.
    ///
    /// ```
    /// assert!(bbv_core::view::View::default().listed().is_empty());
    /// ```
    pub fn listed(&self) -> BTreeMap<Name, PublishedUpstream> {
        let listed = self.upstreams.iter().chain(self.restoration.doubted());
        listed.map(|(id, upstream)| (id.clone(), upstream.clone())).collect()
    }

    /// Ends what was held against an older copy of the store for as long as intended. Returns the
    /// effects.
    ///
    /// ```
    /// assert!(bbv_core::view::View::default().end_holds(0).is_empty());
    /// ```
    pub fn end_holds(&mut self, now: Micros) -> Vec<Effect> {
        let believed = self.restoration.take_believed(now);
        let added = believed.into_iter().map(|(id, upstream)| Update::Upstream(id, Some(upstream)));
        let zones = self.restoration.take_returned(now);
        let returned = zones.into_iter().map(|zone| Update::Zone(zone, false));
        let updates: Vec<Update> = added.chain(returned).collect();
        updates.into_iter().map(|update| self.apply(now, update)).collect()
    }
}
