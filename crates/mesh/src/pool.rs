//! Pool of HTTP/1.1 connections to other nodes and to the upstream. It distinguishes requests that
//! were not sent from those that may have run: only the former can always be retried.

use std::collections::HashMap;
use std::fmt;
use std::future::poll_fn;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bbv_core::body_budget::BodyBudget;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use siphasher::sip::SipHasher13;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::allowance::Allowance;
use crate::body::{self, BodyError};
use crate::content::Content;
use crate::event::{self, Event};
use crate::field_room::FieldRoom;
use crate::replay::Replay;
use crate::response;

/// Why a request has no response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No byte of it was sent.
    Unsent(String),
    /// At least a part of it was sent; it may have run.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::Unsent(cause) => write!(f, "could not send the request: {cause}"),
            SendError::Lost(cause) => write!(f, "could not get a response: {cause}"),
        }
    }
}

/// Stream of a connection that has ended, and the bytes on it that were not understood.
type Unread = (Replay<TcpStream>, Bytes);

/// Open connection, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Content>>,
    driver: JoinHandle<Option<Unread>>,
    allowance: Allowance,
    /// Hashes of the attempt ids of its requests.
    attempts: Vec<u64>,
    room: FieldRoom,
    /// Whether all requests on this connection have been sent completely.
    reusable: bool,
    idle_since: Instant,
    idle_timeout: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    added_fields: usize,
    bodies: Arc<Mutex<BodyBudget>>,
}

/// Maximum number of requests with an attempt id on one connection, whose hashes it holds.
const MAX_ATTEMPTS: usize = 1_024;
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDR: usize = 64;
/// Bytes that may arrive until a response head is complete, interim responses included.
const MAX_HEAD_BYTES: u64 = 128 * 1_024;
/// Size of the read buffer, which a response head has to fit into.
const READ_BUFFER_BYTES: usize = 32 * 1_024;
/// Bytes that may arrive per byte of a body, with chunk sizes, chunk extensions and trailers.
const BYTES_PER_BODY_BYTE: u64 = 2;

/// Hashes an attempt id. If two have the same hash, they only do not share a connection.
fn hash(attempt: &HeaderValue) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(attempt.as_bytes());
    hasher.finish()
}

impl Pool {
    /// Creates a pool that connects within `connect_timeout`, reuses connections that were idle
    /// for at most `idle_timeout`, and reads responses, to which the other side adds up to
    /// `added_fields` header fields, and their bodies within the budget `bodies`.
    pub fn new(
        connect_timeout: Duration,
        idle_timeout: Duration,
        added_fields: usize,
        bodies: Arc<Mutex<BodyBudget>>,
    ) -> Self {
        Pool { idle: Mutex::default(), connect_timeout, idle_timeout, added_fields, bodies }
    }

    /// Reads the complete body of a response that arrived on `conn`.
    ///
    /// After an error the connection must not be used again; dropping it closes it.
    pub(crate) async fn read_body(
        &self,
        body: Incoming,
        conn: &Connection,
    ) -> Result<Content, BodyError> {
        let limit = self.bodies.lock().limit();
        let bytes = (limit as u64).saturating_mul(BYTES_PER_BODY_BYTE);
        conn.allowance.set(MAX_HEAD_BYTES + bytes);
        body::collect(body, limit, &self.bodies).await
    }

    /// Sends a request on an idle or a new connection.
    ///
    /// Dropping the future before it completes closes the connection.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Content>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        self.send_on(addr, request, None).await
    }

    /// Sends a request on a connection that has not carried a request with the id `attempt`, so that
    /// no response with that id belongs to an earlier request.
    ///
    /// Dropping the future before it completes closes the connection.
    pub async fn send_attempt(
        &self,
        addr: SocketAddr,
        request: Request<Full<Content>>,
        attempt: &HeaderValue,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        self.send_on(addr, request, Some(hash(attempt))).await
    }

    /// Sends a request; a response whose status is none of a final one closes its connection.
    async fn send_on(
        &self,
        addr: SocketAddr,
        request: Request<Full<Content>>,
        attempt: Option<u64>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let (response, conn) = self.exchange(addr, request, attempt).await?;
        let status = response.status();
        if !response::is_final(status) {
            return Err(SendError::Lost(format!("status {} is not a final one", status.as_u16())));
        }
        Ok((response, conn))
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut request: Request<Full<Content>>,
        attempt: Option<u64>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let method = request.method().clone();
        while let Some(mut conn) = self.take_idle(addr, attempt) {
            conn.allowance.set(MAX_HEAD_BYTES);
            conn.attempts.extend(attempt);
            match conn.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, conn)),
                Err(mut error) => match error.take_message() {
                    // The connection was closed before any byte was written.
                    Some(unsent) => request = unsent,
                    None => return self.read_again(conn, method, error.into_error()).await,
                },
            }
        }
        let mut conn = self.connect(addr).await.map_err(SendError::Unsent)?;
        conn.attempts.extend(attempt);
        match conn.sender.try_send_request(request).await {
            Ok(response) => Ok((response, conn)),
            Err(mut error) => {
                if error.take_message().is_some() {
                    return Err(SendError::Unsent(describe_error(error.error())));
                }
                self.read_again(conn, method, error.into_error()).await
            }
        }
    }

    /// Reads the response to a request with `method` once more, with more room for header fields, if
    /// `error` says that it had too little.
    async fn read_again(
        &self,
        conn: Connection,
        method: Method,
        error: hyper::Error,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let (mut conn, mut error) = (conn, error);
        while error.is_parse_too_large() {
            let Some(room) = conn.room.next() else { break };
            let Ok(Some((stream, unread))) = (&mut conn.driver).await else { break };
            let reusable = conn.reusable && stream.is_sent();
            let attempts = std::mem::take(&mut conn.attempts);
            let opened = self.open(conn.addr, stream.rewind(unread), room).await;
            conn = opened.map_err(SendError::Lost)?;
            conn.attempts = attempts;
            conn.reusable = reusable;
            let mut request = Request::new(Full::default());
            *request.method_mut() = method.clone();
            match conn.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, conn)),
                Err(failed) => error = failed.into_error(),
            }
        }
        Err(SendError::Lost(describe_error(&error)))
    }

    /// Takes an idle connection that has not carried `attempt`.
    fn take_idle(&self, addr: SocketAddr, attempt: Option<u64>) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&addr)?;
        list.retain(|conn| {
            !conn.sender.is_closed() && conn.idle_since.elapsed() < conn.idle_timeout
        });
        let is_new =
            |conn: &Connection| attempt.is_none_or(|attempt| !conn.attempts.contains(&attempt));
        let index = list.iter().rposition(|conn| conn.sender.is_ready() && is_new(conn))?;
        Some(list.remove(index))
    }

    /// Returns whether there are idle connections to `addr`.
    pub fn has_idle(&self, addr: SocketAddr) -> bool {
        self.idle.lock().get(&addr).is_some_and(|list| !list.is_empty())
    }

    /// Closes the idle connections to `addr`, since one of them has gone silent.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.lock().remove(&addr);
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, String> {
        let stream = timeout(self.connect_timeout, TcpStream::connect(addr)).await;
        let stream =
            stream.map_err(|_| format!("no connection within {:?}", self.connect_timeout))?;
        let stream = stream.map_err(|error| error.to_string())?;
        bbv_net::set_tcp_options(&stream).map_err(|error| error.to_string())?;
        self.open(addr, Replay::new(stream), FieldRoom::default()).await
    }

    /// Speaks HTTP on `stream`, with `room` for the header fields of responses.
    async fn open(
        &self,
        addr: SocketAddr,
        stream: Replay<TcpStream>,
        room: FieldRoom,
    ) -> Result<Connection, String> {
        let allowance = Allowance::default();
        allowance.set(MAX_HEAD_BYTES);
        let stream = TokioIo::new(allowance.limit(stream));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        if let Some(fields) = room.fields() {
            builder.max_headers(fields + self.added_fields);
        }
        let handshake = builder.handshake(stream).await;
        let (sender, mut conn) = handshake.map_err(|error| describe_error(&error))?;
        let driver = tokio::spawn(async move {
            let ended = poll_fn(|cx| conn.poll_without_shutdown(cx)).await;
            if let Err(error) = ended {
                let cause = describe_error(&error);
                event::debug(Event::ConnectionEnded, &[("peer", &addr), ("why", &cause)]);
                return None;
            }
            let parts = conn.into_parts();
            let stream = parts.io.into_inner().into_inner();
            // Whatever is kept stays open until the connection is dropped.
            room.may_lack(&parts.read_buf).then_some((stream, parts.read_buf))
        });
        let idle_timeout = self.idle_timeout;
        let idle_since = Instant::now();
        Ok(Connection {
            addr,
            sender,
            driver,
            allowance,
            attempts: Vec::new(),
            room,
            reusable: true,
            idle_since,
            idle_timeout,
        })
    }

    /// Returns a connection to the pool after its response was read completely, or closes it if it
    /// cannot hold more attempt ids.
    ///
    /// `idle_timeout` is the time after which the other side closes it, if that is known. A longer one
    /// than that of the pool has no effect: the connection may have gone silent.
    pub fn put(&self, mut conn: Connection, idle_timeout: Option<Duration>) {
        if !conn.reusable || conn.attempts.len() >= MAX_ATTEMPTS {
            return;
        }
        conn.idle_since = Instant::now();
        if let Some(timeout) = idle_timeout {
            conn.idle_timeout = timeout.min(self.idle_timeout);
        }
        let mut idle = self.idle.lock();
        let list = idle.entry(conn.addr).or_default();
        if list.len() < MAX_IDLE_PER_ADDR {
            list.push(conn);
        }
    }
}

pub(crate) fn describe_error(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
