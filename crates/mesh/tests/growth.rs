//! Tests that nodes behind slow links follow a configuration that grows by many routes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bbv_stand::fleet::{Fleet, config, route};
use bbv_stand::link::Link;
use bbv_stand::proxy::Proxy;
use serde_json::Value;

/// Time from the store's acknowledgement within which each change has to be in force.
const BOUND: Duration = Duration::from_millis(2_500);
/// Rate of the slow link.
const LINK_MBPS: f64 = 10.0;
/// Port at which the node behind the slow link serves and reaches other nodes.
const SLOW_PORT: u16 = 21_102;
/// Routes that each version adds.
const ADDED_ROUTES: usize = 1_400;

/// Returns a fleet in which all bytes between node 0 and other nodes or the store cross one slow
/// link.
async fn fleet_with_slow_node(zones: &[&str]) -> Fleet {
    let mut fleet = Fleet::without_nodes(zones).await;
    let link = Arc::new(Link::new(LINK_MBPS));
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let peer_port = fleet.members[0].settings.peers.port();
    let store = fleet.members[0].settings.platform;
    let slow = Some(Arc::clone(&link));
    let (_, platform) = Proxy::start_on(any_port, store, slow).await.expect("no store proxy");
    fleet.members[0].settings.platform = platform;
    fleet.members[0].settings.peers.set_port(SLOW_PORT);
    for (index, member) in fleet.members.iter().enumerate() {
        let (outer, inner) =
            if index == 0 { (peer_port, SLOW_PORT) } else { (SLOW_PORT, peer_port) };
        let (listen, target) =
            (SocketAddr::new(member.ip, outer), SocketAddr::new(member.ip, inner));
        let slow = Some(Arc::clone(&link));
        Proxy::start_on(listen, target, slow).await.expect("no peer proxy");
    }
    for index in 0..zones.len() {
        fleet.start_node(index).await;
    }
    fleet.publish();
    fleet.wait_until_applied().await;
    fleet
}

/// Returns a configuration with `count` more routes, and the name of the last one.
fn grown_config(version: u64, count: usize) -> (Value, String) {
    let mut config = config(version, 5.0);
    let name = |number: usize| format!("added-route-with-a-name-of-usual-length-{number:05}");
    if let Some(resources) = config["resources"].as_array_mut() {
        let added = (0..count).map(|number| route(&name(number), "idempotent", "s", 5.0));
        resources.extend(added);
    }
    (config, name(count - 1))
}

/// Waits until node 0 serves `path`; returns the time since `since`.
async fn served_after(fleet: &Fleet, path: &str, since: Instant) -> Duration {
    for attempt in 0..1_000 {
        if fleet.get(0, path, &format!("probe-{attempt}")).await.status == 200 {
            return since.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{path} was not served within 20 s");
}

/// A node behind a slow link kept old routes for good once a configuration took longer to transfer
/// than a call may last.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn node_behind_a_slow_link_follows_a_configuration_that_grows() {
    let fleet = fleet_with_slow_node(&["a", "a", "a", "b", "b", "b"]).await;
    for round in 1..=3_usize {
        let version = 10 * round as u64;
        let (config, _) = grown_config(version, round * ADDED_ROUTES);
        fleet.store.put("op/config", &config);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (next, last) = grown_config(version + 1, round * ADDED_ROUTES);
        fleet.store.put("op/config", &next);
        let time = served_after(&fleet, &format!("/{last}/x"), Instant::now()).await;
        assert!(time < BOUND, "version {version} was in force after {time:?}");
    }
}

/// The word that an upstream leaves waited behind a large configuration, and the upstream got
/// requests for seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_upstream_gets_no_request_while_a_large_configuration_spreads() {
    let fleet = fleet_with_slow_node(&["a", "a", "a", "b", "b", "b"]).await;
    let (config, _) = grown_config(10, 3 * ADDED_ROUTES);
    fleet.store.put("op/config", &config);
    fleet.publish_upstream(0, "draining");
    let acked_at = Instant::now();
    while acked_at.elapsed() < BOUND {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for index in 0..40 {
        fleet.get(0, "/get/1", &format!("id-{index}")).await;
    }
    assert_eq!(fleet.members[0].upstream.runs(), 0);
}

/// A node alone in its zone read each of several large versions from the store, one after the other,
/// although nodes of other zones had the last one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lone_node_behind_a_slow_link_skips_versions_in_quick_succession() {
    let fleet = fleet_with_slow_node(&["a", "b", "b", "b"]).await;
    for round in 1..=5_u64 {
        let mut last = String::new();
        for step in 1..=4 {
            let (config, name) = grown_config(10 * round + step, 3_300 + step as usize);
            fleet.store.put("op/config", &config);
            last = name;
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        let time = served_after(&fleet, &format!("/{last}/x"), Instant::now()).await;
        assert!(time < BOUND, "round {round}: in force after {time:?}");
        let (config, _) = grown_config(10 * round + 5, 1);
        fleet.store.put("op/config", &config);
        fleet.wait_until_applied().await;
    }
}
