//! Tests how nodes learn of changes to the fleet, also during faults of the store, and how they
//! stop.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bbv_core::view::Topic;
use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, config, wait_until};
use bbv_stand::proxy::Proxy;
use tokio::net::UdpSocket;

/// Outage of the store in which entries of upstreams can expire.
const OUTAGE: Duration = Duration::from_millis(3_500);
/// Longer than upstreams may take to register again after an outage.
const REGISTRATION: Duration = Duration::from_millis(3_000);

#[tokio::test]
async fn draining_upstream_gets_no_request() {
    let fleet = Fleet::start(&["z", "z"]).await;
    fleet.publish_upstream(0, "draining");
    fleet.wait_until_applied().await;
    for index in 0..10 {
        assert_eq!(fleet.get(0, "/get/1", &format!("id-{index}")).await.status, 200);
    }
    assert_eq!(fleet.members[0].upstream.runs(), 0);
}

#[tokio::test]
async fn evacuated_zone_gets_no_request_until_restored() {
    let fleet = Fleet::start(&["a", "b"]).await;
    fleet.store.put("op/evacuate/a", &serde_json::json!({}));
    fleet.wait_until_applied().await;
    for index in 0..10 {
        assert_eq!(fleet.get(0, "/get/1", &format!("id-{index}")).await.status, 200);
    }
    assert_eq!(fleet.members[0].upstream.runs(), 0);
    fleet.store.remove("op/evacuate/a");
    fleet.wait_until_applied().await;
    for index in 0..10 {
        assert_eq!(fleet.get(0, "/get/1", &format!("back-{index}")).await.status, 200);
    }
    assert!(fleet.members[0].upstream.runs() > 0);
}

#[tokio::test]
async fn node_refused_by_the_store_learns_changes_from_peers() {
    let fleet = Fleet::start(&["z", "z"]).await;
    fleet.members[0].listener.refuse.store(true, Ordering::Relaxed);
    fleet.store.put("op/config", &config(7, 1.0));
    fleet.wait_until_applied().await;
}

#[tokio::test]
async fn older_and_malformed_items_are_ignored() {
    let fleet = Fleet::start(&["z"]).await;
    fleet.store.put("op/config", &config(9, 5.0));
    fleet.store.put("op/config", &serde_json::json!({"version": 4, "resources": []}));
    fleet.store.put_bytes("op/config", b"{\"version\": 30, \"resources\": [{");
    fleet.store.put_bytes("servers/i-9", b"\xff\xfe");
    fleet
        .store
        .put("servers/i-8", &serde_json::json!({"address": 7, "info": [], "status": "ready"}));
    fleet.wait_until_applied().await;
    assert_eq!(fleet.get(0, "/get/1", "id-1").await.status, 200);
}

#[tokio::test]
async fn store_is_listed_again_after_its_history_is_gone() {
    let fleet = Fleet::start(&["z", "z"]).await;
    fleet.store.remove("servers/i-0");
    fleet.store.drop_history();
    fleet.wait_until_applied().await;
    fleet.publish_upstream(1, "ready");
    fleet.wait_until_applied().await;
    for index in 0..6 {
        assert_eq!(fleet.get(1, "/get/1", &format!("id-{index}")).await.status, 200);
    }
    assert_eq!(fleet.members[0].upstream.runs(), 0);
}

/// An upstream that is removed long after an outage of the store gets no more requests, even if
/// nothing changed between the end of the outage and the removal.
#[tokio::test]
async fn past_outage_does_not_keep_removed_upstreams() {
    let fleet = Fleet::start(&["z", "z"]).await;
    let refuse = &fleet.members[0].listener.refuse;
    refuse.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(700)).await;
    refuse.store(false, Ordering::Relaxed);
    // Longer than expired upstreams are kept plus the backoff between calls.
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    fleet.store.remove("servers/i-1");
    fleet.wait_until_applied().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = fleet.members[1].upstream.runs();
    for index in 0..10 {
        let response = fleet.get(index % 2, "/get/1", &format!("id-{index}")).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(fleet.members[1].upstream.runs(), before);
}

/// A gate refuses requests for a removed upstream from ingresses with an outdated view.
#[tokio::test]
async fn gate_refuses_requests_to_a_removed_upstream() {
    let fleet = Fleet::start(&["z", "z"]).await;
    // The store refuses the ingress, which therefore keeps the upstreams it knows.
    fleet.members[0].listener.refuse.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.remove("servers/i-1");
    let gate = fleet.members[1].running.as_ref().expect("node is running");
    let latest = fleet.store.revision();
    wait_until("the gate applies the removal", || gate.node.revision(Topic::Upstreams) >= latest)
        .await;
    let before = fleet.members[1].upstream.runs();
    for index in 0..10 {
        fleet.get(0, "/get/1", &format!("id-{index}")).await;
    }
    assert_eq!(fleet.members[1].upstream.runs(), before);
}

/// A node that stops finishes requests in flight from other nodes.
#[tokio::test]
async fn stopping_node_finishes_requests_of_peers() {
    let mut fleet = Fleet::start(&["a", "b"]).await;
    *fleet.members[1].upstream.delay.lock() = Duration::from_millis(3_500);
    fleet.store.put("op/evacuate/a", &serde_json::json!({}));
    fleet.wait_until_applied().await;
    let text = caller::request("POST", "/post/1", "id-1", 4_500, "body");
    let callers = fleet.callers(0);
    let response = tokio::spawn(async move { caller::send(callers, &text).await });
    wait_until("the request is running", || fleet.members[1].upstream.runs() == 1).await;
    let running = fleet.members[1].running.take().expect("node is running");
    let started = Instant::now();
    running.stop().await;
    assert!(
        started.elapsed() >= Duration::from_millis(3_000),
        "the node stopped before the request finished"
    );
    assert_eq!(response.await.expect("caller task panicked").status, 200);
}

/// A node that lost the store and then stopped being a reader must not keep the outage open
/// until it is a reader again; otherwise it would keep sending requests to a removed upstream.
#[tokio::test]
async fn outage_ends_for_a_node_that_is_no_longer_a_reader() {
    let fleet = Fleet::start(&["z", "z", "z"]).await;
    let reads = |index: usize| {
        fleet.members[index].running.as_ref().is_some_and(|it| it.node.reads_store())
    };
    let refuse =
        |index: usize, on: bool| fleet.members[index].listener.refuse.store(on, Ordering::Relaxed);
    let weight = |index: &usize| match fleet.members[*index].ip {
        std::net::IpAddr::V4(ip) => bbv_core::rendezvous::weight(b"z", u64::from(u32::from(ip))),
        std::net::IpAddr::V6(_) => 0,
    };
    let mut ranked = [0, 1, 2];
    ranked.sort_by_key(weight);
    let [last, first, second] = ranked;
    (0..3).for_each(|index| refuse(index, true));
    // Long enough for each node to call the store.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    refuse(first, false);
    refuse(second, false);
    wait_until("the two nodes with the highest weight are readers", || {
        reads(first) && reads(second)
    })
    .await;
    // Longer than the backoff of the last node between two calls.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    refuse(last, false);
    refuse(first, true);
    refuse(second, true);
    wait_until("the last node is a reader", || reads(last)).await;
    let removed = first;
    fleet.store.remove(&format!("servers/i-{removed}"));
    let latest = fleet.store.revision();
    let node = &fleet.members[last].running.as_ref().expect("node is running").node;
    wait_until("the last node applies the removal", || node.revision(Topic::Upstreams) >= latest)
        .await;
    let before = fleet.members[removed].upstream.runs();
    for index in 0..20 {
        fleet.get(last, "/get/1", &format!("id-{index}")).await;
    }
    assert_eq!(fleet.members[removed].upstream.runs(), before);
}

/// A node starts after an upstream has left, while cheap listings still show it. The node serves
/// callers only once the store or a peer has told it of that.
#[tokio::test]
async fn starting_node_does_not_trust_a_stale_listing() {
    for peers in [0, 2] {
        let zones = vec!["z"; peers + 2];
        let mut fleet = Fleet::without_nodes(&zones).await;
        for index in 2..zones.len() {
            fleet.start_node(index).await;
        }
        fleet.publish();
        fleet.store.freeze_stale();
        fleet.store.remove("servers/i-1");
        let latest = fleet.store.revision();
        fleet.wait_until_applied().await;
        fleet.start_node(0).await;
        let node = &fleet.members[0].running.as_ref().expect("node is running").node;
        wait_until("the node is ready", || {
            assert!(
                !node.ready() || node.revision(Topic::Upstreams) >= latest,
                "ready with {peers} peers"
            );
            node.ready()
        })
        .await;
        assert_eq!(fleet.get(0, "/get/1", "id-1").await.status, 200);
        assert_eq!(fleet.members[1].upstream.runs(), 0);
    }
}

/// All nodes of a zone start at once and learn the fleet with few calls that the store answers
/// from its newest state.
#[tokio::test]
async fn starting_zone_reads_the_store_through_few_nodes() {
    let fleet = Fleet::start(&["z"; 16]).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let calls = fleet.store.calls.load(Ordering::Relaxed);
    assert!(calls <= 16, "{calls} calls of 16 nodes");
    let readers = fleet.members.iter().filter_map(|member| member.running.as_ref());
    assert_eq!(readers.filter(|running| running.node.reads_store()).count(), 1);
}

/// Returns a notice that announces revision 2^28 - 1 of `topic`, which does not exist; its other
/// values are those of an idle node.
fn wrong_notice(topic: Topic) -> Vec<u8> {
    let (wrong, known) = (&[0xff, 0xff, 0xff, 0x7f][..], &[0][..]);
    let revisions = match topic {
        Topic::Upstreams => [wrong, known],
        Topic::Control => [known, wrong],
    };
    // Room for all ranks: 10,000 as a varint, and no lack.
    let room = [0x90, 0x4e, 0];
    let (load, crash, no_ages) = ([0, 0, 9, 100, 0, 0, 0, 0], [0], [0, 0, 0]);
    [&[0, 0, 0][..], &revisions.concat(), &load, &room, &crash, &no_ages].concat()
}

/// Returns the sum of the metrics of member `index` whose lines start with `name`.
async fn metric(fleet: &Fleet, index: usize, name: &str) -> f64 {
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let metrics = caller::send(fleet.members[index].settings.readiness, text).await.body;
    let lines = metrics.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Starts six nodes and returns one that does not read the store.
async fn start_with_follower() -> (Fleet, usize) {
    let fleet = Fleet::start(&["z"; 6]).await;
    // The first versions end watches that began while more nodes read the store.
    for version in 2..6 {
        fleet.store.put("op/config", &config(version, 5.0));
        fleet.wait_until_applied().await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let reads = |index: &usize| {
        let running = fleet.members[*index].running.as_ref().expect("the node runs");
        running.node.reads_store()
    };
    let index = (0..6).find(|index| !reads(index)).expect("not all nodes read the store");
    (fleet, index)
}

/// Sends wrong notices of `topic` to member `index` for `period`.
async fn send_wrong_notices(fleet: &Fleet, index: usize, topic: Topic, period: Duration) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("could not bind");
    let started = Instant::now();
    while started.elapsed() < period {
        let sent =
            socket.send_to(&wrong_notice(topic), fleet.members[index].settings.notices).await;
        sent.expect("could not send a notice");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// A node that could not get what its peers announced never read the store; one that is told of a
/// revision that does not exist must not read it time and again.
#[tokio::test]
async fn node_that_cannot_get_an_announced_revision_reads_the_store_once() {
    let (fleet, index) = start_with_follower().await;
    for topic in Topic::ALL {
        let before = metric(&fleet, index, "bbv_store_calls_total").await;
        send_wrong_notices(&fleet, index, topic, Duration::from_secs(4)).await;
        assert_eq!(metric(&fleet, index, "bbv_store_calls_total").await - before, 1.0);
    }
}

/// A failed read of a node that reads only because it is behind counted as an outage of the store, after
/// which removed upstreams stay in use for a while.
#[tokio::test]
async fn failed_read_of_a_node_that_is_behind_keeps_no_removed_upstream() {
    let (fleet, index) = start_with_follower().await;
    let removed = (index + 1) % 6;
    fleet.members[index].listener.refuse.store(true, Ordering::Relaxed);
    send_wrong_notices(&fleet, index, Topic::Upstreams, Duration::from_millis(1_800)).await;
    fleet.members[index].listener.refuse.store(false, Ordering::Relaxed);
    send_wrong_notices(&fleet, index, Topic::Upstreams, Duration::from_millis(1_200)).await;
    for other in (0..6).filter(|other| *other != removed) {
        fleet.publish_upstream(other, "draining");
    }
    fleet.store.remove(&format!("servers/i-{removed}"));
    fleet.wait_until_applied().await;
    for number in 0..10 {
        assert_eq!(fleet.get(index, "/get/1", &format!("id-{number}")).await.status, 503);
    }
    let refused = "bbv_admitted_total{ended=\"closed\"}";
    assert_eq!(metric(&fleet, removed, refused).await, 0.0, "requests for a removed upstream");
}

/// A node that was fetching a newer routing denied requests for routes that only that routing has.
#[tokio::test]
async fn node_that_knows_of_a_newer_routing_does_not_deny_a_request() {
    let (fleet, index) = start_with_follower().await;
    assert_eq!(fleet.get(index, "/none/1", "id-before").await.status, 404);
    send_wrong_notices(&fleet, index, Topic::Control, Duration::from_millis(300)).await;
    assert_eq!(fleet.get(index, "/none/1", "id-behind").await.status, 503);
    assert_eq!(fleet.get(index, "/get/1", "id-known").await.status, 200);
    // The store does not know the announced revision.
    send_wrong_notices(&fleet, index, Topic::Control, Duration::from_secs(2)).await;
    assert_eq!(fleet.get(index, "/none/1", "id-after").await.status, 404);
}

/// Nodes that got a snapshot from a reader used upstreams for good that the reader only kept until they
/// would have registered again.
#[tokio::test]
async fn snapshot_of_a_peer_keeps_no_removed_upstream_for_good() {
    let fleet = Fleet::start(&["z"; 6]).await;
    let refuse_all = |refuse: bool| {
        fleet
            .members
            .iter()
            .for_each(|member| member.listener.refuse.store(refuse, Ordering::Relaxed));
    };
    refuse_all(true);
    tokio::time::sleep(OUTAGE).await;
    fleet.store.remove("servers/i-1");
    fleet.store.remove("servers/i-3");
    fleet.store.drop_history();
    refuse_all(false);
    fleet.wait_until_applied().await;
    tokio::time::sleep(REGISTRATION).await;
    let before = [1, 3].map(|index: usize| fleet.members[index].upstream.runs());
    for number in 0..60 {
        fleet.get(number % 6, "/get/1", &format!("id-{number}")).await;
    }
    let after = [1, 3].map(|index: usize| fleet.members[index].upstream.runs());
    assert_eq!(before, after, "requests for removed upstreams");
}

/// Removes the entry of one upstream while connections to the store go silent, and checks that its node
/// gets each routing that follows in time.
async fn check_node_without_an_entry(removed: usize) {
    let (fleet, proxies) = Fleet::start_with_proxies(&["z", "z"]).await;
    // Each fleet is in another phase of its watches.
    tokio::time::sleep(Duration::from_millis(800 + 250 * removed as u64)).await;
    proxies.iter().for_each(Proxy::silence_open);
    fleet.store.remove(&format!("servers/i-{}", removed % 2));
    tokio::time::sleep(Duration::from_secs(3)).await;
    for version in 2..4 {
        let name = format!("added-{version}");
        fleet.store.put("op/config", &fleet.config_with(version, &name));
        tokio::time::sleep(Duration::from_secs(2)).await;
        let response = fleet.get(removed % 2, &format!("/{name}/1"), "id-1").await;
        assert_eq!(response.status, 200, "version {version} in fleet {removed}");
    }
}

/// A node whose upstream's entry was removed while it waited for changes of the routing neither pulled nor
/// read that any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn node_without_an_entry_follows_the_routing() {
    let mut checks = tokio::task::JoinSet::new();
    (0..8).for_each(|removed| drop(checks.spawn(check_node_without_an_entry(removed))));
    checks.join_all().await;
}
