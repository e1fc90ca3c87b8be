//! Connections between nodes and to upstreams that go silent for good, while new ones work.

use std::time::Duration;

use bbv_stand::fleet::{Fleet, config, wait_until};
use bbv_stand::proxy::Proxy;
use bbv_stand::upstream::Behaviour;

/// Port of an upstream behind a proxy.
const UPSTREAM_PORT: u16 = 21_006;
/// Requests sent at once, each on a connection of its own.
const REQUESTS: usize = 8;
/// Time after the silence from which nodes count as calm.
const STABLE: Duration = Duration::from_secs(3);
/// Time from the store's acknowledgement within which a change is in force.
const BOUND: Duration = Duration::from_secs(2);

/// Starts two nodes, of which only the second has an upstream that takes requests, with proxies between
/// them.
async fn start() -> (Fleet, Vec<Proxy>) {
    let mut fleet = Fleet::without_nodes(&["z", "z"]).await;
    let proxies = fleet.proxy_peers(0, None).await;
    for index in 0..2 {
        fleet.start_node(index).await;
    }
    fleet.publish();
    fleet.publish_upstream(0, "draining");
    fleet.wait_until_applied().await;
    for member in &fleet.members {
        let node = &member.running.as_ref().expect("node is running").node;
        wait_until("a node is ready", || node.ready()).await;
    }
    *fleet.members[1].upstream.delay.lock() = Duration::from_millis(50);
    (fleet, proxies)
}

/// Sends requests to node 0 at once; returns their statuses.
async fn send_all(fleet: &Fleet, name: &str) -> Vec<u16> {
    let requests = (0..REQUESTS).map(|number| {
        let (node, id) = (fleet.callers(0), format!("{name}-{number}"));
        let text = bbv_stand::caller::request("GET", "/get/1", &id, 1_000, "");
        tokio::spawn(async move { bbv_stand::caller::send(node, &text).await.status })
    });
    let mut statuses = Vec::new();
    for request in requests.collect::<Vec<_>>() {
        statuses.push(request.await.expect("caller panicked"));
    }
    statuses
}

/// Requests went to connections that had been silent for seconds, and were lost at their deadlines.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connection_between_nodes_gets_no_request_of_a_calm_node() {
    let (fleet, proxies) = start().await;
    assert_eq!(send_all(&fleet, "before").await, [200; REQUESTS]);
    proxies.iter().for_each(Proxy::silence_open);
    tokio::time::sleep(STABLE).await;
    assert_eq!(send_all(&fleet, "after").await, [200; REQUESTS]);
}

/// A node that the store refuses pulled changes on one silent connection after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_arrive_after_connections_between_nodes_went_silent() {
    let (fleet, proxies) = start().await;
    fleet.members[0].listener.refuse.store(true, std::sync::atomic::Ordering::Relaxed);
    fleet.store.put("op/config", &config(2, 5.0));
    fleet.wait_until_applied().await;
    assert_eq!(send_all(&fleet, "before").await, [200; REQUESTS]);
    proxies.iter().for_each(Proxy::silence_open);
    fleet.store.put("op/config", &fleet.config_with(3, "new"));
    tokio::time::sleep(BOUND).await;
    assert_eq!(fleet.get(0, "/new/1", "id-new").await.status, 200);
}

/// Requests went to connections to the upstream that had been silent for seconds, since the upstream keeps
/// them for long.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connection_to_the_upstream_gets_no_request_of_a_calm_node() {
    let mut fleet = Fleet::with_upstream_port(&["z"], UPSTREAM_PORT).await;
    let (published, upstream) = (fleet.members[0].settings.upstream, &fleet.members[0].upstream);
    let (proxy, _) = Proxy::start(published, upstream.addr).await.expect("no proxy");
    upstream.set_behaviour(Behaviour::KeepsAlive(60));
    *upstream.delay.lock() = Duration::from_millis(50);
    fleet.start_node(0).await;
    fleet.publish();
    let node = &fleet.members[0].running.as_ref().expect("node is running").node;
    wait_until("the node is ready", || node.ready()).await;
    for round in 0..3 {
        assert_eq!(send_all(&fleet, &format!("before-{round}")).await, [200; REQUESTS]);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    proxy.silence_open();
    tokio::time::sleep(STABLE).await;
    assert_eq!(send_all(&fleet, "after").await, [200; REQUESTS]);
}
