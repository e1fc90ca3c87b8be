//! Requests through real nodes, with upstreams that respond correctly and with faulty ones.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, config, route, service, wait_until};
use bbv_stand::upstream::Behaviour;

#[tokio::test]
async fn request_reaches_the_upstream_unchanged() {
    let fleet = Fleet::start(&["z"]).await;
    let path = "/post/a%2Fb/../c;x?q=%41&r=~'";
    let response = fleet.post(0, path, "id-1").await;
    assert_eq!((response.status, response.body.as_str()), (200, "hello"));
    assert_eq!(response.header("bluebellvale-response-signature"), Some("s"));
    assert_eq!(response.header("bbv-reply"), None);
    let received = fleet.members[0].upstream.requests.lock()[0].clone();
    assert_eq!(received.request_line, format!("POST {path} HTTP/1.1"));
    assert_eq!(received.body, b"body");
    assert_eq!(received.headers["bluebellvale-attempt-id"], "id-1");
    assert_eq!(received.headers["bluebellvale-caller-service"], "s");
    assert_eq!(received.headers["bluebellvale-expected-instance"], "i-0");
    let timeout_ms: u64 =
        received.headers["bluebellvale-deadline-ms"].parse().expect("milliseconds");
    assert!(timeout_ms <= 3_000);
    assert!(!received.headers.contains_key("bbv-ask"));
}

#[tokio::test]
async fn node_without_routing_refuses_requests_and_is_not_ready() {
    let fleet = Fleet::start_unpublished(&["z"]).await;
    let response = fleet.get(0, "/get/1", "id-1").await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(fleet.readiness(0).await, 503);
}

#[tokio::test]
async fn unknown_route_returns_404() {
    let fleet = Fleet::start(&["z"]).await;
    assert_eq!(fleet.get(0, "/none/1", "id-1").await.status, 404);
    assert_eq!(fleet.readiness(0).await, 200);
}

/// Checks the status for the caller and the number of runs for each fault of all upstreams.
#[tokio::test]
async fn faulty_upstreams_give_expected_status_and_runs() {
    let cases = [
        (Behaviour::LosesAnswer, "POST", "/post/1", 502, 1),
        (Behaviour::LosesAnswer, "GET", "/get/1", 502, 2),
        (Behaviour::Truncates, "POST", "/post/1", 502, 1),
        (Behaviour::Crosses, "POST", "/post/1", 502, 1),
        (Behaviour::Unsigned, "POST", "/post/1", 502, 1),
        (Behaviour::Unframed, "POST", "/post/1", 200, 1),
        (Behaviour::Rejects, "POST", "/post/1", 503, 0),
        (Behaviour::CopiesRefusal, "POST", "/post/1", 502, 1),
        (Behaviour::DeniesUnsigned { identified: true }, "POST", "/post/1", 502, 1),
        (Behaviour::DeniesUnsigned { identified: true }, "GET", "/get/1", 502, 2),
        (Behaviour::DeniesUnsigned { identified: false }, "POST", "/post/1", 502, 1),
        (Behaviour::DeniesUnsigned { identified: false }, "GET", "/get/1", 502, 2),
        (Behaviour::Denies, "POST", "/post/1", 502, 1),
        (Behaviour::Denies, "GET", "/get/1", 502, 2),
    ];
    for (behaviour, method, path, status, runs) in cases {
        let fleet = Fleet::start(&["z", "z"]).await;
        for index in 0..20 {
            // The retry budget is a share of earlier requests.
            fleet.get(0, "/get/warm", &format!("warm-{index}")).await;
        }
        let before = fleet.runs();
        fleet.members.iter().for_each(|member| member.upstream.set_behaviour(behaviour));
        let text = caller::request(method, path, "id-1", 3_000, "");
        let response = caller::send(fleet.callers(0), &text).await;
        assert_eq!(
            (response.status, fleet.runs() - before),
            (status, runs),
            "{behaviour:?} {method}"
        );
    }
}

#[tokio::test]
async fn rejected_non_idempotent_request_runs_on_another_upstream() {
    let fleet = Fleet::start(&["z", "z"]).await;
    for index in 0..20 {
        fleet.get(0, "/get/warm", &format!("warm-{index}")).await;
    }
    fleet.members[0].upstream.set_behaviour(Behaviour::Rejects);
    let before = fleet.members[1].upstream.runs();
    for index in 0..4 {
        let response = fleet.post(0, "/post/1", &format!("id-{index}")).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(fleet.members[1].upstream.runs() - before, 4);
}

#[tokio::test]
async fn second_response_is_never_forwarded() {
    let fleet = Fleet::start(&["z"]).await;
    for index in 0..20 {
        fleet.members[0].upstream.set_behaviour(if index % 2 == 0 {
            Behaviour::AnswersTwice
        } else {
            Behaviour::Answers
        });
        let response = fleet.get(0, "/get/1", &format!("id-{index}")).await;
        if response.status == 200 {
            assert_eq!(response.body, "hello");
            let id = format!("id-{index}");
            assert_eq!(response.header("bluebellvale-attempt-id"), Some(id.as_str()));
        }
    }
}

/// A service that an upstream calls has no upstream left. The request that made the call fails, and
/// would fail on every other upstream too, so that it is not sent to one.
#[tokio::test]
async fn request_whose_call_was_refused_is_not_sent_again() {
    let fleet = Fleet::start(&["z", "z"]).await;
    let mut routing = config(2, 5.0);
    let resources = routing["resources"].as_array_mut().expect("resources are a list");
    resources.push(route("call", "idempotent", "t", 5.0));
    resources.push(service("t", 35.0));
    fleet.store.put("op/config", &routing);
    fleet.wait_until_applied().await;
    for index in 0..20 {
        fleet.get(0, "/get/warm", &format!("warm-{index}")).await;
    }
    for (index, member) in fleet.members.iter().enumerate() {
        member.upstream.set_behaviour(Behaviour::Calls(fleet.callers(index)));
    }
    let before = fleet.runs();
    for index in 0..6 {
        assert_eq!(fleet.get(0, "/get/1", &format!("id-{index}")).await.status, 500);
    }
    assert_eq!(fleet.runs() - before, 6);
}

/// The copy lacks the attempt id and arrives between two requests or while the next one waits for
/// its own response, also on a connection that a health check uses next.
#[tokio::test]
async fn late_copy_without_an_id_is_never_forwarded() {
    let fleet = Fleet::start(&["z"]).await;
    let upstream = &fleet.members[0].upstream;
    upstream.cold_ms.store(60_000, Ordering::Relaxed);
    wait_until("the health check tells that the upstream is cold", || {
        fleet.members[0].running.as_ref().is_some_and(|running| running.node.is_cold())
    })
    .await;
    for index in 0..24 {
        let copies = index % 2 == 0;
        upstream.set_behaviour(if copies { Behaviour::CopiesLate } else { Behaviour::Answers });
        let id = format!("id-{index}");
        let response = fleet.post(0, "/post/1", &id).await;
        assert!([200, 502].contains(&response.status), "{id}: {}", response.status);
        assert!(response.status == 502 || response.is_complete(&id), "{id}: {response:?}");
        let running = fleet.members[0].running.as_ref().expect("node is running");
        assert!(running.node.is_cold(), "{id}: a copy passed as a health response");
        tokio::time::sleep(Duration::from_millis(index % 7)).await;
    }
    assert!(fleet.runs() <= 24, "a request ran again");
}

#[tokio::test]
async fn caller_disconnect_cancels_the_request() {
    let fleet = Fleet::start(&["a", "b"]).await;
    for member in &fleet.members {
        *member.upstream.delay.lock() = Duration::from_secs(3);
    }
    // One request runs on the local upstream and one behind another node.
    for (index, zone) in ["a", "b"].iter().enumerate() {
        fleet.store.put(&format!("op/evacuate/{zone}"), &serde_json::json!({}));
        fleet.wait_until_applied().await;
        let other = &fleet.members[1 - index].upstream;
        let before = other.runs();
        let text = caller::request("GET", "/get/1", &format!("id-{index}"), 3_000, "");
        let sent = caller::send(fleet.callers(0), &text);
        let result = tokio::time::timeout(Duration::from_millis(500), sent).await;
        assert!(result.is_err(), "the caller disconnects before the response");
        assert_eq!(other.runs() - before, 1);
        wait_until("the upstream sees the cancellation", || {
            other.cancelled.load(Ordering::Relaxed) == 1
        })
        .await;
        fleet.store.remove(&format!("op/evacuate/{zone}"));
        fleet.wait_until_applied().await;
    }
}

#[tokio::test]
async fn request_ends_at_the_route_timeout() {
    let fleet = Fleet::start(&["z"]).await;
    fleet.store.put("op/config", &config(2, 0.3));
    fleet.wait_until_applied().await;
    fleet.members[0].upstream.set_behaviour(Behaviour::Hangs);
    let response = fleet.post(0, "/post/1", "id-1").await;
    assert_eq!(response.status, 504);
    assert!(
        response.latency >= Duration::from_millis(290) && response.latency < Duration::from_secs(2)
    );
    let received = fleet.members[0].upstream.requests.lock()[0].clone();
    let timeout_ms: u64 =
        received.headers["bluebellvale-deadline-ms"].parse().expect("milliseconds");
    assert!(timeout_ms <= 300);
}

#[tokio::test]
async fn request_is_refused_after_crashing_two_upstreams() {
    let fleet = Fleet::start(&["z", "z", "z"]).await;
    fleet.members.iter().for_each(|member| member.upstream.set_behaviour(Behaviour::Crashes));
    let mut last = 0;
    for index in 0..8 {
        last = fleet.post(0, "/post/poison", &format!("id-{index}")).await.status;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(last, 503);
    assert!(fleet.runs() <= 3, "{} runs", fleet.runs());
}
