//! The node: its parts and the state that they share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bbv_core::admission::AdmissionDequeued;
use bbv_core::route::Name;
use bbv_core::units::{Micros, Revision, SEC};
use bbv_core::view::Effect;
use bbv_timer::Timer;
use parking_lot::{Mutex, MutexGuard};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;

use crate::event::{self, Event};
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::state::State;

/// Time in which a connection to another node or to the upstream is made.
const CONNECT: Duration = Duration::from_millis(150);
/// Idle time after which a connection to another node is not used again.
const PEER_IDLE: Duration = Duration::from_secs(8);
/// Idle time after which a connection to an upstream that tells none is not used again.
const UPSTREAM_IDLE: Duration = Duration::from_secs(3);
/// One node.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) timer: Timer,
    pub(crate) metrics: Metrics,
    pub(crate) peer_pool: Pool,
    pub(crate) upstream_pool: Pool,
    pub(crate) open: AtomicU64,
    pub(crate) socket: OnceLock<Arc<UdpSocket>>,
    next: AtomicU64,
    stopping: AtomicBool,
    leaving: AtomicBool,
    closing: AtomicBool,
    state: Mutex<State>,
}

/// Counts a request of a caller or of another node as open until it ends or its sender
/// goes away.
pub(crate) struct Open(Arc<Node>);

impl Open {
    pub fn new(node: &Arc<Node>) -> Self {
        node.open.fetch_add(1, Ordering::Relaxed);
        Open(Arc::clone(node))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Node {
    /// Creates a node; [`crate::start`] runs it.
    pub(crate) fn new(settings: Settings) -> Arc<Self> {
        let timer = Timer::real();
        let state = State::new(timer.now(), &settings, SmallRng::from_os_rng());
        Arc::new(Node {
            settings,
            timer,
            metrics: Metrics::new(),
            peer_pool: Pool::new(CONNECT, PEER_IDLE),
            upstream_pool: Pool::new(CONNECT, UPSTREAM_IDLE),
            open: AtomicU64::new(0),
            socket: OnceLock::new(),
            next: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            state: Mutex::new(state),
        })
    }

    pub(crate) fn now(&self) -> Micros {
        self.timer.now()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    pub(crate) fn next_id(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the node was told to stop.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Revision up to which the node knows the fleet.
    pub fn revision(&self) -> Revision {
        self.lock().view.through
    }

    /// Makes the node unready, so that callers and other nodes go elsewhere.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether other nodes are to send their requests elsewhere.
    pub(crate) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Asks other nodes to send their requests elsewhere.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the node takes no further work and only finishes what it has.
    pub(crate) fn closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Refuses further work.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Whether callers may send requests.
    pub fn ready(&self) -> bool {
        !self.stopping() && self.lock().view.routing.is_some()
    }

    /// Address of the node beside the upstream at `upstream`.
    pub(crate) fn gate_of(&self, upstream: SocketAddr) -> SocketAddr {
        SocketAddr::new(upstream.ip(), self.settings.peers.port())
    }

    /// Whether this node watches the store and gets answers.
    pub fn reads(&self) -> bool {
        let state = self.lock();
        state.readers.is_reading() && !state.store_away
    }

    /// Logs changes of the view and applies them to the parts that depend on it.
    pub(crate) fn viewed(&self, source: &str, applied: &[Effect]) {
        if applied.is_empty() {
            return;
        }
        let mut state = self.lock();
        let through = state.view.through;
        if applied.iter().any(|change| matches!(change, Effect::RoutingReplaced(_))) {
            state.routed = self.now();
        }
        for change in applied {
            let change = describe(change);
            let values: [(&str, &dyn std::fmt::Display); 3] =
                [("source", &source), ("revision", &through), ("change", &change)];
            event::info(Event::ViewChanged, &values);
        }
        state.settle(&self.settings);
        drop(state);
        self.pump();
    }

    /// Runs or refuses waiting requests whose time has come.
    pub(crate) fn pump(&self) {
        let now = self.now();
        let mut steps = Vec::new();
        let mut state = self.lock();
        loop {
            steps.clear();
            state.admission.poll(now, &mut steps);
            if steps.is_empty() {
                return;
            }
            for step in &steps {
                let (AdmissionDequeued::Run(id) | AdmissionDequeued::Refuse(id, _)) = *step;
                let told = state.waiters.remove(&id).is_some_and(|wake| wake.send(*step).is_ok());
                if !told {
                    state.admission.cancel(id);
                }
            }
        }
    }

    /// Brings the gauges up to date.
    pub(crate) fn gauge(&self) {
        let now = self.now();
        let state = self.lock();
        let version = state.view.routing.as_ref().map_or(0, |routing| routing.version);
        let metrics = &self.metrics;
        let seconds = |since: Micros| now.saturating_sub(since) as f64 / SEC as f64;
        metrics.routing_version.set(version as i64);
        metrics.routing_age.set(seconds(state.routed));
        metrics.revision.set(state.view.through as i64);
        metrics.limit.set(i64::from(state.admission.limit(now)));
        metrics.running.set(i64::from(state.admission.running()));
        metrics.queued.set(i64::from(state.admission.queued()));
        metrics.cold.set(i64::from(state.admission.is_cold(now)));
        metrics.report_age.set(seconds(state.own.reported));
    }

    /// Records a first request to `service`, which earns a share of a retry.
    pub(crate) fn earn(&self, service: &Name) {
        let now = self.now();
        self.lock().earn_retry(now, &self.settings, service);
    }

    /// Takes one retry to `service` from the budget.
    pub(crate) fn may_retry(&self, service: &Name) -> bool {
        let now = self.now();
        let allowed = self.lock().spend_retry(now, &self.settings, service);
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }
}

/// Time for which the sender of a request gets notices.
pub(crate) const RECENT: Micros = 2 * SEC;
fn describe(change: &Effect) -> String {
    match change {
        Effect::Unchanged => "none".to_owned(),
        Effect::RoutingReplaced(version) => format!("routing version={version}"),
        Effect::UpstreamUpdated(id) => format!("listed instance={id}"),
        Effect::UpstreamRemoved(id) => format!("unlisted instance={id}"),
        Effect::UpstreamExpired(id) => format!("lapsed instance={id}"),
        Effect::Zone(zone, out) => format!("zone zone={zone} out={out}"),
    }
}
