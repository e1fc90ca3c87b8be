//! Caller's interface over HTTP.

use std::sync::Arc;

use bbv_core::outcome::Refusal;
use bbv_core::ticket::Ticket;
use bbv_core::units::{MS, Micros};
use bbv_wire::{Answer, CallerRequest, HeaderField};
use bytes::Bytes;
use futures_util::StreamExt;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use salvo::async_trait;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use serde::Serialize;

use crate::node::Node;
use crate::outcome::{Call, Ending, Outcome};

/// Header with the ticket of a non-idempotent call.
pub const KEY: &str = "idempotency-key";
/// Header with the time left until the caller's deadline, in milliseconds.
pub const DEADLINE: &str = "bbv-deadline-ms";
/// Header that tells `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "bbv-outcome";
/// Header with the reason of a refusal or doubt.
pub const REASON: &str = "bbv-reason";
/// Header with the receipt of the last attempt.
pub const RECEIPT: &str = "bbv-receipt";
/// Header with a ticket for the next non-idempotent call.
pub const TICKET: &str = "bbv-ticket";

const OWN_PREFIX: &str = "bbv-";
const BODY_MAX: usize = 1_024 * 1_024;
const DISCARD_MAX: usize = 16 * 1_024 * 1_024;
const HEADERS_MAX: usize = 64;
const HEADER_BYTES_MAX: usize = 16 * 1_024;

const ONE_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Handler of all callers' requests.
pub struct Front {
    /// Node that runs the calls.
    pub node: Arc<Node>,
}

#[derive(Serialize)]
struct Told<'a> {
    outcome: &'a str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
    hint: &'a str,
}

/// Fields that pass from one hop to the next.
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// headers.insert("connection", "x-private".parse().unwrap());
/// headers.insert("x-private", "1".parse().unwrap());
/// headers.insert("bbv-receipt", "forged".parse().unwrap());
/// headers.insert("accept", "text/plain".parse().unwrap());
/// assert_eq!(bbv_node::front::passed_on(&headers).len(), 1);
/// ```
pub fn passed_on(headers: &HeaderMap) -> Vec<HeaderField> {
    let named = headers.get_all("connection").iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> =
        named.flat_map(|list| list.split(',')).map(|name| name.trim().to_lowercase()).collect();
    let kept = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        !ONE_HOP.contains(&name)
            && !name.starts_with(OWN_PREFIX)
            && name != KEY
            && !named.iter().any(|other| other == name)
    });
    kept.filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(HeaderField { name: name.as_str().to_owned(), value })
    })
    .collect()
}

/// Fingerprint of a request, equal for a resend.
///
/// ```
/// use bbv_node::front::fingerprint;
/// assert_eq!(fingerprint("GET", "/a/b", b""), fingerprint("GET", "/a/b", b""));
/// assert_ne!(fingerprint("GET", "/a/b", b"1"), fingerprint("GET", "/a/b", b"2"));
/// ```
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut key = Vec::with_capacity(method.len() + path.len() + body.len() + 2);
    key.extend_from_slice(method.as_bytes());
    key.push(0);
    key.extend_from_slice(path.as_bytes());
    key.push(0);
    key.extend_from_slice(body);
    bbv_core::rendezvous::weight(&key, 0)
}

async fn read_call(request: &mut Request) -> Result<Call, Refusal> {
    let headers = request.headers();
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if headers.len() > HEADERS_MAX || bytes > HEADER_BYTES_MAX {
        return Err(Refusal::Malformed);
    }
    let text = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or(""));
    let ticket = text(KEY).map(|key| key.trim_matches('"').parse::<Ticket>());
    let ticket = ticket.transpose().map_err(|_| Refusal::TicketUnknown)?;
    let ttl = text(DEADLINE).map(|ms| ms.parse::<Micros>());
    let ttl = ttl.transpose().map_err(|_| Refusal::Malformed)?.map(|ms| ms.saturating_mul(MS));
    let fields = passed_on(headers);
    let method = request.method().as_str().to_owned();
    if matches!(method.as_str(), "CONNECT" | "TRACE") {
        return Err(Refusal::Method);
    }
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let entry = path.split(['/', '?']).nth(1).unwrap_or_default().to_owned();
    let body = read_body(request).await?;
    let print = fingerprint(&method, &path, &body);
    let request = CallerRequest { entry, method, path, headers: fields, body, fingerprint: print };
    Ok(Call { request, ttl, ticket })
}

async fn read_body(request: &mut Request) -> Result<Bytes, Refusal> {
    let stated = request.headers().get("content-length");
    let stated = stated.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if stated.is_some_and(|length| length > BODY_MAX) {
        discard(request).await;
        return Err(Refusal::BodyTooLarge);
    }
    let body = request.payload_with_max_size(BODY_MAX).await;
    let body = body.map_err(|error| match error {
        salvo::http::ParseError::PayloadTooLarge => Refusal::BodyTooLarge,
        _ => Refusal::Malformed,
    })?;
    if stated.is_some_and(|length| length != body.len()) {
        return Err(Refusal::Malformed);
    }
    Ok(body.clone())
}

/// Reads a body that is too large to its end, so that its sender receives the refusal.
async fn discard(request: &mut Request) {
    let mut body = request.take_body();
    let mut read = 0;
    while let Some(Ok(frame)) = body.next().await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > DISCARD_MAX {
            return;
        }
    }
}

fn status_of(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::Malformed | Refusal::TicketUnknown => StatusCode::BAD_REQUEST,
        Refusal::Method => StatusCode::METHOD_NOT_ALLOWED,
        Refusal::Poison => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::TicketRequired => StatusCode::PRECONDITION_REQUIRED,
        Refusal::UnknownEntry => StatusCode::NOT_FOUND,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn hint(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::BodyTooLarge => "the body is above the entry's limit",
        Refusal::Malformed => "the request or a header could not be read",
        Refusal::Poison => "this request crashed upstreams; do not send it again",
        Refusal::TicketRequired => "send the call again with the ticket as Idempotency-Key",
        Refusal::TicketUnknown => {
            "this key is not a ticket; send the call again with the ticket given here as Idempotency-Key"
        }
        Refusal::UnknownEntry => "the first part of the path is not an entry of the catalogue",
        _ => "send the call again later",
    }
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

fn write_answer(response: &mut Response, answer: Answer) {
    response.status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY));
    for field in &answer.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_str(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response.body(answer.body);
}

fn write_told(response: &mut Response, status: StatusCode, told: &Told<'_>) {
    response.status_code(status);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set(headers, REASON, told.reason);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    let body = serde_json::to_vec(told).expect("texts are encoded as JSON");
    response.body(body);
}

fn write(response: &mut Response, outcome: Outcome) {
    let ticket = outcome.next_ticket.map(|ticket| ticket.to_string());
    let headers = response.headers_mut();
    if let Some(ticket) = &ticket {
        set(headers, TICKET, ticket);
    }
    if let Some(attempt) = outcome.attempt {
        set(headers, RECEIPT, &attempt.to_string());
    }
    match outcome.ending {
        Ending::Answered(answer) => {
            set(headers, OUTCOME, "answered");
            write_answer(response, answer);
        }
        Ending::NotRun(refusal) => {
            set(headers, OUTCOME, "not-run");
            let hint = hint(refusal);
            let told = Told { outcome: "not-run", reason: refusal.name(), ticket, hint };
            write_told(response, status_of(refusal), &told);
        }
        Ending::Unknown(doubt) => {
            set(headers, OUTCOME, "unknown");
            let hint = "the call may have run; send it again with the same Idempotency-Key";
            let told = Told { outcome: "unknown", reason: doubt.name(), ticket, hint };
            write_told(response, StatusCode::GATEWAY_TIMEOUT, &told);
        }
    }
}

#[async_trait]
impl Handler for Front {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = request.headers().get("x-request-id").cloned();
        let outcome = match read_call(request).await {
            Ok(call) => self.node.call(call).await,
            Err(refusal) => {
                self.node.metrics().malformed.inc();
                // A caller with a key of its own is handed a ticket to use in its place.
                let next_ticket =
                    (refusal == Refusal::TicketUnknown).then(|| self.node.mint_ticket()).flatten();
                Outcome { next_ticket, ..Outcome::without_attempt(Ending::NotRun(refusal)) }
            }
        };
        if let Some(id) = id {
            response.headers_mut().insert("x-request-id", id);
        }
        write(response, outcome);
    }
}
