//! Reads files and the operators' pages of nodes for the subcommands.

use std::time::Duration;

use bbv_core::catalogue::{Catalogue, ConfigErrors};
use eyre::{Result, WrapErr, eyre};
use serde::de::DeserializeOwned;

const TIMEOUT: Duration = Duration::from_secs(3);

/// Reads a text file.
pub fn text(path: &str) -> Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("could not read {path}"))
}

/// Reads a catalogue file. The inner result holds the errors of its content, the outer one those of
/// reading the file.
///
/// ```
/// assert!(bbv_ctl::fetch::catalogue("no such file").is_err());
/// ```
pub fn catalogue(path: &str) -> Result<Result<Catalogue, ConfigErrors>> {
    Ok(Catalogue::parse(&text(path)?))
}

/// Fetches a page of a node, such as `status`, from its operators' address.
pub fn page<T: DeserializeOwned>(node: &str, page: &str) -> Result<T> {
    let url = format!("http://{node}/{page}");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build()?;
        let response =
            client.get(&url).send().await.wrap_err_with(|| format!("could not reach {node}"))?;
        let response =
            response.error_for_status().wrap_err_with(|| format!("could not read {url}"))?;
        response.json().await.map_err(|error| eyre!("could not read {url}: {error}"))
    })
}

/// Reads JSON from a page of a node if `source` is a socket address, else from a file.
pub fn json<T: DeserializeOwned>(source: &str, page_name: &str) -> Result<T> {
    if source.parse::<std::net::SocketAddr>().is_ok() {
        return page(source, page_name);
    }
    serde_json::from_str(&text(source)?).wrap_err_with(|| format!("could not read {source}"))
}
