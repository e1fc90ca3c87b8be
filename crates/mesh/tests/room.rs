//! Requests that call a service without room: their calls take over their rank, and they are refused
//! before they run if their calls would be refused.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bbv_stand::caller::{self, Response};
use bbv_stand::fleet::{Fleet, config, route, service, wait_until};
use bbv_stand::upstream::Behaviour;
use serde_json::{Value, json};

/// Requests per second that the cold upstream of service `t` bears.
const COLD_RATE: f64 = 4.0;

fn ranked_route(name: &str, service: &str, rank: u8) -> Value {
    let mut route = route(name, "idempotent", service, 5.0);
    route["spec"]["priority"] = json!(rank);
    route
}

/// Starts a node of service `s`, whose upstream calls service `t`, and one of service `t`. Requests
/// to `/parent/` have rank 3, those to `/urgent/` and the calls' route rank 0.
async fn start(shedding: bool) -> Fleet {
    let mut fleet = Fleet::without_nodes(&["z", "z"]).await;
    fleet.members[1].settings.service = "t".to_owned();
    for index in 0..2 {
        fleet.members[index].settings.shedding = shedding;
        fleet.start_node(index).await;
    }
    fleet.publish();
    let mut routing = config(2, 5.0);
    let resources = routing["resources"].as_array_mut().expect("resources are a list");
    resources.push(ranked_route("parent", "s", 3));
    resources.push(ranked_route("call", "t", 0));
    resources.push(ranked_route("urgent", "t", 0));
    resources.push(service("t", COLD_RATE));
    fleet.store.put("op/config", &routing);
    let entry = json!({"address": fleet.members[1].settings.upstream,
        "info": {"service": "t", "version": "v1", "zone": "z", "slots": 9},
        "status": {"state": "ready", "sequence": 5, "cold_left_s": 0}});
    fleet.store.put("servers/i-1", &entry);
    fleet.wait_until_applied().await;
    wait_until("no upstream is cold", || !is_cold(&fleet, 0) && !is_cold(&fleet, 1)).await;
    fleet.members[0].upstream.set_behaviour(Behaviour::Calls(fleet.callers(0)));
    fleet
}

fn is_cold(fleet: &Fleet, index: usize) -> bool {
    fleet.members[index].running.as_ref().is_some_and(|running| running.node.is_cold())
}

async fn metrics(fleet: &Fleet) -> String {
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    caller::send(fleet.members[0].settings.readiness, text).await.body
}

/// The route of the call has rank 0, but the request that makes it has rank 3.
#[tokio::test]
async fn call_takes_over_the_rank_of_its_request() {
    let fleet = start(true).await;
    assert_eq!(fleet.get(0, "/parent/1", "id-1").await.status, 200);
    assert_eq!(fleet.get(0, "/urgent/1", "id-2").await.status, 200);
    let text = metrics(&fleet).await;
    let counted = |rank: u8| {
        let line = format!("bbv_calls_total{{ended=\"answered\",rank=\"{rank}\",service=\"t\"}} 1");
        text.lines().any(|other| other == line)
    };
    assert!(counted(3) && counted(0), "{text}");
}

/// Sends more requests of rank 0 than service `t` bears while it is cold.
async fn fill(fleet: &Fleet) {
    let sends = (0..16).map(|index| {
        let text = caller::request("GET", "/urgent/1", &format!("urgent-{index}"), 300, "");
        let addr = fleet.callers(0);
        tokio::spawn(async move { caller::send(addr, &text).await.status })
    });
    for sent in sends.collect::<Vec<_>>() {
        sent.await.expect("a caller panicked");
    }
}

/// Sends requests of rank 3 while service `t` has no room for their calls; returns the responses and
/// the number of requests that ran.
async fn ask_without_room(shedding: bool) -> (Vec<Response>, usize, String) {
    let fleet = start(shedding).await;
    assert_eq!(fleet.get(0, "/parent/1", "first").await.status, 200);
    fleet.members[1].upstream.cold_ms.store(60_000, Ordering::Relaxed);
    wait_until("the upstream of t is cold", || is_cold(&fleet, 1)).await;
    fill(&fleet).await;
    let before = fleet.members[0].upstream.runs();
    let mut responses = Vec::new();
    for index in 0..20 {
        let text = caller::request("GET", "/parent/1", &format!("id-{index}"), 400, "");
        responses.push(caller::send(fleet.callers(0), &text).await);
        if index % 5 == 4 {
            fill(&fleet).await;
        }
    }
    let runs = fleet.members[0].upstream.runs() - before;
    (responses, runs, metrics(&fleet).await)
}

#[tokio::test]
async fn request_whose_calls_would_be_refused_is_refused_before_it_runs() {
    let (responses, runs, text) = ask_without_room(true).await;
    let refused: Vec<_> = responses.iter().filter(|response| response.status == 503).collect();
    assert!(refused.len() >= 15, "{} refused", refused.len());
    assert!(runs <= 5, "{runs} ran");
    for response in refused {
        let retry_after = response.header("retry-after").and_then(|value| value.parse().ok());
        assert!(retry_after.is_some_and(|seconds: f64| seconds >= 1.0), "{retry_after:?}");
        assert!(response.latency < Duration::from_millis(100), "{:?}", response.latency);
    }
    assert!(text.contains("bbv_shed_total{rank=\"3\",scarce=\"t\",service=\"s\"}"), "{text}");
}

/// Without the setting, the requests run and fail.
#[tokio::test]
async fn without_the_setting_requests_run_and_fail() {
    let (responses, runs, _) = ask_without_room(false).await;
    assert!(responses.iter().all(|response| response.status != 503), "a request was refused");
    assert_eq!(runs, 20);
}
