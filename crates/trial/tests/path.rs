//! Calls from a caller through nodes to an upstream and back, over real sockets.

use bbv_core::catalogue::Catalogue;
use bbv_trial::cluster::Cluster;
use bbv_trial::plan::Pool;
use reqwest::Client;

const CATALOGUE: &str = include_str!("../../../examples/pararrayos.yaml");

fn http_client() -> Client {
    Client::builder().no_proxy().build().expect("a client")
}

async fn start_cluster() -> Cluster {
    let catalogue = Catalogue::parse(CATALOGUE).expect("the example is valid");
    let pools = [
        Pool { service: "inspection-records".into(), endpoints: 1, median: 1_000, sigma: 0.0 },
        Pool { service: "crew-scheduling".into(), endpoints: 1, median: 1_000, sigma: 0.0 },
    ];
    let cluster = Cluster::start(&catalogue, &pools, 1, true).await.expect("a cluster");
    cluster.wait_ready().await.expect("all nodes are ready");
    cluster
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_call_crosses_two_nodes() {
    let cluster = start_cluster().await;
    // The upstream of node 1 runs another service, so node 0 is the gate.
    let url = format!("http://{}/site-history/7?full=1", cluster.nodes[1].caller_addr);
    let response = http_client().get(url).header("x-call", "7").send().await.expect("a response");
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["bbv-outcome"], "answered");
    assert!(response.headers().contains_key("bbv-receipt"));
    assert_eq!(response.text().await.expect("a body"), "call 7");
    let gate = cluster.nodes[0].node.statement();
    assert_eq!(gate.gate.len(), 1);
    assert_eq!(gate.gate[0].attempt.node, cluster.nodes[1].node.id());
    cluster.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_with_ticket_replays_the_answer() {
    let cluster = start_cluster().await;
    let client = http_client();
    let url = format!("http://{}/certificates", cluster.nodes[1].caller_addr);
    let send = |key: Option<String>| {
        let request = client.post(&url).header("x-call", "9").header("x-once", "1").body("rod");
        match key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        }
        .send()
    };
    let first = send(None).await.expect("a response");
    assert_eq!(first.status(), 428);
    assert_eq!(first.headers()["bbv-reason"], "ticket-required");
    let ticket = first.headers()["bbv-ticket"].to_str().expect("a text").to_owned();
    let second = send(Some(ticket.clone())).await.expect("a response");
    assert_eq!(second.status(), 200);
    let receipt = second.headers()["bbv-receipt"].clone();
    let third = send(Some(ticket)).await.expect("a response");
    assert_eq!(third.status(), 200);
    assert_eq!(third.headers()["bbv-receipt"], receipt);
    assert_eq!(cluster.observer.read(|metrics| metrics.runs), 1);
    cluster.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_idempotency_key_is_refused_with_a_valid_ticket() {
    let cluster = start_cluster().await;
    let client = http_client();
    let url = format!("http://{}/certificates", cluster.nodes[0].caller_addr);
    let send = |key: &str| client.post(&url).header("idempotency-key", key).body("rod").send();
    let refused = send("order-77").await.expect("a response");
    assert_eq!(refused.headers()["bbv-outcome"], "not-run");
    assert_eq!(cluster.observer.read(|metrics| metrics.runs), 0);
    let ticket = refused.headers()["bbv-ticket"].to_str().expect("a text").to_owned();
    assert_eq!(send(&ticket).await.expect("a response").status(), 200);
    cluster.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_input_is_refused_with_a_reason() {
    let cluster = start_cluster().await;
    let client = http_client();
    let base = format!("http://{}", cluster.nodes[0].caller_addr);
    let cases = [
        (client.get(format!("{base}/nothing")), 404, "unknown-entry"),
        (
            client.get(format!("{base}/site-history")).header("bbv-deadline-ms", "x"),
            400,
            "malformed",
        ),
        (
            client.post(format!("{base}/certificates")).header("idempotency-key", "mine"),
            400,
            "ticket-unknown",
        ),
        (
            client.post(format!("{base}/site-history")).body(vec![0; 65 * 1024]),
            413,
            "body-too-large",
        ),
        (client.post(format!("{base}/site-history")).body(vec![0; 2 << 20]), 413, "body-too-large"),
    ];
    for (request, status, reason) in cases {
        let response = request.send().await.expect("a response");
        assert_eq!(response.headers()["bbv-outcome"], "not-run");
        assert_eq!(response.status().as_u16(), status);
        assert_eq!(response.headers()["bbv-reason"], reason);
    }
    assert_eq!(cluster.observer.read(|metrics| metrics.runs), 0);
    cluster.stop();
}
