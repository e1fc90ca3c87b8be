//! Nodes exchange routings as JSON.

use bbv_core::route::{CallerLimits, Routing, ServiceLimits};

/// An infinite rate was written as null, which no node can decode.
#[test]
fn routing_without_a_cold_rate_can_be_decoded() {
    let limits = CallerLimits { head: 1, body: 1, head_time: 1, idle: 1 };
    for cold_rate in [None, Some(16.0)] {
        let service =
            ServiceLimits { health: "/health".to_owned(), connections: 1, cold: 1, cold_rate };
        let routing = Routing::new(3, limits, [("s".into(), service)].into(), Vec::new());
        let text = serde_json::to_string(&routing).expect("a routing can be encoded");
        let decoded: Routing = serde_json::from_str(&text).expect("a routing can be decoded");
        assert_eq!(decoded, routing);
    }
}
