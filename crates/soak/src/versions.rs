//! Checks that the routing in force at a node never returns to an older version while its process
//! runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bbv_stand::caller;

use crate::checker::Checker;

/// Pause between two checks of a node.
const PAUSE: Duration = Duration::from_millis(40);
/// Deadline of a request to a node.
const DEADLINE_MS: u64 = 400;
/// Statuses that require a route in force: the request ran, or its upstream failed.
pub const ROUTED: [u16; 4] = [200, 500, 502, 504];

/// Returns the name of the route that exists only in version `version` of the routing.
pub fn version_route(version: u64) -> String {
    format!("mark-{version}")
}

/// Monitor of the routing version at one node.
pub struct VersionMonitor {
    /// Address for callers.
    pub node: SocketAddr,
    /// Newest version published.
    pub newest: Arc<AtomicU64>,
    /// Number that changes whenever the node's process ends or starts.
    pub generation: Arc<AtomicU64>,
    /// Whether to end.
    pub stop: Arc<AtomicBool>,
}

/// Version that was in force at a node.
#[derive(Clone, Copy)]
struct ObservedVersion {
    version: u64,
    /// Version observed before, or 0.
    previous: u64,
    /// Generation of the process that had it in force.
    generation: u64,
}

impl VersionMonitor {
    /// Checks the node until `stop` is set, and records each return to an older version.
    pub async fn run(self, name: String, checker: Arc<Checker>) {
        let mut observed: Option<ObservedVersion> = None;
        while !self.stop.load(Ordering::Relaxed) {
            tokio::time::sleep(PAUSE).await;
            if let Some(ObservedVersion { version, previous, generation }) = observed
                && previous > 0
                && self.in_force_at(previous, generation).await
            {
                checker.add_violation(format!(
                    "{name}: routing went back from version {version} to {previous}"
                ));
            }
            let (version, generation) =
                (self.newest.load(Ordering::SeqCst), self.generation.load(Ordering::SeqCst));
            let newer = observed.is_none_or(|observed| observed.version < version);
            if newer && self.in_force_at(version, generation).await {
                let previous = observed.map_or(0, |observed| observed.version);
                observed = Some(ObservedVersion { version, previous, generation });
            }
        }
    }

    /// Whether version `version` is in force in the process of generation `generation`.
    async fn in_force_at(&self, version: u64, generation: u64) -> bool {
        let unchanged = || self.generation.load(Ordering::SeqCst) == generation;
        unchanged() && self.in_force(version).await && unchanged()
    }

    async fn in_force(&self, version: u64) -> bool {
        ROUTED.contains(&status_of(self.node, &version_route(version)).await)
    }
}

/// Returns the status of a request on route `name` to `node`; 0 if there is no answer in time.
pub async fn status_of(node: SocketAddr, name: &str) -> u16 {
    let text = caller::request("GET", &format!("/{name}/1"), "probe", DEADLINE_MS, "");
    let limit = Duration::from_millis(2 * DEADLINE_MS);
    let answer = tokio::time::timeout(limit, caller::try_send(node, &text)).await;
    answer.map_or(0, |answer| answer.status)
}
