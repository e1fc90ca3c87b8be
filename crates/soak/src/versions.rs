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

/// What a node has shown.
#[derive(Clone, Copy)]
struct Shown {
    version: u64,
    /// Version that it showed before, or 0.
    before: u64,
    /// Start of the process that showed it.
    start: u64,
}

impl Watch {
    /// Looks at the node until told to stop, and records each step back.
    pub async fn run(self, name: String, ledger: Arc<Ledger>) {
        let mut shown: Option<Shown> = None;
        while !self.stop.load(Ordering::Relaxed) {
            tokio::time::sleep(PAUSE).await;
            if let Some(Shown { version, before, start }) = shown
                && before > 0
                && self.shows(before, start).await
            {
                ledger.breach(format!("{name} went from version {version} back to {before}"));
            }
            let (version, start) =
                (self.newest.load(Ordering::SeqCst), self.starts.load(Ordering::SeqCst));
            let newer = shown.is_none_or(|shown| shown.version < version);
            if newer && self.shows(version, start).await {
                let before = shown.map_or(0, |shown| shown.version);
                shown = Some(Shown { version, before, start });
            }
        }
    }

    /// Whether version `version` is in force at the process of start `start`.
    async fn shows(&self, version: u64, start: u64) -> bool {
        let same = || self.starts.load(Ordering::SeqCst) == start;
        same() && self.in_force(version).await && same()
    }

    async fn in_force(&self, version: u64) -> bool {
        let path = format!("/{}/1", marker(version));
        let text = client::request("GET", &path, "probe", DEADLINE_MS, "");
        let limit = Duration::from_millis(2 * DEADLINE_MS);
        let answer = tokio::time::timeout(limit, client::try_send(self.node, &text)).await;
        answer.is_ok_and(|answer| ROUTED.contains(&answer.status))
    }
}
