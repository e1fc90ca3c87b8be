//! Regions whose path to the store is cut, and regions that are out of reach as a whole.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, limits, route, service, wait_until};
use bbv_stand::upstream::Behaviour;
use serde_json::{Value, json};

/// Time from the store's acknowledgement within which a change is in force.
const BOUND: Duration = Duration::from_secs(3);
/// Time in which each node asks a lost region and is answered.
const ASKED: Duration = Duration::from_millis(1_200);
/// Time within which a request for a lost region is refused.
const AT_ONCE: Duration = Duration::from_millis(100);

/// Returns a configuration with a route `/get/` for the regions `homes`, and a route for each of `names`.
fn config(version: u64, homes: Option<&[&str]>, names: &[&str]) -> Value {
    let mut get = route("get", "idempotent", "s", 5.0);
    if let Some(homes) = homes {
        get["spec"]["allowed_regions"] = json!(homes);
    }
    let mut resources = vec![get, service("s", 1_000.0), limits(16_384, 15.0)];
    resources.extend(names.iter().map(|name| route(name, "idempotent", "s", 5.0)));
    json!({"version": version, "resources": resources})
}

/// Prepares a fleet with one node in each of `zones`, whose region is its name up to the dash.
async fn prepare(zones: &[&str]) -> Fleet {
    let mut fleet = Fleet::without_nodes(zones).await;
    let region = |zone: &str| zone.split('-').next().unwrap_or(zone).to_owned();
    for member in &mut fleet.members {
        let regions = zones.iter().map(|zone| ((*zone).to_owned(), region(zone)));
        member.settings.regions = regions.collect();
    }
    fleet
}

async fn start(fleet: &mut Fleet, nodes: &[usize], config: &Value) {
    for index in nodes {
        fleet.start_node(*index).await;
    }
    fleet.publish();
    fleet.store.put("op/config", config);
    fleet.wait_until_applied().await;
    for running in fleet.members.iter().filter_map(|member| member.running.as_ref()) {
        wait_until("a node is ready", || running.node.ready()).await;
    }
}

/// The store refuses all nodes of a region; others tell them of a route and of an upstream that leaves.
#[tokio::test]
async fn changes_reach_a_region_that_is_cut_off_from_the_store() {
    let mut fleet = prepare(&["a-1", "a-2", "b-1", "b-2", "b-2"]).await;
    start(&mut fleet, &[0, 1, 2, 3, 4], &config(2, None, &[])).await;
    for member in &fleet.members[2..] {
        member.listener.refuse.store(true, Ordering::Relaxed);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.store.put("op/config", &config(3, None, &["new"]));
    fleet.publish_upstream(2, "draining");
    tokio::time::sleep(BOUND).await;
    let before = fleet.members[2].upstream.runs();
    for index in [2, 3, 4] {
        for number in 0..4 {
            let id = format!("id-{index}-{number}");
            assert_eq!(fleet.get(index, "/new/1", &id).await.status, 200, "node {index}");
        }
    }
    assert_eq!(fleet.members[2].upstream.runs(), before, "the upstream has left");
}

/// No node of a region runs. Its loss is found by a few sends, then requests for it are refused without
/// any, until its first node speaks.
#[tokio::test]
async fn requests_for_a_lost_region_are_refused_at_once_until_it_is_back() {
    let mut fleet = prepare(&["a-1", "b-1", "b-2", "b-1"]).await;
    start(&mut fleet, &[0], &config(2, Some(&["b"]), &[])).await;
    for number in 0..3 {
        assert_eq!(fleet.get(0, "/get/1", &format!("lost-{number}")).await.status, 503);
    }
    let began = Instant::now();
    let response = fleet.get(0, "/get/1", "known").await;
    assert_eq!((response.status, response.header("bbv-reason")), (503, Some("no-home")));
    assert!(began.elapsed() < AT_ONCE, "refused after {:?}", began.elapsed());
    fleet.start_node(2).await;
    tokio::time::sleep(BOUND).await;
    assert_eq!(fleet.get(0, "/get/1", "back").await.status, 200);
}

/// A region returns to several nodes that found it lost. Few of its nodes speak to other regions of their
/// own accord, so that most of those nodes hear from it only since they ask.
#[tokio::test]
async fn lost_region_that_is_back_answers_all_nodes_that_ask() {
    let zones: Vec<&str> = [["a-1"; 8].as_slice(), ["b-1"; 5].as_slice()].concat();
    let mut fleet = prepare(&zones).await;
    let near: Vec<usize> = (0..8).collect();
    start(&mut fleet, &near, &config(2, Some(&["b"]), &[])).await;
    for index in &near {
        let id = format!("lost-{index}");
        assert_eq!(fleet.get(*index, "/get/1", &id).await.status, 503);
        let response = fleet.get(*index, "/get/1", &format!("{id}-again")).await;
        assert_eq!(response.header("bbv-reason"), Some("no-home"), "node {index}");
    }
    for index in 8..zones.len() {
        fleet.start_node(index).await;
    }
    for member in &fleet.members {
        let node = &member.running.as_ref().expect("node is running").node;
        wait_until("a node is ready", || node.ready()).await;
    }
    tokio::time::sleep(ASKED).await;
    for index in &near {
        let response = fleet.get(*index, "/get/1", &format!("back-{index}")).await;
        assert_eq!(response.status, 200, "node {index}");
    }
}

/// Time for which a node owes a message before it counts as silent, with a margin.
const OVERDUE: Duration = Duration::from_millis(850);

/// Requests that run for long are no loss of the region in which they run.
#[tokio::test]
async fn region_whose_requests_run_long_is_not_lost() {
    let mut fleet = prepare(&["a-1", "b-1", "b-2", "b-1"]).await;
    start(&mut fleet, &[0, 1, 2, 3], &config(2, Some(&["b"]), &[])).await;
    for member in &fleet.members {
        member.upstream.set_behaviour(Behaviour::Hangs);
    }
    let mut long = Vec::new();
    for number in 0..12 {
        let text = caller::request("GET", "/get/1", &format!("long-{number}"), 5_000, "");
        let callers = fleet.callers(0);
        long.push(tokio::spawn(async move { caller::send(callers, &text).await }));
    }
    wait_until("all requests run", || fleet.runs() == long.len()).await;
    for member in &fleet.members {
        member.upstream.set_behaviour(Behaviour::Answers);
    }
    tokio::time::sleep(OVERDUE).await;
    let response = fleet.get(0, "/get/1", "after").await;
    assert_eq!((response.status, response.header("bbv-reason")), (200, None));
    long.iter().for_each(tokio::task::JoinHandle::abort);
}
