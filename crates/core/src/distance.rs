//! How far another node of bbv-mesh is: in the same availability zone, in the same region, or in
//! another region, to which paths are slow and bytes expensive.

/// Distance to another node.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// It is in the same availability zone.
    Zone,
    /// It is in another zone of the same region.
    Region,
    /// It is in another region.
    Remote,
}

impl Distance {
    /// Returns the distance between two places, each a zone and its region. Zones without a region
    /// are in one region.
    ///
    /// ```
    /// use bbv_core::distance::Distance;
    /// let here = ("a-1", Some("a"));
    /// assert_eq!(Distance::between(here, ("a-2", Some("a"))), Distance::Region);
    /// assert_eq!(Distance::between(here, ("b-1", Some("b"))), Distance::Remote);
    /// ```
    pub fn between(one: (&str, Option<&str>), other: (&str, Option<&str>)) -> Self {
        if one.0 == other.0 {
            Distance::Zone
        } else if one.1 == other.1 {
            Distance::Region
        } else {
            Distance::Remote
        }
    }
}
