//! Checks that the routing in force at a node never goes back while its process runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bbv_stand::client;

use crate::ledger::Ledger;

/// Pause between two looks at a node.
const PAUSE: Duration = Duration::from_millis(40);
/// Time that a look may take.
const DEADLINE_MS: u64 = 400;
/// Statuses of a request whose route is in force: it ran, or an upstream failed it.
const ROUTED: [u16; 4] = [200, 500, 502, 504];

/// Name of the route that only version `version` of the routing has.
pub fn marker(version: u64) -> String {
    format!("mark-{version}")
}

/// What a node is watched by.
pub struct Watch {
    /// Address for callers.
    pub node: SocketAddr,
    /// Newest version published.
    pub newest: Arc<AtomicU64>,
    /// Starts of the node's process.
    pub starts: Arc<AtomicU64>,
    /// Whether to end.
    pub stop: Arc<AtomicBool>,
}

impl Watch {
    /// Looks at the node until told to stop, and records each step back.
    pub async fn run(self, name: String, ledger: Arc<Ledger>) {
        // Version seen in force, the one before it, and the start of the process that showed it.
        let mut seen: Option<(u64, u64, u64)> = None;
        while !self.stop.load(Ordering::Relaxed) {
            tokio::time::sleep(PAUSE).await;
            let start = self.starts.load(Ordering::SeqCst);
            if let Some((version, before, _)) = seen.filter(|(_, _, at)| *at == start) {
                let back = before > 0 && self.in_force(before).await;
                if back && self.starts.load(Ordering::SeqCst) == start {
                    ledger.breach(format!("{name} went from version {version} back to {before}"));
                }
            }
            let newest = self.newest.load(Ordering::SeqCst);
            if seen.is_none_or(|(version, _, _)| version < newest) && self.in_force(newest).await {
                let before = seen.map_or(0, |(version, _, _)| version);
                if self.starts.load(Ordering::SeqCst) == start {
                    seen = Some((newest, before, start));
                }
            }
        }
    }

    async fn in_force(&self, version: u64) -> bool {
        let path = format!("/{}/1", marker(version));
        let text = client::request("GET", &path, "probe", DEADLINE_MS, "");
        let limit = Duration::from_millis(2 * DEADLINE_MS);
        let answer = tokio::time::timeout(limit, client::try_send(self.node, &text)).await;
        answer.is_ok_and(|answer| ROUTED.contains(&answer.status))
    }
}
