//! Tests of nodes whose store comes back from an older copy, with revisions that are given out again.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bbv_core::revision::era;
use bbv_core::view::Topic;
use bbv_stand::caller::{self, Response};
use bbv_stand::fleet::{Fleet, wait_until};

/// Waits until the nodes `of` the fleet know both topics in the era of the store.
async fn wait_until_entered(fleet: &Fleet, of: &[usize]) {
    let current = era(fleet.store.revision());
    for index in of {
        let node = &fleet.members[*index].running.as_ref().expect("node is running").node;
        wait_until("a node knows the era", || {
            Topic::ALL.iter().all(|topic| era(node.revision(*topic)) == current)
        })
        .await;
    }
}

async fn status(fleet: &Fleet, index: usize, path: &str) -> u16 {
    let Response { status, .. } = fleet.get(index, path, &format!("id-{index}-{path}")).await;
    status
}

/// A node that the store refuses learns of the era from a reader, and of what is written in it.
#[tokio::test]
async fn node_refused_by_the_store_learns_the_era_from_peers() {
    let fleet = Fleet::start(&["z", "z", "z"]).await;
    fleet.members[0].listener.refuse.store(true, Ordering::Relaxed);
    let copy = fleet.store.copy();
    for version in 2..8 {
        fleet.store.put("op/config", &fleet.config_with(version, "lost"));
    }
    fleet.wait_until_applied().await;
    fleet.store.restore(&copy);
    fleet.store.put("op/config", &fleet.config_with(9, "new"));
    fleet.wait_until_applied().await;
    for index in 0..3 {
        assert_eq!(status(&fleet, index, "/new/1").await, 200);
        assert_eq!(status(&fleet, index, "/lost/1").await, 404);
    }
}

/// A node that starts after the return takes the routing that is in force from a peer, not the copy's.
#[tokio::test]
async fn node_that_starts_after_the_return_serves_the_routing_in_force() {
    let mut fleet = Fleet::without_nodes(&["z", "z", "z"]).await;
    fleet.start_node(0).await;
    fleet.start_node(1).await;
    fleet.publish();
    fleet.wait_until_applied().await;
    let copy = fleet.store.copy();
    fleet.store.put("op/config", &fleet.config_with(2, "new"));
    fleet.wait_until_applied().await;
    fleet.store.restore(&copy);
    wait_until_entered(&fleet, &[0, 1]).await;
    fleet.start_node(2).await;
    wait_until_entered(&fleet, &[2]).await;
    let started = &fleet.members[2].running.as_ref().expect("node is running").node;
    wait_until("the node is ready", || started.ready()).await;
    for index in 0..3 {
        assert_eq!(status(&fleet, index, "/new/1").await, 200, "node {index}");
    }
}

/// A zone out of service gets no requests while the copy lacks that, and is back when an operator's
/// next word says so.
#[tokio::test]
async fn zone_stays_out_of_service_while_the_copy_lacks_it() {
    let fleet = Fleet::start(&["a", "b"]).await;
    let copy = fleet.store.copy();
    fleet.store.put("op/evacuate/a", &serde_json::json!({}));
    fleet.wait_until_applied().await;
    let held = fleet.store.restore(&copy);
    wait_until_entered(&fleet, &[0, 1]).await;
    for number in 0..10 {
        assert_eq!(fleet.get(0, "/get/1", &format!("held-{number}")).await.status, 200);
    }
    assert_eq!(fleet.members[0].upstream.runs(), 0);
    fleet.store.write_again(&held, &copy);
    fleet.wait_until_applied().await;
    fleet.store.remove("op/evacuate/a");
    fleet.wait_until_applied().await;
    for number in 0..20 {
        assert_eq!(fleet.get(0, "/get/1", &format!("back-{number}")).await.status, 200);
    }
    assert!(fleet.members[0].upstream.runs() > 0);
}

/// An upstream that registered in the lost seconds serves on until it has registered again.
#[tokio::test]
async fn upstream_that_the_copy_lacks_serves_on() {
    let fleet = Fleet::start_unpublished(&["z", "z"]).await;
    fleet.store.put("op/config", &fleet.config_with(1, "route"));
    fleet.publish_upstream(0, "ready");
    fleet.wait_until_applied().await;
    let copy = fleet.store.copy();
    fleet.publish_upstream(1, "ready");
    fleet.wait_until_applied().await;
    for running in fleet.members.iter().filter_map(|member| member.running.as_ref()) {
        wait_until("a node is ready", || running.node.ready()).await;
    }
    fleet.store.restore(&copy);
    wait_until_entered(&fleet, &[0, 1]).await;
    let runs = || fleet.members[1].upstream.runs();
    let before = runs();
    for number in 0..20 {
        assert_eq!(fleet.get(1, "/get/1", &format!("kept-{number}")).await.status, 200);
    }
    assert!(runs() > before, "the upstream was dropped at once");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = runs();
    for number in 0..20 {
        fleet.get(0, "/get/1", &format!("gone-{number}")).await;
    }
    assert_eq!(runs(), before, "the upstream has not registered again");
}

/// Answers cease to name the era, so that listings seem to be of the first one and are not applied. They
/// counted as a confirmation of what the node knew, though it learnt nothing.
#[tokio::test]
async fn answers_without_the_era_confirm_nothing() {
    let fleet = Fleet::start(&["z"]).await;
    let copy = fleet.store.copy();
    fleet.store.restore(&copy);
    wait_until_entered(&fleet, &[0]).await;
    fleet.store.unnamed.store(true, Ordering::Relaxed);
    fleet.store.put("op/config", &fleet.config_with(2, "new"));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let metrics = caller::send(fleet.members[0].settings.readiness, text).await.body;
    let age = metrics.lines().find_map(|line| line.strip_prefix("bbv_control_age_seconds "));
    let age: f64 = age.and_then(|age| age.parse().ok()).expect("no age");
    assert!(age > 2.0, "{age}");
    fleet.store.unnamed.store(false, Ordering::Relaxed);
    fleet.wait_until_applied().await;
    assert_eq!(status(&fleet, 0, "/new/1").await, 200);
}
