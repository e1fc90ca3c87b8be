//! HTTP interface for callers: reads a request as a call and writes its outcome as a response.

use std::sync::Arc;

use bbv_core::outcome::Refusal;
use bbv_core::ticket::Ticket;
use bbv_core::units::{MS, Micros};
use bbv_wire::{Answer, CallerRequest, HeaderField};
use bytes::Bytes;
use futures_util::StreamExt;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde::Serialize;

use crate::node::Node;
use crate::outcome::{Call, Ending, Outcome};

/// Header with the ticket of a non-idempotent call.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the time left until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "bbv-deadline-ms";
/// Header with the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "bbv-outcome";
/// Header with the reason why the call was refused or its outcome is unknown.
pub const REASON_HEADER: &str = "bbv-reason";
/// Header with the id of the last attempt.
pub const RECEIPT_HEADER: &str = "bbv-receipt";
/// Header with a ticket for the next non-idempotent call.
pub const TICKET_HEADER: &str = "bbv-ticket";

const RESERVED_PREFIX: &str = "bbv-";
const MAX_BODY_BYTES: usize = 1_024 * 1_024;
const MAX_DISCARD_BYTES: usize = 16 * 1_024 * 1_024;
const MAX_HEADERS: usize = 64;
const MAX_HEADER_BYTES: usize = 16 * 1_024;

/// Hop-by-hop header fields, and the fields that each hop sets itself.
const NOT_FORWARDED: [&str; 11] = [
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

/// Handler of all requests of callers.
pub struct CallerHandler {
    /// Node that runs the calls.
    pub node: Arc<Node>,
}

/// JSON body of a response without an answer of the upstream.
#[derive(Serialize)]
struct ErrorBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
    hint: &'a str,
}

/// Header fields that are forwarded: not those that apply to one hop, nor those that are
/// reserved for nodes.
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// headers.insert("connection", "x-private".parse().unwrap());
/// headers.insert("x-private", "1".parse().unwrap());
/// headers.insert("bbv-receipt", "forged".parse().unwrap());
/// headers.insert("accept", "text/plain".parse().unwrap());
/// assert_eq!(bbv_node::caller_api::end_to_end_headers(&headers).len(), 1);
/// ```
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let listed = headers.get_all("connection").iter().filter_map(|value| value.to_str().ok());
    let listed: Vec<String> =
        listed.flat_map(|list| list.split(',')).map(|name| name.trim().to_lowercase()).collect();
    let kept = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        !NOT_FORWARDED.contains(&name)
            && !name.starts_with(RESERVED_PREFIX)
            && name != KEY_HEADER
            && !listed.iter().any(|other| other == name)
    });
    kept.filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(HeaderField { name: name.as_str().to_owned(), value })
    })
    .collect()
}

/// Fingerprint of a request; its retries have the same one.
///
/// ```
/// use bbv_node::caller_api::fingerprint;
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
    if headers.len() > MAX_HEADERS || bytes > MAX_HEADER_BYTES {
        return Err(Refusal::Malformed);
    }
    let text = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or(""));
    let ticket = text(KEY_HEADER).map(|key| key.trim_matches('"').parse::<Ticket>());
    let ticket = ticket.transpose().map_err(|_| Refusal::TicketUnknown)?;
    let ttl = text(DEADLINE_HEADER).map(|ms| ms.parse::<Micros>());
    let ttl = ttl.transpose().map_err(|_| Refusal::Malformed)?.map(|ms| ms.saturating_mul(MS));
    let fields = end_to_end_headers(headers);
    let method = request.method().as_str().to_owned();
    if matches!(method.as_str(), "CONNECT" | "TRACE") {
        return Err(Refusal::Method);
    }
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let entry = path.split(['/', '?']).nth(1).unwrap_or_default().to_owned();
    let body = read_body(request).await?;
    let fingerprint = fingerprint(&method, &path, &body);
    let request = CallerRequest { entry, method, path, headers: fields, body, fingerprint };
    Ok(Call { request, ttl, ticket })
}

async fn read_body(request: &mut Request) -> Result<Bytes, Refusal> {
    let content_length = request.headers().get("content-length");
    let content_length =
        content_length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > MAX_BODY_BYTES) {
        discard(request).await;
        return Err(Refusal::BodyTooLarge);
    }
    // Pieces are copied: each lies in a read buffer, which it would keep.
    let mut bytes = Vec::new();
    let mut body = request.take_body();
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|_| Refusal::Malformed)?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > MAX_BODY_BYTES {
            return Err(Refusal::BodyTooLarge);
        }
        bytes.extend_from_slice(&data);
    }
    if content_length.is_some_and(|length| length != bytes.len()) {
        return Err(Refusal::Malformed);
    }
    bytes.shrink_to_fit();
    Ok(Bytes::from(bytes))
}

/// Reads the rest of a body that is too large, so that the sender gets to read the refusal.
async fn discard(request: &mut Request) {
    let mut body = request.take_body();
    let mut read = 0;
    while let Some(Ok(frame)) = body.next().await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > MAX_DISCARD_BYTES {
            return;
        }
    }
}

fn status_code(refusal: Refusal) -> StatusCode {
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

/// Hint for the caller on how to handle a refusal.
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

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
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

fn write_error(response: &mut Response, status: StatusCode, body: &ErrorBody<'_>) {
    response.status_code(status);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set_header(headers, REASON_HEADER, body.reason);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    let json = serde_json::to_vec(body).expect("texts are encoded as JSON");
    response.body(json);
}

fn write_outcome(response: &mut Response, outcome: Outcome) {
    let ticket = outcome.next_ticket.map(|ticket| ticket.to_string());
    let headers = response.headers_mut();
    if let Some(ticket) = &ticket {
        set_header(headers, TICKET_HEADER, ticket);
    }
    if let Some(attempt) = outcome.attempt {
        set_header(headers, RECEIPT_HEADER, &attempt.to_string());
    }
    match outcome.ending {
        Ending::Answered(answer) => {
            set_header(headers, OUTCOME_HEADER, "answered");
            write_answer(response, answer);
        }
        Ending::NotRun(refusal) => {
            set_header(headers, OUTCOME_HEADER, "not-run");
            let hint = hint(refusal);
            let body = ErrorBody { outcome: "not-run", reason: refusal.name(), ticket, hint };
            write_error(response, status_code(refusal), &body);
        }
        Ending::Unknown(reason) => {
            set_header(headers, OUTCOME_HEADER, "unknown");
            let hint = "the call may have run; send it again with the same Idempotency-Key";
            let body = ErrorBody { outcome: "unknown", reason: reason.name(), ticket, hint };
            write_error(response, StatusCode::GATEWAY_TIMEOUT, &body);
        }
    }
}

#[async_trait]
impl Handler for CallerHandler {
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
                // A caller that sent a key of its own gets a ticket to use in place of it.
                let next_ticket =
                    (refusal == Refusal::TicketUnknown).then(|| self.node.mint_ticket()).flatten();
                Outcome { next_ticket, ..Outcome::without_attempt(Ending::NotRun(refusal)) }
            }
        };
        if let Some(id) = id {
            response.headers_mut().insert("x-request-id", id);
        }
        write_outcome(response, outcome);
    }
}
