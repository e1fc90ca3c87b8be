//! Upstream beside the node, over HTTP.

use std::time::Duration;

use bbv_core::units::MS;
use bytes::BytesMut;
use eyre::{Result, WrapErr};
use reqwest::{Client, Response};

use crate::front::{DEADLINE, passed_on};
use crate::ports::{Upstream, UpstreamAnswer, UpstreamCall, UpstreamError};

/// Largest answer that is verified whole before it is passed on, in bytes.
pub const ANSWER_MAX: usize = 1_024 * 1_024;

/// Header in which an upstream names its process.
pub const INSTANCE: &str = "x-instance-id";

const CONNECT: Duration = Duration::from_millis(500);
const IDLE: Duration = Duration::from_secs(30);

/// Creates the port to the upstream at `base`, such as `http://127.0.0.1:7000`.
pub fn port(base: &str) -> Result<Upstream> {
    let client = Client::builder()
        .connect_timeout(CONNECT)
        .pool_idle_timeout(IDLE)
        .tcp_nodelay(true)
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .wrap_err("could not create the upstream's client")?;
    let base = base.trim_end_matches('/').to_owned();
    Ok(Box::new(move |call| {
        let client = client.clone();
        let url = format!("{base}{}", call.request.path);
        Box::pin(run(client, url, call))
    }))
}

async fn run(
    client: Client,
    url: String,
    call: UpstreamCall,
) -> Result<UpstreamAnswer, UpstreamError> {
    let UpstreamCall { request, ttl } = call;
    let method = request.method.parse().map_err(|_| UpstreamError::Unsent)?;
    let mut sending = client.request(method, url).header(DEADLINE, ttl / MS);
    for field in &request.headers {
        sending = sending.header(&field.name, &field.value);
    }
    let response = sending.body(request.body).send().await.map_err(|error| {
        let unsent = error.is_connect() || error.is_builder();
        if unsent { UpstreamError::Unsent } else { UpstreamError::Lost }
    })?;
    read(response).await
}

async fn read(mut response: Response) -> Result<UpstreamAnswer, UpstreamError> {
    let stated = response.content_length();
    if stated.is_some_and(|length| length > ANSWER_MAX as u64) {
        return Err(UpstreamError::Broken);
    }
    let status = response.status().as_u16();
    let headers = passed_on(response.headers());
    let instance = response.headers().get(INSTANCE);
    let instance = instance.map(|value| bbv_core::rendezvous::weight(value.as_bytes(), 0));
    let first = response.chunk().await.map_err(|_| UpstreamError::Lost)?.unwrap_or_default();
    if stated == Some(first.len() as u64) {
        return Ok(UpstreamAnswer { status, headers, body: first, instance });
    }
    let mut body = BytesMut::from(first.as_ref());
    // A connection that ends before the stated length is an error of `chunk`.
    while let Some(chunk) = response.chunk().await.map_err(|_| UpstreamError::Lost)? {
        if body.len() + chunk.len() > ANSWER_MAX {
            return Err(UpstreamError::Broken);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(UpstreamAnswer { status, headers, body: body.freeze(), instance })
}
