//! Malformed and extreme messages from every side leave a node working.

use std::time::Duration;

use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, config, limits, route, service, wait_until};
use bbv_stand::upstream::Behaviour;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::net::UdpSocket;

const SEED: u64 = 19;
const NOTICES: usize = 3_000;

/// Checks that each part of the node still works: it answers, and it applies what the store
/// publishes.
async fn check_node(fleet: &Fleet, version: u64) {
    fleet.store.put("op/config", &config(version, 5.0));
    fleet.wait_until_applied().await;
    fleet.members.iter().for_each(|member| member.upstream.set_behaviour(Behaviour::Answers));
    wait_until("the node is ready", || {
        fleet
            .members
            .iter()
            .all(|member| member.running.as_ref().is_some_and(|running| running.node.ready()))
    })
    .await;
    let response = fleet.get(0, "/get/1", &format!("check-{version}")).await;
    assert_eq!(response.status, 200, "version {version}");
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let metrics = caller::send(fleet.members[0].settings.readiness, text).await.body;
    assert!(metrics.contains("bbv_panics_total 0"), "a task panicked");
}

#[tokio::test]
async fn notices_of_random_bytes_are_ignored() {
    let fleet = Fleet::start(&["z"]).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("could not bind");
    let mut rng = SmallRng::seed_from_u64(SEED);
    for index in 0..NOTICES {
        let len = rng.random_range(0..80);
        let mut bytes: Vec<u8> = (0..len).map(|_| rng.random()).collect();
        // Large numbers are encoded as runs of set bits.
        if index % 3 == 0 {
            bytes.iter_mut().skip(3).for_each(|byte| *byte = rng.random_range(0xf0..=0xff));
        }
        let sent = socket.send_to(&bytes, fleet.members[0].settings.notices).await;
        sent.expect("could not send a datagram");
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    check_node(&fleet, 2).await;
}

#[tokio::test]
async fn peer_requests_with_extreme_values_are_refused() {
    let fleet = Fleet::start(&["z"]).await;
    let peers = fleet.members[0].settings.peers;
    let max = u64::MAX;
    let fields = [
        format!("255.255.255.255,{max},{max},{max},{max},255,1,4294967295,{max},1,{max},i-0"),
        format!("255.255.255.255,{max},{max},{max},{max},255,1,{max},{max},1,{max},i-0"),
        format!("::,0,0,{max},0,0,0,0,{max},0,0,i-0"),
        "1,2,3".to_owned(),
        format!("{max},{max},255,{max},1,{max},i-0"),
        "127.0.0.1,-1,-1,-1,-1,-1,-1,-1,-1,-1,-1,i-0".to_owned(),
        String::new(),
    ];
    for field in fields {
        let text = caller::request("GET", "/get/1", "id-1", 3_000, "");
        let text = format!("{}\r\nbbv-ask: {field}\r\n\r\n", text.trim_end());
        let status = caller::send(peers, &text).await.status;
        assert!(status > 0, "{field}: the connection was closed without an answer");
    }
    for path in ["/bbv/changes?since=18446744073709551615", "/bbv/changes?since=x", "/bbv/changes"]
    {
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
        assert!(caller::send(peers, &text).await.status > 0, "{path}");
    }
    check_node(&fleet, 2).await;
}

#[tokio::test]
async fn extreme_header_fields_of_an_upstream_are_survived() {
    let fleet = Fleet::start(&["z"]).await;
    fleet.members[0].upstream.set_behaviour(Behaviour::Extreme);
    for index in 0..3 {
        let text = caller::request("GET", "/get/1", &format!("id-{index}"), 700, "");
        assert!(caller::send(fleet.callers(0), &text).await.status > 0);
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    check_node(&fleet, 2).await;
}

#[tokio::test]
async fn extreme_items_of_the_store_are_survived() {
    let fleet = Fleet::start(&["z"]).await;
    let huge = 1e300;
    let mut endless = route("get", "idempotent", "s", huge);
    endless["spec"]["target_latency_s"] = json!(huge);
    endless["spec"]["max_attempts"] = json!(u32::MAX);
    let mut cold = service("s", huge);
    cold["spec"]["cold_start_s"] = json!(huge);
    let resources = json!([endless, cold, limits(usize::MAX, huge)]);
    fleet.store.put("op/config", &json!({"version": 2, "resources": resources}));
    let born = u64::MAX;
    let entry = json!({"address": fleet.members[0].settings.upstream, "born": born,
        "info": {"service": "s", "version": "v1", "zone": "z", "slots": u32::MAX},
        "status": {"state": "ready", "sequence": 4, "cold_left_s": 0}});
    fleet.store.put("servers/i-9", &entry);
    fleet.store.put("op/evacuate/", &json!([]));
    fleet.store.put(&format!("servers/{}", "x".repeat(190)), &json!({"info": null}));
    fleet.wait_until_applied().await;
    let status = fleet.get(0, "/get/1", "id-1").await.status;
    assert!([200, 503].contains(&status), "{status}");
    fleet.store.remove("servers/i-9");
    check_node(&fleet, 3).await;
}
