//! Configuration service of the platform, over HTTP.

use std::time::Duration;

use bbv_core::documents::DocumentChange;
use bbv_core::units::{MS, Micros, Revision};
use eyre::{Result, WrapErr};
use reqwest::Client;
use serde::{Deserialize, Serialize};

use crate::ports::{Platform, Published};

/// Body of an answer of the platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireChanges {
    /// Revision up to which the changes are complete.
    pub through: Revision,
    /// Changes, or all documents.
    pub changes: Vec<DocumentChange>,
    /// Whether these are all documents.
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

const EXTRA: Duration = Duration::from_secs(2);

/// Creates the port to the platform at `base`, such as `http://127.0.0.1:6000`.
pub fn port(base: &str) -> Result<Platform> {
    let client = Client::builder()
        .connect_timeout(EXTRA)
        .no_proxy()
        .build()
        .wrap_err("could not create the platform's client")?;
    let base = base.trim_end_matches('/').to_owned();
    Ok(Box::new(move |since, wait| {
        let client = client.clone();
        let url = format!("{base}/v1/changes?since={since}&wait_ms={}", wait / MS);
        Box::pin(async move { read(client, url, wait).await.map_err(|error| error.to_string()) })
    }))
}

async fn read(client: Client, url: String, wait: Micros) -> Result<Published, reqwest::Error> {
    let timeout = Duration::from_micros(wait) + EXTRA;
    let response = client.get(url).timeout(timeout).send().await?.error_for_status()?;
    Ok(response.json::<WireChanges>().await?.into())
}
