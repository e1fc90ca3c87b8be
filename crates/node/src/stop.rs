//! Graceful shutdown.

use std::sync::Arc;

use bbv_core::id::{NodeId, Vm};
use bbv_core::units::{MS, Micros, SEC};
use bbv_wire::{Ask, Reply};

use crate::audit::Event;
use crate::node::Node;
use crate::ports::LinkError;

/// Longest time that a planned stop takes.
pub const STOP_WITHIN: Micros = 10 * SEC;

const SETTLE_EVERY: Micros = 5 * MS;
const HANDOFF_TRIES: usize = 5;

impl Node {
    /// Stops taking new work, finishes what runs, and hands the records over.
    ///
    /// Returns whether everything was finished and handed over within [`STOP_WITHIN`].
    pub async fn drain(self: &Arc<Self>) -> bool {
        let deadline = self.now() + STOP_WITHIN;
        {
            let now = self.now();
            let mut state = self.lock();
            state.node_event(now, "stop");
            for owner in state.owners.values_mut() {
                owner.close();
            }
        }
        self.announce_stop();
        let idle = self.settle_all(deadline).await;
        let handed = self.hand_off(deadline).await;
        let now = self.now();
        self.lock().node_event(now, "drained");
        let statement = self.statement();
        log::info!(
            "event=stopped node={} idle={idle} handed={handed} ingress_rows={} gate_rows={} sent={}",
            statement.node,
            statement.ingress.len(),
            statement.gate.len(),
            statement.sent
        );
        idle && handed
    }

    /// Tells recent ingresses at once; the others learn with their next message.
    fn announce_stop(self: &Arc<Self>) {
        let now = self.now();
        let peers = self.lock().recent_ingresses(now);
        for vm in peers {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.ask(vm, Ask::Probe).await });
        }
    }

    async fn settle_all(self: &Arc<Self>, deadline: Micros) -> bool {
        loop {
            let busy = {
                let state = self.lock();
                state.gate.running() > 0 || !state.waiters.is_empty() || !state.watched.is_empty()
            };
            if !busy {
                return true;
            }
            if self.now() >= deadline {
                return false;
            }
            self.timer.sleep(SETTLE_EVERY).await;
        }
    }

    async fn hand_off(self: &Arc<Self>, deadline: Micros) -> bool {
        let ids: Vec<NodeId> = self.lock().owners.keys().copied().collect();
        let mut all = true;
        for id in ids {
            all &= self.hand_off_one(id, deadline).await;
        }
        all
    }

    async fn hand_off_one(self: &Arc<Self>, id: NodeId, deadline: Micros) -> bool {
        let me = self.options.vm;
        for successor in self.successors(id).into_iter().filter(|vm| *vm != me) {
            let now = self.now();
            if !self.lock().fleet.usable(now, successor) {
                continue;
            }
            match self.offer_records(id, successor, deadline).await {
                Offer::Taken => return true,
                Offer::Refused => {}
                // It may hold the records, so nobody else may be given them.
                Offer::Unknown => return false,
            }
        }
        false
    }

    async fn offer_records(self: &Arc<Self>, id: NodeId, successor: Vm, deadline: Micros) -> Offer {
        let now = self.now();
        let handoff = {
            let mut state = self.lock();
            let owner = state.owners.get_mut(&id).expect("own records are kept");
            owner.hand_off(now, successor)
        };
        let Some(handoff) = handoff else { return Offer::Unknown };
        let mut sent = false;
        for _ in 0..HANDOFF_TRIES {
            let ask = self.ask(successor, Ask::Adopt(handoff.clone()));
            match self.timer.limit(deadline, ask).await {
                Some(Ok(Reply::Ack)) => {
                    let mut state = self.lock();
                    let cause = format!("handed {} records over", handoff.records.len());
                    state.audit.write(now, Event::Handoff, &successor.to_string(), &cause);
                    return Offer::Taken;
                }
                Some(Ok(_)) if !sent => return Offer::Refused,
                Some(Err(LinkError::Unsent(_))) if !sent => {}
                Some(Ok(_) | Err(_)) => sent = true,
                None => return Offer::Unknown,
            }
            self.timer.sleep(SETTLE_EVERY).await;
        }
        if sent { Offer::Unknown } else { Offer::Refused }
    }
}

/// What became of an offer of records.
enum Offer {
    Refused,
    Taken,
    Unknown,
}
