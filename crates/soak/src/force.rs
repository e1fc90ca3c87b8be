//! Checks that a published version of the routing is in force at a calm node within the bound, and
//! no older one after that.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

use crate::calm::Disturbances;
use crate::checker::Checker;
use crate::history::{History, Mark, Version};
use crate::served::Served;
use crate::versions::status_of;

/// Route that every version has.
const FIRST_ROUTE: &str = "get";
/// Pause between two checks of a node.
const PAUSE: Duration = Duration::from_millis(40);

/// Monitor of the routes that are in force at one node.
pub struct ForceMonitor {
    /// Name of the node.
    pub name: String,
    /// Address for callers.
    pub node: SocketAddr,
    /// Versions that were published.
    pub history: Arc<History>,
    /// Times at which the node is disturbed.
    pub disturbances: Arc<Disturbances>,
    /// Collects violations.
    pub checker: Arc<Checker>,
    /// Whether to end.
    pub stop: Arc<AtomicBool>,
    /// Draws the routes to ask for.
    pub rng: SmallRng,
    /// Newest version that was found not to be in force in time, or 0.
    pub reported: u64,
    /// Requests on added and on first routes.
    pub served: Served,
}

impl ForceMonitor {
    /// Checks the node until `stop` is set.
    pub async fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            tokio::time::sleep(PAUSE).await;
            let now = Instant::now();
            if let Some((due, older)) = self.history.due(&self.disturbances, now) {
                let mark = self.draw(&due, &older);
                self.check(mark, &due, now).await;
            }
        }
        self.served.violation(&self.name).into_iter().for_each(|it| self.checker.add_violation(it));
    }

    /// Draws a route that the version that is due has and the older one lacks, or the reverse.
    fn draw(&mut self, due: &Version, older: &Version) -> Mark {
        let (fewer, more) = (due.routes.min(older.routes), due.routes.max(older.routes));
        let invalid = self.history.invalid();
        match (self.rng.random_range(0..3 + usize::from(invalid.is_some())), invalid) {
            (0, _) => Mark::Since(due.number),
            (1, _) => Mark::Only(older.number),
            (3, Some(number)) => Mark::Invalid(number),
            _ if fewer == more => Mark::Added(fewer.saturating_sub(1)),
            _ => Mark::Added(self.rng.random_range(fewer..more)),
        }
    }

    /// Checks route `mark` against the versions that may be in force since `due` is, and records the
    /// first violation for each version.
    async fn check(&mut self, mark: Mark, due: &Version, sent: Instant) {
        let status = status_of(self.node, &mark.name()).await;
        // A version that was published or a fault that was injected meanwhile may have an effect.
        let allowed = self.history.from(due.number);
        let is_calm = |acked| self.disturbances.deadline(acked, Instant::now());
        if due.acked.and_then(is_calm).is_none_or(|deadline| deadline >= sent) {
            return;
        }
        let (found, missing) = (status == 200, status == 404);
        self.checker.count_conclusive(found || missing);
        let all_have = allowed.iter().all(|version| version.has(mark));
        let none_has = !allowed.iter().any(|version| version.has(mark));
        if all_have && matches!(mark, Mark::Since(_) | Mark::Added(_)) {
            let first = status_of(self.node, FIRST_ROUTE).await;
            self.served.record(found, first == 200);
        }
        let violated = (missing && all_have) || (found && none_has);
        if violated && self.reported < due.number {
            self.reported = due.number;
            let late = due.acked.map_or(Duration::ZERO, |acked| sent - acked);
            self.checker.add_violation(format!(
                "{}: version {} not in force after {late:?}: status {status} for {mark:?}",
                self.name, due.number
            ));
        }
    }
}
