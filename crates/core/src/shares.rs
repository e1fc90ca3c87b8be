//! Shares of quotas, one a zone, and the VM that grants each share of an organisation's quota.
//!
//! Every node that knows the same listing chooses the same VM. Who answers has no influence, so that the
//! two sides of a cut do not both grant one share.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::rendezvous;
use crate::route::Name;

/// Candidates of each share.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Shares {
    zones: BTreeMap<Name, Vec<(u64, IpAddr)>>,
}

/// Returns the candidate of a zone that grants its share of the quota of `organisation`.
fn granter(zone: &str, candidates: &[(u64, IpAddr)], organisation: &str) -> Option<(u64, IpAddr)> {
    let key = format!("{zone}/{organisation}");
    let weight = |(id, _): &&(u64, IpAddr)| (rendezvous::weight(key.as_bytes(), *id), *id);
    candidates.iter().max_by_key(weight).copied()
}

/// Name of the only share if the settings name no zones.
const ONLY_SHARE: &str = "";

impl Shares {
    /// Creates one share for each of `zones`, or a single one if there are none, from the listed VMs
    /// with their ids and zones.
    ///
    /// ```
    /// let shares = bbv_core::shares::Shares::new(["a", "b"], Vec::new());
    /// assert_eq!(shares.count(), 2);
    /// ```
    pub fn new<'a>(
        zones: impl IntoIterator<Item = &'a str>,
        vms: impl IntoIterator<Item = (u64, IpAddr, &'a str)>,
    ) -> Self {
        let mut shares: BTreeMap<Name, Vec<(u64, IpAddr)>> =
            zones.into_iter().map(|zone| (Name::from(zone), Vec::new())).collect();
        let single = shares.is_empty();
        if single {
            shares.insert(ONLY_SHARE.into(), Vec::new());
        }
        for (id, ip, zone) in vms {
            let share = if single { ONLY_SHARE } else { zone };
            if let Some(candidates) = shares.get_mut(share) {
                candidates.push((id, ip));
            }
        }
        shares.values_mut().for_each(|candidates| candidates.sort_unstable());
        Shares { zones: shares }
    }

    /// Returns the number of shares, at least one.
    ///
    /// ```
    /// assert_eq!(bbv_core::shares::Shares::default().count(), 1);
    /// ```
    pub fn count(&self) -> usize {
        self.zones.len().max(1)
    }

    /// Returns whether the VM at `ip` grants a share of the quota of `organisation`.
    ///
    /// ```
    /// use bbv_core::shares::Shares;
    /// let ip = [10, 0, 0, 1].into();
    /// assert!(Shares::new(["a"], vec![(1, ip, "a")]).is_granter("o", ip));
    /// ```
    pub fn is_granter(&self, organisation: &str, ip: IpAddr) -> bool {
        let held = |candidates: &[(u64, IpAddr)]| candidates.iter().any(|(_, own)| *own == ip);
        let mut zones = self.zones.iter().filter(|(_, candidates)| held(candidates));
        zones.any(|(zone, candidates)| {
            granter(zone, candidates, organisation).is_some_and(|(_, granter)| granter == ip)
        })
    }

    /// Returns the granters of `organisation`, that of zone `near` first, the others in an order that
    /// differs from organisation to organisation. A share without VMs has no granter.
    ///
    /// ```
    /// use bbv_core::shares::Shares;
    /// let ip = [10, 0, 0, 1].into();
    /// let shares = Shares::new(["a", "b"], vec![(1, ip, "b")]);
    /// assert_eq!(shares.granters("o", "a"), vec![ip]);
    /// ```
    pub fn granters(&self, organisation: &str, near: &str) -> Vec<IpAddr> {
        let mut granters: Vec<(bool, u64, IpAddr)> = Vec::new();
        for (zone, candidates) in &self.zones {
            if let Some((id, ip)) = granter(zone, candidates, organisation) {
                let far = **zone != *near;
                granters.push((far, rendezvous::weight(organisation.as_bytes(), id), ip));
            }
        }
        granters.sort_unstable();
        granters.into_iter().map(|(_, _, ip)| ip).collect()
    }
}
