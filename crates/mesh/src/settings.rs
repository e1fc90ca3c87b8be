//! Settings of a mesh node, read and validated from YAML.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bbv_core::catalogue::{ConfigErrors, YamlReader, read_yaml};
use bbv_core::region_choice::KbCosts;
use bbv_core::retry_budget::RetryLimit;
use bbv_core::units::{Micros, SEC};
use eyre::{WrapErr, eyre};

/// Settings of a mesh node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM, used in logs.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Regions of the availability zones; empty if the settings name none.
    pub regions: BTreeMap<String, String>,
    /// Service of the upstream beside the node.
    pub service: String,
    /// Address of the upstream beside the node.
    pub upstream: SocketAddr,
    /// Address for callers, over HTTP.
    pub callers: SocketAddr,
    /// Address for other nodes, over HTTP; its port is the same on all nodes.
    pub peers: SocketAddr,
    /// Address for readiness checks and metrics, over HTTP.
    pub readiness: SocketAddr,
    /// Address for load notices, over UDP; its port is the same on all nodes.
    pub notices: SocketAddr,
    /// Address of the store that publishes the configuration.
    pub platform: SocketAddr,
    /// Maximum time from SIGTERM to the end of the process.
    pub grace: Micros,
    /// Interval at which upstreams renew their entries in the store.
    pub heartbeat: Micros,
    /// Limit on the retries of all nodes together.
    pub retries: RetryLimit,
    /// Cost of a kilobyte sent between zones, as a share of the loss of a request; the default depends
    /// on whether there are several regions.
    pub zone_kb_cost: Option<f64>,
    /// Cost of a kilobyte sent between regions, as a share of the loss of a request.
    pub region_kb_cost: f64,
    /// Maximum number of bytes that the bodies of requests take at once.
    pub request_memory: usize,
    /// Maximum number of bytes that the bodies of responses take at once.
    pub response_memory: usize,
    /// Time within which a key that was taken away is refused by every node, whether it is in touch
    /// with the store or not; `None` if nodes that are not in touch may accept keys.
    pub revocation: Option<Micros>,
    /// Whether requests are refused by rank, with the calls that they make, when there is too little
    /// room.
    pub shedding: bool,
    /// Additional address for metrics, if any.
    pub metrics: Option<SocketAddr>,
}

const DEFAULT_GRACE_S: f64 = 6.0;
const MAX_GRACE_S: f64 = 3_600.0;
const DEFAULT_HEARTBEAT_S: f64 = 1.5;
const MAX_HEARTBEAT_S: f64 = 3_600.0;
const DEFAULT_ZONE_KB_COST: f64 = 0.2;
/// Zones of one region of several are near each other.
const DEFAULT_NEAR_ZONE_KB_COST: f64 = 0.02;
const DEFAULT_REGION_KB_COST: f64 = 0.2;
const MAX_KB_COST: f64 = 100.0;
const DEFAULT_REQUEST_MEMORY_MB: f64 = 64.0;
/// Share of the memory of the process that the bodies of requests may take unless their own setting says
/// otherwise. The rest is for responses, connections and the configuration.
const REQUEST_MEMORY_SHARE: f64 = 0.25;
/// More than a VM's link of 20 Mbit/s carries within usual deadlines.
const DEFAULT_RESPONSE_MEMORY_MB: f64 = 6.0;
const MAX_MEMORY_MB: f64 = 65_536.0;
const MIN_MEMORY_MB: f64 = 0.1;
const BYTES_PER_MB: f64 = 1_048_576.0;
const MAX_RETRY_BURST: f64 = 1e6;
const MAX_RETRY_WINDOW_S: f64 = 3_600.0;
const MAX_REVOKE_S: f64 = 3_600.0;

fn parse_addr(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text} is not an IP address with a port"))
}

fn required_addr(root: &mut YamlReader<'_>, key: &str) -> SocketAddr {
    root.parsed(key, parse_addr).unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn optional_addr(root: &mut YamlReader<'_>, key: &str) -> Option<SocketAddr> {
    let text = root.optional_text(key)?;
    match parse_addr(&text) {
        Ok(addr) => Some(addr),
        Err(message) => {
            root.error(key, message);
            None
        }
    }
}

fn retry_limit(root: &mut YamlReader<'_>) -> RetryLimit {
    let defaults = RetryLimit::default();
    let window = root.optional_float("retry_window_s", 0.0..=MAX_RETRY_WINDOW_S);
    RetryLimit {
        ratio: root.optional_float("retry_share", 0.0..=1.0).unwrap_or(defaults.ratio),
        burst: root.optional_float("retry_burst", 0.0..=MAX_RETRY_BURST).unwrap_or(defaults.burst),
        window: window.map_or(defaults.window, micros),
    }
}

/// Reads the region of each zone.
fn regions(root: &mut YamlReader<'_>) -> BTreeMap<String, String> {
    let zones = root.optional_list("zones", |zone| (zone.text("name"), zone.text("region")));
    zones.into_iter().collect()
}

fn micros(seconds: f64) -> Micros {
    (seconds * SEC as f64) as Micros
}

fn time(root: &mut YamlReader<'_>, key: &str, most_s: f64, default_s: f64) -> Micros {
    micros(root.optional_float(key, 0.0..=most_s).unwrap_or(default_s))
}

/// Reads the memory for the bodies of requests; by default it fits into that of the process.
fn request_memory(root: &mut YamlReader<'_>) -> usize {
    let process_mb = root.optional_float("memory_mb", MIN_MEMORY_MB..=MAX_MEMORY_MB);
    let fitting_mb = process_mb.map_or(MAX_MEMORY_MB, |mb| mb * REQUEST_MEMORY_SHARE);
    memory(root, "request_memory_mb", DEFAULT_REQUEST_MEMORY_MB.min(fitting_mb))
}

fn memory(root: &mut YamlReader<'_>, key: &str, default_mb: f64) -> usize {
    let mb = root.optional_float(key, MIN_MEMORY_MB..=MAX_MEMORY_MB).unwrap_or(default_mb);
    (mb * BYTES_PER_MB) as usize
}

impl Default for Settings {
    /// Returns the default settings, with port 0 of the loopback interface for every address.
    fn default() -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            node: String::new(),
            zone: String::new(),
            regions: BTreeMap::new(),
            service: String::new(),
            upstream: unset,
            callers: unset,
            peers: unset,
            readiness: unset,
            notices: unset,
            platform: unset,
            grace: micros(DEFAULT_GRACE_S),
            heartbeat: micros(DEFAULT_HEARTBEAT_S),
            retries: RetryLimit::default(),
            zone_kb_cost: None,
            region_kb_cost: DEFAULT_REGION_KB_COST,
            request_memory: (DEFAULT_REQUEST_MEMORY_MB * BYTES_PER_MB) as usize,
            response_memory: (DEFAULT_RESPONSE_MEMORY_MB * BYTES_PER_MB) as usize,
            revocation: None,
            shedding: true,
            metrics: None,
        }
    }
}

impl Settings {
    /// Parses settings; the error lists every fault with its line.
    ///
    /// ```
    /// use bbv_mesh::settings::Settings;
    /// let errors = Settings::parse("node: a\nzone: z\nupstream: localhost\n").unwrap_err();
    /// assert!(errors.to_string().contains("line 3: upstream: localhost is not an IP address"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, ConfigErrors> {
        read_yaml(text, |root| Settings {
            node: root.text("node"),
            zone: root.text("zone"),
            regions: regions(root),
            service: root.text("service"),
            upstream: required_addr(root, "upstream"),
            callers: required_addr(root, "callers"),
            peers: required_addr(root, "peers"),
            readiness: required_addr(root, "readiness"),
            notices: required_addr(root, "notices"),
            platform: required_addr(root, "platform"),
            grace: time(root, "grace_s", MAX_GRACE_S, DEFAULT_GRACE_S),
            heartbeat: time(root, "heartbeat_s", MAX_HEARTBEAT_S, DEFAULT_HEARTBEAT_S),
            retries: retry_limit(root),
            zone_kb_cost: root.optional_float("zone_kb_cost", 0.0..=MAX_KB_COST),
            region_kb_cost: root
                .optional_float("region_kb_cost", 0.0..=MAX_KB_COST)
                .unwrap_or(DEFAULT_REGION_KB_COST),
            request_memory: request_memory(root),
            response_memory: memory(root, "response_memory_mb", DEFAULT_RESPONSE_MEMORY_MB),
            revocation: root.optional_float("revoke_s", 0.0..=MAX_REVOKE_S).map(micros),
            shedding: root.optional_boolean("shedding").unwrap_or(true),
            metrics: optional_addr(root, "metrics"),
        })
    }

    /// Returns the region of `zone`, if the settings name it.
    ///
    /// ```
    /// assert_eq!(bbv_mesh::settings::Settings::default().region("z"), None);
    /// ```
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }

    /// Returns whether the zones lie in several regions.
    ///
    /// ```
    /// assert!(!bbv_mesh::settings::Settings::default().has_several_regions());
    /// ```
    pub fn has_several_regions(&self) -> bool {
        let mut regions = self.regions.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// Returns what bytes to other zones and regions cost.
    ///
    /// ```
    /// assert_eq!(bbv_mesh::settings::Settings::default().kb_costs().zone, 0.2);
    /// ```
    pub fn kb_costs(&self) -> KbCosts {
        let several = self.has_several_regions();
        let default = if several { DEFAULT_NEAR_ZONE_KB_COST } else { DEFAULT_ZONE_KB_COST };
        KbCosts { zone: self.zone_kb_cost.unwrap_or(default), region: self.region_kb_cost }
    }

    /// Reads the settings file at `path`.
    ///
    /// ```
    /// assert!(bbv_mesh::settings::Settings::load("/does/not/exist").is_err());
    /// ```
    pub fn load(path: &str) -> eyre::Result<Self> {
        let text =
            std::fs::read_to_string(path).wrap_err_with(|| format!("could not read {path}"))?;
        Settings::parse(&text).map_err(|errors| {
            let lines: Vec<String> =
                errors.0.iter().map(|error| format!("{path}: {error}")).collect();
            eyre!("could not use {path}\n{}", lines.join("\n"))
        })
    }
}
