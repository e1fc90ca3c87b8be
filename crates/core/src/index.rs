//! Index of a view, so that a choice or a notice does not scan the whole fleet.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::route::Name;
use crate::view::{Upstream, View};

/// Upstreams that may get new work, by service, and zones of VMs.
#[derive(Clone, Debug, Default)]
pub struct Index {
    services: HashMap<Name, Vec<(Name, Upstream)>>,
    zones: HashMap<IpAddr, Name>,
}

impl Index {
    /// Indexes what is known.
    ///
    /// ```
    /// use bbv_core::{index::Index, view::View};
    /// assert!(Index::new(&View::default()).usable("s").is_empty());
    /// ```
    pub fn new(view: &View) -> Self {
        let mut index = Index::default();
        for (id, upstream) in &view.upstreams {
            index.zones.insert(upstream.addr.ip(), upstream.zone.clone());
            if !upstream.draining && !view.out.contains(&upstream.zone) {
                let list = index.services.entry(upstream.service.clone()).or_default();
                list.push((id.clone(), upstream.clone()));
            }
        }
        index
    }

    /// Upstreams of `service` that may get new work, with their ids.
    ///
    /// ```
    /// assert!(bbv_core::index::Index::default().usable("s").is_empty());
    /// ```
    pub fn usable(&self, service: &str) -> &[(Name, Upstream)] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Zone of the VM at `ip`, if it is known.
    ///
    /// ```
    /// assert!(bbv_core::index::Index::default().zone(([127, 0, 0, 1]).into()).is_none());
    /// ```
    pub fn zone(&self, ip: IpAddr) -> Option<&Name> {
        self.zones.get(&ip)
    }

    /// Addresses of the VMs that are known.
    ///
    /// ```
    /// assert_eq!(bbv_core::index::Index::default().vms().count(), 0);
    /// ```
    pub fn vms(&self) -> impl Iterator<Item = (IpAddr, &Name)> {
        self.zones.iter().map(|(ip, zone)| (*ip, zone))
    }
}
