//! Tests of the metrics that a node serves.

use std::time::Duration;

use bbv_stand::caller;
use bbv_stand::fleet::Fleet;
use bbv_stand::upstream::Behaviour;

/// Fetches the metrics of member `index` as text.
async fn metrics(fleet: &Fleet, index: usize) -> String {
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    caller::send(fleet.members[index].settings.readiness, text).await.body
}

/// Returns the value of the first metric whose line starts with `name`.
fn value(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

#[tokio::test]
async fn calls_are_counted_by_service_rank_and_outcome() {
    let fleet = Fleet::start(&["z"]).await;
    for index in 0..3 {
        fleet.get(0, "/get/1", &format!("id-{index}")).await;
    }
    fleet.get(0, "/none/1", "id-none").await;
    fleet.members[0].upstream.set_behaviour(Behaviour::LosesAnswer);
    fleet.post(0, "/post/1", "id-lost").await;
    let mut text = metrics(&fleet, 0).await;
    // The upstream counts as cold until the first health check.
    while value(&text, "bbv_cold") != Some(0.0) {
        tokio::time::sleep(Duration::from_millis(20)).await;
        text = metrics(&fleet, 0).await;
    }
    let cases = [
        ("bbv_calls_total{ended=\"answered\",rank=\"1\",service=\"s\"}", 3.0),
        ("bbv_calls_total{ended=\"no-route\",rank=\"none\",service=\"none\"}", 1.0),
        ("bbv_calls_total{ended=\"lost\",rank=\"1\",service=\"s\"}", 1.0),
        ("bbv_call_seconds_count{ended=\"answered\",rank=\"1\",service=\"s\"}", 3.0),
        ("bbv_routing_version", 1.0),
        ("bbv_revision", fleet.store.newest("servers/") as f64),
        ("bbv_running", 0.0),
    ];
    for (name, expected) in cases {
        assert_eq!(value(&text, name), Some(expected), "{name}\n{text}");
    }
    let control = value(&text, "bbv_control_revision").expect("no control revision");
    let published = fleet.store.newest("op/") as f64..=fleet.store.revision() as f64;
    assert!(published.contains(&control), "control revision {control}");
    for name in ["bbv_routing_age_seconds", "bbv_report_age_seconds"] {
        let age = value(&text, name).expect(name);
        assert!((0.0..60.0).contains(&age), "{name} {age}");
    }
}

/// Without both figures, memory that is held but not counted cannot be told from memory that is counted.
#[tokio::test]
async fn memory_of_bodies_stands_beside_that_of_the_process() {
    let fleet = Fleet::start(&["z"]).await;
    let text = metrics(&fleet, 0).await;
    for of in ["request", "response"] {
        let name = format!("bbv_body_bytes{{of=\"{of}\"}}");
        assert_eq!(value(&text, &name), Some(0.0), "{name}\n{text}");
    }
    let resident = value(&text, "bbv_resident_bytes").expect("no resident memory");
    assert!((1e6..1e9).contains(&resident), "{resident}");
}

#[tokio::test]
async fn statuses_are_counted_by_who_chose_them() {
    let fleet = Fleet::start(&["z"]).await;
    fleet.get(0, "/get/1", "id-1").await;
    fleet.get(0, "/none/1", "id-2").await;
    let malformed = caller::send(fleet.callers(0), "GET /get/1 HTTP/1.1\r\nHost : x\r\n\r\n").await;
    assert_eq!(malformed.status, 400);
    let long = caller::request("GET", &format!("/get/{}", "p".repeat(66_000)), "id-3", 3_000, "");
    assert_eq!(caller::send(fleet.callers(0), &long).await.status, 414);
    let text = metrics(&fleet, 0).await;
    for labels in [
        "source=\"upstream\",status=\"200\"",
        "source=\"node\",status=\"404\"",
        "source=\"library\",status=\"400\"",
        "source=\"library\",status=\"414\"",
    ] {
        let name = format!("bbv_responses_total{{{labels}}}");
        assert_eq!(value(&text, &name), Some(1.0), "{name}\n{text}");
    }
}
