//! Odd keys and large values in the store leave nodes following it.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bbv_core::view::Topic;
use bbv_stand::fleet::{Fleet, wait_until};
use serde_json::json;

/// Ends of keys of other writers, of which some end a page of a listing.
const ODD_KEYS: [&str; 14] = [
    "a b",
    "a\"b",
    "a#b",
    "a%2",
    "a%41",
    "a&after=zzz",
    "a+b",
    "a/b",
    "a=b",
    "a?b",
    "a\r\nb",
    "a\u{0}b",
    "a\u{e9}b",
    "a{b",
];

/// The key after which the next page begins stood in the query as it was. A listing with a space at
/// the end of a page never got further.
#[tokio::test]
async fn listing_goes_on_after_an_odd_key() {
    for place in 0..4 {
        let mut fleet = Fleet::without_nodes(&["z", "z"]).await;
        for index in 0..place {
            fleet.store.put(&format!("servers/a{index}"), &json!(0));
        }
        for key in ODD_KEYS {
            fleet.store.put(&format!("servers/{key}"), &json!(0));
        }
        fleet.publish();
        fleet.start_node(0).await;
        fleet.start_node(1).await;
        fleet.wait_until_applied().await;
        fleet.store.put("servers/a-", &json!(0));
        fleet.store.drop_history();
        fleet.wait_until_applied().await;
        assert_eq!(fleet.get(0, "/get/1", "id-1").await.status, 200);
    }
}

/// More bytes of changes came after one revision than a node reads of one response, and the node asked
/// for them again and again.
#[tokio::test]
async fn large_values_at_once_leave_nodes_following_the_store() {
    let fleet = Fleet::start(&["z", "z"]).await;
    let refuse = |on: bool| {
        fleet.members.iter().for_each(|it| it.listener.refuse.store(on, Ordering::Relaxed));
    };
    refuse(true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let large = "x".repeat(1 << 20);
    for _ in 0..12 {
        fleet.store.put("servers/odd", &json!(large));
    }
    fleet.publish_upstream(1, "draining");
    refuse(false);
    let newest = fleet.store.revision();
    let node = &fleet.members[0].running.as_ref().expect("node is running").node;
    wait_until("the node has applied the changes", || node.revision(Topic::Upstreams) >= newest)
        .await;
}
