//! Checks responses of upstreams and prepares responses for forwarding. A response is checked
//! before any byte of its body is used, so that a response to another request is never forwarded.

use bbv_platform::header;
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::response::Parts;
use http::{Method, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};

use crate::content::Content;

/// Result of checking a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseCheck {
    /// The response belongs to this request.
    Valid,
    /// The upstream did not run the request and never will.
    NotRun,
    /// The response belongs to another request, or its body cannot be the upstream's.
    Invalid(&'static str),
}

/// Statuses that tell a caller that the request did not run and never will.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Returns whether a response with `status` ends a request. The HTTP library takes 101 and statuses
/// from 600 on for final ones too.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Checks the head of a response against the attempt id of the request.
///
/// A response without the id may be a late copy of an earlier one, so that neither its body nor
/// its claim that the request did not run can be trusted. A failure without a signature may not
/// come from the upstream; a caller that got its status would not try again.
pub(crate) fn check(
    status: StatusCode,
    headers: &HeaderMap,
    attempt: Option<&HeaderValue>,
) -> ResponseCheck {
    match headers.get(header::ATTEMPT_ID) {
        None => return ResponseCheck::Invalid("response has no attempt id"),
        echoed if echoed != attempt => {
            return ResponseCheck::Invalid("response has the attempt id of another request");
        }
        Some(_) => {}
    }
    if header::not_run(status, headers) {
        return ResponseCheck::NotRun;
    }
    if NOT_RUN_STATUSES.contains(&status) {
        return ResponseCheck::Invalid("response denies a run without the upstream's word");
    }
    if !header::is_signed(headers) {
        return ResponseCheck::Invalid("response is not signed");
    }
    if status.is_success() && headers.contains_key(CONTENT_ENCODING) {
        return ResponseCheck::Invalid("response body has a content encoding");
    }
    ResponseCheck::Valid
}

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Returns whether a field is meant for the other end of a request, whatever `Connection` says: it
/// tells what the request is and whose answer a response is.
fn is_end_to_end(name: &HeaderName) -> bool {
    *name == HOST || header::is_identity(name)
}

/// Removes hop-by-hop headers.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_end_to_end(name))
        .collect();
    for name in connection_headers {
        headers.remove(name);
    }
    let hop_headers =
        [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in hop_headers {
        headers.remove(name);
    }
}

/// Returns the idle timeout of the other side of a connection, from the `Keep-Alive` header.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<std::time::Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(std::time::Duration::from_secs(seconds.parse().ok()?))
}

/// Returns whether only the end of its connection ends the body of a response.
pub(crate) fn ends_connection(head: &Parts, body: &Incoming) -> bool {
    let framed = [CONTENT_LENGTH, TRANSFER_ENCODING];
    !body.is_end_stream() && !framed.iter().any(|name| head.headers.contains_key(name))
}

/// Builds the response to forward from one that was received.
pub(crate) fn forwarded(
    method: &Method,
    mut head: Parts,
    body: Content,
) -> Response<Full<Content>> {
    strip_hop_headers(&mut head.headers);
    if method != Method::HEAD {
        head.headers.remove(CONTENT_LENGTH);
    }
    Response::from_parts(head, Full::new(body))
}

/// Builds an empty response of this node with the reason in a header.
pub(crate) fn local(status: StatusCode, reason: &'static str) -> Response<Full<Content>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response.headers_mut().insert(REASON, HeaderValue::from_static(reason));
    response
}

/// Header with the reason for a response of this node.
const REASON: HeaderName = HeaderName::from_static("bbv-reason");
