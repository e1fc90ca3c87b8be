//! The node: its parts and the state that they share.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bbv_core::admission::{Admission, Step};
use bbv_core::budget::Share;
use bbv_core::history::History;
use bbv_core::index::Index;
use bbv_core::place::{Report, Target};
use bbv_core::readers::Readers;
use bbv_core::route::{Name, Splitter};
use bbv_core::spell::Spells;
use bbv_core::suspect::Suspects;
use bbv_core::units::{MS, Micros, Revision, SEC};
use bbv_core::view::{Applied, View};
use bbv_timer::Timer;
use parking_lot::{Mutex, MutexGuard};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::event::{self, Event};
use crate::metrics::Metrics;
use crate::notice::vm_of;
use crate::pool::Pool;
use crate::settings::Settings;

/// Time in which a connection to another node or to the upstream is made.
const CONNECT: Duration = Duration::from_millis(150);
/// Idle time after which a connection to another node is not used again.
const PEER_IDLE: Duration = Duration::from_secs(8);
/// Idle time after which a connection to an upstream that tells none is not used again.
const UPSTREAM_IDLE: Duration = Duration::from_secs(3);
/// Slots taken for granted until the upstream's entry is known.
const SLOTS_UNKNOWN: u32 = 4;
/// Time from the start for which an upstream that does not answer health checks counts as cold.
const COLD_UNKNOWN: Micros = 3 * SEC;
/// Share of the fleet's budget of retries that the nodes use, since requests whose run was
/// itself a retry call again.
const BUDGET_USE: f64 = 0.5;

/// What is known of another node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peer {
    /// Time of its newest notice or answer.
    pub heard: Micros,
    /// Whether it stops.
    pub stopping: bool,
    /// Number of its process.
    pub incarnation: u64,
    /// Time for the way there and back; zero if unknown.
    pub link: Micros,
    /// Time of the newest request to it.
    pub asked: Micros,
    /// Connections to it in a row that could not be made.
    pub unreachable: u32,
}

/// What requests of one route are like.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usual {
    /// Time that one runs at usual speed.
    pub work: f64,
    /// Bytes of an answer.
    pub bytes: f64,
}

/// What is known of the upstream beside this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Own {
    /// Its instance, as it names itself.
    pub instance: Option<Name>,
    /// Whether this instance was listed.
    pub listed: bool,
    /// Whether it refuses connections.
    pub down: bool,
    /// Time of its newest report of its load.
    pub reported: Micros,
    /// Spells in which it is slow.
    pub spells: Spells,
}

pub(crate) struct State {
    pub view: View,
    pub index: Index,
    pub admission: Admission,
    pub waiters: HashMap<u64, oneshot::Sender<Step>>,
    pub targets: BTreeMap<Name, Target>,
    pub splitter: Splitter,
    pub usual: HashMap<Name, Usual>,
    pub budgets: HashMap<Name, Share>,
    pub suspects: Suspects,
    pub peers: HashMap<IpAddr, Peer>,
    pub recent: HashMap<IpAddr, Micros>,
    pub own: Own,
    pub pulling: bool,
    /// Nodes that said that they know more.
    pub newer: BTreeMap<IpAddr, Revision>,
    pub history: History,
    pub readers: Readers,
    pub store_away: bool,
    pub rng: SmallRng,
}

/// One node.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) timer: Timer,
    pub(crate) metrics: Metrics,
    pub(crate) peer_pool: Pool,
    pub(crate) upstream_pool: Pool,
    pub(crate) incarnation: u64,
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
        let mut rng = SmallRng::from_os_rng();
        let incarnation = rng.random();
        let me = vm_of(settings.peers.ip()).0;
        let readers = Readers::new(u64::from(me), &settings.zone);
        let mut admission = Admission::new(SLOTS_UNKNOWN);
        // The first health check tells whether the upstream really is cold.
        admission.set_cold(COLD_UNKNOWN);
        let state = State {
            view: View::default(),
            index: Index::default(),
            admission,
            waiters: HashMap::new(),
            targets: BTreeMap::new(),
            splitter: Splitter::default(),
            usual: HashMap::new(),
            budgets: HashMap::new(),
            suspects: Suspects::default(),
            peers: HashMap::new(),
            recent: HashMap::new(),
            own: Own::default(),
            pulling: false,
            newer: BTreeMap::new(),
            history: History::default(),
            readers,
            store_away: true,
            rng,
        };
        Arc::new(Node {
            settings,
            timer: Timer::real(),
            metrics: Metrics::new(),
            peer_pool: Pool::new(CONNECT, PEER_IDLE),
            upstream_pool: Pool::new(CONNECT, UPSTREAM_IDLE),
            incarnation,
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
    pub(crate) fn reads(&self) -> bool {
        let state = self.lock();
        state.readers.reading() && !state.store_away
    }

    /// Logs changes of the view and applies them to the parts that depend on it.
    pub(crate) fn viewed(&self, source: &str, applied: &[Applied]) {
        if applied.is_empty() {
            return;
        }
        let mut state = self.lock();
        let through = state.view.through;
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
                let (Step::Run(id) | Step::Refuse(id, _)) = *step;
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
        self.metrics.version.set(version as i64);
        self.metrics.limit.set(i64::from(state.admission.limit(now)));
        self.metrics.queued.set(i64::from(state.admission.queued()));
    }

    /// Records a first request to `service`, which earns a share of a retry.
    pub(crate) fn earn(&self, service: &Name) {
        self.lock().budget(&self.settings, service).earn();
    }

    /// Takes one retry to `service` from the budget.
    pub(crate) fn may_retry(&self, service: &Name) -> bool {
        let allowed = self.lock().budget(&self.settings, service).spend();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }
}

impl State {
    fn budget(&mut self, settings: &Settings, service: &Name) -> &mut Share {
        let nodes = self.view.upstreams.len().max(1) as f64;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            let burst = (settings.retry_burst * BUDGET_USE / nodes).max(1.0);
            Share::new(settings.retry_share * BUDGET_USE, burst)
        })
    }

    /// Whether the VM at `ip` is known to be in `zone`.
    pub fn same_zone(&self, ip: IpAddr, zone: &str) -> bool {
        self.index.zone(ip).is_some_and(|known| &**known == zone)
    }

    /// Upstream beside this node, as published.
    pub fn own_entry(&self, settings: &Settings) -> Option<(&Name, &bbv_core::view::Upstream)> {
        let here = |upstream: &&bbv_core::view::Upstream| upstream.addr == settings.upstream;
        match &self.own.instance {
            Some(id) => self.view.upstreams.get_key_value(id).filter(|(_, up)| here(up)),
            None => self.view.upstreams.iter().find(|(_, up)| here(up)),
        }
    }

    /// Applies the view to admission and forgets upstreams that are gone.
    fn settle(&mut self, settings: &Settings) {
        self.index = Index::new(&self.view);
        self.settle_own(settings);
        let upstreams = &self.view.upstreams;
        self.targets.retain(|id, _| upstreams.contains_key(id));
    }

    /// Applies what is known of the upstream beside this node to its admission.
    fn settle_own(&mut self, settings: &Settings) {
        let entry = self.own_entry(settings).map(|(_, up)| (up.slots, up.draining));
        let service = settings.service.as_str();
        let limits = self.view.routing.as_ref().and_then(|routing| routing.services.get(service));
        let cold_rate = limits.map_or(f64::INFINITY, |limits| limits.cold_rate);
        let out = self.view.out.contains(settings.zone.as_str());
        let (slots, draining) =
            entry.as_ref().map_or((SLOTS_UNKNOWN, false), |(slots, draining)| (*slots, *draining));
        self.admission.set_limits(slots, cold_rate);
        let gone = entry.is_none() && self.own.listed;
        self.own.listed |= entry.is_some();
        self.admission.close(draining || gone || out || self.own.down);
    }

    /// Applies a change of the state of the upstream beside this node.
    pub fn set_down(&mut self, settings: &Settings, down: bool) {
        self.own.down = down;
        self.settle_own(settings);
    }

    /// Load of the upstream beside this node.
    pub fn report(&self, now: Micros) -> Report {
        Report {
            running: self.admission.running(),
            queued: self.admission.queued(),
            limit: self.admission.limit(now),
            speed_pct: self.admission.speed_pct(),
            spell: self.own.spells.remaining(now).unwrap_or(0),
            backlog: self.admission.backlog(now),
            closed: self.admission.closed(),
            cold: self.admission.cold(now),
        }
    }
}

/// Time for which the sender of a request gets notices.
pub(crate) const RECENT: Micros = 2 * SEC;
/// Silence after which a node that was asked something is taken to be unreachable: three
/// notices that did not come, in the same zone and in another one.
pub(crate) const SILENT: Micros = 700 * MS;
pub(crate) const SILENT_FAR: Micros = 3_000 * MS;

fn describe(change: &Applied) -> String {
    match change {
        Applied::Same => "none".to_owned(),
        Applied::Routed(version) => format!("routing version={version}"),
        Applied::Listed(id) => format!("listed instance={id}"),
        Applied::Unlisted(id) => format!("unlisted instance={id}"),
        Applied::Lapsed(id) => format!("lapsed instance={id}"),
        Applied::Zone(zone, out) => format!("zone zone={zone} out={out}"),
    }
}
