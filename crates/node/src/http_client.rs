//! HTTP client of a node, which bounds what it reads without handing it out.

use std::fmt;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{Connected, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::sync::Notify;

/// Statuses of final responses. The HTTP library takes 101 and statuses from 600 on for final ones too.
const FINAL_STATUSES: Range<u16> = 200..600;
/// Interim responses after which a response is not waited for any longer.
const MAX_INTERIM: usize = 64;
/// Largest head of a response. The client may read 128 times as much before other tasks run.
const READ_BUFFER_BYTES: usize = 32 * 1_024;

/// Reason why there is no complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum HttpError {
    /// The request could not be sent, so it was not run.
    Unsent(String),
    /// The connection broke before the response was complete.
    Lost(String),
    /// The body is larger than the number of bytes given.
    TooLarge(usize),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::Unsent(cause) => write!(f, "could not send the request: {cause}"),
            HttpError::Lost(cause) => write!(f, "no complete response: {cause}"),
            HttpError::TooLarge(bytes) => write!(f, "response of more than {bytes} bytes"),
        }
    }
}

impl std::error::Error for HttpError {}

/// Client that keeps connections open between requests.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient(Client<HttpConnector, Full<Bytes>>);

impl HttpClient {
    /// Creates a client that closes connections which were not used for `idle_timeout`.
    pub fn new(connect_timeout: Duration, idle_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(idle_timeout)
            .pool_timer(TokioTimer::new())
            .http1_max_buf_size(READ_BUFFER_BYTES)
            .build(connector);
        HttpClient(client)
    }

    /// Sends `request`; returns the final response once its head has arrived.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let exceeded = Arc::new(Notify::new());
        let (count, notify) = (AtomicUsize::new(0), Arc::clone(&exceeded));
        let connection = capture_connection(&mut request);
        hyper::ext::on_informational(&mut request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM {
                notify.notify_one();
            }
        });
        // Dropping the request closes its connection.
        let response = tokio::select! {
            () = exceeded.notified() => {
                let cause = format!("more than {MAX_INTERIM} interim responses");
                return Err(HttpError::Lost(cause));
            }
            response = self.0.request(request) => response?,
        };
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            connection.connection_metadata().iter().for_each(Connected::poison);
            return Err(HttpError::Lost(format!("status {status} is not a final one")));
        }
        Ok(response)
    }
}

impl From<hyper_util::client::legacy::Error> for HttpError {
    fn from(error: hyper_util::client::legacy::Error) -> Self {
        let cause = std::error::Error::source(&error).map(|source| format!(": {source}"));
        let text = format!("{error}{}", cause.unwrap_or_default());
        if error.is_connect() { HttpError::Unsent(text) } else { HttpError::Lost(text) }
    }
}

/// Returns the URI of `path` at `base`, such as `http://127.0.0.1:7000`.
pub(crate) fn uri(base: &str, path: &str) -> Result<Uri, http::uri::InvalidUri> {
    format!("{}{path}", base.trim_end_matches('/')).parse()
}

/// Reads a whole body of at most `limit` bytes.
pub(crate) async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, HttpError> {
    let announced = body.size_hint().exact();
    if announced.is_some_and(|len| len > limit as u64) {
        return Err(HttpError::TooLarge(limit));
    }
    // Pieces are copied: each lies in a read buffer, which it would keep.
    let mut bytes = Vec::new();
    // A frame fails if the connection ends before `Content-Length` bytes have arrived.
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| HttpError::Lost(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > limit {
            return Err(HttpError::TooLarge(limit));
        }
        bytes.extend_from_slice(&data);
    }
    bytes.shrink_to_fit();
    Ok(Bytes::from(bytes))
}
