//! Runs the periodic tasks of a node: waking of queued requests, load probes, candidate
//! refresh and expiry of records.

use std::sync::Arc;

use bbv_core::id::Vm;
use bbv_core::units::{MS, Micros, SEC};
use bbv_wire::PeerRequest;

use crate::node::Node;

const TICK_INTERVAL: Micros = 10 * MS;
const REFRESH_INTERVAL: Micros = 200 * MS;
const EXPIRE_INTERVAL: Micros = 10 * SEC;
const MAX_SAMPLE_AGE: Micros = 100 * MS;

impl Node {
    /// Starts the tasks of the node.
    pub fn start(self: &Arc<Self>) -> Vec<tokio::task::JoinHandle<()>> {
        let node = Arc::clone(self);
        vec![
            tokio::spawn(Arc::clone(self).run_ticks()),
            tokio::spawn(Arc::clone(self).run_refresh()),
            tokio::spawn(Arc::clone(self).run_expiry()),
            tokio::spawn(async move { node.pull_from_seeds().await }),
            tokio::spawn(Arc::clone(self).read_platform()),
            tokio::spawn(Arc::clone(self).sync_with_peers()),
        ]
    }

    async fn run_ticks(self: Arc<Self>) {
        let mut ticks = self.timer.every(TICK_INTERVAL);
        loop {
            let tick = ticks.next().await;
            self.record_tick(tick.now);
            {
                let mut state = self.lock();
                state.wake_waiters(tick.now);
                state.update_upstream(tick.now);
            }
            self.notify_load(tick.now);
            self.probe_stale(tick.now);
        }
    }

    /// Probes the load of the VM with the oldest sample of each service, within the budget.
    fn probe_stale(self: &Arc<Self>, now: Micros) {
        if self.options.baseline.is_some() {
            return;
        }
        let stale: Vec<Vm> = {
            let state = self.lock();
            let balancers = state.balancers.values();
            let vms = balancers.filter_map(|balancer| balancer.stalest(now, MAX_SAMPLE_AGE));
            vms.filter(|vm| *vm != state.me.vm).collect()
        };
        for vm in stale {
            if !self.lock().probe_budget.spend() {
                return;
            }
            self.metrics.measure_sent.inc();
            let node = Arc::clone(self);
            tokio::spawn(async move { node.send_request(vm, PeerRequest::Probe).await });
        }
    }

    async fn run_refresh(self: Arc<Self>) {
        let mut ticks = self.timer.every(REFRESH_INTERVAL);
        loop {
            let now = ticks.next().await.now;
            self.lock().refresh_candidates(now);
        }
    }

    async fn run_expiry(self: Arc<Self>) {
        let mut ticks = self.timer.every(EXPIRE_INTERVAL);
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
