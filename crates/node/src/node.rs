//! The node: its parts, and the dispatch of messages from peers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bbv_core::fleet::PeerProcess;
use bbv_core::id::{NodeId, Vm};
use bbv_core::poison::Crash;
use bbv_core::units::{MS, Micros};
use bbv_wire::{PeerRequest, Reply, ReplyEnvelope, RequestEnvelope};
use parking_lot::{Mutex, MutexGuard};

use crate::audit::Event;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::ports::{LinkError, Ports};
use crate::state::State;
use crate::timer::Timer;

/// One node.
pub struct Node {
    pub(crate) options: Options,
    pub(crate) ports: Ports,
    pub(crate) timer: Timer,
    pub(crate) metrics: Metrics,
    pub(crate) open_calls: AtomicU64,
    state: Mutex<State>,
    ticked: AtomicU64,
}

/// Lateness of a tick that means that the process was paused.
pub(crate) const PAUSE: Micros = 500 * MS;

impl Node {
    /// Creates a node; [`Node::start`] runs its tasks.
    pub fn new(options: Options, ports: Ports, timer: Timer) -> Arc<Self> {
        let state = Mutex::new(State::new(&options, timer.now()));
        let ticked = AtomicU64::new(timer.now());
        let open_calls = AtomicU64::new(0);
        Arc::new(Node { options, ports, timer, metrics: Metrics::new(), open_calls, state, ticked })
    }

    /// Identity of this process.
    pub fn id(&self) -> NodeId {
        self.lock().me
    }

    /// Metrics of this node.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Clock of this node.
    pub fn timer(&self) -> &Timer {
        &self.timer
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    pub(crate) fn now(&self) -> Micros {
        self.timer.now()
    }

    /// Calls of callers that have not ended.
    pub fn open_calls(&self) -> u64 {
        self.open_calls.load(Ordering::Relaxed)
    }

    /// Tells whether the node takes new calls.
    pub fn ready(&self) -> bool {
        let state = self.lock();
        state.node_state_name() == "serving" && state.gate_open()
    }

    /// Records a tick, and the pause before it if there was one.
    pub(crate) fn tick(&self, now: Micros) {
        self.check_pause(now);
        self.ticked.store(now, Ordering::Relaxed);
    }

    /// Marks everything known as stale when the last tick is long ago.
    pub(crate) fn check_pause(&self, now: Micros) {
        let last = self.ticked.load(Ordering::Relaxed);
        if now.saturating_sub(last) <= PAUSE {
            return;
        }
        self.ticked.store(now, Ordering::Relaxed);
        let mut state = self.lock();
        for steer in state.balancers.values_mut() {
            steer.clear_samples();
        }
        state.node_event(now, "woke_late");
        self.metrics.pauses.inc();
    }

    /// Wraps a request for a peer.
    pub(crate) fn envelope(&self, ask: PeerRequest) -> RequestEnvelope {
        let state = self.lock();
        RequestEnvelope {
            from: state.me,
            revision: state.documents.through(),
            stopping: state.draining(),
            request: ask,
        }
    }

    /// Sends a request to the node on `vm` and learns from its reply.
    pub(crate) async fn ask(
        self: &Arc<Self>,
        vm: Vm,
        ask: PeerRequest,
    ) -> Result<Reply, LinkError> {
        let addr = self.lock().fleet.member(vm).map(|member| member.listed.addr);
        let Some(addr) = addr else { return Err(LinkError::Unsent(format!("{vm} is not listed"))) };
        if !matches!(ask, PeerRequest::Attempt(_) | PeerRequest::Operate(_)) {
            self.metrics.control_sent.inc();
        }
        let sent = self.now();
        match (self.ports.link)(addr, self.envelope(ask)).await {
            Ok(reply) => {
                self.learn(sent, &reply);
                Ok(reply.reply)
            }
            Err(error) => {
                self.metrics.link_errors.inc();
                let mut state = self.lock();
                let now = self.now();
                state.fleet.record_failure(now, vm);
                state.refresh_candidates(now);
                Err(error)
            }
        }
    }

    /// Learns load, link time, liveness and revision from a reply.
    fn learn(self: &Arc<Self>, sent: Micros, reply: &ReplyEnvelope) {
        let now = self.now();
        let vm = reply.from.vm;
        self.heard(reply.from, reply.revision, reply.stopping);
        let mut state = self.lock();
        let service = state.fleet.member(vm).map(|member| member.listed.service.clone());
        let Some(steer) = service.and_then(|name| state.balancers.get_mut(&name)) else { return };
        steer.record_sample(now, vm, reply.load);
        let link = now.saturating_sub(sent).saturating_sub(reply.processing_time);
        steer.record_rtt(vm, link);
    }

    /// Records a message of a peer; a newer revision there is pulled.
    pub(crate) fn heard(self: &Arc<Self>, from: NodeId, revision: u64, stopping: bool) {
        let now = self.now();
        let behind = {
            let mut state = self.lock();
            let known = state.fleet.member(from.vm).map(|member| member.stopping);
            let heard = state.fleet.record_message(now, from, stopping);
            if heard == PeerProcess::Replaced {
                state.audit.write(now, Event::PeerReplaced, &from.to_string(), "heard");
            }
            if heard == PeerProcess::Replaced || known.is_some_and(|was| was != stopping) {
                state.refresh_candidates(now);
            }
            let behind = revision > state.documents.through() && !state.pulling;
            state.pulling |= behind;
            behind
        };
        if behind {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.pull(from.vm).await });
        }
    }

    /// Handles a request of a peer.
    pub async fn serve(self: &Arc<Self>, envelope: RequestEnvelope) -> ReplyEnvelope {
        let arrived = self.now();
        self.check_pause(arrived);
        let RequestEnvelope { from, revision, stopping, request: ask } = envelope;
        self.heard(from, revision, stopping);
        let reply = self.dispatch(from, ask).await;
        self.reply(arrived, reply)
    }

    pub(crate) fn reply(&self, arrived: Micros, reply: Reply) -> ReplyEnvelope {
        let now = self.now();
        let state = self.lock();
        ReplyEnvelope {
            from: state.me,
            revision: state.documents.through(),
            stopping: state.draining(),
            load: state.gate.load(now),
            processing_time: now.saturating_sub(arrived),
            reply,
        }
    }

    async fn dispatch(self: &Arc<Self>, from: NodeId, ask: PeerRequest) -> Reply {
        match ask {
            PeerRequest::Adopt(handoff) => self.adopt_operations(handoff),
            PeerRequest::Attempt(attempt) => self.run_attempt(attempt).await,
            PeerRequest::Crashes(crashes) => self.learn_crashes(&crashes),
            PeerRequest::Notice(load) => {
                self.learn_notice(from, load);
                Reply::Ack
            }
            PeerRequest::Operate(operate) => self.run_operation(operate).await,
            PeerRequest::Probe => Reply::Ack,
            PeerRequest::Pull(since) => Reply::Changes(self.lock().documents.catch_up(since)),
            PeerRequest::Push(changes) => {
                self.take_changes(&changes);
                Reply::Ack
            }
            PeerRequest::Void { id, incarnation } => self.void_attempt(id, incarnation),
        }
    }

    fn learn_crashes(&self, crashes: &[Crash]) -> Reply {
        let now = self.now();
        let mut state = self.lock();
        for crash in crashes {
            state.suspects.record_crash(now, *crash);
        }
        Reply::Ack
    }

    fn learn_notice(&self, from: NodeId, load: bbv_core::load::Load) {
        let now = self.now();
        let mut state = self.lock();
        let service = state.fleet.member(from.vm).map(|member| member.listed.service.clone());
        if let Some(steer) = service.and_then(|name| state.balancers.get_mut(&name)) {
            steer.record_sample(now, from.vm, load);
        }
    }

    /// Rows that this node has written.
    pub fn statement(&self) -> bbv_core::reconciliation::Statement {
        self.lock().attempt_log.statement()
    }

    /// Audit trail from line `serial` on.
    pub fn audit(&self, serial: u64) -> Vec<crate::audit::Line> {
        self.lock().audit.since(serial)
    }
}
