//! Callers that reuse their connections until the process at the other end closes them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bbv_stand::caller::{self, Response};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::checker::{Checker, SentRequest};

/// Deadline that a caller sets for each request.
const DEADLINE: Duration = Duration::from_millis(900);
/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Sends requests to one node, one after another, until `stop` is set.
pub async fn send_requests(
    node: SocketAddr,
    name: String,
    checker: Arc<Checker>,
    stop: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
) {
    let mut connection: Option<TcpStream> = None;
    while !stop.load(Ordering::Relaxed) {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let idempotent = number.is_multiple_of(2);
        let id = format!("{name}-{number}");
        let (method, path) = if idempotent { ("GET", "/get/1") } else { ("POST", "/post/1") };
        let ms = DEADLINE.as_millis() as u64;
        let text = caller::request(method, path, &id, ms, if idempotent { "" } else { "body" });
        let answer = exchange(node, &mut connection, &text).await;
        let complete = answer.is_complete(&id);
        checker.record(id, SentRequest { idempotent, status: answer.status, complete });
        tokio::time::sleep(PAUSE).await;
    }
}

async fn exchange(node: SocketAddr, connection: &mut Option<TcpStream>, text: &str) -> Response {
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => match timeout(DEADLINE, TcpStream::connect(node)).await {
            Ok(Ok(stream)) => stream,
            _ => return Response::default(),
        },
    };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return Response::default();
    }
    let answer = timeout(DEADLINE, caller::read_response(&mut stream)).await.unwrap_or_default();
    if answer.status != 0 && answer.header("connection") != Some("close") {
        *connection = Some(stream);
    }
    answer
}
