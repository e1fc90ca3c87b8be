//! Sends attempts to the local upstream over HTTP and reads its answers.

use std::time::Duration;

use bbv_core::units::MS;
use bytes::BytesMut;
use eyre::{Result, WrapErr};
use reqwest::{Client, Response};

use crate::caller_api::{DEADLINE_HEADER, end_to_end_headers};
use crate::ports::{Upstream, UpstreamAnswer, UpstreamCall, UpstreamError};

/// Largest answer that is buffered and checked for completeness before it is forwarded.
pub const MAX_ANSWER_BYTES: usize = 1_024 * 1_024;

/// Response header that identifies the process of an upstream.
pub const INSTANCE_HEADER: &str = "x-instance-id";

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Creates the port to the upstream at the URL `base`, such as `http://127.0.0.1:7000`.
pub fn port(base: &str) -> Result<Upstream> {
    let client = Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .wrap_err("could not create the HTTP client for the upstream")?;
    let base = base.trim_end_matches('/').to_owned();
    Ok(Box::new(move |call| {
        let client = client.clone();
        let url = format!("{base}{}", call.request.path);
        Box::pin(send_call(client, url, call))
    }))
}

async fn send_call(
    client: Client,
    url: String,
    call: UpstreamCall,
) -> Result<UpstreamAnswer, UpstreamError> {
    let UpstreamCall { request, ttl } = call;
    let method = request.method.parse().map_err(|_| UpstreamError::Unsent)?;
    let mut builder = client.request(method, url).header(DEADLINE_HEADER, ttl / MS);
    for field in &request.headers {
        builder = builder.header(&field.name, &field.value);
    }
    let response = builder.body(request.body).send().await.map_err(|error| {
        let unsent = error.is_connect() || error.is_builder();
        if unsent { UpstreamError::Unsent } else { UpstreamError::Lost }
    })?;
    read_answer(response).await
}

async fn read_answer(mut response: Response) -> Result<UpstreamAnswer, UpstreamError> {
    let content_length = response.content_length();
    if content_length.is_some_and(|length| length > MAX_ANSWER_BYTES as u64) {
        return Err(UpstreamError::Broken);
    }
    let status = response.status().as_u16();
    let headers = end_to_end_headers(response.headers());
    let instance = response.headers().get(INSTANCE_HEADER);
    let instance = instance.map(|value| bbv_core::rendezvous::weight(value.as_bytes(), 0));
    let first = response.chunk().await.map_err(|_| UpstreamError::Lost)?.unwrap_or_default();
    if content_length == Some(first.len() as u64) {
        return Ok(UpstreamAnswer { status, headers, body: first, instance });
    }
    let mut body = BytesMut::from(first.as_ref());
    // `chunk` fails if the connection ends before `Content-Length` bytes have arrived.
    while let Some(chunk) = response.chunk().await.map_err(|_| UpstreamError::Lost)? {
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(UpstreamError::Broken);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(UpstreamAnswer { status, headers, body: body.freeze(), instance })
}
