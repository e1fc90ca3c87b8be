//! What nodes know of the fleet while the store misbehaves, and planned stops.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bbv_stand::client;
use bbv_stand::fleet::{Fleet, config, until};

#[tokio::test]
async fn draining_upstream_gets_no_request() {
    let fleet = Fleet::start(&["z", "z"]).await;
    fleet.publish_upstream(0, "draining");
    fleet.settle().await;
    for at in 0..10 {
        assert_eq!(fleet.get(0, "/get/1", &format!("id-{at}")).await.status, 200);
    }
    assert_eq!(fleet.members[0].upstream.runs(), 0);
}

#[tokio::test]
async fn zone_out_of_service_gets_no_request_until_it_is_back() {
    let fleet = Fleet::start(&["a", "b"]).await;
    fleet.store.put("op/evacuate/a", &serde_json::json!({}));
    fleet.settle().await;
    for at in 0..10 {
        assert_eq!(fleet.get(0, "/get/1", &format!("id-{at}")).await.status, 200);
    }
    assert_eq!(fleet.members[0].upstream.runs(), 0);
    fleet.store.remove("op/evacuate/a");
    fleet.settle().await;
    for at in 0..10 {
        assert_eq!(fleet.get(0, "/get/1", &format!("back-{at}")).await.status, 200);
    }
    assert!(fleet.members[0].upstream.runs() > 0);
}

#[tokio::test]
async fn node_that_the_store_refuses_learns_from_its_peers() {
    let fleet = Fleet::start(&["z", "z"]).await;
    fleet.members[0].listener.refuse.store(true, Ordering::Relaxed);
    fleet.store.put("op/config", &config(7, 1.0));
    fleet.settle().await;
}

#[tokio::test]
async fn older_and_unreadable_items_change_nothing() {
    let fleet = Fleet::start(&["z"]).await;
    fleet.store.put("op/config", &config(9, 5.0));
    fleet.store.put("op/config", &serde_json::json!({"version": 4, "resources": []}));
    fleet.store.put_bytes("op/config", b"{\"version\": 30, \"resources\": [{");
    fleet.store.put_bytes("servers/i-9", b"\xff\xfe");
    fleet
        .store
        .put("servers/i-8", &serde_json::json!({"address": 7, "info": [], "status": "ready"}));
    fleet.settle().await;
    assert_eq!(fleet.get(0, "/get/1", "id-1").await.status, 200);
}

#[tokio::test]
async fn forgotten_history_is_listed_again() {
    let fleet = Fleet::start(&["z", "z"]).await;
    fleet.store.remove("servers/i-0");
    fleet.store.drop_history();
    fleet.settle().await;
    fleet.publish_upstream(1, "ready");
    fleet.settle().await;
    for at in 0..6 {
        assert_eq!(fleet.get(1, "/get/1", &format!("id-{at}")).await.status, 200);
    }
    assert_eq!(fleet.members[0].upstream.runs(), 0);
}

/// An upstream that leaves long after the store served this node again gets nothing more,
/// though no change came in between.
#[tokio::test]
async fn outage_that_is_long_over_keeps_no_upstream() {
    let fleet = Fleet::start(&["z", "z"]).await;
    let refuse = &fleet.members[0].listener.refuse;
    refuse.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(700)).await;
    refuse.store(false, Ordering::Relaxed);
    // Longer than upstreams that lapsed are kept, and the pauses between calls.
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    fleet.store.remove("servers/i-1");
    fleet.settle().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = fleet.members[1].upstream.runs();
    for at in 0..10 {
        let answer = fleet.get(at % 2, "/get/1", &format!("id-{at}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fleet.members[1].upstream.runs(), before);
}

/// The gate keeps an upstream that is gone from requests of ingresses that have not heard.
#[tokio::test]
async fn gate_refuses_for_an_upstream_that_is_no_longer_listed() {
    let fleet = Fleet::start(&["z", "z"]).await;
    // The ingress keeps what it knows, since the store refuses it and then forgets nothing.
    fleet.members[0].listener.refuse.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.remove("servers/i-1");
    let gate = fleet.members[1].running.as_ref().expect("it runs");
    let newest = fleet.store.revision();
    until("the gate knows", || gate.node.revision() >= newest).await;
    let before = fleet.members[1].upstream.runs();
    for at in 0..10 {
        fleet.get(0, "/get/1", &format!("id-{at}")).await;
    }
    assert_eq!(fleet.members[1].upstream.runs(), before);
}

/// A node that is told to stop finishes what another node sent it.
#[tokio::test]
async fn stopping_node_finishes_requests_of_other_nodes() {
    let mut fleet = Fleet::start(&["a", "b"]).await;
    *fleet.members[1].upstream.delay.lock() = Duration::from_millis(3_500);
    fleet.store.put("op/evacuate/a", &serde_json::json!({}));
    fleet.settle().await;
    let text = client::request("POST", "/post/1", "id-1", 4_500, "body");
    let callers = fleet.callers(0);
    let sent = tokio::spawn(async move { client::send(callers, &text).await });
    until("the request runs", || fleet.members[1].upstream.runs() == 1).await;
    let running = fleet.members[1].running.take().expect("it runs");
    let begun = Instant::now();
    running.stop().await;
    assert!(begun.elapsed() >= Duration::from_millis(3_000), "it waits for the run");
    assert_eq!(sent.await.expect("the caller waits").status, 200);
}

/// A node that lost the store, and then left reading to others, does not take the outage to
/// end only when it reads again.
#[tokio::test]
async fn outage_ends_for_a_node_that_stops_reading() {
    let fleet = Fleet::start(&["z", "z", "z"]).await;
    let reads = |at: usize| fleet.members[at].running.as_ref().is_some_and(|it| it.node.reads());
    let refuse =
        |at: usize, on: bool| fleet.members[at].listener.refuse.store(on, Ordering::Relaxed);
    let weight = |at: &usize| match fleet.members[*at].ip {
        std::net::IpAddr::V4(ip) => bbv_core::rendezvous::weight(b"z", u64::from(u32::from(ip))),
        std::net::IpAddr::V6(_) => 0,
    };
    let mut ranked = [0, 1, 2];
    ranked.sort_by_key(weight);
    let [last, first, second] = ranked;
    (0..3).for_each(|at| refuse(at, true));
    // Long enough for each node to try.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    refuse(first, false);
    refuse(second, false);
    until("the better two read", || reads(first) && reads(second)).await;
    // Longer than the last node pauses between two calls.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    refuse(last, false);
    refuse(first, true);
    refuse(second, true);
    until("the last node reads", || reads(last)).await;
    let gone = first;
    fleet.store.remove(&format!("servers/i-{gone}"));
    let newest = fleet.store.revision();
    let node = &fleet.members[last].running.as_ref().expect("it runs").node;
    until("the last node knows", || node.revision() >= newest).await;
    let before = fleet.members[gone].upstream.runs();
    for at in 0..20 {
        fleet.get(last, "/get/1", &format!("id-{at}")).await;
    }
    assert_eq!(fleet.members[gone].upstream.runs(), before);
}
