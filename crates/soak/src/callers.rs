//! Callers that reuse their connections until the node asks for their end or until they end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bbv_stand::caller::{self, Response};
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::checker::{Checker, SentRequest};
use crate::pieces;
use crate::request;

/// Deadline that a caller sets for each request.
const DEADLINE: Duration = Duration::from_millis(900);
/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Time for which a caller that keeps its connection waits for an answer, which outlasts the
/// deadline where the process is paused.
const PATIENCE: Duration = Duration::from_secs(5);
/// Longest pause between two requests of a caller that keeps its connection.
const KEPT_PAUSE_MS: u64 = 30;
/// Number of pieces that a request without pauses is sent in at most.
const MAX_PIECES: usize = 1_000;
/// Longest pause between two pieces of a request.
const PIECE_PAUSE_MS: u64 = 25;

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Habit {
    /// Sends small requests, each at once, and closes the connection when an answer asks for that
    /// or none arrives before the deadline.
    Closes,
    /// Sends requests of varying form in pieces without pauses, and uses the connection until it ends.
    Keeps,
    /// Keeps its connection as well, and sends each request in pieces.
    Pieces,
}

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
    /// How it uses its connections.
    pub habit: Habit,
    /// Draws its requests and pauses.
    pub rng: SmallRng,
    /// Draws the sizes of the pieces in which it sends requests.
    pub sizes: SmallRng,
}

impl Caller {
    /// Sends requests, one after another, until `stop` is set.
    pub async fn run(mut self) {
        let mut connection: Option<TcpStream> = None;
        while !self.stop.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let idempotent = number.is_multiple_of(2);
            let id = format!("{}-{number}", self.name);
            let text = self.request(idempotent, &id);
            let answer = self.exchange(&mut connection, &text).await;
            self.checker.check_denied(self.node, &id, &answer);
            let complete = answer.is_complete(&id);
            self.checker.record(id, SentRequest { idempotent, status: answer.status, complete });
            self.pause().await;
        }
    }

    fn request(&mut self, idempotent: bool, id: &str) -> String {
        let (method, path) = if idempotent { ("GET", "/get/1") } else { ("POST", "/post/1") };
        let ms = DEADLINE.as_millis() as u64;
        if self.habit == Habit::Closes {
            return caller::request(method, path, id, ms, if idempotent { "" } else { "body" });
        }
        let head = caller::request(method, path, id, ms, "").replace("\r\n\r\n", "\r\n");
        request::draw(&mut self.rng, head)
    }

    async fn pause(&mut self) {
        let pause = match self.habit {
            Habit::Closes => PAUSE,
            _ => Duration::from_millis(self.rng.random_range(0..=KEPT_PAUSE_MS)),
        };
        tokio::time::sleep(pause).await;
    }

    async fn exchange(&mut self, connection: &mut Option<TcpStream>, text: &str) -> Response {
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => match timeout(DEADLINE, TcpStream::connect(self.addr)).await {
                Ok(Ok(stream)) => stream,
                _ => return Response::default(),
            },
        };
        let patience = if self.habit == Habit::Closes { DEADLINE } else { PATIENCE };
        let exchanged = timeout(patience, async {
            // A node that answers before it has read all may close the connection.
            let _ = self.write(&mut stream, text).await;
            caller::read_response(&mut stream).await
        });
        let answer = exchanged.await.unwrap_or_default();
        let closes = self.habit == Habit::Closes && answer.header("connection") == Some("close");
        if answer.status != 0 && !closes {
            *connection = Some(stream);
        }
        answer
    }

    /// Sends `bytes` without pauses, the first of them in pieces of a size that is drawn.
    async fn write_at_once(&mut self, stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
        let size = pieces::draw_size(&mut self.sizes);
        let (first, rest) = bytes.split_at(bytes.len().min(size * MAX_PIECES));
        for piece in first.chunks(size) {
            stream.write_all(piece).await?;
            tokio::task::yield_now().await;
        }
        stream.write_all(rest).await
    }

    async fn write(&mut self, stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
        match self.habit {
            Habit::Closes => return stream.write_all(text.as_bytes()).await,
            Habit::Keeps => return self.write_at_once(stream, text.as_bytes()).await,
            Habit::Pieces => {}
        }
        for piece in request::cut(&mut self.rng, text) {
            stream.write_all(piece).await?;
            let pause = Duration::from_millis(self.rng.random_range(0..=PIECE_PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }
}
