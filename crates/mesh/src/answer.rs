//! Answers of upstreams, checked before a byte of them counts.

use bbv_platform::header;
use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::response::Parts;
use http::{Method, Response, StatusCode};
use http_body_util::Full;

/// What an answer turned out to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// The upstream's answer to this request.
    Whole,
    /// The upstream did not run the request and never will.
    NotRun,
    /// An answer to another request, or bytes that cannot be the upstream's body.
    Foreign(&'static str),
}

/// Judges an answer's head against the request's attempt id.
pub(crate) fn judge(
    status: StatusCode,
    headers: &HeaderMap,
    attempt: Option<&HeaderValue>,
) -> Verdict {
    let echoed = headers.get(header::ATTEMPT_ID);
    if echoed.is_some() && attempt.is_some() && echoed != attempt {
        return Verdict::Foreign("attempt id of another request");
    }
    if header::not_run(status, headers) {
        return Verdict::NotRun;
    }
    if status.is_success() && !header::is_signed(headers) {
        return Verdict::Foreign("no signature");
    }
    if status.is_success() && headers.contains_key(CONTENT_ENCODING) {
        return Verdict::Foreign("encoded body");
    }
    Verdict::Whole
}

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the fields that concern one connection only.
pub(crate) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let fixed = [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in fixed {
        headers.remove(name);
    }
}

/// Time after which the other side closes an idle connection, from `Keep-Alive`.
pub(crate) fn idle_limit(headers: &HeaderMap) -> Option<std::time::Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(std::time::Duration::from_secs(seconds.parse().ok()?))
}

/// An answer as it is passed on.
pub(crate) fn pass_on(method: &Method, mut head: Parts, body: Bytes) -> Response<Full<Bytes>> {
    strip_connection(&mut head.headers);
    if method != Method::HEAD {
        head.headers.remove(CONTENT_LENGTH);
    }
    Response::from_parts(head, Full::new(body))
}

/// An answer of this node's own.
pub(crate) fn own(status: StatusCode, reason: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response.headers_mut().insert(REASON, HeaderValue::from_static(reason));
    response
}

/// Field of a refusal that names its reason.
const REASON: HeaderName = HeaderName::from_static("bbv-reason");
