//! Periodic tasks of a node.

use std::sync::Arc;

use bbv_core::id::Vm;
use bbv_core::units::{MS, Micros, SEC};
use bbv_wire::PeerRequest;

use crate::node::Node;

const WATCH_EVERY: Micros = 10 * MS;
const REFRESH_EVERY: Micros = 200 * MS;
const EXPIRE_EVERY: Micros = 10 * SEC;
const SAMPLE_AGE: Micros = 100 * MS;

impl Node {
    /// Starts the node's tasks.
    pub fn start(self: &Arc<Self>) -> Vec<tokio::task::JoinHandle<()>> {
        let seeds = Arc::clone(self);
        vec![
            tokio::spawn(Arc::clone(self).watch()),
            tokio::spawn(Arc::clone(self).refresh()),
            tokio::spawn(Arc::clone(self).expire()),
            tokio::spawn(async move { seeds.pull_seeds().await }),
            tokio::spawn(Arc::clone(self).read_platform()),
            tokio::spawn(Arc::clone(self).exchange()),
        ]
    }

    async fn watch(self: Arc<Self>) {
        let mut ticks = self.timer.every(WATCH_EVERY);
        loop {
            let tick = ticks.next().await;
            self.tick(tick.now);
            {
                let mut state = self.lock();
                state.wake_waiters(tick.now);
                state.update_upstream(tick.now);
            }
            self.notify_load(tick.now);
            self.probe(tick.now);
        }
    }

    /// Asks for the load of targets whose sample is old, within the budget.
    fn probe(self: &Arc<Self>, now: Micros) {
        if self.options.baseline.is_some() {
            return;
        }
        let stale: Vec<Vm> = {
            let state = self.lock();
            let steers = state.balancers.values();
            let vms = steers.filter_map(|steer| steer.stalest(now, SAMPLE_AGE));
            vms.filter(|vm| *vm != state.me.vm).collect()
        };
        for vm in stale {
            if !self.lock().probe_budget.spend() {
                return;
            }
            self.metrics.measure_sent.inc();
            let node = Arc::clone(self);
            tokio::spawn(async move { node.ask(vm, PeerRequest::Probe).await });
        }
    }

    async fn refresh(self: Arc<Self>) {
        let mut ticks = self.timer.every(REFRESH_EVERY);
        loop {
            let now = ticks.next().await.now;
            self.lock().refresh_candidates(now);
        }
    }

    async fn expire(self: Arc<Self>) {
        let mut ticks = self.timer.every(EXPIRE_EVERY);
        loop {
            let now = ticks.next().await.now;
            let mut state = self.lock();
            state.attempts.expire(now);
            state.suspects.expire(now);
            let me = state.me;
            for owner in state.ticket_owners.values_mut() {
                owner.expire(now);
            }
            state.ticket_owners.retain(|id, owner| *id == me || !owner.is_empty());
        }
    }
}
