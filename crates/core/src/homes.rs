//! Regions in which requests may run and their bodies may be stored, for bbv-mesh.
//!
//! Routes and organisations may each name such regions. They bind at any load, also while all of
//! them are out of reach.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::route::Name;

/// Regions in which requests may run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Homes(Option<BTreeSet<Name>>);

impl Homes {
    /// Allows only the regions in `regions`.
    ///
    /// ```
    /// let homes = bbv_core::homes::Homes::only(["north".into()]);
    /// assert!(homes.allows(Some("north")) && !homes.allows(Some("south")));
    /// ```
    pub fn only(regions: impl IntoIterator<Item = Name>) -> Self {
        Homes(Some(regions.into_iter().collect()))
    }

    /// Returns whether every region is allowed.
    ///
    /// ```
    /// assert!(bbv_core::homes::Homes::default().is_any());
    /// ```
    pub fn is_any(&self) -> bool {
        self.0.is_none()
    }

    /// Returns whether requests may run in `region`, which is `None` if it is not known.
    ///
    /// ```
    /// use bbv_core::homes::Homes;
    /// assert!(Homes::default().allows(None));
    /// assert!(!Homes::only(["north".into()]).allows(None));
    /// ```
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(regions) = &self.0 else { return true };
        region.is_some_and(|region| regions.contains(region))
    }

    /// Returns the regions that both this and `other` allow.
    ///
    /// ```
    /// use bbv_core::homes::Homes;
    /// let homes = Homes::only(["north".into(), "south".into()]);
    /// assert_eq!(homes.and(&Homes::only(["south".into()])), Homes::only(["south".into()]));
    /// ```
    pub fn and(&self, other: &Homes) -> Homes {
        match (&self.0, &other.0) {
            (Some(own), Some(others)) => Homes(Some(own & others)),
            (own, others) => Homes(own.clone().or_else(|| others.clone())),
        }
    }

    /// Iterates over the regions; there are none if every region is allowed.
    ///
    /// ```
    /// assert_eq!(bbv_core::homes::Homes::only(["north".into()]).iter().count(), 1);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Name> {
        self.0.iter().flatten()
    }
}
