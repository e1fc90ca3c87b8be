//! Settings of a mesh node, from YAML.

use std::net::SocketAddr;

use bbv_core::catalogue::{ConfigErrors, YamlReader, read_yaml};
use bbv_core::retry_budget::RetryLimit;
use bbv_core::units::{Micros, SEC};
use eyre::{WrapErr, eyre};

/// Settings of a mesh node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM, for logs.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Service of the upstream beside it.
    pub service: String,
    /// Upstream beside it.
    pub upstream: SocketAddr,
    /// Address for callers, over HTTP.
    pub callers: SocketAddr,
    /// Address for other nodes, over HTTP; its port is the same on all nodes.
    pub peers: SocketAddr,
    /// Address for readiness checks and metrics, over HTTP.
    pub readiness: SocketAddr,
    /// Address for load notices, over UDP; its port is the same on all nodes.
    pub notices: SocketAddr,
    /// Store that publishes the configuration.
    pub platform: SocketAddr,
    /// Time from SIGTERM to the end of the process at the latest.
    pub grace: Micros,
    /// Retries that all nodes together may send.
    pub retries: RetryLimit,
    /// Loss that a kilobyte between zones is worth, as a share of a request.
    pub zone_kb_cost: f64,
    /// Address for metrics, if they have one of their own.
    pub metrics: Option<SocketAddr>,
}

const GRACE_S: f64 = 6.0;
const GRACE_MAX_S: f64 = 3_600.0;
const ZONE_KB_COST: f64 = 0.2;
const ZONE_KB_COST_MAX: f64 = 100.0;
const RETRY_BURST_MAX: f64 = 1e6;
const RETRY_WINDOW_MAX_S: f64 = 3_600.0;

fn addr(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text} is not an IP address with a port"))
}

fn parse_addr(root: &mut YamlReader<'_>, key: &str) -> SocketAddr {
    root.parsed(key, addr).unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn optional_addr(root: &mut YamlReader<'_>, key: &str) -> Option<SocketAddr> {
    let text = root.optional_text(key)?;
    match addr(&text) {
        Ok(addr) => Some(addr),
        Err(message) => {
            root.error(key, message);
            None
        }
    }
}

fn retries(root: &mut YamlReader<'_>) -> RetryLimit {
    let held = RetryLimit::default();
    let window = root.optional_float("retry_window_s", 0.0..=RETRY_WINDOW_MAX_S);
    RetryLimit {
        ratio: root.optional_float("retry_share", 0.0..=1.0).unwrap_or(held.ratio),
        burst: root.optional_float("retry_burst", 0.0..=RETRY_BURST_MAX).unwrap_or(held.burst),
        window: window.map_or(held.window, |window| (window * SEC as f64) as Micros),
    }
}

impl Default for Settings {
    /// Settings with every default, on no address.
    fn default() -> Self {
        let none = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            node: String::new(),
            zone: String::new(),
            service: String::new(),
            upstream: none,
            callers: none,
            peers: none,
            readiness: none,
            notices: none,
            platform: none,
            grace: (GRACE_S * SEC as f64) as Micros,
            retries: RetryLimit::default(),
            zone_kb_cost: ZONE_KB_COST,
            metrics: None,
        }
    }
}

impl Settings {
    /// Reads settings and names every fault with its line.
    ///
    /// ```
    /// use bbv_mesh::settings::Settings;
    /// let faults = Settings::parse("node: a\nzone: z\nupstream: localhost\n").unwrap_err();
    /// assert!(faults.to_string().contains("line 3: upstream: localhost is not an IP address"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, ConfigErrors> {
        read_yaml(text, |root| Settings {
            node: root.text("node"),
            zone: root.text("zone"),
            service: root.text("service"),
            upstream: parse_addr(root, "upstream"),
            callers: parse_addr(root, "callers"),
            peers: parse_addr(root, "peers"),
            readiness: parse_addr(root, "readiness"),
            notices: parse_addr(root, "notices"),
            platform: parse_addr(root, "platform"),
            grace: (root.optional_float("grace_s", 0.0..=GRACE_MAX_S).unwrap_or(GRACE_S)
                * SEC as f64) as Micros,
            retries: retries(root),
            zone_kb_cost: root
                .optional_float("zone_kb_cost", 0.0..=ZONE_KB_COST_MAX)
                .unwrap_or(ZONE_KB_COST),
            metrics: optional_addr(root, "metrics"),
        })
    }

    /// Reads the settings at `path`.
    ///
    /// ```
    /// assert!(bbv_mesh::settings::Settings::load("/does/not/exist").is_err());
    /// ```
    pub fn load(path: &str) -> eyre::Result<Self> {
        let text =
            std::fs::read_to_string(path).wrap_err_with(|| format!("could not read {path}"))?;
        Settings::parse(&text).map_err(|faults| {
            let lines: Vec<String> =
                faults.0.iter().map(|fault| format!("{path}: {fault}")).collect();
            eyre!("could not use {path}\n{}", lines.join("\n"))
        })
    }
}
