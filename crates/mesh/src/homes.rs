//! Where a request may run: the ingress and the gate both check its homes, each by the newest routing
//! that it has.

use bbv_core::homes::Homes;
use bbv_core::route::{Name, Route};
use bbv_core::units::{MS, Micros};
use bbv_platform::header;
use http::request::Parts;

use crate::ingress::{self, Call};
use crate::message::GateRequest;
use crate::node::Node;
use crate::settings::Settings;
use crate::state::State;

/// `Retry-After` of a request without an upstream in its homes. A machine that failed is replaced,
/// and a region found to be back, within seconds.
pub(crate) const NO_HOME_RETRY_AFTER: Micros = 500 * MS;
/// Name of the outcome of a request without an upstream in its homes.
pub(crate) const NO_HOME: &str = "no-home";

impl State {
    /// Returns whether `service` has an upstream in reach within `homes`.
    fn has_home(&self, settings: &Settings, service: &str, homes: &Homes) -> bool {
        let regions = self.index.usable(service).iter().map(|(_, up)| settings.region(&up.zone));
        let mut open = regions.filter(|region| !self.is_region_lost(*region));
        open.any(|region| homes.allows(region))
    }

    /// Returns the homes of `call` now: those that it came with, and those of its route and
    /// organisation in a newer routing.
    pub fn homes(&self, call: &Call) -> Homes {
        let newer = self.routing().filter(|routing| routing.version != call.routing_version);
        let Some(routing) = newer else { return call.homes.clone() };
        let mut homes = call.homes.clone();
        if let Some(route) = ingress::find_route(routing, &call.head) {
            homes = homes.and(&route.homes);
        }
        let name = call.organisation.as_ref().map(|known| &known.name);
        if let Some(known) = name.and_then(|name| routing.organisations.get(name)) {
            homes = homes.and(&known.homes);
        }
        homes
    }

    /// Returns the service to which a request with `homes` is sent, `drawn` unless only other parts of
    /// the route have an upstream there.
    pub fn home_service(
        &self,
        settings: &Settings,
        route: &Route,
        homes: &Homes,
        drawn: Name,
    ) -> Name {
        if homes.is_any() || self.has_home(settings, &drawn, homes) {
            return drawn;
        }
        let mut services = route.parts.iter().map(|part| &part.service);
        services.find(|service| self.has_home(settings, service, homes)).cloned().unwrap_or(drawn)
    }
}

impl Node {
    /// Returns whether `call` has homes, but no upstream in reach there.
    pub(crate) fn lacks_home(&self, call: &Call) -> bool {
        let state = self.lock();
        let homes = state.homes(call);
        !homes.is_any() && !state.has_home(&self.settings, &call.service, &homes)
    }

    /// Returns whether the routing of this node forbids that a request runs in its region, and is as new
    /// as what the ingress knew.
    pub(crate) fn forbids(&self, metadata: &GateRequest, head: &Parts) -> bool {
        let state = self.lock();
        let Some(routing) = state.routing() else { return false };
        if state.view.control < metadata.known.control {
            return false;
        }
        let region = self.settings.region(&self.settings.zone);
        let name = head.headers.get(header::ORGANISATION);
        let name = name.and_then(|name| std::str::from_utf8(name.as_bytes()).ok());
        let organisation = name.and_then(|name| routing.organisations.get(name));
        ingress::find_route(routing, head).is_some_and(|route| !route.homes.allows(region))
            || organisation.is_some_and(|known| !known.homes.allows(region))
    }
}
