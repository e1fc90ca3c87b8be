//! Tests that the checks of `bbv-soak` detect violations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bbv_soak::bursts::{self, Action, Step};
use bbv_soak::callers::{Caller, Habit};
use bbv_soak::checker::Checker;
use bbv_soak::cold;
use bbv_soak::faults::Fault;
use bbv_soak::request;
use bbv_soak::versions::{VersionMonitor, version_route};
use bbv_stand::upstream::{ReceivedRequest, Upstream};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers 200 on the route of the version in force, and 404 on any other.
async fn serve(listener: TcpListener, in_force: Arc<AtomicU64>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut bytes = [0_u8; 1_024];
        let len = stream.read(&mut bytes).await.expect("could not read the request");
        let path = format!("GET /{}/1 ", version_route(in_force.load(Ordering::SeqCst)));
        let found = String::from_utf8_lossy(&bytes[..len]).starts_with(&path);
        let status = if found { "200 OK" } else { "404 Not Found" };
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await.expect("could not write the answer");
    }
}

/// Returns the violations found at a node where each version is in force for a while, with a
/// restart before the last one if `restarted`.
async fn monitor(versions: [u64; 3], restarted: bool) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind a port");
    let node = listener.local_addr().expect("could not get the local address");
    let in_force = Arc::new(AtomicU64::new(versions[0]));
    let (newest, generation) = (Arc::new(AtomicU64::new(versions[0])), Arc::new(AtomicU64::new(0)));
    let (stop, checker) = (Arc::new(AtomicBool::new(false)), Arc::new(Checker::default()));
    tokio::spawn(serve(listener, Arc::clone(&in_force)));
    let monitor = VersionMonitor {
        node,
        newest: Arc::clone(&newest),
        generation: Arc::clone(&generation),
        stop: Arc::clone(&stop),
    };
    let task = tokio::spawn(monitor.run("node".to_owned(), Arc::clone(&checker)));
    for (index, version) in versions.into_iter().enumerate() {
        if restarted && index == 2 {
            generation.fetch_add(1, Ordering::SeqCst);
        }
        in_force.store(version, Ordering::SeqCst);
        newest.fetch_max(version, Ordering::SeqCst);
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    stop.store(true, Ordering::SeqCst);
    task.await.expect("could not join the version monitor");
    checker.check(&[])
}

#[tokio::test]
async fn return_to_older_routing_is_detected() {
    assert!(monitor([1, 4, 6], false).await.is_empty(), "versions only increase");
    assert!(!monitor([1, 4, 1], false).await.is_empty(), "returns to an older version");
    assert!(monitor([1, 4, 1], true).await.is_empty(), "restarted before the older version");
}

#[tokio::test]
async fn overload_of_cold_upstream_is_detected() {
    for (requests, violations) in [(57, 0), (58, 1)] {
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let upstream = Upstream::start("i", addr).await;
        upstream.turn_cold(Duration::from_secs(3));
        let at = |number: u64| Duration::from_millis(1_000 + number * 10);
        let runs = (0..requests)
            .map(|number| ReceivedRequest { at: at(number), ..ReceivedRequest::default() });
        upstream.requests.lock().extend(runs);
        assert_eq!(cold::overloads(&upstream).len(), violations, "{requests} requests");
    }
}

/// Answers each connection with `head` and an empty body.
async fn answer_all(listener: TcpListener, head: String) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut bytes = [0_u8; 1_024];
        let len = stream.read(&mut bytes).await.expect("could not read the request");
        assert!(len > 0, "the caller closed the connection");
        let text = format!("{head}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await.expect("could not write the answer");
    }
}

/// Returns the violations that a caller finds at a node that answers with `head`.
async fn violations_of(head: &str) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind a port");
    let addr = listener.local_addr().expect("could not get the local address");
    tokio::spawn(answer_all(listener, format!("HTTP/1.1 {head}")));
    let (stop, checker) = (Arc::new(AtomicBool::new(false)), Arc::new(Checker::default()));
    let caller = Caller {
        addr,
        node: 3,
        name: "c3.0".to_owned(),
        checker: Arc::clone(&checker),
        stop: Arc::clone(&stop),
        next: Arc::default(),
        habit: Habit::Closes,
        rng: SmallRng::seed_from_u64(1),
    };
    let task = tokio::spawn(caller.run());
    while checker.counts().0 == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    stop.store(true, Ordering::SeqCst);
    task.await.expect("could not join the caller");
    checker.check(&[])
}

/// A node with an incomplete view of its configuration, or that takes a part of a request for the
/// whole, ends requests with a status that blames the caller, who doesn't send them again.
#[tokio::test]
async fn denied_requests_are_detected() {
    let found = violations_of("404 Not Found\r\nBbv-Reason: no-route").await;
    assert_eq!(found[0], "c3.0-0: node 3 denied it: 404, reason no-route");
    for status in ["300 Multiple Choices", "400 Bad Request", "431 Too Large", "499 Other"] {
        assert!(!violations_of(status).await.is_empty(), "{status} is a denial");
    }
    for status in ["408 Timeout", "421 Misdirected", "429 Too Many", "503 Unavailable"] {
        assert!(violations_of(status).await.is_empty(), "{status} is allowed");
    }
    let signed = "404 Not Found\r\nBluebellvale-Response-Signature: s";
    assert!(violations_of(signed).await.is_empty(), "the upstream's own status");
}

/// Requests of varying form are only proper within the published limits, of which the first is a
/// head of 16,384 bytes.
#[test]
fn drawn_requests_keep_to_the_limits() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut largest = 0;
    for method in ["GET", "POST"].repeat(500) {
        let start = format!("{method} /x/1 HTTP/1.1\r\nHost: a.example\r\n");
        let text = request::draw(&mut rng, start);
        let (head, body) = text.split_once("\r\n\r\n").expect("the head has no end");
        assert!(head.lines().count() <= 501, "more than 500 header fields");
        assert!(body.is_empty() == (method == "GET"));
        largest = largest.max(head.len() + 4);
        assert_eq!(request::cut(&mut rng, &text).concat(), text.as_bytes());
    }
    assert_eq!(largest, 16_384);
}

/// A pause or refusal that a burst starts and never ends would hide a node from the rest of a run.
#[test]
fn bursts_end_what_they_start() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut most_nodes, mut most_versions) = (0, 0);
    for _ in 0..500 {
        let start = Duration::from_secs(3);
        let steps = bursts::draw(&mut rng, 5, start);
        assert!(steps.iter().all(|step| step.at >= start));
        let count =
            |wanted: fn(&Action) -> bool| steps.iter().filter(|step| wanted(&step.action)).count();
        let pauses = |node| {
            let of_node = |step: &&Step| matches!(step.action, Action::Inject(index, Fault::Pause) if index == node);
            steps.iter().filter(of_node).count()
        };
        assert!((0..5).all(|node| pauses(node) % 2 == 0));
        let refusals = count(|action| matches!(action, Action::Inject(_, Fault::Refuse(true))));
        let ends = count(|action| matches!(action, Action::Inject(_, Fault::Refuse(false))));
        assert_eq!(refusals, ends);
        let kills = count(|action| matches!(action, Action::Inject(_, Fault::Kill)));
        most_nodes = most_nodes.max(kills);
        most_versions = most_versions.max(count(|action| matches!(action, Action::Publish)));
    }
    assert!(most_nodes >= 5 && most_versions >= 5, "{most_nodes} kills, {most_versions} versions");
}
