//! Callers that keep using their connections until the process at the other end is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bbv_stand::client::{self, Answer};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::ledger::{Entry, Ledger};

/// Time that a caller gives each request.
const DEADLINE: Duration = Duration::from_millis(900);
/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Sends requests to one node, one after another, until `stop`.
pub async fn call(
    node: SocketAddr,
    name: String,
    ledger: Arc<Ledger>,
    stop: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
) {
    let mut kept: Option<TcpStream> = None;
    while !stop.load(Ordering::Relaxed) {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let idempotent = number.is_multiple_of(2);
        let id = format!("{name}-{number}");
        let (method, path) = if idempotent { ("GET", "/get/1") } else { ("POST", "/post/1") };
        let ms = DEADLINE.as_millis() as u64;
        let text = client::request(method, path, &id, ms, if idempotent { "" } else { "body" });
        let answer = exchange(node, &mut kept, &text).await;
        let whole = answer.is_complete(&id);
        ledger.record(id, Entry { idempotent, status: answer.status, whole });
        tokio::time::sleep(PAUSE).await;
    }
}

async fn exchange(node: SocketAddr, kept: &mut Option<TcpStream>, text: &str) -> Answer {
    let mut stream = match kept.take() {
        Some(stream) => stream,
        None => match timeout(DEADLINE, TcpStream::connect(node)).await {
            Ok(Ok(stream)) => stream,
            _ => return Answer::default(),
        },
    };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return Answer::default();
    }
    let answer = timeout(DEADLINE, client::read_answer(&mut stream)).await.unwrap_or_default();
    if answer.status != 0 && answer.header("connection") != Some("close") {
        *kept = Some(stream);
    }
    answer
}
