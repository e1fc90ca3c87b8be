//! Sends attempts to the local upstream over HTTP and reads its answers.

use std::time::Duration;

use bbv_core::units::MS;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::caller_api::{DEADLINE_HEADER, end_to_end_headers};
use crate::http_client::{self, HttpClient, HttpError};
use crate::ports::{Upstream, UpstreamAnswer, UpstreamCall, UpstreamError};

/// Largest answer that is buffered and checked for completeness before it is forwarded.
pub const MAX_ANSWER_BYTES: usize = 1_024 * 1_024;

/// Response header that identifies the process of an upstream.
pub const INSTANCE_HEADER: &str = "x-instance-id";

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

impl From<HttpError> for UpstreamError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Unsent(_) => UpstreamError::Unsent,
            HttpError::Lost(_) => UpstreamError::Lost,
            HttpError::TooLarge(_) => UpstreamError::Broken,
        }
    }
}

/// Creates the port to the upstream at the URL `base`, such as `http://127.0.0.1:7000`.
pub fn port(base: &str) -> Result<Upstream> {
    http_client::uri(base, "/").wrap_err_with(|| format!("upstream is not a URL: {base}"))?;
    let client = HttpClient::new(CONNECT_TIMEOUT, IDLE_TIMEOUT);
    let base = base.to_owned();
    Ok(Box::new(move |call| Box::pin(send_call(client.clone(), base.clone(), call))))
}

async fn send_call(
    client: HttpClient,
    base: String,
    call: UpstreamCall,
) -> Result<UpstreamAnswer, UpstreamError> {
    let request = build_request(&base, call).map_err(|_| UpstreamError::Unsent)?;
    read_answer(client.send(request).await?).await
}

fn build_request(base: &str, call: UpstreamCall) -> http::Result<Request<Full<Bytes>>> {
    let UpstreamCall { request, ttl } = call;
    let method: Method = request.method.parse()?;
    let uri = http_client::uri(base, &request.path)?;
    let mut builder = Request::builder().method(method).uri(uri);
    builder = builder.header(DEADLINE_HEADER, ttl / MS);
    for field in &request.headers {
        builder = builder.header(&field.name, &field.value);
    }
    builder.body(Full::new(request.body))
}

async fn read_answer(response: Response<Incoming>) -> Result<UpstreamAnswer, UpstreamError> {
    let (head, body) = response.into_parts();
    let headers = end_to_end_headers(&head.headers);
    let instance = head.headers.get(INSTANCE_HEADER);
    let instance = instance.map(|value| bbv_core::rendezvous::weight(value.as_bytes(), 0));
    let body = http_client::read_body(body, MAX_ANSWER_BYTES).await?;
    Ok(UpstreamAnswer { status: head.status.as_u16(), headers, body, instance })
}
