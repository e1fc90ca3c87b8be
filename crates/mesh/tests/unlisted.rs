//! Tests of nodes whose upstreams are no longer listed, or that reach others from another address.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::Ordering;
use std::time::Duration;

use bbv_core::view::Topic;
use bbv_stand::caller;
use bbv_stand::fleet::Fleet;
use bbv_stand::proxy::{Mode, Proxy};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

/// Time after the last disturbance from which bounds hold.
const SETTLING: Duration = Duration::from_secs(3);
/// Longest interval of heartbeats to an ingress, with a margin.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Number of nodes of the zone, and of those whose entries go.
const NODES: usize = 16;
const REMOVED: usize = 8;

/// Nodes whose entries went at the same time began to wait again for each of them that became a reader, and
/// used upstreams that had left until 3.4 s after the store could be read.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_whose_entries_went_together_hear_of_departures_in_time() {
    let (fleet, proxies) = Fleet::start_with_proxies(&["z"; NODES]).await;
    sleep(Duration::from_millis(1_500)).await;
    let node = |index: usize| {
        let running = fleet.members[index].running.as_ref().expect("the node runs");
        &running.node
    };
    let reader = (0..NODES).find(|index| node(*index).reads_store()).expect("no node reads");
    let removed: Vec<usize> = (1..=REMOVED).map(|offset| (reader + offset) % NODES).collect();
    fleet.store.muted.store(true, Ordering::Relaxed);
    for index in &removed {
        fleet.store.remove(&format!("servers/i-{index}"));
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_millis(600)).await;
    fleet.store.drop_history();
    // A call takes longer than the interval at which heartbeats are due.
    proxies.iter().for_each(|proxy| *proxy.mode.lock() = Mode::Delay);
    proxies.iter().for_each(Proxy::reset_open);
    fleet.store.muted.store(false, Ordering::Relaxed);
    sleep(SETTLING).await;
    let newest = fleet.store.newest("servers/");
    let known = removed.iter().map(|index| node(*index).revision(Topic::Upstreams));
    let known: Vec<u64> = known.collect();
    assert!(known.iter().all(|revision| *revision >= newest), "{known:?}, newest {newest}");
}

/// An ingress whose connections come from another address than its own got no notices.
#[tokio::test]
async fn ingress_gets_notices_at_the_address_that_it_names() {
    let fleet = Fleet::start(&["z"]).await;
    let settings = &fleet.members[0].settings;
    let IpAddr::V4(gate) = settings.peers.ip() else { panic!("the address is not IPv4") };
    let [first, second, third, _] = gate.octets();
    let ingress = Ipv4Addr::new(first, second, third, 250);
    let socket = UdpSocket::bind((ingress, settings.notices.port())).await.expect("could not bind");
    let field = format!("{ingress},0,0,900000,900000,1,0,100,50000,0,7,i-0");
    let text = caller::request("GET", "/get/1", "id-1", 900, "");
    let text = format!("{}\r\nbbv-ask: {field}\r\n\r\n", text.trim_end());
    assert_eq!(caller::send(settings.peers, &text).await.status, 200);
    let mut bytes = [0_u8; 1_400];
    let received = timeout(HEARTBEAT, socket.recv_from(&mut bytes)).await;
    let (_, from) = received.expect("no notice in time").expect("could not receive");
    assert_eq!(from.ip(), settings.notices.ip());
}
