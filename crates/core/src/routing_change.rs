//! Differences between two routings of bbv-mesh, so that nodes exchange only the routes and
//! organisations that changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::organisation::{Organisation, Organisations};
use crate::route::{CallerLimits, Name, Route, Routing, ServiceLimits, count_ranks};

/// One route or organisation by which a routing differs from another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouteChange {
    /// The route was added or changed.
    Set(Arc<Route>),
    /// There is no route for this host and prefix any more.
    Remove {
        /// Host of the removed route.
        host: String,
        /// Prefix of the removed route.
        prefix: String,
    },
    /// The organisation was added or changed.
    SetOrganisation(Arc<Organisation>),
    /// There is no organisation of this name any more.
    RemoveOrganisation(Name),
}

/// Bytes of an encoded route besides its texts, at most.
const FIXED_ROUTE_BYTES: usize = 32;
/// Bytes of an encoded text besides the text itself, at most.
const FIXED_TEXT_BYTES: usize = 8;
/// Bytes of an encoded service of a route besides its name, at most.
const FIXED_PART_BYTES: usize = 8;

impl RouteChange {
    /// Returns a size that the encoded change hardly exceeds, in bytes.
    ///
    /// ```
    /// use bbv_core::routing_change::RouteChange;
    /// let change = RouteChange::Remove { host: "h".into(), prefix: "/".into() };
    /// assert!(change.encoded_size() >= 2);
    /// ```
    pub fn encoded_size(&self) -> usize {
        match self {
            RouteChange::Set(route) => {
                let texts = route.name.len() + route.host.len() + route.prefix.len();
                let parts = route.parts.iter().map(|part| part.service.len() + FIXED_PART_BYTES);
                let homes = route.homes.iter().map(|region| region.len() + FIXED_TEXT_BYTES);
                FIXED_ROUTE_BYTES + texts + parts.sum::<usize>() + homes.sum::<usize>()
            }
            RouteChange::Remove { host, prefix } => FIXED_ROUTE_BYTES + host.len() + prefix.len(),
            RouteChange::SetOrganisation(organisation) => {
                let keys = organisation.keys.iter().map(|key| key.len() + FIXED_TEXT_BYTES);
                let homes = organisation.homes.iter().map(|region| region.len() + FIXED_TEXT_BYTES);
                FIXED_ROUTE_BYTES + organisation.name.len() + keys.chain(homes).sum::<usize>()
            }
            RouteChange::RemoveOrganisation(name) => FIXED_ROUTE_BYTES + name.len(),
        }
    }
}

impl Routing {
    fn get(&self, host: &str, prefix: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.get(prefix)
    }

    /// Returns the changes that turn `base`, or an empty routing, into this one. Their order depends
    /// on the two routings alone.
    ///
    /// ```
    /// use bbv_core::route::{CallerLimits, Routing};
    /// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    /// let routing = Routing::new(3, limits, Default::default(), Vec::new());
    /// assert!(routing.changes_from(None).is_empty());
    /// ```
    pub fn changes_from(&self, base: Option<&Routing>) -> Vec<RouteChange> {
        let known = |route: &Route| base.and_then(|base| base.get(&route.host, &route.prefix));
        let is_new = |route: &&Arc<Route>| {
            known(route).is_none_or(|known| !Arc::ptr_eq(known, route) && known != *route)
        };
        let set = self.iter().filter(is_new).map(|route| RouteChange::Set(Arc::clone(route)));
        let old = base.into_iter().flat_map(Routing::iter);
        let gone = old.filter(|route| self.get(&route.host, &route.prefix).is_none());
        let gone = gone.map(|route| RouteChange::Remove {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
        });
        set.chain(gone).chain(self.organisation_changes(base)).collect()
    }

    /// Returns the changes that turn the organisations of `base`, or none, into those of this routing.
    fn organisation_changes(&self, base: Option<&Routing>) -> Vec<RouteChange> {
        let known = |name: &str| base.and_then(|base| base.organisations.get(name));
        let is_new =
            |organisation: &&Arc<Organisation>| known(&organisation.name) != Some(*organisation);
        let set = self.organisations.iter().filter(is_new);
        let set = set.map(|organisation| RouteChange::SetOrganisation(Arc::clone(organisation)));
        let old = base.into_iter().flat_map(|base| base.organisations.iter());
        let gone = old.filter(|organisation| self.organisations.get(&organisation.name).is_none());
        let gone =
            gone.map(|organisation| RouteChange::RemoveOrganisation(organisation.name.clone()));
        set.chain(gone).collect()
    }

    /// Returns the routing that results from `changes` to `base`, or to an empty routing.
    ///
    /// ```
    /// use bbv_core::route::{CallerLimits, Routing};
    /// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    /// let routing = Routing::from_changes(None, 3, limits, Default::default(), Vec::new());
    /// assert_eq!(routing, Routing::new(3, limits, Default::default(), Vec::new()));
    /// ```
    pub fn from_changes(
        base: Option<&Routing>,
        version: u64,
        limits: CallerLimits,
        services: BTreeMap<Name, ServiceLimits>,
        changes: Vec<RouteChange>,
    ) -> Self {
        let mut routes = base.map(|base| base.routes.clone()).unwrap_or_default();
        let known = base.into_iter().flat_map(|base| base.organisations.iter());
        let mut organisations: BTreeMap<Name, Arc<Organisation>> =
            known.map(|known| (known.name.clone(), Arc::clone(known))).collect();
        for change in changes {
            match change {
                RouteChange::Set(route) => {
                    let prefixes = routes.entry(route.host.clone()).or_default();
                    prefixes.insert(route.prefix.clone(), route);
                }
                RouteChange::Remove { host, prefix } => {
                    let Some(prefixes) = routes.get_mut(&host) else { continue };
                    prefixes.remove(&prefix);
                    if prefixes.is_empty() {
                        routes.remove(&host);
                    }
                }
                RouteChange::SetOrganisation(organisation) => {
                    organisations.insert(organisation.name.clone(), organisation);
                }
                RouteChange::RemoveOrganisation(name) => {
                    organisations.remove(&name);
                }
            }
        }
        let organisations = Organisations::new(organisations.into_values().collect());
        let ranks = count_ranks(&routes);
        Routing { version, limits, services, organisations, ranks, routes }
    }

    /// Replaces the routes that equal those of `base` by the ones of `base`, so that both routings
    /// share their memory.
    ///
    /// ```
    /// use bbv_core::route::{CallerLimits, Routing};
    /// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    /// let base = Routing::new(3, limits, Default::default(), Vec::new());
    /// let mut next = Routing::new(4, limits, Default::default(), Vec::new());
    /// next.share_routes(&base);
    /// assert_eq!(next.version, 4);
    /// ```
    pub fn share_routes(&mut self, base: &Routing) {
        for route in self.routes.values_mut().flat_map(BTreeMap::values_mut) {
            if let Some(known) = base.get(&route.host, &route.prefix)
                && known == route
            {
                *route = Arc::clone(known);
            }
        }
    }
}
