//! Requests whose route names regions: their bodies and runs stay there, whatever else is down.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, limits, route, service, wait_until};
use bbv_stand::upstream::Behaviour;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time within which a request without an upstream in its homes is refused.
const AT_ONCE: Duration = Duration::from_millis(200);
/// Time in which both nodes know that nothing else has changed: a watch, the pause after it and a pull.
const SETTLED: Duration = Duration::from_millis(2_500);
/// Requests of one check.
const REQUESTS: usize = 40;

/// Returns a configuration with a route `/get/`, whose requests may run in `homes` if there are any.
fn config(version: u64, homes: Option<&[&str]>) -> Value {
    let mut get = route("get", "idempotent", "s", 5.0);
    if let Some(homes) = homes {
        get["spec"]["allowed_regions"] = json!(homes);
    }
    json!({"version": version, "resources": [get, service("s", 1_000.0), limits(16_384, 15.0)]})
}

/// Starts a node in each of `zones`, whose region is its name up to the dash, besides those of the members
/// `down`.
async fn start(zones: &[&str], down: &[usize], config: &Value) -> Fleet {
    let mut fleet = Fleet::without_nodes(zones).await;
    let region = |zone: &str| zone.split('-').next().unwrap_or(zone).to_owned();
    for index in (0..zones.len()).filter(|index| !down.contains(index)) {
        let regions = zones.iter().map(|zone| ((*zone).to_owned(), region(zone)));
        fleet.members[index].settings.regions = regions.collect();
        fleet.start_node(index).await;
    }
    fleet.publish();
    fleet.store.put("op/config", config);
    fleet.wait_until_applied().await;
    for running in fleet.members.iter().filter_map(|member| member.running.as_ref()) {
        wait_until("a node is ready", || running.node.ready()).await;
    }
    fleet
}

/// Leaves only the upstream of member `only` to be chosen.
async fn drain_others(fleet: &Fleet, only: usize) {
    for index in (0..fleet.members.len()).filter(|index| *index != only) {
        fleet.publish_upstream(index, "draining");
    }
    fleet.wait_until_applied().await;
}

fn runs(fleet: &Fleet, index: usize) -> usize {
    fleet.members[index].upstream.runs()
}

#[tokio::test]
async fn requests_run_at_home_only() {
    let fleet = start(&["a-1", "b-1", "c-1"], &[], &config(2, Some(&["b", "c"]))).await;
    for number in 0..REQUESTS {
        let response = fleet.get(0, "/get/1", &format!("id-{number}")).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(runs(&fleet, 0), 0, "it ran on the upstream beside its node");
    assert_eq!(runs(&fleet, 1) + runs(&fleet, 2), REQUESTS);
}

/// All upstreams at home have left, while others have room.
#[tokio::test]
async fn request_without_an_upstream_at_home_is_refused_at_once() {
    let fleet = start(&["a-1", "b-1"], &[], &config(2, Some(&["b"]))).await;
    drain_others(&fleet, 0).await;
    let began = Instant::now();
    let response = fleet.get(0, "/get/1", "id-1").await;
    assert_eq!(response.status, 503);
    assert!(began.elapsed() < AT_ONCE, "refused after {:?}", began.elapsed());
    assert_eq!(response.header("retry-after"), Some("0.500"));
    assert_eq!(fleet.runs(), 0);
}

/// Nodes at home refuse connections; the request is not moved elsewhere.
#[tokio::test]
async fn request_does_not_leave_its_homes_when_their_nodes_are_down() {
    let fleet = start(&["a-1", "b-1", "b-2"], &[1, 2], &config(2, Some(&["b"]))).await;
    for number in 0..8 {
        let response = fleet.get(0, "/get/1", &format!("id-{number}")).await;
        assert!([502, 503, 504].contains(&response.status), "status {}", response.status);
    }
    assert_eq!(runs(&fleet, 0), 0);
}

/// Upstreams at home fail requests, so that they are retried.
#[tokio::test]
async fn retries_stay_at_home() {
    let fleet = start(&["a-1", "b-1", "b-2"], &[], &config(2, Some(&["b"]))).await;
    for index in [1, 2] {
        fleet.members[index].upstream.set_behaviour(Behaviour::LosesAnswer);
    }
    for number in 0..8 {
        fleet.get(0, "/get/1", &format!("id-{number}")).await;
    }
    assert_eq!(runs(&fleet, 0), 0);
    assert!(runs(&fleet, 1) + runs(&fleet, 2) >= 8);
}

/// The zone of an upstream's entry is in no region of the settings.
#[tokio::test]
async fn upstream_in_an_unknown_zone_is_in_no_home() {
    let fleet = start(&["a-1", "b-1"], &[], &config(2, Some(&["b"]))).await;
    let entry = json!({"address": fleet.members[1].settings.upstream,
        "info": {"service": "s", "version": "v1", "zone": "elsewhere", "slots": 9},
        "status": {"state": "ready", "sequence": 5, "cold_left_s": 0}});
    fleet.store.put("servers/i-1", &entry);
    fleet.wait_until_applied().await;
    assert_eq!(fleet.get(0, "/get/1", "id-1").await.status, 503);
    assert_eq!(fleet.runs(), 0);
}

/// One service of a split has no upstream at home.
#[tokio::test]
async fn part_of_a_split_without_an_upstream_at_home_hands_its_requests_over() {
    let mut config = config(2, Some(&["b"]));
    let spec = config["resources"][0]["spec"].as_object_mut().expect("spec is an object");
    spec.remove("service");
    let parts = json!([{"service": "other", "weight": 1}, {"service": "s", "weight": 1}]);
    spec.insert("weighted_split".to_owned(), parts);
    let other = service("other", 1_000.0);
    config["resources"].as_array_mut().expect("resources are a list").push(other);
    let fleet = start(&["a-1", "b-1"], &[], &config).await;
    for number in 0..8 {
        let response = fleet.get(0, "/get/1", &format!("id-{number}")).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!((runs(&fleet, 0), runs(&fleet, 1)), (0, 8));
}

/// The ingress hears of a routing from another region only, and does not have it yet when it sends the
/// request; the gate's newer one forbids it.
#[tokio::test]
async fn gate_refuses_what_its_newer_routing_forbids() {
    let fleet = start(&["a-1", "b-1"], &[], &config(2, None)).await;
    drain_others(&fleet, 0).await;
    assert_eq!(fleet.get(1, "/get/1", "before").await.status, 200);
    let gate = fleet.members[0].running.as_ref().expect("node is running");
    fleet.members[1].listener.refuse.store(true, Ordering::Relaxed);
    tokio::time::sleep(SETTLED).await;
    fleet.store.put("op/config", &config(3, Some(&["b"])));
    wait_until("the gate has the routing", || fleet.is_applied(&gate.node)).await;
    let response = fleet.get(1, "/get/1", "after").await;
    assert_eq!(response.status, 503);
    let reason = response.header("bbv-reason");
    assert_eq!(reason, Some("no-room"), "the ingress had the routing and found no home");
    assert_eq!(runs(&fleet, 0), 1, "the gate ran what its routing forbids");
}

/// The body of a request arrives slowly, and the routing changes meanwhile.
#[tokio::test]
async fn homes_of_a_newer_routing_bind_requests_under_way() {
    let fleet = start(&["a-1", "b-1"], &[], &config(2, None)).await;
    drain_others(&fleet, 0).await;
    let text = caller::request("POST", "/get/1", "id-1", 3_000, "body");
    let (first, last) = text.split_at(text.len() - 1);
    let mut stream = TcpStream::connect(fleet.callers(0)).await.expect("could not connect");
    stream.write_all(first.as_bytes()).await.expect("could not write");
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.store.put("op/config", &config(3, Some(&["b"])));
    fleet.wait_until_applied().await;
    stream.write_all(last.as_bytes()).await.expect("could not write");
    let response = caller::read_response(&mut stream).await;
    assert_eq!((response.status, response.header("bbv-reason")), (503, Some("no-home")));
    assert_eq!(fleet.runs(), 0);
}

/// An organisation gets homes while the body of its request arrives; the body must not be sent to the
/// upstream's gate, which is in another region.
#[tokio::test]
async fn homes_of_a_newer_organisation_bind_requests_under_way() {
    let keyed = |version: u64, homes: &[&str]| {
        let mut config = config(version, None);
        let spec = json!({"api_keys": ["k"], "allowed_regions": homes});
        let organisation =
            json!({"resource_type": "tenants", "metadata": {"name": "o"}, "spec": spec});
        config["resources"].as_array_mut().expect("resources are a list").push(organisation);
        config
    };
    let fleet = start(&["a-1", "b-1"], &[], &keyed(2, &[])).await;
    drain_others(&fleet, 1).await;
    let text = caller::request("POST", "/get/1", "id-1", 3_000, "body");
    let text = text.replacen("\r\n", "\r\nBluebellvale-Key: k\r\n", 1);
    let (first, last) = text.split_at(text.len() - 1);
    let mut stream = TcpStream::connect(fleet.callers(0)).await.expect("could not connect");
    stream.write_all(first.as_bytes()).await.expect("could not write");
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.store.put("op/config", &keyed(3, &["a"]));
    fleet.wait_until_applied().await;
    stream.write_all(last.as_bytes()).await.expect("could not write");
    let response = caller::read_response(&mut stream).await;
    assert_eq!((response.status, response.header("bbv-reason")), (503, Some("no-home")));
    assert_eq!(fleet.runs(), 0);
}
