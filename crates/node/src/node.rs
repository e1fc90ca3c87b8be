//! Holds the state, ports and metrics of a node, sends requests to peers, and dispatches the
//! requests that peers send.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bbv_core::fleet::PeerProcess;
use bbv_core::id::{NodeId, Vm};
use bbv_core::poison::Crash;
use bbv_core::units::{MS, Micros};
use bbv_wire::{PeerRequest, Reply, ReplyEnvelope, RequestEnvelope};
use parking_lot::{Mutex, MutexGuard};
use tokio::sync::watch;

use crate::audit::Event;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::ports::{LinkError, Ports};
use crate::state::State;
use crate::timer::Timer;

/// A node: ingress for its callers and gate of its upstream.
pub struct Node {
    pub(crate) options: Options,
    pub(crate) ports: Ports,
    pub(crate) timer: Timer,
    pub(crate) metrics: Metrics,
    pub(crate) open_calls: AtomicU64,
    /// Whether all calls have to be answered, since the node stops.
    pub(crate) late: watch::Sender<bool>,
    state: Mutex<State>,
    last_tick: AtomicU64,
}

/// Time since the last tick after which the process counts as paused.
pub(crate) const PAUSE_THRESHOLD: Micros = 500 * MS;

impl Node {
    /// Creates a node; [`Node::start`] runs its tasks.
    pub fn new(options: Options, ports: Ports, timer: Timer) -> Arc<Self> {
        let state = Mutex::new(State::new(&options, timer.now()));
        let last_tick = AtomicU64::new(timer.now());
        let open_calls = AtomicU64::new(0);
        Arc::new(Node {
            options,
            ports,
            timer,
            metrics: Metrics::new(),
            open_calls,
            late: watch::Sender::new(false),
            state,
            last_tick,
        })
    }

    /// Id of this process.
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

    /// Number of calls from callers that have not ended.
    pub fn open_calls(&self) -> u64 {
        self.open_calls.load(Ordering::Relaxed)
    }

    /// Returns whether the node accepts new calls.
    pub fn ready(&self) -> bool {
        let state = self.lock();
        state.node_state_name() == "serving" && state.gate_open()
    }

    /// Records a tick, and a pause of the process before it.
    pub(crate) fn record_tick(&self, now: Micros) {
        self.check_pause(now);
        self.last_tick.store(now, Ordering::Relaxed);
    }

    /// Discards the load samples of all upstreams, and stops sending new work until the node has
    /// caught up, if the process was paused: its samples and configuration may be outdated.
    pub(crate) fn check_pause(&self, now: Micros) {
        let previous = self.last_tick.load(Ordering::Relaxed);
        if now.saturating_sub(previous) <= PAUSE_THRESHOLD {
            return;
        }
        self.last_tick.store(now, Ordering::Relaxed);
        let mut state = self.lock();
        for balancer in state.balancers.values_mut() {
            balancer.clear_samples();
        }
        state.node_event(now, "woke_late");
        self.metrics.pauses.inc();
    }

    /// Adds the state of this node to a request to a peer.
    pub(crate) fn request_envelope(&self, request: PeerRequest) -> RequestEnvelope {
        let state = self.lock();
        RequestEnvelope {
            from: state.me,
            revision: state.documents.through(),
            stopping: state.draining(),
            request,
        }
    }

    /// Sends a request to the node on `vm` and updates the state from its reply.
    pub(crate) async fn send_request(
        self: &Arc<Self>,
        vm: Vm,
        request: PeerRequest,
    ) -> Result<Reply, LinkError> {
        let addr = self.lock().fleet.member(vm).map(|member| member.listed.addr);
        let Some(addr) = addr else {
            return Err(LinkError::Unsent(format!("{vm} is not in the fleet list")));
        };
        if !matches!(request, PeerRequest::Attempt(_) | PeerRequest::Operate(_)) {
            self.metrics.control_sent.inc();
        }
        let sent = self.now();
        match (self.ports.link)(addr, self.request_envelope(request)).await {
            Ok(reply) => {
                self.record_envelope(sent, &reply);
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

    /// Records the load, round-trip time, liveness, revision and its age in a reply.
    fn record_envelope(self: &Arc<Self>, sent: Micros, reply: &ReplyEnvelope) {
        let now = self.now();
        let vm = reply.from.vm;
        self.record_message(reply.from, reply.revision, reply.stopping);
        let rtt = now.saturating_sub(sent).saturating_sub(reply.processing_time);
        let mut state = self.lock();
        state.confirm_documents(now, reply.revision, reply.age.map(|age| age.saturating_add(rtt)));
        let service = state.fleet.member(vm).map(|member| member.listed.service.clone());
        let Some(balancer) = service.and_then(|name| state.balancers.get_mut(&name)) else {
            return;
        };
        balancer.record_sample(now, vm, reply.load);
        balancer.record_rtt(vm, rtt);
    }

    /// Records a message of a peer, and pulls changes if the peer has a newer revision.
    pub(crate) fn record_message(self: &Arc<Self>, from: NodeId, revision: u64, stopping: bool) {
        let now = self.now();
        let behind = {
            let mut state = self.lock();
            let was_stopping = state.fleet.member(from.vm).map(|member| member.stopping);
            let process = state.fleet.record_message(now, from, stopping);
            if process == PeerProcess::Replaced {
                state.audit.write(now, Event::PeerReplaced, &from.to_string(), "heard");
            }
            if process == PeerProcess::Replaced || was_stopping.is_some_and(|was| was != stopping) {
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
        let RequestEnvelope { from, revision, stopping, request } = envelope;
        self.record_message(from, revision, stopping);
        let reply = self.dispatch(from, request).await;
        self.reply_envelope(arrived, reply)
    }

    /// Adds the state of this node to a reply to a peer.
    pub(crate) fn reply_envelope(&self, arrived: Micros, reply: Reply) -> ReplyEnvelope {
        let now = self.now();
        let state = self.lock();
        ReplyEnvelope {
            from: state.me,
            revision: state.documents.through(),
            age: state.freshness.age(now),
            stopping: state.draining(),
            load: state.gate.load(now),
            processing_time: now.saturating_sub(arrived),
            reply,
        }
    }

    async fn dispatch(self: &Arc<Self>, from: NodeId, request: PeerRequest) -> Reply {
        match request {
            PeerRequest::Adopt(handoff) => self.adopt_operations(handoff),
            PeerRequest::Attempt(attempt) => self.run_attempt(attempt).await,
            PeerRequest::Crashes(crashes) => self.record_crashes(&crashes),
            PeerRequest::Notice(load) => {
                self.record_notice(from, load);
                Reply::Ack
            }
            PeerRequest::Operate(request) => self.run_operation(request).await,
            PeerRequest::Probe => Reply::Ack,
            PeerRequest::Pull(since) => Reply::Changes(self.lock().documents.catch_up(since)),
            PeerRequest::Push(changes) => {
                self.apply_changes(&changes);
                Reply::Ack
            }
            PeerRequest::Void { id, incarnation } => self.void_attempt(id, incarnation),
        }
    }

    fn record_crashes(&self, crashes: &[Crash]) -> Reply {
        let now = self.now();
        let mut state = self.lock();
        for crash in crashes {
            state.suspects.record_crash(now, *crash);
        }
        Reply::Ack
    }

    fn record_notice(&self, from: NodeId, load: bbv_core::load::Load) {
        let now = self.now();
        let mut state = self.lock();
        let service = state.fleet.member(from.vm).map(|member| member.listed.service.clone());
        if let Some(balancer) = service.and_then(|name| state.balancers.get_mut(&name)) {
            balancer.record_sample(now, from.vm, load);
        }
    }

    /// Log of the attempts of this node, for reconciliation.
    pub fn statement(&self) -> bbv_core::reconciliation::Statement {
        self.lock().attempt_log.statement()
    }

    /// Lines of the audit trail from number `serial` on.
    pub fn audit(&self, serial: u64) -> Vec<crate::audit::Line> {
        self.lock().audit.since(serial)
    }
}
