//! Reads changes of the configuration from the platform over HTTP.

use std::time::Duration;

use bbv_core::documents::DocumentChange;
use bbv_core::units::{MS, Micros, Revision};
use bytes::BytesMut;
use eyre::{Result, WrapErr, ensure};
use reqwest::{Client, Response};
use serde::{Deserialize, Serialize};

use crate::ports::{Platform, Published};

/// JSON body of a response of the platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireChanges {
    /// Revision up to which the changes are complete.
    pub through: Revision,
    /// Changes, or all documents.
    pub changes: Vec<DocumentChange>,
    /// Whether `changes` holds all documents.
    pub snapshot: bool,
}

impl From<WireChanges> for Published {
    fn from(wire: WireChanges) -> Self {
        let WireChanges { through, changes, snapshot } = wire;
        Published { through, changes, snapshot }
    }
}

impl From<Published> for WireChanges {
    fn from(published: Published) -> Self {
        let Published { through, changes, snapshot } = published;
        WireChanges { through, changes, snapshot }
    }
}

/// Timeout of a connection, and of a response beyond the time that the platform waits for
/// changes.
const NETWORK_TIMEOUT: Duration = Duration::from_secs(2);

/// Size from which a response is not read any further.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;

/// Creates the port to the platform at the URL `base`, such as `http://127.0.0.1:6000`.
pub fn port(base: &str) -> Result<Platform> {
    let client = Client::builder()
        .connect_timeout(NETWORK_TIMEOUT)
        .no_proxy()
        .build()
        .wrap_err("could not create the HTTP client for the platform")?;
    let base = base.trim_end_matches('/').to_owned();
    Ok(Box::new(move |since, wait| {
        let client = client.clone();
        let url = format!("{base}/v1/changes?since={since}&wait_ms={}", wait / MS);
        Box::pin(async move { fetch(client, url, wait).await.map_err(|error| error.to_string()) })
    }))
}

async fn fetch(client: Client, url: String, wait: Micros) -> Result<Published> {
    let timeout = Duration::from_micros(wait) + NETWORK_TIMEOUT;
    let response = client.get(url).timeout(timeout).send().await?.error_for_status()?;
    let body = read_body(response).await?;
    Ok(serde_json::from_slice::<WireChanges>(&body)?.into())
}

async fn read_body(mut response: Response) -> Result<BytesMut> {
    let mut body = BytesMut::new();
    let announced = response.content_length().unwrap_or(0);
    ensure!(announced <= MAX_RESPONSE_BYTES as u64, "response of {announced} bytes is too large");
    while let Some(chunk) = response.chunk().await? {
        let len = body.len() + chunk.len();
        ensure!(len <= MAX_RESPONSE_BYTES, "response of {len} bytes or more is too large");
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
