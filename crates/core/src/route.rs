//! Routes of the mesh: which requests go to which service, and how.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::units::Micros;

/// Name of a service, shared between the places that store it.
pub type Name = Arc<str>;

/// One service that a route sends requests to, with its share.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Service.
    pub service: Name,
    /// Share relative to the weights of the other parts.
    pub weight: u32,
}

/// Rule for requests of one host under one path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Name,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Services with their shares; at least one.
    pub parts: Vec<Part>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time until the final answer.
    pub timeout: Micros,
    /// Time within which an answer has its full worth.
    pub target: Micros,
    /// Upstreams to which one request may be sent.
    pub attempts: u32,
    /// Rank; 0 is served first.
    pub rank: u8,
}

/// Limits of the upstreams of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceLimits {
    /// Path of the health check.
    pub health: String,
    /// Connections that an upstream accepts from all callers together.
    pub connections: u32,
    /// Time for which an upstream is cold after its start.
    pub cold: Micros,
    /// Requests per second that a cold upstream bears.
    pub cold_rate: f64,
}

/// Limits for what callers send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head: usize,
    /// Largest request body in bytes.
    pub body: usize,
    /// Longest time until a request head is complete.
    pub head_time: Micros,
    /// Longest time for which a connection may be idle.
    pub idle: Micros,
}

/// One version of the routing configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Routing {
    /// Version; only ever rises.
    pub version: u64,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceLimits>,
    routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
}

impl Routing {
    /// Creates a routing table.
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
        list: Vec<Route>,
    ) -> Self {
        let mut routes: BTreeMap<String, BTreeMap<String, Arc<Route>>> = BTreeMap::new();
        for route in list {
            let prefixes = routes.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        Routing { version, limits, services, routes }
    }

    /// Finds the route of a request: the one with the longest prefix of `path`.
    ///
    /// `host` may carry a port; `path` has no query.
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
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        let mut end = path.rfind('/');
        while let Some(at) = end {
            if let Some(route) = prefixes.get(&path[..=at]) {
                return Some(route);
            }
            end = path[..at].rfind('/');
        }
        None
    }

    /// All routes.
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

/// Spreads the requests of each route over its parts by weight.
///
/// Smooth weighted round robin: any run of requests follows the weights closely.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    credits: BTreeMap<Name, Vec<i64>>,
}

impl Splitter {
    /// Returns the service of the next request of `route`.
    ///
    /// ```
    /// use bbv_core::route::{Part, Route, Splitter};
    /// let parts = vec![
    ///     Part { service: "a".into(), weight: 3 },
    ///     Part { service: "b".into(), weight: 1 },
    /// ];
    /// let route = Route {
    ///     name: "r".into(), host: "h".into(), prefix: "/".into(), parts, idempotent: true,
    ///     timeout: 1, target: 1, attempts: 1, rank: 0,
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
        for (at, part) in route.parts.iter().enumerate() {
            credits[at] += i64::from(part.weight);
            if credits[at] > credits[best] {
                best = at;
            }
        }
        credits[best] -= total;
        route.parts[best].service.clone()
    }
}
