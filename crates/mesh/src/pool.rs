//! HTTP/1.1 connections to other nodes and to the upstream, kept between requests.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::event::{self, Event};

/// Why a request has no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendError {
    /// Nothing of it was sent.
    Unsent(String),
    /// It was sent at least partly.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::Unsent(why) => write!(f, "could not send the request: {why}"),
            SendError::Lost(why) => write!(f, "got no answer: {why}"),
        }
    }
}

/// One connection; dropping it closes it.
#[derive(Debug)]
pub struct Conn {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    idle_since: Instant,
    idle_limit: Duration,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connections that wait for the next request.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Conn>>>,
    connect: Duration,
    idle_limit: Duration,
}

/// Idle connections kept for one address.
const IDLE_MAX: usize = 64;

impl Pool {
    /// Creates a pool that connects within `connect` and reuses connections that were idle
    /// for at most `idle_limit`.
    pub fn new(connect: Duration, idle_limit: Duration) -> Self {
        Pool { idle: Mutex::default(), connect, idle_limit }
    }

    /// Sends a request on a kept or a new connection.
    ///
    /// Dropping the future before it is done closes the connection.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Conn), SendError> {
        let mut request = request;
        while let Some(mut conn) = self.take(addr) {
            match conn.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, conn)),
                Err(mut error) => match error.take_message() {
                    // The connection ended before any byte was written.
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Lost(describe(error.error()))),
                },
            }
        }
        let mut conn = self.connect(addr).await.map_err(SendError::Unsent)?;
        match conn.sender.try_send_request(request).await {
            Ok(response) => Ok((response, conn)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let why = describe(error.error());
                Err(if unsent { SendError::Unsent(why) } else { SendError::Lost(why) })
            }
        }
    }

    fn take(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&addr)?;
        list.retain(|conn| !conn.sender.is_closed() && conn.idle_since.elapsed() < conn.idle_limit);
        let at = list.iter().rposition(|conn| conn.sender.is_ready())?;
        Some(list.remove(at))
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Conn, String> {
        let stream = timeout(self.connect, TcpStream::connect(addr)).await;
        let stream = stream.map_err(|_| format!("no connection within {:?}", self.connect))?;
        let stream = stream.map_err(|error| error.to_string())?;
        bbv_net::set_tcp_options(&stream).map_err(|error| error.to_string())?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|error| describe(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                let why = describe(&error);
                event::debug(Event::ConnectionEnded, &[("peer", &addr), ("why", &why)]);
            }
        });
        let idle_limit = self.idle_limit;
        Ok(Conn { addr, sender, driver, idle_since: Instant::now(), idle_limit })
    }

    /// Keeps a connection whose answer was read whole.
    ///
    /// `idle_limit` is the time after which the other side closes it, if it told that.
    pub fn put(&self, mut conn: Conn, idle_limit: Option<Duration>) {
        conn.idle_since = Instant::now();
        if let Some(limit) = idle_limit {
            conn.idle_limit = limit;
        }
        let mut idle = self.idle.lock();
        let list = idle.entry(conn.addr).or_default();
        if list.len() < IDLE_MAX {
            list.push(conn);
        }
    }
}

fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
