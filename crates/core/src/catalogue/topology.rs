//! Zones and VMs that operators took out of service, and round-trip times between zones.
//!
//! bbv-node loads them with the catalogue; the round-trip times add to the cost of upstreams in
//! other zones.

use std::collections::BTreeSet;

use serde::Serialize;

use super::reader::YamlReader;
use crate::id::Vm;
use crate::units::{MS, Micros};

/// Zones and VMs that operators took out of service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OutOfService {
    /// Names of the availability zones.
    pub zones: BTreeSet<String>,
    /// Numbers of the VMs.
    pub vms: BTreeSet<Vm>,
}

impl OutOfService {
    /// Reads both lists from a YAML mapping.
    pub fn read(item: &mut YamlReader<'_>) -> Self {
        let zones = item.optional_list("zones", |item| item.scalar());
        let vms = item.optional_list("vms", |item| {
            let text = item.scalar();
            let number = text.parse::<u32>();
            if number.is_err() {
                item.item_error(format!("{text} is not the number of a VM"));
            }
            Vm(number.unwrap_or_default())
        });
        OutOfService { zones: zones.into_iter().collect(), vms: vms.into_iter().collect() }
    }
}

/// Link between two availability zones.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Link {
    /// Names of the two zones.
    pub between: Vec<String>,
    /// Round-trip time in milliseconds.
    pub rtt_ms: u64,
}

impl Link {
    /// Reads a link from a YAML mapping.
    pub fn read(item: &mut YamlReader<'_>) -> Self {
        let between = item.list("between", |item| item.scalar());
        if between.len() != 2 {
            item.error("between", "expected two zones");
        }
        Link { between, rtt_ms: item.uint("rtt_ms", 0..=10_000) }
    }
}

/// All links between zones.
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
    /// Reads the document that lists all links.
    pub fn read(item: &mut YamlReader<'_>) -> Self {
        Links(item.list("links", Link::read))
    }

    /// Returns the round-trip time between two zones, if a link defines it.
    pub fn rtt(&self, from: &str, to: &str) -> Option<Micros> {
        let connects = |link: &&Link| {
            link.between.iter().any(|zone| zone == from) && link.between.iter().any(|z| z == to)
        };
        self.0.iter().find(connects).map(|link| link.rtt_ms * MS)
    }
}
