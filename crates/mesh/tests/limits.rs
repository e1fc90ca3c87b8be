//! Limits that the routing in force sets for callers.

use std::time::Duration;

use bbv_stand::client;
use bbv_stand::fleet::{Fleet, limits, route, service};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A fleet of one node whose routing allows `head_bytes` in a head and `idle_s` of idling.
async fn fleet(head_bytes: usize, idle_s: f64) -> Fleet {
    let fleet = Fleet::start(&["z"]).await;
    let routing = json!({"version": 2, "resources": [
        route("get", "idempotent", "s", 5.0), service("s", 35.0), limits(head_bytes, idle_s)]});
    fleet.store.put("op/config", &routing);
    fleet.settle().await;
    fleet
}

#[tokio::test]
async fn connection_is_closed_after_the_idle_timeout_and_not_before() {
    // The time for a head is three seconds, and the shorter of both does not apply.
    let fleet = fleet(16_384, 4.0).await;
    let mut stream = TcpStream::connect(fleet.callers(0)).await.expect("the node listens");
    for id in ["id-1", "id-2"] {
        let text = client::request("GET", "/get/1", id, 3_000, "");
        stream.write_all(text.as_bytes()).await.expect("the connection is open");
        assert_eq!(client::read_answer(&mut stream).await.status, 200, "{id}");
        sleep(Duration::from_millis(2_500)).await;
    }
    let mut byte = [0_u8; 64];
    let closed = timeout(Duration::from_secs(8), stream.read(&mut byte)).await;
    assert!(closed.is_ok(), "open long after the idle timeout");
}

#[tokio::test]
async fn larger_head_than_allowed_is_refused() {
    let fleet = fleet(8_192, 15.0).await;
    for (bytes, status) in [(4_000, 200), (12_000, 431)] {
        let text = client::request("GET", "/get/1", "id-1", 3_000, "");
        let field = format!("X-Long: {}\r\n\r\n", "x".repeat(bytes));
        let text = format!("{}\r\n{field}", text.trim_end());
        let answer = client::send(fleet.callers(0), &text).await;
        assert_eq!(answer.status, status, "{bytes} bytes");
    }
}
