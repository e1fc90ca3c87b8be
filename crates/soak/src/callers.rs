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

/// Caller of one node.
pub struct Caller {
    /// Address of the node for callers.
    pub addr: SocketAddr,
    /// Number of the node.
    pub node: usize,
    /// Start of the ids of its requests.
    pub name: String,
    /// Collects its requests.
    pub checker: Arc<Checker>,
    /// Whether to end.
    pub stop: Arc<AtomicBool>,
    /// Number of the next request of all callers.
    pub next: Arc<AtomicU64>,
}

impl Caller {
    /// Sends requests, one after another, until `stop` is set.
    pub async fn run(self) {
        let mut connection: Option<TcpStream> = None;
        while !self.stop.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let idempotent = number.is_multiple_of(2);
            let id = format!("{}-{number}", self.name);
            let (method, path) = if idempotent { ("GET", "/get/1") } else { ("POST", "/post/1") };
            let ms = DEADLINE.as_millis() as u64;
            let text = caller::request(method, path, &id, ms, if idempotent { "" } else { "body" });
            let answer = exchange(self.addr, &mut connection, &text).await;
            self.checker.check_denied(self.node, &id, &answer);
            let complete = answer.is_complete(&id);
            self.checker.record(id, SentRequest { idempotent, status: answer.status, complete });
            tokio::time::sleep(PAUSE).await;
        }
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
