//! Peers without a certificate of the fleet are refused, forged headers are dropped, and the caller
//! library runs an operation once.

use bbv_core::catalogue::Catalogue;
use bbv_core::id::NodeId;
use bbv_node::ports::LinkError;
use bbv_node::quic;
use bbv_trial::certs::Authority;
use bbv_trial::cluster::Cluster;
use bbv_trial::plan::Pool;
use bbv_wire::{PeerRequest, Reply, RequestEnvelope};

const CATALOGUE: &str = include_str!("../../../examples/pararrayos.yaml");

async fn start_cluster() -> Cluster {
    let catalogue = Catalogue::parse(CATALOGUE).expect("the example is valid");
    let service = "inspection-records".to_owned();
    let pools = [Pool { service, endpoints: 2, median: 1_000, sigma: 0.0 }];
    let cluster = Cluster::start(&catalogue, &pools, 1, true).await.expect("a cluster");
    cluster.wait_ready().await.expect("all nodes are ready");
    cluster
}

fn probe() -> RequestEnvelope {
    RequestEnvelope {
        from: NodeId::default(),
        revision: 0,
        stopping: false,
        request: PeerRequest::Probe,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn certificate_of_another_authority_is_refused_and_counted() {
    let cluster = start_cluster().await;
    let bind_addr = "127.0.0.1:0".parse().expect("an address");
    let peer_addr = cluster.nodes[0].peer_addr;
    for trusted in [true, false] {
        let other_authority = Authority::new().expect("an authority");
        let authority = if trusted { &cluster.authority } else { &other_authority };
        let mut identity = authority.issue().expect("a certificate");
        // Both peers trust the authority of the fleet, so that only the node can refuse one.
        identity.ca = cluster.authority.issue().expect("a certificate").ca;
        let link = quic::port(quic::bind(bind_addr, &identity).expect("an endpoint"));
        let reply = link(peer_addr, probe()).await;
        if trusted {
            assert!(matches!(reply, Ok(reply) if reply.reply == Reply::Ack));
        } else {
            assert!(matches!(reply, Err(LinkError::Lost(_) | LinkError::Unsent(_))));
        }
    }
    assert_eq!(cluster.nodes[0].node.metrics().untrusted.get(), 1);
    cluster.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forged_receipt_is_not_returned_to_the_caller() {
    let cluster = start_cluster().await;
    let url = format!("http://{}/site-history/1", cluster.nodes[0].caller_addr);
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    let request = client.get(url).header("bbv-receipt", "forged").header("x-call", "1");
    let response = request.send().await.expect("a response");
    let receipts: Vec<_> = response.headers().get_all("bbv-receipt").iter().collect();
    assert_eq!(receipts.len(), 1);
    assert_ne!(receipts[0], "forged");
    cluster.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_library_runs_a_call_once() {
    let cluster = start_cluster().await;
    let bases: Vec<String> =
        cluster.nodes.iter().map(|node| format!("http://{}", node.caller_addr)).collect();
    let bases: Vec<&str> = bases.iter().map(String::as_str).collect();
    let client = bbv_caller::Client::new(&bases).expect("a client");
    let call = bbv_caller::Call::post_once("/certificates", "rod 7");
    let outcome = client.call(&call).await.expect("an outcome");
    assert!(matches!(outcome.ending, bbv_caller::Ending::Answered { status: 200, .. }));
    assert!(outcome.receipt.is_some());
    assert_eq!(cluster.observer.read(|metrics| metrics.runs), 1);
    let unknown = client.call(&bbv_caller::Call::get("/nothing")).await.expect("an outcome");
    assert_eq!(unknown.ending, bbv_caller::Ending::NotRun { reason: "unknown-entry".into() });
    cluster.stop();
}
