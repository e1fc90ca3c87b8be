//! The node: connection pools, shared state and lifecycle. It dequeues requests for admission and
//! applies changes of the view.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bbv_core::admission::AdmissionDequeued;
use bbv_core::body_budget::BodyBudget;
use bbv_core::revision;
use bbv_core::route::{CallerLimits, Name};
use bbv_core::units::{MS, Micros, Revision, SEC};
use bbv_core::view::{Effect, Topic};
use bbv_timer::Timer;
use parking_lot::{Mutex, MutexGuard};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::event::{self, Event};
use crate::head_limits;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::resident;
use crate::settings::Settings;
use crate::state::State;

/// Timeout for connecting to another node or to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Idle time after which a connection to another node or to the upstream is not reused. It may have gone
/// silent, which no request shows before its deadline.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after the close of callers' connections within which requests that were on their way arrive.
const LATE_ARRIVAL: Micros = 400 * MS;

/// Node beside one upstream.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) timer: Timer,
    pub(crate) metrics: Metrics,
    pub(crate) peer_pool: Pool,
    pub(crate) upstream_pool: Pool,
    /// Held by the task that checks the upstream before a request.
    pub(crate) check_turn: tokio::sync::Mutex<()>,
    /// Held by the one suspect request that runs on the upstream.
    pub(crate) suspect_turn: Arc<tokio::sync::Mutex<()>>,
    pub(crate) request_bodies: Arc<Mutex<BodyBudget>>,
    pub(crate) response_bodies: Arc<Mutex<BodyBudget>>,
    pub(crate) open_requests: AtomicU64,
    pub(crate) notice_socket: OnceLock<Arc<UdpSocket>>,
    /// Limits of callers in the routing in force.
    pub(crate) caller_limits: watch::Sender<Option<CallerLimits>>,
    next_id: AtomicU64,
    stopping: AtomicBool,
    leaving: AtomicBool,
    /// Set when the node closes.
    closed: OnceLock<Closed>,
    state: Mutex<State>,
}

/// Times of a node that has closed.
#[derive(Clone, Copy, Debug)]
struct Closed {
    at: Micros,
    /// Time by which its requests have to end.
    end: Micros,
}

/// Counts a request of a caller or of another node as open until it ends or its sender disconnects.
pub(crate) struct OpenRequest(Arc<Node>);

impl OpenRequest {
    pub fn new(node: &Arc<Node>) -> Self {
        node.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(Arc::clone(node))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Node {
    /// Creates a node; [`crate::start`] runs it.
    pub(crate) fn new(settings: Settings) -> Arc<Self> {
        let timer = Timer::real();
        let state = State::new(timer.now(), &settings, SmallRng::from_os_rng());
        let bodies = Arc::new(Mutex::new(BodyBudget::new(settings.response_memory)));
        let pool = |added_fields| {
            Pool::new(CONNECT_TIMEOUT, IDLE_TIMEOUT, added_fields, Arc::clone(&bodies))
        };
        Arc::new(Node {
            timer,
            metrics: Metrics::new(),
            peer_pool: pool(head_limits::NODE_FIELDS),
            upstream_pool: pool(0),
            check_turn: tokio::sync::Mutex::default(),
            suspect_turn: Arc::default(),
            request_bodies: Arc::new(Mutex::new(BodyBudget::new(settings.request_memory))),
            response_bodies: bodies,
            open_requests: AtomicU64::new(0),
            notice_socket: OnceLock::new(),
            caller_limits: watch::Sender::new(None),
            next_id: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            closed: OnceLock::new(),
            state: Mutex::new(state),
            settings,
        })
    }

    pub(crate) fn now(&self) -> Micros {
        self.timer.now()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether the node is stopping.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the revision up to which the node knows `topic`.
    pub fn revision(&self, topic: Topic) -> Revision {
        self.lock().view.revision(topic)
    }

    /// Returns whether the upstream beside the node is cold.
    pub fn is_cold(&self) -> bool {
        let now = self.now();
        self.lock().admission.is_cold(now)
    }

    /// Makes the node unready, so that callers and other nodes stop choosing it.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether notices ask other nodes to send their requests elsewhere.
    pub(crate) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Makes notices ask other nodes to send their requests elsewhere.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the node refuses new requests and only finishes admitted ones.
    pub(crate) fn closing(&self) -> bool {
        self.closed.get().is_some()
    }

    /// Refuses new requests; the others have to end by `end`.
    pub(crate) fn close(&self, end: Micros) {
        let closed = Closed { at: self.now(), end };
        // A node closes once.
        let _ = self.closed.set(closed);
    }

    /// Returns whether a request of a caller that is complete only now may be cut off without a
    /// response, since this node may end before `deadline`.
    pub(crate) fn may_cut_off(&self, deadline: Micros) -> bool {
        let now = self.now();
        self.closed
            .get()
            .is_some_and(|closed| now > closed.at + LATE_ARRIVAL && deadline > closed.end)
    }

    /// Returns whether callers may send requests.
    pub fn ready(&self) -> bool {
        !self.stopping() && self.lock().routing().is_some() && !self.awaits_proof()
    }

    /// Returns the address of the gate of the upstream at `upstream`.
    pub(crate) fn gate_addr(&self, upstream: SocketAddr) -> SocketAddr {
        SocketAddr::new(upstream.ip(), self.settings.peers.port())
    }

    /// Returns whether this node watches the store and the store responds.
    pub fn reads_store(&self) -> bool {
        self.lock().reads_store()
    }

    /// Logs changes of the view and applies them to the state that depends on it.
    pub(crate) fn view_changed(&self, source: &str, topic: Topic, effects: &[Effect]) {
        if effects.is_empty() {
            return;
        }
        let mut state = self.lock();
        let revision = state.view.revision(topic);
        if effects.iter().any(|effect| matches!(effect, Effect::RoutingReplaced(_))) {
            state.routed_at = self.now();
            let limits = state.view.routing.as_ref().map(|routing| routing.limits);
            self.caller_limits.send_replace(limits);
        }
        for effect in effects {
            let change = describe_effect(effect);
            let values: [(&str, &dyn std::fmt::Display); 3] =
                [("source", &source), ("revision", &revision), ("change", &change)];
            event::info(Event::ViewChanged, &values);
        }
        state.apply_view(self.now(), &self.settings);
        drop(state);
        self.poll_admission();
    }

    /// Logs that the store has come back from an older copy, if `topic`, known up to `known` before, is
    /// of a later era now.
    pub(crate) fn log_restored(&self, source: &str, topic: Topic, known: Revision) {
        let now_known = self.revision(topic);
        if !revision::begins_era(known, now_known) {
            return;
        }
        let (era, number) = (revision::era(now_known), revision::number(now_known));
        let (topic, was) = (topic.name(), revision::number(known));
        let values: [(&str, &dyn std::fmt::Display); 5] = [
            ("source", &source),
            ("topic", &topic),
            ("era", &era),
            ("revision", &number),
            ("was", &was),
        ];
        event::warn(Event::StoreRestored, &values);
    }

    /// Starts or refuses queued requests that are due.
    pub(crate) fn poll_admission(&self) {
        let now = self.now();
        let mut dequeued = Vec::new();
        let mut state = self.lock();
        loop {
            dequeued.clear();
            state.admission.poll(now, &mut dequeued);
            if dequeued.is_empty() {
                return;
            }
            for entry in &dequeued {
                let (AdmissionDequeued::Run(id) | AdmissionDequeued::Refuse(id, _)) = *entry;
                let delivered =
                    state.waiters.remove(&id).is_some_and(|wake| wake.send(*entry).is_ok());
                if !delivered {
                    state.admission.cancel(id);
                }
            }
        }
    }

    /// Updates the gauges.
    pub(crate) fn update_gauges(&self) {
        self.update_proof_gauge();
        self.update_memory_gauges();
        let now = self.now();
        let state = self.lock();
        let version = state.view.routing.as_ref().map_or(0, |routing| routing.version);
        let metrics = &self.metrics;
        let seconds = |since: Micros| now.saturating_sub(since) as f64 / SEC as f64;
        metrics.routing_version.set(version as i64);
        metrics.routing_age.set(seconds(state.routed_at));
        metrics.revision.set(revision::number(state.view.through) as i64);
        metrics.control_revision.set(revision::number(state.view.control) as i64);
        metrics.era.set(i64::from(revision::era(state.view.through.min(state.view.control))));
        let age =
            |topic| state.age(now, topic).map_or(f64::INFINITY, |age| age as f64 / SEC as f64);
        metrics.upstreams_age.set(age(Topic::Upstreams));
        metrics.control_age.set(age(Topic::Control));
        metrics.limit.set(i64::from(state.admission.limit(now)));
        metrics.running.set(i64::from(state.admission.running()));
        metrics.queued.set(i64::from(state.admission.queued()));
        metrics.room.set(f64::from(state.admission.room(now).level_pct) / 100.0);
        metrics.cold.set(i64::from(state.admission.is_cold(now)));
        metrics.regions_lost.set(state.region_watch.lost().count() as i64);
        metrics.report_age.set(seconds(state.local.reported_at));
    }

    fn update_memory_gauges(&self) {
        for (of, bodies) in [("request", &self.request_bodies), ("response", &self.response_bodies)]
        {
            self.metrics.body_bytes.with_label_values(&[of]).set(bodies.lock().held() as i64);
        }
        if let Some(bytes) = resident::bytes() {
            self.metrics.resident.set(bytes as i64);
        }
    }

    /// Records a first attempt to `service`, which adds a share of a retry to the budget.
    pub(crate) fn earn_retry(&self, service: &Name) {
        let now = self.now();
        self.lock().earn_retry(now, &self.settings, service);
    }

    /// Takes one retry to `service` from the budget; returns whether there was one.
    pub(crate) fn spend_retry(&self, service: &Name) -> bool {
        let now = self.now();
        let allowed = self.lock().spend_retry(now, &self.settings, service);
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }
}

/// Time for which an ingress gets notices after its last request.
pub(crate) const RECENT_INGRESS_TTL: Micros = 2 * SEC;

fn describe_effect(effect: &Effect) -> String {
    match effect {
        Effect::Unchanged => "none".to_owned(),
        Effect::RoutingReplaced(version) => format!("routing version={version}"),
        Effect::UpstreamUpdated(id) => format!("listed instance={id}"),
        Effect::UpstreamRemoved(id) => format!("unlisted instance={id}"),
        Effect::UpstreamExpired(id) => format!("lapsed instance={id}"),
        Effect::Zone(zone, out) => format!("zone zone={zone} out={out}"),
    }
}
