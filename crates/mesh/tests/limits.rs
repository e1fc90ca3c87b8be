//! Limits on callers' connections and request heads from the routing in force.

use std::time::Duration;

use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, limits, route, service};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Starts a fleet of one node with a limit on request heads and an idle timeout.
async fn start_fleet(head_bytes: usize, idle_s: f64) -> Fleet {
    let fleet = Fleet::start(&["z"]).await;
    let routing = json!({"version": 2, "resources": [
        route("get", "idempotent", "s", 5.0), service("s", 35.0), limits(head_bytes, idle_s)]});
    fleet.store.put("op/config", &routing);
    fleet.wait_until_applied().await;
    fleet
}

#[tokio::test]
async fn idle_connection_closes_after_the_timeout_and_not_before() {
    // The head timeout of three seconds is shorter and must not apply.
    let fleet = start_fleet(16_384, 4.0).await;
    let mut stream = TcpStream::connect(fleet.callers(0)).await.expect("connect to the node");
    for id in ["id-1", "id-2"] {
        let text = caller::request("GET", "/get/1", id, 3_000, "");
        stream.write_all(text.as_bytes()).await.expect("write to the open connection");
        assert_eq!(caller::read_response(&mut stream).await.status, 200, "{id}");
        sleep(Duration::from_millis(2_500)).await;
    }
    let mut buffer = [0_u8; 64];
    let closed = timeout(Duration::from_secs(8), stream.read(&mut buffer)).await;
    assert!(closed.is_ok(), "connection is still open long after the idle timeout");
}

/// A URI that is too long got 431 in place of 414 if a read ended just beyond the buffer's size.
#[tokio::test]
async fn uri_that_is_too_long_is_named_so_however_it_arrives() {
    let fleet = start_fleet(16_384, 15.0).await;
    let text = caller::request("GET", &format!("/get/{}", "p".repeat(66_000)), "id-1", 3_000, "");
    for first in [1_000, 65_536, 65_700, 66_000] {
        let mut stream = TcpStream::connect(fleet.callers(0)).await.expect("could not connect");
        stream.set_nodelay(true).expect("could not set an option");
        stream.write_all(&text.as_bytes()[..first]).await.expect("could not send the first part");
        tokio::time::sleep(Duration::from_millis(100)).await;
        // The node may have closed the connection.
        let _ = stream.write_all(&text.as_bytes()[first..]).await;
        assert_eq!(caller::read_response(&mut stream).await.status, 414, "first part {first}");
    }
}

#[tokio::test]
async fn oversized_request_head_is_refused() {
    let fleet = start_fleet(8_192, 15.0).await;
    for (bytes, status) in [(4_000, 200), (12_000, 431)] {
        let text = caller::request("GET", "/get/1", "id-1", 3_000, "");
        let header = format!("X-Long: {}\r\n\r\n", "x".repeat(bytes));
        let text = format!("{}\r\n{header}", text.trim_end());
        let response = caller::send(fleet.callers(0), &text).await;
        assert_eq!(response.status, status, "{bytes} bytes");
    }
}
