//! Settings of a node, read and validated from YAML.

use std::net::SocketAddr;

use bbv_core::catalogue::{ConfigErrors, YamlReader, read_yaml};
use bbv_core::id::Vm;

/// Paths of the PEM files for TLS between nodes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tls {
    /// Certificates of the fleet's certificate authority.
    pub ca: String,
    /// Certificate of the node.
    pub cert: String,
    /// Private key of the node.
    pub key: String,
}

/// Settings of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// VM that the node runs on.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: String,
    /// Service of the upstream beside the node.
    pub service: String,
    /// Address for callers, over HTTP.
    pub callers: SocketAddr,
    /// Address for operators, over HTTP.
    pub operators: SocketAddr,
    /// Address for peers, over QUIC.
    pub peer: SocketAddr,
    /// Base URL of the upstream.
    pub upstream: String,
    /// Base URL of the platform.
    pub platform: String,
    /// Peers to pull the configuration from at the start.
    pub peers: Vec<SocketAddr>,
    /// Maximum number of outstanding tickets that have not expired.
    pub tickets: usize,
    /// PEM files for TLS between nodes.
    pub tls: Tls,
}

const DEFAULT_TICKETS: u64 = 20_000;
const MAX_TICKETS: u64 = 1_000_000;

fn parse_addr(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text} is not an IP address with a port"))
}

fn parse_base_url(text: &str) -> Result<String, String> {
    let rest = text.strip_prefix("http://").ok_or(format!("{text} does not begin with http://"))?;
    parse_addr(rest.trim_end_matches('/'))?;
    Ok(text.to_owned())
}

impl Settings {
    /// Parses settings; the error lists every fault with its line.
    ///
    /// ```
    /// use bbv_node::settings::Settings;
    /// let faults = Settings::parse("vm: 1\nzone: a\ncallers: localhost\n").unwrap_err();
    /// assert!(faults.to_string().contains("line 3: callers: localhost is not an IP address"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, ConfigErrors> {
        read_yaml(text, |root| {
            let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
            Settings {
                vm: Vm(root.uint("vm", 0..=u64::from(u32::MAX)) as u32),
                zone: root.text("zone"),
                service: root.text("service"),
                callers: root.parsed("callers", parse_addr).unwrap_or(placeholder),
                operators: root.parsed("operators", parse_addr).unwrap_or(placeholder),
                peer: root.parsed("peer", parse_addr).unwrap_or(placeholder),
                upstream: root.parsed("upstream", parse_base_url).unwrap_or_default(),
                platform: root.parsed("platform", parse_base_url).unwrap_or_default(),
                peers: root.optional_list("peers", |item| {
                    let text = item.scalar();
                    parse_addr(&text).unwrap_or_else(|message| {
                        item.item_error(message);
                        placeholder
                    })
                }),
                tickets: root.optional_uint("tickets", 1..=MAX_TICKETS).unwrap_or(DEFAULT_TICKETS)
                    as usize,
                tls: read_tls(root),
            }
        })
    }
}

fn read_tls(root: &mut YamlReader<'_>) -> Tls {
    let tls = root.optional_child("tls", |tls| Tls {
        ca: tls.text("ca"),
        cert: tls.text("cert"),
        key: tls.text("key"),
    });
    if tls.is_none() {
        root.error("tls", "is missing");
    }
    tls.unwrap_or_default()
}
