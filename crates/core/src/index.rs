//! Index of a bbv-mesh node's view by service and by VM address.
//!
//! It spares each choice of an upstream and each notice a scan of the whole fleet, which
//! matters at high request rates in a large fleet.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use crate::route::Name;
use crate::view::{PublishedUpstream, View};

/// Returns the latest start of an upstream at each address.
fn newest_starts(view: &View) -> HashMap<SocketAddr, u64> {
    let mut newest = HashMap::new();
    for upstream in view.upstreams.values() {
        let latest = newest.entry(upstream.addr).or_default();
        *latest = upstream.born.unwrap_or_default().max(*latest);
    }
    newest
}

/// Upstreams that accept new requests, by service, and zones of VMs.
#[derive(Clone, Debug, Default)]
pub struct Index {
    services: HashMap<Name, Vec<(Name, PublishedUpstream)>>,
    zones: HashMap<IpAddr, Name>,
}

impl Index {
    /// Builds the index of a view.
    ///
    /// ```
    /// use bbv_core::{index::Index, view::View};
    /// assert!(Index::new(&View::default()).usable("s").is_empty());
    /// ```
    pub fn new(view: &View) -> Self {
        let mut index = Index::default();
        let newest = newest_starts(view);
        for (id, upstream) in &view.upstreams {
            index.zones.insert(upstream.addr.ip(), upstream.zone.clone());
            let replaced = upstream.born.is_some_and(|born| newest[&upstream.addr] > born);
            if !replaced && !upstream.draining && !view.out.contains(&upstream.zone) {
                let usable = index.services.entry(upstream.service.clone()).or_default();
                usable.push((id.clone(), upstream.clone()));
            }
        }
        index
    }

    /// Returns the upstreams of `service` that accept new requests, with their identifiers.
    ///
    /// Upstreams that drain, whose zone is out of service, or at whose address another one has
    /// started since are left out.
    ///
    /// ```
    /// assert!(bbv_core::index::Index::default().usable("s").is_empty());
    /// ```
    pub fn usable(&self, service: &str) -> &[(Name, PublishedUpstream)] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the zone of the VM at `ip`, if the VM is known.
    ///
    /// ```
    /// assert!(bbv_core::index::Index::default().zone(([127, 0, 0, 1]).into()).is_none());
    /// ```
    pub fn zone(&self, ip: IpAddr) -> Option<&Name> {
        self.zones.get(&ip)
    }

    /// Iterates over the addresses and zones of the known VMs.
    ///
    /// ```
    /// assert_eq!(bbv_core::index::Index::default().vms().count(), 0);
    /// ```
    pub fn vms(&self) -> impl Iterator<Item = (IpAddr, &Name)> {
        self.zones.iter().map(|(ip, zone)| (*ip, zone))
    }
}
