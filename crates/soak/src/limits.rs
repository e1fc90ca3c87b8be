//! Checks that a connection opened before a larger limit on heads was published follows it.

use bbv_stand::caller;
use bbv_stand::fleet::{self, Fleet};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::checker::Checker;

/// Limit on heads that [`raise`] sets.
const RAISED_BYTES: usize = 32_768;
/// Value of a header field with which a head keeps to the raised limit but not to the one before.
const VALUE_BYTES: usize = 24_576;
/// Idle timeout of callers' connections, in seconds.
const IDLE_S: f64 = 15.0;

/// Sets the raised limit in a configuration.
pub fn raise(config: &mut Value) {
    let resources = config["resources"].as_array_mut().into_iter().flatten();
    for resource in resources.filter(|resource| resource["resource_type"] == "limits") {
        *resource = fleet::limits(RAISED_BYTES, IDLE_S);
    }
}

/// Opens a connection to each node and sends a request on it, so that the node has accepted it.
pub async fn open(fleet: &Fleet) -> Vec<Option<TcpStream>> {
    let mut connections = Vec::new();
    for index in 0..fleet.members.len() {
        let mut connection = TcpStream::connect(fleet.callers(index)).await.ok();
        if let Some(stream) = &mut connection {
            exchange(stream, &caller::request("GET", "/get/1", "probe", 900, "")).await;
        }
        connections.push(connection);
    }
    connections
}

/// Checks that no node denies a head within the raised limit on its connection.
pub async fn check(connections: Vec<Option<TcpStream>>, checker: &Checker) {
    let text = caller::request("GET", "/get/1", "probe", 900, "");
    let field = format!("\r\nX-Field: {}\r\n\r\n", "v".repeat(VALUE_BYTES));
    let text = text.replace("\r\n\r\n", &field);
    for (index, connection) in connections.into_iter().enumerate() {
        let Some(mut stream) = connection else { continue };
        let answer = exchange(&mut stream, &text).await;
        checker.check_denied(index, "head within the raised limit", &answer);
    }
}

async fn exchange(stream: &mut TcpStream, text: &str) -> caller::Response {
    // A node that answers before it has read all may close the connection.
    let _ = stream.write_all(text.as_bytes()).await;
    caller::read_response(stream).await
}
