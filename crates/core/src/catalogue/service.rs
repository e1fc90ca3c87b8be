//! Services of the catalogue that bbv-node loads, with the limits of their upstreams. The limits
//! take effect when an upstream is at capacity or cold.

use serde::Serialize;

use super::reader::YamlReader;
use crate::gate::Bounds;
use crate::ramp::Warmup;
use crate::units::MS;

/// A set of upstreams that execute the same calls.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Concurrency limit of one warm upstream.
    pub slots: u64,
    /// Connection limit of one upstream.
    pub connections: u64,
    /// Concurrency limit of one cold upstream.
    pub cold_slots: u64,
    /// Time until a cold upstream is warm, in milliseconds.
    pub warmup_ms: u64,
    /// Latency of an unloaded upstream, in milliseconds.
    pub usual_ms: u64,
}

impl Service {
    /// Reads a service from a YAML mapping.
    pub fn read(item: &mut YamlReader<'_>) -> Self {
        let service = Service {
            name: item.text("name"),
            slots: item.uint("slots", 1..=10_000),
            connections: item.uint("connections", 1..=100_000),
            cold_slots: item.uint("cold_slots", 1..=10_000),
            warmup_ms: item.uint("warmup_ms", 0..=600_000),
            usual_ms: item.uint("usual_ms", 1..=60_000),
        };
        if service.cold_slots > service.slots && service.slots > 0 {
            let message = format!("{} is above slots {}", service.cold_slots, service.slots);
            item.error("cold_slots", message);
        }
        service
    }

    /// Returns the bounds of one upstream of the service.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            slots: self.slots as u32,
            connections: self.connections as u32,
            warmup: Warmup { cold_slots: self.cold_slots as u32, duration: self.warmup_ms * MS },
            base_latency: self.usual_ms * MS,
        }
    }
}
