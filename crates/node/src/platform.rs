//! Reads changes of the configuration from the platform over HTTP.

use std::time::Duration;

use bbv_core::documents::DocumentChange;
use bbv_core::units::{MS, Micros, Revision};
use bytes::Bytes;
use eyre::{Result, WrapErr, ensure};
use http::{Request, Uri};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::http_client::{self, HttpClient};
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

/// Time for which an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Creates the port to the platform at the URL `base`, such as `http://127.0.0.1:6000`.
pub fn port(base: &str) -> Result<Platform> {
    http_client::uri(base, "/").wrap_err_with(|| format!("platform is not a URL: {base}"))?;
    let client = HttpClient::new(NETWORK_TIMEOUT, IDLE_TIMEOUT);
    let base = base.to_owned();
    Ok(Box::new(move |since, wait| {
        let client = client.clone();
        let path = format!("/v1/changes?since={since}&wait_ms={}", wait / MS);
        let uri = http_client::uri(&base, &path);
        Box::pin(async move {
            let uri = uri.map_err(|error| error.to_string())?;
            fetch(client, uri, wait).await.map_err(|error| format!("{error:#}"))
        })
    }))
}

/// Reads changes; the timeout covers the whole response.
async fn fetch(client: HttpClient, uri: Uri, wait: Micros) -> Result<Published> {
    let timeout = Duration::from_micros(wait) + NETWORK_TIMEOUT;
    let read = tokio::time::timeout(timeout, read_changes(client, uri)).await;
    read.wrap_err_with(|| format!("no response within {timeout:?}"))?
}

async fn read_changes(client: HttpClient, uri: Uri) -> Result<Published> {
    let response = client.send(Request::get(uri).body(Full::<Bytes>::default())?).await?;
    ensure!(response.status().is_success(), "status {}", response.status());
    let body = http_client::read_body(response.into_body(), MAX_RESPONSE_BYTES).await?;
    Ok(serde_json::from_slice::<WireChanges>(&body)?.into())
}
