//! Upstreams whose responses have a status that HTTP does not know as a final one: no caller gets such
//! a response, the request counts as one that may have run, and its connection is closed.
//!
//! On other systems an upstream in trouble sent status 000, and callers got it as an answer.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, wait_until};
use bbv_stand::upstream::Behaviour;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Status lines that begin no response, or none that is final.
const ODD: [&str; 25] = [
    "HTTP/1.1 000 None",
    "HTTP/1.1 000",
    "HTTP/1.1 001 Odd",
    "HTTP/1.1 099 Odd",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 102 Processing",
    "HTTP/1.1 103 Early Hints",
    "HTTP/1.1 199 Odd",
    "HTTP/1.1 600 Odd",
    "HTTP/1.1 700 Odd",
    "HTTP/1.1 999 Odd",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1 ",
    "HTTP/1.1",
    "HTTP/2.0 200 OK",
    "200 OK",
    "hello",
    "",
];

/// Status lines of final responses, and their status.
const FINAL: [(&str, u16); 6] = [
    ("HTTP/1.1 200", 200),
    ("HTTP/1.1 200 ", 200),
    ("HTTP/1.0 200 OK", 200),
    ("HTTP/1.1 299 Odd", 299),
    ("HTTP/1.1 404 Not Found", 404),
    ("HTTP/1.1 599 Odd", 599),
];

/// Returns the behaviours of an upstream that responds with `line`: with or without a claim that the
/// request did not run, and keeping the connection or ending it.
fn behaviours(line: &'static str) -> [Behaviour; 4] {
    let flags = [(false, false), (false, true), (true, false), (true, true)];
    flags.map(|(not_run, ends)| Behaviour::StatusLine { line, not_run, ends })
}

/// Checks that requests through node 0 to the only usable upstream, of member `target`, fail and run
/// once, and that their connections are not used again.
async fn check_failure(fleet: &Fleet, target: usize) {
    let upstream = &fleet.members[target].upstream;
    for behaviour in ODD.into_iter().flat_map(behaviours) {
        for (method, path) in [("POST", "/post/1"), ("GET", "/get/1")] {
            upstream.set_behaviour(behaviour);
            let before = fleet.runs();
            let text = caller::request(method, path, "id-1", 3_000, "");
            let response = caller::send(fleet.callers(0), &text).await;
            let found = (response.status, fleet.runs() - before);
            assert_eq!(found, (502, 1), "{behaviour:?} {method}: {response:?}");
        }
    }
    upstream.set_behaviour(Behaviour::Answers);
    assert!(fleet.get(0, "/get/1", "id-2").await.is_complete("id-2"));
    assert_eq!(upstream.reused.load(Ordering::Relaxed), 0, "connections used again");
}

#[tokio::test]
async fn response_with_an_odd_status_is_no_answer() {
    let fleet = Fleet::start(&["z"]).await;
    check_failure(&fleet, 0).await;
}

/// The same behind the gate of another VM.
#[tokio::test]
async fn response_with_an_odd_status_at_another_vm_is_no_answer() {
    let fleet = Fleet::start(&["a", "b"]).await;
    fleet.store.put("op/evacuate/a", &serde_json::json!({}));
    fleet.wait_until_applied().await;
    check_failure(&fleet, 1).await;
}

/// A request that may run twice gets the response of another upstream.
#[tokio::test]
async fn idempotent_request_is_retried_after_an_odd_status() {
    let fleet = Fleet::start(&["z", "z"]).await;
    for index in 0..20 {
        fleet.get(0, "/get/warm", &format!("warm-{index}")).await;
    }
    for (index, behaviour) in ODD.into_iter().flat_map(behaviours).enumerate() {
        let upstream = &fleet.members[index % 2].upstream;
        upstream.set_behaviour(behaviour);
        let before = fleet.runs();
        let id = format!("id-{index}");
        let response = fleet.get(0, "/get/1", &id).await;
        let runs = fleet.runs() - before;
        assert!(response.is_complete(&id) && runs <= 2, "{behaviour:?}: {runs} runs, {response:?}");
        upstream.set_behaviour(Behaviour::Answers);
    }
}

/// A reason is optional, and a status that is not registered is still a status.
#[tokio::test]
async fn final_response_with_an_unusual_line_is_passed_on() {
    let fleet = Fleet::start(&["z"]).await;
    for (line, status) in FINAL {
        let behaviour = Behaviour::StatusLine { line, not_run: false, ends: false };
        fleet.members[0].upstream.set_behaviour(behaviour);
        let response = fleet.post(0, "/post/1", "id-1").await;
        assert_eq!((response.status, response.body.as_str()), (status, "hello"), "{line:?}");
    }
}

/// A health response with an odd status names another instance; if the node believed it, its gate would
/// refuse all requests.
#[tokio::test]
async fn health_response_with_an_odd_status_is_not_believed() {
    let fleet = Fleet::start(&["z"]).await;
    let upstream = &fleet.members[0].upstream;
    for line in ["HTTP/1.1 000 None", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 700 Odd"] {
        let before = upstream.odd_checks.load(Ordering::Relaxed);
        upstream.set_behaviour(Behaviour::OddHealth(line));
        wait_until("the upstream has been checked", || {
            upstream.odd_checks.load(Ordering::Relaxed) > before
        })
        .await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let response = fleet.post(0, "/post/1", "id-1").await;
        assert_eq!(response.status, 200, "{line:?}");
    }
}

/// Answers each request at `addr` like a gate whose upstream has answered, with status line `line`.
async fn serve_as_gate(addr: SocketAddr, line: &'static str) -> JoinHandle<()> {
    let listener = TcpListener::bind(addr).await.expect("could not bind");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0_u8; 4_096];
            // The size of the request does not matter.
            let _ = stream.read(&mut request).await;
            let text = format!(
                "{line}\r\nBluebellvale-Attempt-Id: id-1\r\nBluebellvale-Response-Signature: s\r\n\
                 bbv-reply: answered,0,0,0,0,0,0,9,100,0,0,0,0,10000,0,1,1\r\nContent-Length: 5\r\n\r\nhello"
            );
            // The ingress may have closed the connection.
            let _ = stream.write_all(text.as_bytes()).await;
        }
    })
}

/// An ingress does not pass on an odd status from a gate either.
#[tokio::test]
async fn response_of_a_gate_with_an_odd_status_is_no_answer() {
    let mut fleet = Fleet::without_nodes(&["a", "b"]).await;
    fleet.start_node(0).await;
    fleet.publish();
    fleet.store.put("op/evacuate/a", &serde_json::json!({}));
    fleet.wait_until_applied().await;
    let gate = fleet.members[1].settings.peers;
    let lines = ["HTTP/1.1 200 OK", "HTTP/1.1 000 None", "HTTP/1.1 101 Odd", "HTTP/1.1 700 Odd"];
    for (line, expected) in lines.into_iter().zip([200, 502, 502, 502]) {
        let serving = serve_as_gate(gate, line).await;
        let response = fleet.post(0, "/post/1", "id-1").await;
        assert_eq!(response.status, expected, "{line:?}: {response:?}");
        serving.abort();
        // The task has dropped its listener once it has ended.
        let _ = serving.await;
    }
}
