//! Stops a node gracefully: drains its upstream, lets its calls end, and hands its operation
//! records over to other nodes.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bbv_core::id::{NodeId, Vm};
use bbv_core::operation::Handoff;
use bbv_core::units::{MS, Micros, SEC};
use bbv_wire::{Answer, PeerRequest, Reply};

use crate::audit::Event;
use crate::node::Node;
use crate::ports::LinkError;

/// Maximum duration of a stop until callers have their responses, and of [`Node::finish`].
pub const STOP_TIMEOUT: Micros = 10 * SEC;
/// Time before the end of `STOP_TIMEOUT` at which calls that still run are answered.
const STOP_RESERVE: Micros = 500 * MS;

const POLL_INTERVAL: Micros = 5 * MS;
const MAX_HANDOFF_TRIES: usize = 5;

impl Node {
    /// Stops admitting work for the upstream and waits until it is idle.
    ///
    /// New calls are sent to other gates meanwhile, unless their deadlines are after the end of the
    /// stop. Returns whether the upstream was idle within `STOP_TIMEOUT`.
    pub async fn drain(self: &Arc<Self>) -> bool {
        let now = self.now();
        let answer_by = now + STOP_TIMEOUT - STOP_RESERVE;
        {
            let mut state = self.lock();
            state.answer_by = Some(answer_by);
            state.node_event(now, "stop");
            for owner in state.ticket_owners.values_mut() {
                owner.close();
            }
        }
        self.announce_stop();
        self.answer_late_calls(answer_by);
        self.wait_until(now + STOP_TIMEOUT, |node| {
            let state = node.lock();
            state.gate.running() == 0 && state.waiters.is_empty()
        })
        .await
    }

    /// Answers the calls that still run at `answer_by`.
    fn answer_late_calls(self: &Arc<Self>, answer_by: Micros) {
        let node = Arc::clone(self);
        tokio::spawn(async move {
            node.timer.sleep_until(answer_by).await;
            node.late.send_replace(true);
        });
    }

    /// Returns whether a call with `deadline` could outlast a stop that has begun.
    pub(crate) fn may_outlast_stop(&self, deadline: Micros) -> bool {
        self.lock().answer_by.is_some_and(|answer_by| deadline > answer_by)
    }

    /// Waits until calls have to be answered, since the node stops.
    pub(crate) async fn wait_until_late(&self) {
        let mut late = self.late.subscribe();
        // Fails only if the sender is gone, and the node owns it.
        let _ = late.wait_for(|late| *late).await;
    }

    /// Ends a stop once callers can no longer connect: waits for their calls, hands the
    /// operation records over and logs the counts.
    ///
    /// Returns whether all calls ended and all records were handed over within `STOP_TIMEOUT`.
    pub async fn finish(self: &Arc<Self>) -> bool {
        let deadline = self.now() + STOP_TIMEOUT;
        let no_calls = |node: &Node| node.open_calls.load(Ordering::Relaxed) == 0;
        let idle = self.wait_until(deadline, no_calls).await;
        let handed = self.hand_off_all(deadline).await;
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

    /// Announces the stop to recent ingresses; other nodes learn of it from the next message of
    /// this node.
    fn announce_stop(self: &Arc<Self>) {
        let now = self.now();
        let peers = self.lock().recent_ingresses(now);
        for vm in peers {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.send_request(vm, PeerRequest::Probe).await });
        }
    }

    async fn wait_until(
        self: &Arc<Self>,
        deadline: Micros,
        condition: impl Fn(&Node) -> bool,
    ) -> bool {
        while !condition(self) {
            if self.now() >= deadline {
                return false;
            }
            self.timer.sleep(POLL_INTERVAL).await;
        }
        true
    }

    async fn hand_off_all(self: &Arc<Self>, deadline: Micros) -> bool {
        let ids: Vec<NodeId> = self.lock().ticket_owners.keys().copied().collect();
        let mut complete = true;
        for id in ids {
            complete &= self.hand_off_owner(id, deadline).await;
        }
        complete
    }

    async fn hand_off_owner(self: &Arc<Self>, id: NodeId, deadline: Micros) -> bool {
        let me = self.options.vm;
        for successor in self.successors(id).into_iter().filter(|vm| *vm != me) {
            let now = self.now();
            if !self.lock().fleet.usable(now, successor) {
                continue;
            }
            match self.offer_records(id, successor, deadline).await {
                OfferResult::Accepted => return true,
                OfferResult::Refused => {}
                // The successor may hold the records, so they must not be offered to another node.
                OfferResult::Unknown => return false,
            }
        }
        false
    }

    fn freeze_records(&self, id: NodeId, successor: Vm) -> Option<Handoff<Answer>> {
        let now = self.now();
        let mut state = self.lock();
        let owner =
            state.ticket_owners.get_mut(&id).expect("records are kept until they are handed over");
        owner.hand_off(now, successor)
    }

    async fn offer_records(
        self: &Arc<Self>,
        id: NodeId,
        successor: Vm,
        deadline: Micros,
    ) -> OfferResult {
        let mut handoff = self.freeze_records(id, successor);
        while handoff.is_none() && self.now() < deadline {
            // An operation is still running; its record is handed over once it has ended.
            self.timer.sleep(POLL_INTERVAL).await;
            handoff = self.freeze_records(id, successor);
        }
        let now = self.now();
        let Some(handoff) = handoff else { return OfferResult::Unknown };
        let mut sent = false;
        for _ in 0..MAX_HANDOFF_TRIES {
            let offer = self.send_request(successor, PeerRequest::Adopt(handoff.clone()));
            match self.timer.timeout_at(deadline, offer).await {
                Some(Ok(Reply::Ack)) => {
                    let mut state = self.lock();
                    let cause = format!("handed {} records over", handoff.records.len());
                    state.audit.write(now, Event::Handoff, &successor.to_string(), &cause);
                    return OfferResult::Accepted;
                }
                Some(Ok(_)) if !sent => return OfferResult::Refused,
                Some(Err(LinkError::Unsent(_))) if !sent => {}
                Some(Ok(_) | Err(_)) => sent = true,
                None => return OfferResult::Unknown,
            }
            self.timer.sleep(POLL_INTERVAL).await;
        }
        if sent { OfferResult::Unknown } else { OfferResult::Refused }
    }
}

/// Result of offering the records of an owner to a successor; `Unknown` if the successor may
/// have adopted them.
enum OfferResult {
    Refused,
    Accepted,
    Unknown,
}
