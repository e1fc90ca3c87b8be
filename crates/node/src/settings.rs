//! Settings of a node, from YAML.

use std::net::SocketAddr;

use bbv_core::catalogue::{ConfigErrors, YamlReader, read_yaml};
use bbv_core::id::Vm;

/// Paths of the PEM files of a node.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tls {
    /// Certificates of the fleet's authority.
    pub ca: String,
    /// Certificate of the node.
    pub cert: String,
    /// Private key of the node.
    pub key: String,
}

/// Settings of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// VM that it runs on.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: String,
    /// Service of the upstream beside it.
    pub service: String,
    /// Address for callers, over HTTP.
    pub callers: SocketAddr,
    /// Address for operators, over HTTP.
    pub operators: SocketAddr,
    /// Address for peers, over QUIC.
    pub peer: SocketAddr,
    /// Base of the upstream's URLs.
    pub upstream: String,
    /// Base of the platform's URLs.
    pub platform: String,
    /// Peers asked for the configuration at the start.
    pub peers: Vec<SocketAddr>,
    /// Unexpired tickets that may be outstanding.
    pub tickets: usize,
    /// PEM files.
    pub tls: Tls,
}

const TICKETS: u64 = 20_000;
const TICKETS_MAX: u64 = 1_000_000;

fn addr(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text} is not an IP address with a port"))
}

fn base(text: &str) -> Result<String, String> {
    let rest = text.strip_prefix("http://").ok_or(format!("{text} does not begin with http://"))?;
    addr(rest.trim_end_matches('/'))?;
    Ok(text.to_owned())
}

impl Settings {
    /// Reads settings and names every fault with its line.
    ///
    /// ```
    /// use bbv_node::settings::Settings;
    /// let faults = Settings::parse("vm: 1\nzone: a\ncallers: localhost\n").unwrap_err();
    /// assert!(faults.to_string().contains("line 3: callers: localhost is not an IP address"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, ConfigErrors> {
        read_yaml(text, |root| {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            Settings {
                vm: Vm(root.uint("vm", 0..=u64::from(u32::MAX)) as u32),
                zone: root.text("zone"),
                service: root.text("service"),
                callers: root.parsed("callers", addr).unwrap_or(any),
                operators: root.parsed("operators", addr).unwrap_or(any),
                peer: root.parsed("peer", addr).unwrap_or(any),
                upstream: root.parsed("upstream", base).unwrap_or_default(),
                platform: root.parsed("platform", base).unwrap_or_default(),
                peers: root.optional_list("peers", |item| {
                    let text = item.scalar();
                    addr(&text).unwrap_or_else(|message| {
                        item.item_error(message);
                        any
                    })
                }),
                tickets: root.optional_uint("tickets", 1..=TICKETS_MAX).unwrap_or(TICKETS) as usize,
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
