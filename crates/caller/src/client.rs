//! Client that keeps spare tickets and resends safely.

use std::fmt;
use std::time::Duration;

use http::HeaderMap;
use parking_lot::Mutex;
use reqwest::Response;

use crate::call::Call;
use crate::outcome::{Ending, Outcome};

/// Why a call has no outcome at all.
#[derive(Debug)]
pub enum CallError {
    /// No node could be reached.
    Unreachable(reqwest::Error),
    /// The node gave no ticket.
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

/// Client of a service's nodes.
pub struct Client {
    http: reqwest::Client,
    bases: Vec<String>,
    spare: Mutex<Vec<String>>,
}

const SPARE_MAX: usize = 64;
const RESENDS: usize = 3;
const RESEND_AFTER: Duration = Duration::from_millis(50);

impl Client {
    /// Creates a client of nodes at base URLs such as `http://10.0.0.7:8080`.
    ///
    /// ```
    /// assert!(bbv_caller::Client::new(&["http://127.0.0.1:8080"]).is_ok());
    /// ```
    pub fn new(bases: &[&str]) -> Result<Self, CallError> {
        let http = reqwest::Client::builder().no_proxy().build().map_err(CallError::Unreachable)?;
        let bases = bases.iter().map(|base| base.trim_end_matches('/').to_owned()).collect();
        Ok(Client { http, bases, spare: Mutex::default() })
    }

    /// Makes a call; one that must run at most once is resent with its own ticket only.
    pub async fn call(&self, call: &Call) -> Result<Outcome, CallError> {
        if call.idempotent {
            return self.send(call, None).await;
        }
        let ticket = self.ticket(call).await?;
        let mut outcome = self.send(call, Some(&ticket)).await;
        for _ in 0..RESENDS {
            let settled = matches!(&outcome, Ok(outcome) if !is_unknown(outcome));
            if settled {
                break;
            }
            tokio::time::sleep(RESEND_AFTER).await;
            outcome = self.send(call, Some(&ticket)).await;
        }
        outcome
    }

    async fn ticket(&self, call: &Call) -> Result<String, CallError> {
        if let Some(ticket) = self.spare.lock().pop() {
            return Ok(ticket);
        }
        let refused = self.send(call, None).await?;
        self.spare.lock().pop().ok_or(CallError::NoTicket(refused))
    }

    async fn send(&self, call: &Call, ticket: Option<&str>) -> Result<Outcome, CallError> {
        let mut last = None;
        for base in &self.bases {
            match self.send_to(base, call, ticket).await {
                Ok(response) => return self.read(response).await,
                Err(error) if error.is_connect() => last = Some(error),
                Err(_) => return Ok(lost()),
            }
        }
        match last {
            Some(error) => Err(CallError::Unreachable(error)),
            None => Ok(lost()),
        }
    }

    async fn send_to(
        &self,
        base: &str,
        call: &Call,
        ticket: Option<&str>,
    ) -> Result<Response, reqwest::Error> {
        let url = format!("{base}{}", call.path);
        let mut request = self.http.request(call.method.clone(), url).body(call.body.clone());
        if let Some(ms) = call.deadline_ms {
            request = request.header("bbv-deadline-ms", ms);
        }
        if let Some(ticket) = ticket {
            request = request.header("idempotency-key", ticket);
        }
        request.send().await
    }

    async fn read(&self, response: Response) -> Result<Outcome, CallError> {
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let text = |name: &str| header(&headers, name);
        if let Some(ticket) = text("bbv-ticket") {
            let mut spare = self.spare.lock();
            spare.push(ticket);
            spare.truncate(SPARE_MAX);
        }
        let receipt = text("bbv-receipt");
        let reason = text("bbv-reason").unwrap_or_default();
        let ending = match text("bbv-outcome").as_deref() {
            Some("answered") => match response.bytes().await {
                Ok(body) => Ending::Answered { status, body },
                Err(_) => return Ok(lost()),
            },
            Some("not-run") => Ending::NotRun { reason },
            _ => Ending::Unknown { reason },
        };
        Ok(Outcome { ending, receipt })
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn is_unknown(outcome: &Outcome) -> bool {
    matches!(outcome.ending, Ending::Unknown { .. })
}

fn lost() -> Outcome {
    Outcome { ending: Ending::Unknown { reason: "connection-lost".to_owned() }, receipt: None }
}
