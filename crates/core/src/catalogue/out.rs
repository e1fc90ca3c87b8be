//! Zones and VMs out of service, and links between zones.

use std::collections::BTreeSet;

use serde::Serialize;

use super::reader::Reader;
use crate::id::Vm;
use crate::units::{MS, Micros};

/// What operators have taken out of service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Out {
    /// Availability zones.
    pub zones: BTreeSet<String>,
    /// VMs.
    pub vms: BTreeSet<Vm>,
}

impl Out {
    /// Reads both lists from a mapping.
    pub fn read(item: &mut Reader<'_>) -> Self {
        let zones = item.optional_list("zones", |item| item.scalar());
        let vms = item.optional_list("vms", |item| {
            let text = item.scalar();
            let number = text.parse::<u32>();
            if number.is_err() {
                item.item_fault(format!("{text} is not the number of a VM"));
            }
            Vm(number.unwrap_or_default())
        });
        Out { zones: zones.into_iter().collect(), vms: vms.into_iter().collect() }
    }
}

/// Link between two zones.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Link {
    /// Names of the zones.
    pub between: Vec<String>,
    /// Round trip in milliseconds.
    pub rtt_ms: u64,
}

impl Link {
    /// Reads a link from a mapping.
    pub fn read(item: &mut Reader<'_>) -> Self {
        let between = item.list("between", |item| item.scalar());
        if between.len() != 2 {
            item.fault("between", "expected two zones");
        }
        Link { between, rtt_ms: item.uint("rtt_ms", 0..=10_000) }
    }
}

/// All links.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Links(#[serde(with = "list")] pub Vec<Link>);

mod list {
    use super::Link;
    use serde::{Serialize, Serializer};
    use std::collections::BTreeMap;

    pub fn serialize<S: Serializer>(links: &[Link], serializer: S) -> Result<S::Ok, S::Error> {
        BTreeMap::from([("links", links)]).serialize(serializer)
    }
}

impl Links {
    /// Reads the document of all links.
    pub fn read(item: &mut Reader<'_>) -> Self {
        Links(item.list("links", Link::read))
    }

    /// Round trip between two zones, if it is stated.
    pub fn rtt(&self, from: &str, to: &str) -> Option<Micros> {
        let joins = |link: &&Link| {
            link.between.iter().any(|zone| zone == from) && link.between.iter().any(|z| z == to)
        };
        self.0.iter().find(joins).map(|link| link.rtt_ms * MS)
    }
}
