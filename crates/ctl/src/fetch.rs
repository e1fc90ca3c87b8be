//! Reading of files and of nodes' operator pages.

use std::time::Duration;

use bbv_core::catalogue::{Catalogue, ConfigErrors};
use eyre::{Result, WrapErr, eyre};
use serde::de::DeserializeOwned;

const TIMEOUT: Duration = Duration::from_secs(3);

/// Reads a text file.
pub fn text(path: &str) -> Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("could not read {path}"))
}

/// Reads a catalogue file; its faults come back apart from other errors.
///
/// ```
/// assert!(bbv_ctl::fetch::catalogue("no such file").is_err());
/// ```
pub fn catalogue(path: &str) -> Result<Result<Catalogue, ConfigErrors>> {
    Ok(Catalogue::parse(&text(path)?))
}

/// Reads a page of a node, such as `status`, from its operators' address.
pub fn page<T: DeserializeOwned>(node: &str, page: &str) -> Result<T> {
    let url = format!("http://{node}/{page}");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build()?;
        let response =
            client.get(&url).send().await.wrap_err_with(|| format!("could not reach {node}"))?;
        let response =
            response.error_for_status().wrap_err_with(|| format!("could not read {url}"))?;
        response.json().await.map_err(|e| eyre!("could not read {url}: {e}"))
    })
}

/// Reads JSON from a file, or from a node when the name is an address.
pub fn json<T: DeserializeOwned>(name: &str, from_page: &str) -> Result<T> {
    if name.parse::<std::net::SocketAddr>().is_ok() {
        return page(name, from_page);
    }
    serde_json::from_str(&text(name)?).wrap_err_with(|| format!("could not read {name}"))
}
