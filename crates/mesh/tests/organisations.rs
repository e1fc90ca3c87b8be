//! Tests of keys, their revocation and quotas with real nodes.
//!
//! Keys must end at the node that reads them; a key that was taken away must be refused also by a node that
//! nothing reaches; and a quota holds over all nodes while one of them is dead or cut off.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bbv_mesh::settings::Settings;
use bbv_stand::caller::{self, Response};
use bbv_stand::fleet::{Fleet, config, route, wait_until};
use bbv_stand::proxy::Mode;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::sleep;

/// Time within which a key that was taken away has to be refused.
const REVOCATION: Duration = Duration::from_secs(2);
/// Time in which buckets fill and nodes have proofs.
const SETTLING: Duration = Duration::from_millis(1_500);

fn organisation(name: &str, keys: &[&str], rate: f64) -> Value {
    json!({"resource_type": "tenants", "metadata": {"name": name},
        "spec": {"api_keys": keys, "rate_per_s": rate, "burst": rate}})
}

/// Returns a configuration with the routes `get` and `post`, a keyless route `open`, and organisations.
fn keyed_config(version: u64, organisations: Vec<Value>) -> Value {
    let mut config = config(version, 5.0);
    let resources = config["resources"].as_array_mut().expect("resources are a list");
    let mut open = route("open", "idempotent", "s", 5.0);
    open["spec"]["auth_exempt"] = json!(true);
    resources.push(open);
    resources.extend(organisations);
    config
}

async fn send(fleet: &Fleet, index: usize, path: &str, id: &str, fields: &str) -> Response {
    let text = caller::request("GET", path, id, 3_000, "");
    let text = format!("{}\r\n{fields}\r\n", text.trim_end());
    caller::send(fleet.callers(index), &text).await
}

async fn send_keyed(fleet: &Fleet, index: usize, id: &str, key: &str) -> Response {
    send(fleet, index, "/get/1", id, &format!("Bluebellvale-Key: {key}\r\n")).await
}

/// Starts a fleet in `zones` with the nodes that `starts` names, after `adapt` has changed the settings.
async fn start(
    zones: &[&str],
    starts: &[usize],
    organisations: Vec<Value>,
    adapt: impl Fn(usize, &mut Settings),
) -> Fleet {
    let mut fleet = Fleet::without_nodes(zones).await;
    for (index, member) in fleet.members.iter_mut().enumerate() {
        member.settings.revocation = Some(REVOCATION.as_micros() as u64);
        member.settings.regions =
            zones.iter().map(|zone| ((*zone).to_owned(), "r".to_owned())).collect();
        adapt(index, &mut member.settings);
    }
    for index in starts {
        fleet.start_node(*index).await;
    }
    fleet.publish();
    fleet.store.put("op/config", &keyed_config(2, organisations));
    fleet.wait_until_applied().await;
    for member in &fleet.members {
        let Some(running) = &member.running else { continue };
        wait_until("a node is ready", || running.node.ready()).await;
    }
    sleep(SETTLING).await;
    fleet
}

/// Checks that no upstream got a key, nor an organisation but `expected`.
fn check_fields(fleet: &Fleet, expected: &dyn Fn(&str) -> Option<&'static str>) {
    for member in &fleet.members {
        for request in member.upstream.requests.lock().iter() {
            assert_eq!(request.headers.get("bluebellvale-key"), None, "{}", request.id());
            let organisation = request.headers.get("bluebellvale-tenant-id").map(String::as_str);
            assert_eq!(organisation, expected(request.id()), "{}", request.id());
        }
    }
}

#[tokio::test]
async fn key_ends_at_the_ingress_and_its_organisation_takes_its_place() {
    let fleet =
        start(&["a", "b"], &[0, 1], vec![organisation("o", &["k1", "k2"], 0.0)], |_, _| {}).await;
    let forged = "Bluebellvale-Key: k2\r\nBluebellvale-Tenant-Id: other\r\n";
    for index in 0..20 {
        let id = format!("held-{index}");
        assert_eq!(send(&fleet, index % 2, "/get/1", &id, forged).await.status, 200);
        let id = format!("open-{index}");
        assert_eq!(send(&fleet, index % 2, "/open/1", &id, forged).await.status, 200);
    }
    let unkeyed = send(&fleet, 0, "/open/1", "open-unkeyed", "").await;
    assert_eq!(unkeyed.status, 200);
    assert!(fleet.members.iter().all(|member| member.upstream.runs() > 0), "peers were used");
    check_fields(&fleet, &|id| id.starts_with("held").then_some("o"));
    assert_eq!(send_keyed(&fleet, 0, "unknown", "k3").await.status, 401);
    assert_eq!(send(&fleet, 0, "/get/1", "missing", "").await.status, 401);
    assert_eq!(send(&fleet, 0, "/get/1", "ended.1", "").await.status, 503);
    assert_eq!(fleet.runs(), 41);
}

/// Also where the configuration has no organisations, a caller does not choose what the upstream takes for
/// one.
#[tokio::test]
async fn fields_of_callers_are_dropped_without_organisations() {
    let fleet = Fleet::start(&["a", "a"]).await;
    let forged = "Bluebellvale-Key: k\r\nBluebellvale-Tenant-Id: other\r\n";
    for index in 0..10 {
        let id = format!("id-{index}");
        assert_eq!(send(&fleet, 0, "/get/1", &id, forged).await.status, 200);
    }
    check_fields(&fleet, &|_| None);
}

#[tokio::test]
async fn nodes_in_touch_accept_keys_for_longer_than_a_proof_lasts() {
    let organisations = vec![organisation("o", &["k"], 0.0)];
    let fleet = start(&["a", "a", "a", "b"], &[0, 1, 2, 3], organisations, |_, _| {}).await;
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < REVOCATION * 2 {
        let status = send_keyed(&fleet, number % 4, &format!("id-{number}"), "k").await.status;
        assert_eq!(status, 200, "{:?}", started.elapsed());
        number += 1;
        sleep(Duration::from_millis(20)).await;
    }
}

/// Node 1 has no way to the store or to node 0: its proxies fall silent, and its datagrams go to another
/// port. Its watch is open all the while, which proves nothing.
#[tokio::test]
async fn revoked_key_is_refused_by_a_node_that_nothing_reaches() {
    let mut fleet = Fleet::without_nodes(&["a", "a"]).await;
    for member in &mut fleet.members {
        member.settings.revocation = Some(REVOCATION.as_micros() as u64);
    }
    fleet.members[1].settings.notices.set_port(21_009);
    let stores = fleet.proxy_stores().await;
    let peers = fleet.proxy_peers(1, None).await;
    fleet.start_node(0).await;
    fleet.start_node(1).await;
    fleet.publish();
    fleet.store.put("op/config", &keyed_config(2, vec![organisation("o", &["k"], 0.0)]));
    fleet.wait_until_applied().await;
    sleep(SETTLING).await;
    assert_eq!(send_keyed(&fleet, 0, "before-0", "k").await.status, 200);
    assert_eq!(send_keyed(&fleet, 1, "before-1", "k").await.status, 200);
    *stores[1].mode.lock() = Mode::Silent;
    peers.iter().for_each(|proxy| *proxy.mode.lock() = Mode::Silent);
    fleet.store.put("op/config", &keyed_config(3, vec![organisation("o", &["k4"], 0.0)]));
    sleep(REVOCATION).await;
    assert_eq!(send_keyed(&fleet, 0, "after-0", "k").await.status, 401);
    let refused = send_keyed(&fleet, 1, "after-1", "k").await;
    assert_eq!(refused.status, 503);
    assert!(refused.latency < Duration::from_millis(300), "{:?}", refused.latency);
    assert_eq!(send_keyed(&fleet, 1, "unknown-1", "k9").await.status, 503);
    // Some are sent to the other node, which does not answer.
    let mut served = 0;
    for index in 0..8 {
        let response = send(&fleet, 1, "/open/1", &format!("open-{index}"), "").await;
        served += usize::from(response.status == 200);
    }
    assert!(served > 0, "no keyless request was served");
}

/// Time by which the peer of the next test delays its answers.
const LATE: Duration = Duration::from_millis(600);

/// Answers each question about the routing, [`LATE`] later, as a node that has just heard from the store.
async fn answer_late(socket: UdpSocket) {
    // Mark, variant and id of a question; the answer adds revision 0 and an age of 0.
    const QUESTION: [u8; 3] = [0xff, 0xff, 2];
    const ANSWER: [u8; 3] = [0xff, 0xff, 3];
    let socket = std::sync::Arc::new(socket);
    let mut bytes = [0_u8; 64];
    while let Ok((len, from)) = socket.recv_from(&mut bytes).await {
        let Some(id) = bytes[..len].strip_prefix(&QUESTION) else { continue };
        let answer = [&ANSWER[..], id, &[0, 1, 0]].concat();
        let socket = std::sync::Arc::clone(&socket);
        tokio::spawn(async move {
            sleep(LATE).await;
            socket.send_to(&answer, from).await.expect("could not answer");
        });
    }
}

/// An answer that was held on its way says nothing about the time after the question.
#[tokio::test]
async fn late_answer_does_not_make_knowledge_recent() {
    let mut fleet = Fleet::without_nodes(&["a", "a"]).await;
    fleet.members[0].settings.revocation = Some(REVOCATION.as_micros() as u64);
    let stores = fleet.proxy_stores().await;
    let peer = UdpSocket::bind(fleet.members[1].settings.notices).await.expect("could not bind");
    tokio::spawn(answer_late(peer));
    fleet.start_node(0).await;
    fleet.publish();
    fleet.store.put("op/config", &keyed_config(2, vec![organisation("o", &["k"], 0.0)]));
    fleet.wait_until_applied().await;
    sleep(SETTLING).await;
    *stores[0].mode.lock() = Mode::Silent;
    // What was asked before the silence is older than that from here on.
    sleep(LATE + SETTLING).await;
    let mut answered = 0;
    let mut last = 0.0;
    for _ in 0..60 {
        let page = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
        let metrics = caller::send(fleet.members[0].settings.readiness, page).await.body;
        let line = metrics.lines().find(|line| line.starts_with("bbv_proof_age_seconds "));
        let age = line.and_then(|line| line.split(' ').next_back()?.parse::<f64>().ok());
        let age = age.expect("the age is a metric");
        assert!(age >= LATE.as_secs_f64() * 0.9, "{age}");
        answered += usize::from(age < last);
        last = age;
        sleep(Duration::from_millis(50)).await;
    }
    assert!(answered > 0, "no answer was counted");
}

/// Sends as fast as possible at all `nodes` for `time`; returns the statuses.
async fn press(fleet: &Fleet, nodes: &[usize], time: Duration) -> Vec<u16> {
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed() < time {
        for index in nodes {
            let id = format!("press-{}", statuses.len());
            let response = send_keyed(fleet, *index, &id, "k").await;
            if response.status == 429 {
                let wait = response.header("retry-after").and_then(|text| text.parse().ok());
                assert!(wait.is_some_and(|wait: f64| wait > 0.0 && wait <= 1.0), "{wait:?}");
            }
            statuses.push(response.status);
        }
        sleep(Duration::from_millis(2)).await;
    }
    statuses
}

const RATE: f64 = 30.0;
const PRESS_TIME: Duration = Duration::from_secs(4);

/// Tokens that the buckets of three shares hold beyond the burst.
const ROUNDING: f64 = 6.0;
/// Time by which the last requests may end after [`PRESS_TIME`], with a wide margin.
const OVERTIME_S: f64 = 0.2;

/// Returns how many requests `share` of the quota lets run while nodes are pressed, and how many are
/// expected at least.
fn bounds(share: f64) -> (usize, usize) {
    let time = PRESS_TIME.as_secs_f64();
    // The burst is what the rate brings in one second.
    let most = share * (RATE * (time + OVERTIME_S + 1.0) + ROUNDING);
    (most as usize, (share * RATE * time * 0.8) as usize)
}

fn count(statuses: &[u16], status: u16) -> usize {
    statuses.iter().filter(|other| **other == status).count()
}

#[tokio::test]
async fn quota_holds_over_all_nodes() {
    let organisations = vec![organisation("o", &["k"], RATE)];
    let fleet = start(&["a", "b", "c", "a"], &[0, 1, 2, 3], organisations, |_, _| {}).await;
    let statuses = press(&fleet, &[0, 1, 2, 3], PRESS_TIME).await;
    let (most, least) = bounds(1.0);
    let ran = count(&statuses, 200);
    assert!(ran <= most && ran >= least, "{ran} ran, {least} to {most} expected");
    assert_eq!(fleet.runs(), ran);
    let refused = count(&statuses, 429);
    assert_eq!(refused, statuses.len() - ran, "{ran} ran");
}

/// The granter of zone c is listed and does not run: its share is out of use, the others are granted.
#[tokio::test]
async fn quota_holds_while_a_granter_is_dead() {
    let organisations = vec![organisation("o", &["k"], RATE)];
    let fleet = start(&["a", "b", "c"], &[0, 1], organisations, |_, _| {}).await;
    let statuses = press(&fleet, &[0, 1], PRESS_TIME).await;
    let (most, least) = bounds(2.0 / 3.0);
    let ran = count(&statuses, 200);
    assert!(ran <= most && ran >= least, "{ran} ran, {least} to {most} expected");
}

/// Datagrams of the granter of zone c reach no one, while its store and callers do: it grants itself its own share,
/// the others grant theirs, and all together keep within the quota.
#[tokio::test]
async fn quota_holds_while_a_granter_is_cut_off() {
    let organisations = vec![organisation("o", &["k"], RATE)];
    let apart = |index: usize, settings: &mut Settings| {
        if index == 2 {
            settings.notices.set_port(21_009);
        }
    };
    let fleet = start(&["a", "b", "c"], &[0, 1, 2], organisations, apart).await;
    let statuses = press(&fleet, &[0, 1, 2], PRESS_TIME).await;
    let (most, least) = bounds(1.0);
    let ran = count(&statuses, 200);
    assert!(ran <= most && ran >= least * 2 / 3, "{ran} ran, {least} to {most} expected");
}

/// A node that reaches no granter does not serve an organisation with a quota, and says that it did not
/// run.
#[tokio::test]
async fn request_is_refused_if_no_granter_answers() {
    let organisations = vec![organisation("o", &["k"], RATE)];
    // Node 0 is in no zone of the quota.
    let zones = |index: usize, settings: &mut Settings| {
        if index == 0 {
            settings.regions = [("b".to_owned(), "r".to_owned())].into();
        }
    };
    let fleet = start(&["a", "b"], &[0], organisations, zones).await;
    let refused = send_keyed(&fleet, 0, "id", "k").await;
    assert_eq!(refused.status, 503);
    assert_eq!(fleet.runs(), 0);
}

/// Keys and names may hold characters beyond ASCII.
#[tokio::test]
async fn key_beyond_ascii_is_accepted() {
    let organisations = vec![organisation("o", &["klíč"], 0.0)];
    let fleet = start(&["a"], &[0], organisations, |_, _| {}).await;
    assert_eq!(send_keyed(&fleet, 0, "held", "klíč").await.status, 200);
    assert_eq!(send_keyed(&fleet, 0, "unknown", "klič").await.status, 401);
}

/// Time within which a key has to be refused, in which a node also asks other regions for proofs.
const LONG_REVOCATION: Duration = Duration::from_secs(5);

/// The store refuses all nodes of a region, which then have proofs only from nodes of another region.
#[tokio::test]
async fn keys_are_accepted_in_a_region_that_is_cut_off_from_the_store() {
    let zones = ["a-1", "b-1", "b-2"];
    let regions = |_: usize, settings: &mut Settings| {
        let region = |zone: &str| zone.split('-').next().unwrap_or(zone).to_owned();
        let regions = zones.iter().map(|zone| ((*zone).to_owned(), region(zone)));
        settings.regions = regions.collect();
        settings.revocation = Some(LONG_REVOCATION.as_micros() as u64);
    };
    let fleet = start(&zones, &[0, 1, 2], vec![organisation("o", &["k"], 0.0)], regions).await;
    for member in &fleet.members[1..] {
        member.listener.refuse.store(true, Ordering::Relaxed);
    }
    sleep(LONG_REVOCATION).await;
    for number in 0..40 {
        let status = send_keyed(&fleet, 1 + number % 2, &format!("id-{number}"), "k").await.status;
        assert_eq!(status, 200, "request {number}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Time for which a granter gives no tokens of a share that it has taken over, less a margin.
const TAKEOVER: Duration = Duration::from_millis(700);

/// The node that granted before may go on until it learns of this one.
#[tokio::test]
async fn granter_that_takes_a_share_over_waits() {
    let fleet = start(&["a"], &[0], vec![organisation("p", &["k0"], 0.0)], |_, _| {}).await;
    // A process that has just started takes over from its predecessor at once.
    sleep(Duration::from_millis(2_500)).await;
    fleet.store.put("op/config", &keyed_config(3, vec![organisation("o", &["k"], 1_000.0)]));
    fleet.wait_until_applied().await;
    let began = Instant::now();
    let mut number = 0;
    while send_keyed(&fleet, 0, &format!("id-{number}"), "k").await.status != 200 {
        number += 1;
        assert!(began.elapsed() < TAKEOVER * 3, "no token");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(began.elapsed() > TAKEOVER, "a token after {:?}", began.elapsed());
}

/// A node that may have been replaced as granter, as it hears from no one, grants no tokens. Keys have no limit
/// here, so that only its share is at stake.
#[tokio::test]
async fn granter_without_recent_proof_gives_no_tokens() {
    let mut fleet = Fleet::without_nodes(&["a"]).await;
    let stores = fleet.proxy_stores().await;
    fleet.start_node(0).await;
    fleet.publish();
    fleet.store.put("op/config", &keyed_config(2, vec![organisation("o", &["k"], 100.0)]));
    fleet.wait_until_applied().await;
    sleep(SETTLING).await;
    assert_eq!(send_keyed(&fleet, 0, "before", "k").await.status, 200);
    *stores[0].mode.lock() = Mode::Silent;
    sleep(Duration::from_millis(4_300)).await;
    let refused = send_keyed(&fleet, 0, "after", "k").await;
    assert_eq!((refused.status, refused.header("bbv-reason")), (503, Some("no-granter")));
}

/// A node that knows the routing by its peers alone cannot accept keys, since no datagram reaches it and its
/// upstream is not listed, so that it does not read the store. Callers must not be sent to it.
#[tokio::test]
async fn node_without_proof_is_not_ready() {
    let mut fleet = Fleet::without_nodes(&["a", "a"]).await;
    for member in &mut fleet.members {
        member.settings.revocation = Some(REVOCATION.as_micros() as u64);
    }
    fleet.members[1].settings.notices.set_port(21_009);
    fleet.start_node(0).await;
    fleet.publish_upstream(0, "ready");
    fleet.store.put("op/config", &keyed_config(2, vec![organisation("o", &["k"], 0.0)]));
    fleet.wait_until_applied().await;
    fleet.start_node(1).await;
    let began = Instant::now();
    let mut number = 0;
    while send(&fleet, 1, "/open/1", &format!("open-{number}"), "").await.status != 200 {
        number += 1;
        assert!(began.elapsed() < Duration::from_secs(5), "no keyless request was served");
        sleep(Duration::from_millis(10)).await;
    }
    assert_ne!(fleet.readiness(1).await, 200);
    let refused = send_keyed(&fleet, 1, "early", "k").await;
    assert_eq!((refused.status, refused.header("bbv-reason")), (503, Some("key-unproven")));
    fleet.publish_upstream(1, "ready");
    let running = fleet.members[1].running.as_ref().expect("node is running");
    wait_until("the node is ready", || running.node.ready()).await;
    assert_eq!(send_keyed(&fleet, 1, "late", "k").await.status, 200);
}

/// The quota of an organisation is lifted while the body of its request arrives, as seen also by an ingress that
/// has the older routing: nobody grants that quota any more, and the request must not be refused for that.
#[tokio::test]
async fn request_under_way_is_served_when_its_quota_is_lifted() {
    let fleet = start(&["a"], &[0], vec![organisation("o", &["k"], RATE)], |_, _| {}).await;
    let text = caller::request("POST", "/post/1", "id-1", 3_000, "body");
    let text = text.replacen("\r\n", "\r\nBluebellvale-Key: k\r\n", 1);
    let (first, last) = text.split_at(text.len() - 1);
    let mut stream = TcpStream::connect(fleet.callers(0)).await.expect("could not connect");
    stream.write_all(first.as_bytes()).await.expect("could not write");
    sleep(Duration::from_millis(100)).await;
    fleet.store.put("op/config", &keyed_config(3, vec![organisation("o", &["k"], 0.0)]));
    fleet.wait_until_applied().await;
    stream.write_all(last.as_bytes()).await.expect("could not write");
    let response = caller::read_response(&mut stream).await;
    assert_eq!((response.status, response.header("bbv-reason")), (200, None));
}
