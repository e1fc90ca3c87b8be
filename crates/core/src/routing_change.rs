//! Differences between two routings of bbv-mesh, so that nodes exchange only the routes that changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::route::{CallerLimits, Name, Route, Routing, ServiceLimits};

/// One route by which a routing differs from another.
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
}

/// Bytes of an encoded route besides its texts, at most.
const FIXED_ROUTE_BYTES: usize = 32;
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
                FIXED_ROUTE_BYTES + texts + parts.sum::<usize>()
            }
            RouteChange::Remove { host, prefix } => FIXED_ROUTE_BYTES + host.len() + prefix.len(),
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
            }
        }
        Routing { version, limits, services, routes }
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
