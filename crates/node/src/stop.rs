//! Graceful shutdown.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bbv_core::id::{NodeId, Vm};
use bbv_core::operation::Handoff;
use bbv_core::units::{MS, Micros, SEC};
use bbv_wire::{Answer, PeerRequest, Reply};

use crate::audit::Event;
use crate::node::Node;
use crate::ports::LinkError;

/// Longest time that a planned stop takes.
pub const STOP_WITHIN: Micros = 10 * SEC;

const SETTLE_EVERY: Micros = 5 * MS;
const HANDOFF_TRIES: usize = 5;

impl Node {
    /// Stops taking new work for the upstream and finishes what runs on it.
    ///
    /// Calls that still come are served by other gates. Returns whether the upstream was
    /// idle within [`STOP_WITHIN`].
    pub async fn drain(self: &Arc<Self>) -> bool {
        let now = self.now();
        {
            let mut state = self.lock();
            state.node_event(now, "stop");
            for owner in state.ticket_owners.values_mut() {
                owner.close();
            }
        }
        self.announce_stop();
        self.settle(now + STOP_WITHIN, |node| {
            let state = node.lock();
            state.gate.running() == 0 && state.waiters.is_empty()
        })
        .await
    }

    /// Ends a planned stop when callers can no longer connect: finishes their calls, hands
    /// the records over and logs the counts.
    ///
    /// Returns whether everything was finished and handed over within [`STOP_WITHIN`].
    pub async fn finish(self: &Arc<Self>) -> bool {
        let deadline = self.now() + STOP_WITHIN;
        let no_calls = |node: &Node| node.open_calls.load(Ordering::Relaxed) == 0;
        let idle = self.settle(deadline, no_calls).await;
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
            tokio::spawn(async move { node.ask(vm, PeerRequest::Probe).await });
        }
    }

    async fn settle(self: &Arc<Self>, deadline: Micros, idle: impl Fn(&Node) -> bool) -> bool {
        while !idle(self) {
            if self.now() >= deadline {
                return false;
            }
            self.timer.sleep(SETTLE_EVERY).await;
        }
        true
    }

    async fn hand_off(self: &Arc<Self>, deadline: Micros) -> bool {
        let ids: Vec<NodeId> = self.lock().ticket_owners.keys().copied().collect();
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

    fn freeze_records(&self, id: NodeId, successor: Vm) -> Option<Handoff<Answer>> {
        let now = self.now();
        let mut state = self.lock();
        let owner = state.ticket_owners.get_mut(&id).expect("own records are kept");
        owner.hand_off(now, successor)
    }

    async fn offer_records(self: &Arc<Self>, id: NodeId, successor: Vm, deadline: Micros) -> Offer {
        let mut handoff = self.freeze_records(id, successor);
        while handoff.is_none() && self.now() < deadline {
            // An operation is under way; its record is handed over when it has ended.
            self.timer.sleep(SETTLE_EVERY).await;
            handoff = self.freeze_records(id, successor);
        }
        let now = self.now();
        let Some(handoff) = handoff else { return Offer::Unknown };
        let mut sent = false;
        for _ in 0..HANDOFF_TRIES {
            let ask = self.ask(successor, PeerRequest::Adopt(handoff.clone()));
            match self.timer.timeout_at(deadline, ask).await {
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
