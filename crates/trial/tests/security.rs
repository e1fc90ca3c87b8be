//! Peers without a certificate of the fleet, and forged headers, are refused.

use bbv_core::catalogue::Catalogue;
use bbv_core::id::NodeId;
use bbv_node::ports::LinkError;
use bbv_node::quic;
use bbv_trial::certs::Authority;
use bbv_trial::cluster::Cluster;
use bbv_trial::plan::Pool;
use bbv_wire::{PeerRequest, Reply, RequestEnvelope};

const CATALOGUE: &str = include_str!("../../../examples/pararrayos.yaml");

async fn cluster() -> Cluster {
    let catalogue = Catalogue::parse(CATALOGUE).expect("the example is valid");
    let service = "inspection-records".to_owned();
    let pools = [Pool { service, endpoints: 2, median: 1_000, sigma: 0.0 }];
    let cluster = Cluster::start(&catalogue, &pools, 1, true).await.expect("a cluster");
    cluster.ready().await.expect("all nodes serve");
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
async fn peer_of_another_authority_is_refused_and_counted() {
    let cluster = cluster().await;
    let any = "127.0.0.1:0".parse().expect("an address");
    let to = cluster.members[0].peer;
    for trusted in [true, false] {
        let own = Authority::new().expect("an authority");
        let authority = if trusted { &cluster.authority } else { &own };
        let mut identity = authority.issue().expect("a certificate");
        // The stranger trusts the fleet, so that only the fleet's own check can refuse it.
        identity.ca = cluster.authority.issue().expect("a certificate").ca;
        let link = quic::port(quic::bind(any, &identity).expect("an endpoint"));
        let reply = link(to, probe()).await;
        if trusted {
            assert!(matches!(reply, Ok(reply) if reply.reply == Reply::Ack));
        } else {
            assert!(matches!(reply, Err(LinkError::Lost(_) | LinkError::Unsent(_))));
        }
    }
    assert_eq!(cluster.members[0].node.metrics().untrusted.get(), 1);
    cluster.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forged_headers_of_a_node_do_not_reach_the_upstream_or_the_caller() {
    let cluster = cluster().await;
    let url = format!("http://{}/site-history/1", cluster.members[0].callers);
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
    let cluster = cluster().await;
    let bases: Vec<String> =
        cluster.members.iter().map(|member| format!("http://{}", member.callers)).collect();
    let bases: Vec<&str> = bases.iter().map(String::as_str).collect();
    let client = bbv_caller::Client::new(&bases).expect("a client");
    let call = bbv_caller::Call::post_once("/certificates", "rod 7");
    let outcome = client.call(&call).await.expect("an outcome");
    assert!(matches!(outcome.ending, bbv_caller::Ending::Answered { status: 200, .. }));
    assert!(outcome.receipt.is_some());
    assert_eq!(cluster.observer.read(|facts| facts.runs), 1);
    let nothing = client.call(&bbv_caller::Call::get("/nothing")).await.expect("an outcome");
    assert_eq!(nothing.ending, bbv_caller::Ending::NotRun { reason: "unknown-entry".into() });
    cluster.stop();
}
