//! Clients of a machine: each keeps a connection to the node of its machine.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{HOST, Machine};
use crate::http::Conn;
use crate::record::{Record, Sent};

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(500);
/// Time after its deadline for which a client still reads an answer.
const LAST_READ: Duration = Duration::from_millis(1_500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a request each `interval` until `stopped`; every third one is not idempotent.
pub fn run(
    index: usize,
    number: usize,
    interval: Duration,
    machine: &Machine,
    record: &Record,
    stopped: &AtomicBool,
) {
    let mut conn = None;
    let mut next = Instant::now() + interval.mul_f64(number as f64 * 0.37 % 1.0);
    for count in 0_u64.. {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += interval;
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        if !machine.open.load(Ordering::Relaxed) {
            conn = None;
            continue;
        }
        let attempt = format!("{index:02x}{number:02x}{count:012x}");
        let (method, path) = match count % 3 {
            0 => ("POST", format!("/issue/{attempt}")),
            _ => ("GET", format!("/lookup/{attempt}")),
        };
        conn = send(conn, machine.outbound(), method, &path, &attempt, record);
    }
}

/// Returns the machine at which the request with id `attempt` began.
pub fn machine_of(attempt: &str) -> Option<usize> {
    usize::from_str_radix(attempt.get(..2)?, 16).ok()
}

/// Sends one request and records it with its answer; returns the connection if it is kept.
pub fn send(
    conn: Option<Conn>,
    addr: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    record: &Record,
) -> Option<Conn> {
    let at = record.now();
    let conn =
        conn.or_else(|| Some(Conn::new(TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?)));
    let body = if method == "POST" { "form" } else { "" };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nBluebellvale-Attempt-Id: {attempt}\r\n\
         Bluebellvale-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    let answer = conn.and_then(|mut conn| {
        conn.stream.set_read_timeout(Some(DEADLINE + LAST_READ)).ok()?;
        conn.write(text.as_bytes()).ok()?;
        let answer = conn.read().ok()??;
        Some((conn, answer))
    });
    let status = answer.as_ref().map_or(0, |(_, answer)| answer.status());
    let (attempt, path) = (attempt.to_owned(), path.to_owned());
    record.add_sent(Sent { at, answered: record.now(), attempt, path, status });
    let closes = |answer: &crate::http::Message| {
        answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    };
    answer.filter(|(_, answer)| !closes(answer)).map(|(conn, _)| conn)
}
