//! HTTP client of the nodes. It keeps spare tickets, and retries a call that must run at most once
//! only with the call's own ticket, so that nodes return the recorded answer.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use parking_lot::Mutex;
use reqwest::Response;

use crate::call::Call;
use crate::outcome::{Ending, Outcome};

/// Reason for which a call has no outcome.
#[derive(Debug)]
pub enum CallError {
    /// No node accepted a connection, or the HTTP client could not be created.
    Unreachable(reqwest::Error),
    /// The node returned no ticket; holds the outcome of the request for it.
    NoTicket(Outcome),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Unreachable(error) => write!(f, "could not reach any node: {error}"),
            CallError::NoTicket(_) => f.write_str("could not get a ticket for the call"),
        }
    }
}

impl std::error::Error for CallError {}

/// Client that sends calls to the nodes of a service.
pub struct Client {
    http: reqwest::Client,
    base_urls: Vec<String>,
    spare_tickets: Mutex<Vec<String>>,
}

const MAX_SPARE_TICKETS: usize = 64;
const MAX_RETRIES: usize = 3;
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl Client {
    /// Creates a client for nodes at base URLs such as `http://10.0.0.7:8080`.
    ///
    /// ```
    /// assert!(bbv_caller::Client::new(&["http://127.0.0.1:8080"]).is_ok());
    /// ```
    pub fn new(base_urls: &[&str]) -> Result<Self, CallError> {
        let http = reqwest::Client::builder().no_proxy().build().map_err(CallError::Unreachable)?;
        let base_urls = base_urls.iter().map(|url| url.trim_end_matches('/').to_owned()).collect();
        Ok(Client { http, base_urls, spare_tickets: Mutex::default() })
    }

    /// Makes a call. A call that must run at most once is retried with the same ticket while its
    /// outcome is unknown or no node can be reached.
    pub async fn call(&self, call: &Call) -> Result<Outcome, CallError> {
        if call.idempotent {
            return self.send(call, None).await;
        }
        let ticket = self.take_ticket(call).await?;
        let mut outcome = self.send(call, Some(&ticket)).await;
        for _ in 0..MAX_RETRIES {
            let known = matches!(&outcome, Ok(outcome) if !is_unknown(outcome));
            if known {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
            outcome = self.send(call, Some(&ticket)).await;
        }
        outcome
    }

    async fn take_ticket(&self, call: &Call) -> Result<String, CallError> {
        if let Some(ticket) = self.spare_tickets.lock().pop() {
            return Ok(ticket);
        }
        // A node refuses a call without a ticket and returns a ticket, which `read_outcome` stores.
        let outcome = self.send(call, None).await?;
        self.spare_tickets.lock().pop().ok_or(CallError::NoTicket(outcome))
    }

    async fn send(&self, call: &Call, ticket: Option<&str>) -> Result<Outcome, CallError> {
        let mut connect_error = None;
        for base_url in &self.base_urls {
            match self.send_to(base_url, call, ticket).await {
                Ok(response) => return self.read_outcome(response).await,
                Err(error) if error.is_connect() => connect_error = Some(error),
                Err(_) => return Ok(connection_lost()),
            }
        }
        match connect_error {
            Some(error) => Err(CallError::Unreachable(error)),
            None => Ok(connection_lost()),
        }
    }

    async fn send_to(
        &self,
        base_url: &str,
        call: &Call,
        ticket: Option<&str>,
    ) -> Result<Response, reqwest::Error> {
        let url = format!("{base_url}{}", call.path);
        let mut request = self.http.request(call.method.clone(), url).body(call.body.clone());
        if let Some(ms) = call.deadline_ms {
            request = request.header("bbv-deadline-ms", ms);
        }
        if let Some(ticket) = ticket {
            request = request.header("idempotency-key", ticket);
        }
        request.send().await
    }

    async fn read_outcome(&self, response: Response) -> Result<Outcome, CallError> {
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let header = |name: &str| header_text(&headers, name);
        if let Some(ticket) = header("bbv-ticket") {
            let mut tickets = self.spare_tickets.lock();
            tickets.push(ticket);
            tickets.truncate(MAX_SPARE_TICKETS);
        }
        let receipt = header("bbv-receipt");
        let reason = header("bbv-reason").unwrap_or_default();
        let ending = match header("bbv-outcome").as_deref() {
            Some("answered") => match read_body(response).await {
                Ok(body) => Ending::Answered { status, body },
                Err(_) => return Ok(connection_lost()),
            },
            Some("not-run") => Ending::NotRun { reason },
            _ => Ending::Unknown { reason },
        };
        Ok(Outcome { ending, receipt })
    }
}

/// Reads a whole body. Pieces are copied: each lies in a read buffer, which it would keep.
async fn read_body(mut response: Response) -> Result<Bytes, reqwest::Error> {
    let mut bytes = Vec::new();
    while let Some(piece) = response.chunk().await? {
        bytes.extend_from_slice(&piece);
    }
    bytes.shrink_to_fit();
    Ok(Bytes::from(bytes))
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn is_unknown(outcome: &Outcome) -> bool {
    matches!(outcome.ending, Ending::Unknown { .. })
}

fn connection_lost() -> Outcome {
    Outcome { ending: Ending::Unknown { reason: "connection-lost".to_owned() }, receipt: None }
}
