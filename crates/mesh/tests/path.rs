//! Requests through real nodes, with upstreams that respond correctly and with faulty ones.

use std::time::Duration;

use bbv_stand::client;
use bbv_stand::fleet::{Fleet, config, until};
use bbv_stand::upstream::Behaviour;

#[tokio::test]
async fn request_reaches_the_upstream_unchanged() {
    let fleet = Fleet::start(&["z"]).await;
    let path = "/post/a%2Fb/../c;x?q=%41&r=~'";
    let answer = fleet.post(0, path, "id-1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "hello"));
    assert_eq!(answer.header("bluebellvale-response-signature"), Some("s"));
    assert_eq!(answer.header("bbv-reply"), None);
    let seen = fleet.members[0].upstream.requests.lock()[0].clone();
    assert_eq!(seen.request_line, format!("POST {path} HTTP/1.1"));
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.headers["bluebellvale-attempt-id"], "id-1");
    assert_eq!(seen.headers["bluebellvale-caller-service"], "s");
    assert_eq!(seen.headers["bluebellvale-expected-instance"], "i-0");
    let left: u64 = seen.headers["bluebellvale-deadline-ms"].parse().expect("milliseconds");
    assert!(left <= 3_000);
    assert!(!seen.headers.contains_key("bbv-ask"));
}

#[tokio::test]
async fn node_without_routing_refuses_requests_and_is_not_ready() {
    let fleet = Fleet::start_unpublished(&["z"]).await;
    let answer = fleet.get(0, "/get/1", "id-1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
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
    ];
    for (habit, method, path, status, runs) in cases {
        let fleet = Fleet::start(&["z", "z"]).await;
        for at in 0..20 {
            // The retry budget is a share of earlier requests.
            fleet.get(0, "/get/warm", &format!("warm-{at}")).await;
        }
        let before = fleet.runs();
        fleet.members.iter().for_each(|member| member.upstream.set_behaviour(habit));
        let text = client::request(method, path, "id-1", 3_000, "");
        let answer = client::send(fleet.callers(0), &text).await;
        assert_eq!((answer.status, fleet.runs() - before), (status, runs), "{habit:?} {method}");
    }
}

#[tokio::test]
async fn rejected_non_idempotent_request_runs_on_another_upstream() {
    let fleet = Fleet::start(&["z", "z"]).await;
    for at in 0..20 {
        fleet.get(0, "/get/warm", &format!("warm-{at}")).await;
    }
    fleet.members[0].upstream.set_behaviour(Behaviour::Rejects);
    let before = fleet.members[1].upstream.runs();
    for at in 0..4 {
        let answer = fleet.post(0, "/post/1", &format!("id-{at}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fleet.members[1].upstream.runs() - before, 4);
}

#[tokio::test]
async fn second_response_is_never_forwarded() {
    let fleet = Fleet::start(&["z"]).await;
    for at in 0..20 {
        fleet.members[0].upstream.set_behaviour(if at % 2 == 0 {
            Behaviour::AnswersTwice
        } else {
            Behaviour::Answers
        });
        let answer = fleet.get(0, "/get/1", &format!("id-{at}")).await;
        if answer.status == 200 {
            assert_eq!(answer.body, "hello");
            let id = format!("id-{at}");
            assert_eq!(answer.header("bluebellvale-attempt-id"), Some(id.as_str()));
        }
    }
}

#[tokio::test]
async fn caller_disconnect_cancels_the_request() {
    let fleet = Fleet::start(&["a", "b"]).await;
    for member in &fleet.members {
        *member.upstream.delay.lock() = Duration::from_secs(3);
    }
    // One request runs on the local upstream and one behind another node.
    for (at, zone) in ["a", "b"].iter().enumerate() {
        fleet.store.put(&format!("op/evacuate/{zone}"), &serde_json::json!({}));
        fleet.settle().await;
        let other = &fleet.members[1 - at].upstream;
        let before = other.runs();
        let text = client::request("GET", "/get/1", &format!("id-{at}"), 3_000, "");
        let sent = client::send(fleet.callers(0), &text);
        let left = tokio::time::timeout(Duration::from_millis(500), sent).await;
        assert!(left.is_err(), "the caller disconnects before the response");
        assert_eq!(other.runs() - before, 1);
        until("the upstream sees the cancellation", || {
            other.cut.load(std::sync::atomic::Ordering::Relaxed) == 1
        })
        .await;
        fleet.store.remove(&format!("op/evacuate/{zone}"));
        fleet.settle().await;
    }
}

#[tokio::test]
async fn request_ends_at_the_route_timeout() {
    let fleet = Fleet::start(&["z"]).await;
    fleet.store.put("op/config", &config(2, 0.3));
    fleet.settle().await;
    fleet.members[0].upstream.set_behaviour(Behaviour::Hangs);
    let answer = fleet.post(0, "/post/1", "id-1").await;
    assert_eq!(answer.status, 504);
    assert!(answer.took >= Duration::from_millis(290) && answer.took < Duration::from_secs(2));
    let seen = fleet.members[0].upstream.requests.lock()[0].clone();
    let left: u64 = seen.headers["bluebellvale-deadline-ms"].parse().expect("milliseconds");
    assert!(left <= 300);
}

#[tokio::test]
async fn request_is_refused_after_crashing_two_upstreams() {
    let fleet = Fleet::start(&["z", "z", "z"]).await;
    fleet.members.iter().for_each(|member| member.upstream.set_behaviour(Behaviour::Crashes));
    let mut last = 0;
    for at in 0..8 {
        last = fleet.post(0, "/post/poison", &format!("id-{at}")).await.status;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(last, 503);
    assert!(fleet.runs() <= 3, "{} runs", fleet.runs());
}
