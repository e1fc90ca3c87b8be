//! Routing table of bbv-mesh: maps the host and path of a request to a route, and splits
//! the requests of a route over services by weight. Both run once per request, so they
//! matter under any load.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::homes::Homes;
use crate::organisation::{Organisation, Organisations};
use crate::units::Micros;

/// Shared name of a service, route, zone or upstream, cheap to clone.
pub type Name = Arc<str>;

/// Service that a route sends requests to, with its weight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Name,
    /// Share of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}

/// Handling of the requests for one host under one path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Name,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Services with their weights; at least one.
    pub parts: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time until the final response.
    pub timeout: Micros,
    /// Target latency: a response within it has its full value.
    pub target: Micros,
    /// Maximum number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Priority under overload; 0 is served first.
    pub rank: u8,
    /// Regions in which requests may run.
    pub homes: Homes,
    /// Whether requests need no key of an organisation.
    pub keyless: bool,
}

/// Limits of the upstreams of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceLimits {
    /// Path that the health check requests.
    pub health: String,
    /// Maximum number of connections to one upstream, over all callers.
    pub connections: u32,
    /// Time for which an upstream is cold after its start.
    pub cold: Micros,
    /// Requests per second that a cold upstream can serve; unlimited if there is none. Nodes exchange
    /// it as JSON, which has no infinity.
    pub cold_rate: Option<f64>,
}

/// Limits for the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of the header fields of a request in bytes, without the request line.
    pub head: usize,
    /// Maximum size of a request body in bytes.
    pub body: usize,
    /// Maximum time until a request head is complete.
    pub head_time: Micros,
    /// Maximum time for which a connection may be idle.
    pub idle: Micros,
}

/// One version of the routing configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Routing {
    /// Version number, which only increases.
    pub version: u64,
    /// Limits for the requests and connections of callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceLimits>,
    /// Organisations; if there are any, requests need a key.
    pub organisations: Organisations,
    /// Number of ranks from the most urgent one to that of the least urgent route.
    pub(crate) ranks: u8,
    pub(crate) routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
}

impl Routing {
    /// Creates a routing table; of two routes for the same host and prefix the later one wins.
    ///
    /// ```
    /// use bbv_core::route::{CallerLimits, Routing};
    /// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    /// let routing = Routing::new(3, limits, Default::default(), Vec::new());
    /// assert!(routing.find("a.example", "/x/1").is_none());
    /// ```
    pub fn new(
        version: u64,
        limits: CallerLimits,
        services: BTreeMap<Name, ServiceLimits>,
        route_list: Vec<Route>,
    ) -> Self {
        let mut routes: BTreeMap<String, BTreeMap<String, Arc<Route>>> = BTreeMap::new();
        for route in route_list {
            let prefixes = routes.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        let ranks = count_ranks(&routes);
        let organisations = Organisations::default();
        Routing { version, limits, services, organisations, ranks, routes }
    }

    /// Returns the rank of a request of `organisation` on `route`.
    ///
    /// The rank of an organisation goes before that of the route, which orders the requests of
    /// organisations of the same rank. Without organisations it is that of the route.
    ///
    /// ```
    /// use bbv_core::route::{CallerLimits, Route, Routing};
    /// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    /// let route = Route {
    ///     name: "r".into(), host: "h".into(), prefix: "/".into(), parts: Vec::new(), idempotent: true,
    ///     timeout: 1, target: 1, attempts: 1, rank: 2, homes: Default::default(), keyless: false,
    /// };
    /// let routing = Routing::new(1, limits, Default::default(), vec![route.clone()]);
    /// assert_eq!(routing.rank(&route, None), 2);
    /// ```
    pub fn rank(&self, route: &Route, organisation: Option<&Organisation>) -> u8 {
        if self.organisations.is_empty() {
            return route.rank;
        }
        let first = organisation.and_then(|known| known.rank).unwrap_or(route.rank);
        first.saturating_mul(self.ranks).saturating_add(route.rank)
    }

    /// Returns the routing with these organisations.
    ///
    /// ```
    /// use bbv_core::route::{CallerLimits, Routing};
    /// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    /// let routing = Routing::new(1, limits, Default::default(), Vec::new());
    /// assert!(routing.with_organisations(Vec::new()).organisations.is_empty());
    /// ```
    pub fn with_organisations(mut self, list: Vec<Arc<Organisation>>) -> Self {
        self.organisations = Organisations::new(list);
        self
    }

    /// Finds the route of a request: the one with the longest prefix of `path`.
    ///
    /// `host` may contain a port, and a dot after the name; `path` has no query.
    ///
    /// ```
    /// use bbv_core::route::{CallerLimits, Routing};
    /// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    /// assert!(Routing::new(1, limits, Default::default(), Vec::new()).find("h", "/").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.routes.get(host) {
            Some(prefixes) => prefixes,
            None => self.find_host(&host.to_ascii_lowercase())?,
        };
        let mut end = path.rfind('/');
        while let Some(slash) = end {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = path[..slash].rfind('/');
        }
        None
    }

    /// Returns the routes of a host in lower case, with or without the dot of the root at its end.
    fn find_host(&self, host: &str) -> Option<&BTreeMap<String, Arc<Route>>> {
        self.routes.get(host).or_else(|| self.routes.get(host.strip_suffix('.')?))
    }

    /// Iterates over all routes.
    ///
    /// ```
    /// use bbv_core::route::{CallerLimits, Routing};
    /// let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    /// assert_eq!(Routing::new(1, limits, Default::default(), Vec::new()).iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(|prefixes| prefixes.values())
    }
}

/// Returns the number of ranks from the most urgent one to that of the least urgent route.
pub(crate) fn count_ranks(routes: &BTreeMap<String, BTreeMap<String, Arc<Route>>>) -> u8 {
    let ranks = routes.values().flat_map(BTreeMap::values).map(|route| route.rank);
    ranks.max().unwrap_or(0).saturating_add(1)
}

/// Splits the requests of each route over its services by weight.
///
/// Uses smooth weighted round robin, so that even a short run of requests follows the
/// weights closely.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    credits: BTreeMap<Name, Vec<i64>>,
}

impl Splitter {
    /// Returns the service for the next request of `route`.
    ///
    /// ```
    /// use bbv_core::route::{Route, Splitter, WeightedService};
    /// let parts = vec![
    ///     WeightedService { service: "a".into(), weight: 3 },
    ///     WeightedService { service: "b".into(), weight: 1 },
    /// ];
    /// let route = Route {
    ///     name: "r".into(), host: "h".into(), prefix: "/".into(), parts, idempotent: true,
    ///     timeout: 1, target: 1, attempts: 1, rank: 0, homes: Default::default(), keyless: false,
    /// };
    /// let mut splitter = Splitter::default();
    /// let next: Vec<_> = (0..4).map(|_| splitter.next(&route).to_string()).collect();
    /// assert_eq!(next.iter().filter(|name| *name == "a").count(), 3);
    /// ```
    pub fn next(&mut self, route: &Route) -> Name {
        if let [only] = route.parts.as_slice() {
            return only.service.clone();
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        credits.resize(route.parts.len(), 0);
        let total: i64 = route.parts.iter().map(|part| i64::from(part.weight)).sum();
        let mut best = 0;
        for (i, part) in route.parts.iter().enumerate() {
            credits[i] += i64::from(part.weight);
            if credits[i] > credits[best] {
                best = i;
            }
        }
        credits[best] -= total;
        route.parts[best].service.clone()
    }
}
