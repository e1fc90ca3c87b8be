//! Odd entries of another writer in the store: none names an upstream to use, and nodes go on with
//! all others.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bbv_core::view::Topic;
use bbv_core::view::Update;
use bbv_platform::decode;
use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, wait_until};
use serde_json::{Value, json};

/// Depth of nested JSON.
const DEPTH: usize = 200_000;
/// Length of a long value.
const MEGABYTE: usize = 1 << 20;
const ODD_NUMBERS: [&str; 9] =
    ["1e400", "-1e400", "-1", "18446744073709551616", "0.5", "\"4\"", "true", "[]", "NaN"];

/// Returns the text of an entry, in which `field` has the JSON text `value`.
fn entry(addr: &str, field: &str, value: &str) -> String {
    let fields = [
        ("slots", "9"),
        ("born", "1700000000000"),
        ("sequence", "4"),
        ("cold_left_s", "0"),
        ("service", "\"s\""),
        ("zone", "\"z\""),
        ("state", "\"ready\""),
        ("info_more", "0"),
        ("more", "0"),
    ];
    let text = |name: &str| {
        let default = fields.iter().find(|(known, _)| *known == name).map_or("0", |(_, text)| text);
        if name == field { value } else { default }
    };
    format!(
        "{{\"address\": {}, \"born\": {}, \"more\": {}, \"info\": {{\"service\": {}, \"zone\": {}, \
         \"version\": \"v\", \"slots\": {}, \"info_more\": {}}}, \"status\": {{\"state\": {}, \
         \"sequence\": {}, \"cold_left_s\": {}}}}}",
        if field == "address" { value.to_owned() } else { format!("\"{addr}\"") },
        text("born"),
        text("more"),
        text("service"),
        text("zone"),
        text("slots"),
        text("info_more"),
        text("state"),
        text("sequence"),
        text("cold_left_s"),
    )
}

fn nested(open: &str, close: &str) -> String {
    format!("{}0{}", open.repeat(DEPTH), close.repeat(DEPTH))
}

/// Returns values that name no upstream to use.
fn unusable(addr: &str) -> Vec<Vec<u8>> {
    let mut values = Vec::new();
    for field in ["slots", "born", "sequence"] {
        values.extend(ODD_NUMBERS.map(|number| entry(addr, field, number).into_bytes()));
    }
    for number in ["1e400", "-1e400", "\"4\"", "true", "[]", "NaN"] {
        values.push(entry(addr, "cold_left_s", number).into_bytes());
    }
    for deep in [nested("[", "]"), nested("{\"a\":", "}"), "[".repeat(DEPTH)] {
        for field in ["slots", "born", "sequence", "cold_left_s", "service", "state", "address"] {
            values.push(entry(addr, field, &deep).into_bytes());
        }
        values.push(deep.into_bytes());
    }
    for address in ["127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:", "127.0.0.1", "[::1", "", "x:1"]
    {
        values.push(entry(addr, "address", &format!("\"{address}\"")).into_bytes());
    }
    let long = format!("\"{}\"", "x".repeat(MEGABYTE));
    for field in ["address", "service", "zone", "state"] {
        values.push(entry(addr, field, &long).into_bytes());
    }
    values.push(vec![0xff; MEGABYTE]);
    values.push(Vec::new());
    let mut bytes = entry(addr, "service", "\"?\"").into_bytes();
    bytes.iter_mut().filter(|byte| **byte == b'?').for_each(|byte| *byte = 0xff);
    values.push(bytes);
    values
}

/// Returns valid entries with extreme values.
fn extreme(addr: &str) -> Vec<Vec<u8>> {
    let max = u64::MAX.to_string();
    let seconds = ["1e308", "4294967296", "0.0000001"];
    let mut values: Vec<_> =
        seconds.map(|text| entry(addr, "cold_left_s", text).into_bytes()).into();
    for (field, value) in
        [("slots", "0"), ("slots", "4294967295"), ("born", "0"), ("born", &max), ("sequence", &max)]
    {
        values.push(entry(addr, field, value).into_bytes());
    }
    for deep in [nested("[", "]"), nested("{\"a\":", "}"), format!("\"{}\"", "x".repeat(MEGABYTE))]
    {
        values.push(entry(addr, "more", &deep).into_bytes());
        values.push(entry(addr, "info_more", &deep).into_bytes());
    }
    values
}

/// Address at which nothing listens.
fn nowhere() -> String {
    SocketAddr::from(([127, 255, 0, 9], 9)).to_string()
}

#[test]
fn unusable_entry_names_no_upstream() {
    for value in unusable(&nowhere()) {
        let text: String = String::from_utf8_lossy(&value).chars().take(250).collect();
        let update = decode("servers/odd", Some(&value));
        assert_eq!(update, Some(Update::Upstream("odd".into(), None)), "{text}");
    }
    for value in extreme(&nowhere()) {
        let text: String = String::from_utf8_lossy(&value).chars().take(250).collect();
        let update = decode("servers/odd", Some(&value));
        assert!(matches!(update, Some(Update::Upstream(_, Some(_)))), "{text}");
    }
}

/// An id that no header field can hold cannot be named as the expected instance.
#[test]
fn id_that_is_no_header_text_names_no_upstream() {
    let value = entry(&nowhere(), "more", "0");
    for id in ODD_IDS {
        let update = decode(&format!("servers/{id}"), Some(value.as_bytes()));
        assert_eq!(update, Some(Update::Upstream(id.into(), None)), "{id:?}");
    }
}

const ODD_IDS: [&str; 10] =
    ["", " ", "a b", "i-1 ", "a,b", "\u{e9}", "\u{0}", "x\r\nEvil: 1", "\t", "\u{202e}"];

/// Checks that all nodes work and that no task of theirs panicked.
async fn check_nodes(fleet: &Fleet, round: &str) {
    for (index, member) in fleet.members.iter().enumerate() {
        for (method, path) in [("POST", "/post/1"), ("GET", "/get/1")] {
            let id = format!("{round}-{index}-{method}");
            let text = caller::request(method, path, &id, 3_000, "");
            let response = caller::send(fleet.callers(index), &text).await;
            assert!(response.is_complete(&id), "{id}: {response:?}");
        }
        let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
        let metrics = caller::send(member.settings.readiness, text).await.body;
        assert!(metrics.contains("bbv_panics_total 0"), "{round}: a task of node {index} panicked");
    }
}

/// Bytes of entries after which the nodes are waited for, so that one call returns them.
const BATCH_BYTES: usize = 1 << 19;

/// Writes entries that are odd, and waits until the nodes have applied them.
async fn put_odd(fleet: &Fleet) {
    let mut bytes = 0;
    // Requests to an address at which nothing listens would be sent elsewhere.
    let drains = |value: Vec<u8>| String::from_utf8_lossy(&value).replace("ready", "draining");
    let extreme = extreme(&nowhere()).into_iter().map(drains).map(String::into_bytes).collect();
    let values = [("servers/odd", unusable(&nowhere())), ("servers/extreme", extreme)];
    for (key, values) in values {
        for (index, value) in values.iter().enumerate() {
            fleet.store.put_bytes(&format!("{key}-{}", index % 7), value);
            fleet.store.put_bytes(&format!("op/evacuate/odd-{}", index % 7), value);
            bytes += value.len() * 2;
            if bytes > BATCH_BYTES {
                fleet.wait_until_applied().await;
                bytes = 0;
            }
        }
    }
    fleet.wait_until_applied().await;
}

/// One entry ended the nodes, or stopped them from following the store, through a watch, a listing of
/// either kind, and what another node passed on.
#[tokio::test]
async fn odd_entries_leave_nodes_following_the_store() {
    let mut fleet = Fleet::without_nodes(&["z"; 4]).await;
    for index in 0..3 {
        fleet.start_node(index).await;
    }
    fleet.publish();
    fleet.wait_until_applied().await;
    // This node learns all from the others.
    fleet.members[2].listener.refuse.store(true, Ordering::Relaxed);
    put_odd(&fleet).await;
    // The last node starts with a listing, which may be stale.
    fleet.start_node(3).await;
    fleet.wait_until_applied().await;
    let ready =
        |index: usize| fleet.members[index].running.as_ref().is_some_and(|it| it.node.ready());
    wait_until("all nodes are ready", || (0..4).all(ready)).await;
    check_nodes(&fleet, "watched").await;
    fleet.store.put_bytes("servers/odd-9", b"\xff");
    fleet.store.drop_history();
    fleet.wait_until_applied().await;
    check_nodes(&fleet, "listed").await;
    fleet.publish_upstream(0, "draining");
    fleet.wait_until_applied().await;
    let before = fleet.members[0].upstream.runs();
    check_nodes(&fleet, "drained").await;
    assert_eq!(fleet.members[0].upstream.runs(), before);
}

/// Nodes passed entries with names of a megabyte on to each other, until a node could read no more
/// changes from any other.
#[tokio::test]
async fn entries_with_long_names_do_not_cut_off_a_node_that_learns_from_others() {
    let fleet = Fleet::start(&["z"; 3]).await;
    fleet.members[2].listener.refuse.store(true, Ordering::Relaxed);
    let long = format!("\"{}\"", "x".repeat(MEGABYTE));
    let value = entry(&nowhere(), "service", &long).replace("ready", "draining");
    for index in 0..24 {
        fleet.store.put_bytes(&format!("servers/long-{index}"), value.as_bytes());
        let newest = fleet.store.revision();
        let reader = &fleet.members[0].running.as_ref().expect("node is running").node;
        wait_until("a reader has applied the entry", || {
            reader.revision(Topic::Upstreams) >= newest
        })
        .await;
    }
    // The others list the store and have no history left for the node.
    fleet.store.put_bytes("servers/odd", b"");
    fleet.store.drop_history();
    fleet.wait_until_applied().await;
    check_nodes(&fleet, "long").await;
}

/// Entries with odd ids at the address of a good upstream do not take its requests.
#[tokio::test]
async fn odd_ids_at_a_good_address_lose_no_request() {
    let fleet = Fleet::start(&["z", "z"]).await;
    for id in ODD_IDS {
        let value = entry(&fleet.members[1].settings.upstream.to_string(), "born", "0");
        fleet.store.put_bytes(&format!("servers/{id}"), value.as_bytes());
    }
    fleet.wait_until_applied().await;
    for round in 0..10 {
        check_nodes(&fleet, &format!("round-{round}")).await;
    }
}

/// Upstreams with extreme numbers of slots run requests.
#[tokio::test]
async fn extreme_slots_are_survived() {
    for slots in [0, 1, u32::MAX] {
        let fleet = Fleet::start(&["z", "z"]).await;
        fleet.publish_with_slots(slots);
        fleet.wait_until_applied().await;
        for member in &fleet.members {
            *member.upstream.delay.lock() = Duration::from_millis(20);
            member.upstream.cold_ms.store(400, Ordering::Relaxed);
        }
        let mut requests = Vec::new();
        for index in 0..40 {
            let text = caller::request("GET", "/get/1", &format!("id-{index}"), 800, "");
            let callers = fleet.callers(index % 2);
            requests.push(tokio::spawn(async move { caller::send(callers, &text).await.status }));
        }
        for request in requests {
            let status = request.await.expect("caller task panicked");
            assert!([200, 503, 504].contains(&status), "{slots} slots: {status}");
        }
        fleet.members.iter().for_each(|member| member.upstream.cold_ms.store(0, Ordering::Relaxed));
        tokio::time::sleep(Duration::from_millis(700)).await;
        check_nodes(&fleet, &format!("slots-{slots}")).await;
    }
}

/// Returns the values of an evacuation of any form.
fn evacuations() -> [Value; 4] {
    [json!(null), json!({"a": 1e300}), json!("x"), json!([[]])]
}

/// A zone whose name is odd takes no other zone out of service.
#[tokio::test]
async fn odd_zones_leave_other_zones_in_service() {
    let fleet = Fleet::start(&["z", "z"]).await;
    for zone in ["", " ", "z ", "Z", "z/", "z%20", "\u{0}", "\u{e9}", "z\r\n", "\"", "{"] {
        for value in evacuations() {
            fleet.store.put(&format!("op/evacuate/{zone}"), &value);
        }
    }
    fleet.wait_until_applied().await;
    check_nodes(&fleet, "zones").await;
}
