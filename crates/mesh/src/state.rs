//! State shared by the tasks of a node, behind one lock: the published view, admission, load of
//! upstreams, retry budgets and peers. The ingress and the gate consult it for every request.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;

use bbv_core::admission::{Admission, AdmissionDequeued};
use bbv_core::history::History;
use bbv_core::index::Index;
use bbv_core::lag::MAX_LAG_DELAY;
use bbv_core::needs::Needs;
use bbv_core::open_runs::OpenRuns;
use bbv_core::outage::{Outage, shortest_outage};
use bbv_core::pauses::Pauses;
use bbv_core::peer::Peer;
use bbv_core::placement::{LoadReport, UpstreamStats};
use bbv_core::poison::Suspects;
use bbv_core::rank_shares::RankShares;
use bbv_core::readers::Readers;
use bbv_core::region_watch::RegionWatch;
use bbv_core::retry_budget::RetryBudget;
use bbv_core::room::Room;
use bbv_core::route::{Name, Route, Routing, ServiceLimits, Splitter};
use bbv_core::routing_page::{RecentRoutings, RoutingTransfer};
use bbv_core::units::{MS, Micros, SEC};
use bbv_core::view::{PublishedUpstream, Topic, View};
use http::{HeaderValue, Response};
use http_body_util::Full;
use hyper::body::Body;
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use crate::attempt::AttemptState;
use crate::content::Content;
use crate::event::{self, Event};
use crate::knowledge::{Knowledge, StoreCall};
use crate::message::Known;
use crate::notice::vm_of;
use crate::proof::Proof;
use crate::quota::Quotas;
use crate::settings::Settings;

/// Slots assumed until the upstream's entry is known.
const INITIAL_SLOTS: u32 = 4;
/// Time from the start for which an upstream that does not respond to health checks counts as cold.
const INITIAL_COLD: Micros = 3 * SEC;
/// Service time, in microseconds, and response size assumed for a route without samples.
const INITIAL_SERVICE_TIME: f64 = 50_000.0;
const INITIAL_RESPONSE_BYTES: f64 = 2_000.0;
/// Weight of a new sample in the exponential moving averages of service time and response size.
const PROFILE_GAIN: f64 = 0.1;
/// Time without a sample after which averages no longer refuse calls.
const PROFILE_TTL: Micros = 2 * SEC;
/// Time for which an unreachable gate is avoided; doubled with each consecutive failure, up to
/// [`MAX_BACKOFF_DOUBLINGS`] times.
const UNREACHABLE_BACKOFF: Micros = 500 * MS;
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Time for which a node gets heartbeats after the entry of its upstream was removed. The upstream serves
/// on for a while, and its node still takes requests of callers.
const UNLISTED_TTL: Micros = 30 * SEC;

/// Exponential moving averages of the requests of one route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteProfile {
    /// Service time at normal speed, in microseconds.
    pub service_time: f64,
    /// Size of a response.
    pub response_bytes: f64,
    /// Time of the latest sample.
    pub sampled_at: Micros,
}

/// State of the upstream beside this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalUpstream {
    /// Instance that it reported.
    pub instance: Option<Name>,
    /// Whether this instance has been published.
    pub listed: bool,
    /// Whether it refuses connections.
    pub down: bool,
    /// Attempts that run on it.
    pub attempts: HashMap<HeaderValue, AttemptState>,
    /// Requests that run on it, or may, as far as a crash is put down to them.
    pub runs: OpenRuns,
    /// Time of its latest health check.
    pub checked_at: Micros,
    /// Time of its latest load report.
    pub reported_at: Micros,
}

impl LocalUpstream {
    /// Returns the attempt that made the call with `id`, if it runs on this upstream: ids of calls
    /// continue the id of their attempt after a dot.
    pub fn parent(&mut self, id: &HeaderValue) -> Option<&mut AttemptState> {
        let dot = id.as_bytes().iter().rposition(|byte| *byte == b'.')?;
        let parent = HeaderValue::from_bytes(&id.as_bytes()[..dot]).ok()?;
        self.attempts.get_mut(&parent)
    }

    /// Records that the call with `id` was refused, so that its attempt will fail.
    pub fn record_refused_call(&mut self, id: &HeaderValue) {
        if let Some(parent) = self.parent(id) {
            parent.refused = true;
        }
    }
}

/// State shared by the tasks of a node.
pub(crate) struct State {
    /// Published routing and upstreams.
    pub view: View,
    /// What is known of upstreams, compared with the store and other nodes.
    pub upstreams: Knowledge,
    /// What is known of routing and zones, compared with the store and other nodes.
    pub control: Knowledge,
    /// Time at which the routing in force was received.
    pub routed_at: Micros,
    /// Index of the view.
    pub index: Index,
    /// Admission to the upstream beside this node.
    pub admission: Admission,
    /// Requests queued for admission, by id.
    pub waiters: HashMap<u64, oneshot::Sender<AdmissionDequeued>>,
    /// Load and outcomes of upstreams, by instance.
    pub upstream_stats: BTreeMap<Name, UpstreamStats>,
    /// Splits requests of routes with several services.
    pub splitter: Splitter,
    /// Averages of requests, by route.
    pub profiles: HashMap<Name, RouteProfile>,
    /// Calls of requests that run on the upstream beside this node, by route.
    pub made: HashMap<Name, Needs>,
    /// Calls of requests, as told by gates, by route.
    pub needs: HashMap<Name, Needs>,
    /// How often requests of callers were served, by rank.
    pub shares: RankShares,
    /// Retry budgets, by service.
    pub retry_budgets: HashMap<Name, RetryBudget>,
    /// Pauses of this process.
    pub pauses: Pauses,
    /// Requests that crashed upstreams.
    pub suspects: Suspects,
    /// Other nodes, by address.
    pub peers: HashMap<IpAddr, Peer>,
    /// Which other regions are out of reach.
    pub region_watch: RegionWatch,
    /// Ingresses that recently sent requests, with the time of the last one.
    pub recent_ingresses: HashMap<IpAddr, Micros>,
    /// VMs of this zone whose upstreams are no longer listed, each with the time until which it gets
    /// heartbeats.
    pub unlisted: BTreeMap<IpAddr, Micros>,
    /// The upstream beside this node.
    pub local: LocalUpstream,
    /// Recent changes of upstreams, for peers with an older revision.
    pub history: History,
    /// Recent routings, for peers with an older one.
    pub routings: RecentRoutings,
    /// Part of a routing received from peers.
    pub transfer: RoutingTransfer,
    /// Nodes of the zone that read the store.
    pub readers: Readers,
    /// Whether this node was a reader in the latest line of the log about that.
    pub logged_reader: bool,
    /// Time of the latest line of the log about the room of the upstream, and the ranks that it had
    /// room for.
    pub logged_room: (Micros, u16),
    /// Outage of the store, as seen by this node or told by others of its zone.
    pub outage: Outage,
    /// What is proven of the routing, for keys that may have been taken away.
    pub proof: Proof,
    /// Quotas of organisations.
    pub quotas: Quotas,
    /// Random number generator for choices.
    pub rng: SmallRng,
}

impl State {
    /// Creates the state of a node that has received nothing yet.
    pub fn new(now: Micros, settings: &Settings, mut rng: SmallRng) -> Self {
        let vm = vm_of(settings.peers.ip()).0;
        let mut admission = Admission::new(INITIAL_SLOTS);
        // The first health check shows whether the upstream really is cold.
        admission.set_cold_until(now + INITIAL_COLD);
        admission.record_restart(now);
        let lag_delay = rng.random_range(0..=MAX_LAG_DELAY);
        State {
            view: View::default(),
            upstreams: Knowledge::new(lag_delay),
            control: Knowledge::new(lag_delay),
            routed_at: now,
            index: Index::default(),
            admission,
            waiters: HashMap::new(),
            upstream_stats: BTreeMap::new(),
            splitter: Splitter::default(),
            profiles: HashMap::new(),
            made: HashMap::new(),
            needs: HashMap::new(),
            shares: RankShares::default(),
            pauses: Pauses::new(now),
            retry_budgets: HashMap::new(),
            suspects: Suspects::default(),
            peers: HashMap::new(),
            region_watch: RegionWatch::default(),
            recent_ingresses: HashMap::new(),
            unlisted: BTreeMap::new(),
            local: LocalUpstream::default(),
            history: History::default(),
            routings: RecentRoutings::default(),
            transfer: RoutingTransfer::default(),
            readers: Readers::new(u64::from(vm), &settings.zone),
            logged_reader: false,
            logged_room: (0, Room::default().ranks()),
            outage: Outage::default(),
            proof: Proof::default(),
            quotas: Quotas::default(),
            rng,
        }
    }

    /// Returns the retry budget of `service`.
    fn budget(&mut self, settings: &Settings, service: &Name) -> &mut RetryBudget {
        let budget = || RetryBudget::new(settings.retries);
        self.retry_budgets.entry(service.clone()).or_insert_with(budget)
    }

    /// Records a first attempt to `service`, which adds a share of a retry to the budget.
    pub fn earn_retry(&mut self, now: Micros, settings: &Settings, service: &Name) {
        let nodes = self.view.upstreams.len();
        self.budget(settings, service).earn(now, nodes);
    }

    /// Takes one retry to `service` from the budget; returns whether there was one.
    pub fn spend_retry(&mut self, now: Micros, settings: &Settings, service: &Name) -> bool {
        self.budget(settings, service).spend(now)
    }

    /// Returns whether the VM at `ip` is known to be in `zone`.
    pub fn is_in_zone(&self, ip: IpAddr, zone: &str) -> bool {
        self.index.zone(ip).is_some_and(|vm_zone| &**vm_zone == zone)
    }

    /// Returns the published entry of the upstream beside this node.
    pub fn local_entry(&self, settings: &Settings) -> Option<(&Name, &PublishedUpstream)> {
        let is_local = |upstream: &&PublishedUpstream| upstream.addr == settings.upstream;
        match &self.local.instance {
            Some(id) => self.view.upstreams.get_key_value(id).filter(|(_, up)| is_local(up)),
            None => self.view.upstreams.iter().find(|(_, up)| is_local(up)),
        }
    }

    /// Returns the published limits of the service of the upstream beside this node.
    pub fn local_limits(&self, settings: &Settings) -> Option<&ServiceLimits> {
        self.view.routing.as_ref()?.services.get(settings.service.as_str())
    }

    /// Returns the state of `topic` besides its content.
    pub fn knowledge(&mut self, topic: Topic) -> &mut Knowledge {
        match topic {
            Topic::Upstreams => &mut self.upstreams,
            Topic::Control => &mut self.control,
        }
    }

    /// Returns whether this node watches the store and the store responds.
    pub fn reads_store(&self) -> bool {
        let calls = [self.upstreams.call, self.control.call];
        self.readers.is_reading() && calls.iter().all(|call| *call == StoreCall::Answered)
    }

    /// Returns whether the latest call of this node to the store failed.
    pub fn has_failed_calls(&self) -> bool {
        [self.upstreams.call, self.control.call].contains(&StoreCall::Failed)
    }

    /// Records that the store answered at `at` a call that began at `asked`, of this node or another. If
    /// that ends an outage of this node, upstreams whose entries have expired get the time to register
    /// again.
    pub fn record_answer(&mut self, settings: &Settings, at: Micros, asked: Micros) {
        let shortest = shortest_outage(settings.heartbeat);
        if let Some(ended) = self.outage.record_answer(at, asked, shortest) {
            self.view.platform_recovered(at, ended);
            event::info(Event::OutageEnded, &[("revision", &self.view.through)]);
        }
    }

    /// Returns the age of what this node knows of `topic`; `None` if it was never confirmed.
    pub fn age(&self, now: Micros, topic: Topic) -> Option<Micros> {
        let knowledge = match topic {
            Topic::Upstreams => &self.upstreams,
            Topic::Control => &self.control,
        };
        knowledge.age(now, self.readers.is_reading())
    }

    /// Returns the revisions that this node knows.
    pub fn known(&self) -> Known {
        Known { upstreams: self.view.through, control: self.view.control }
    }

    /// Returns whether the store or peers have confirmed the whole view.
    pub fn is_confirmed(&self) -> bool {
        self.upstreams.confirmed && self.control.confirmed
    }

    /// Returns the routing, once the view is confirmed.
    pub fn routing(&self) -> Option<&Arc<Routing>> {
        self.view.routing.as_ref().filter(|_| self.is_confirmed())
    }

    /// Keeps the routing in force for peers with an older one.
    pub fn record_routing(&mut self) {
        let Some(routing) = &self.view.routing else { return };
        if self.routings.get(routing.version).is_none() {
            self.routings.push(self.view.control, Arc::clone(routing));
        }
    }

    /// Returns the limit on the body of a request; there is none before a routing is known.
    pub fn max_body_bytes(&self) -> usize {
        self.view.routing.as_ref().map_or(usize::MAX, |routing| routing.limits.body)
    }

    /// Replaces the index by that of the view, and notes the VMs of this zone that it lacks.
    fn replace_index(&mut self, now: Micros, settings: &Settings) {
        let index = Index::new(&self.view);
        let was = std::mem::replace(&mut self.index, index);
        let zone = settings.zone.as_str();
        let gone = was.vms().filter(|(ip, vm_zone)| {
            &***vm_zone == zone && self.index.zone(*ip).is_none() && *ip != settings.peers.ip()
        });
        self.unlisted.extend(gone.map(|(ip, _)| (ip, now + UNLISTED_TTL)));
        self.unlisted.retain(|ip, until| now < *until && self.index.zone(*ip).is_none());
    }

    /// Applies the view to admission and removes statistics of upstreams that are gone.
    pub fn apply_view(&mut self, now: Micros, settings: &Settings) {
        self.replace_index(now, settings);
        let zone = settings.zone.as_str();
        let nodes = self.index.vms().filter(|(_, vm_zone)| &***vm_zone == zone).count();
        self.readers.set_zone_size(nodes);
        self.apply_local(settings);
        self.assign_quotas(now, settings);
        let upstreams = &self.view.upstreams;
        self.upstream_stats.retain(|id, _| upstreams.contains_key(id));
    }

    /// Applies the state of the upstream beside this node to its admission.
    fn apply_local(&mut self, settings: &Settings) {
        let entry = self.local_entry(settings).map(|(_, up)| (up.slots, up.draining));
        let cold_rate = self.local_limits(settings).and_then(|limits| limits.cold_rate);
        let out = self.view.out.contains(settings.zone.as_str());
        let (slots, draining) =
            entry.as_ref().map_or((INITIAL_SLOTS, false), |(slots, draining)| (*slots, *draining));
        self.admission.set_limits(slots, cold_rate.unwrap_or(f64::INFINITY));
        let gone = entry.is_none() && self.local.listed;
        self.local.listed |= entry.is_some();
        self.admission.set_closed(draining || gone || out || self.local.down);
    }

    /// Sets whether the upstream beside this node refuses connections.
    pub fn set_down(&mut self, settings: &Settings, down: bool) {
        self.local.down = down;
        self.apply_local(settings);
    }

    /// Returns the load of the upstream beside this node.
    pub fn load_report(&self, now: Micros) -> LoadReport {
        LoadReport {
            running: self.admission.running(),
            queued: self.admission.queued(),
            limit: self.admission.limit(now),
            speed_pct: self.admission.speed_pct(),
            slow_remaining: self.admission.slow_remaining(now),
            backlog: self.admission.backlog(now),
            closed: self.admission.is_closed(),
            cold: self.admission.is_cold(now),
            room: self.admission.room(now),
        }
    }

    /// Avoids an upstream whose gate could not be connected to, with exponential backoff.
    pub fn record_unreachable(
        &mut self,
        settings: &Settings,
        now: Micros,
        instance: &Name,
        ip: IpAddr,
    ) {
        self.record_region_failure(settings, now, ip);
        let peer = self.peers.entry(ip).or_default();
        let doublings = peer.connect_failures.min(MAX_BACKOFF_DOUBLINGS);
        peer.connect_failures += 1;
        let stats = self.upstream_stats.entry(instance.clone()).or_default();
        stats.avoid(now + (UNREACHABLE_BACKOFF << doublings));
    }

    /// Adds a request to the averages of its route.
    pub fn update_profile(
        &mut self,
        now: Micros,
        route: &Route,
        service_time: Micros,
        response: &Response<Full<Content>>,
    ) {
        let response_bytes = response.body().size_hint().lower() as f64;
        let current = self.profile(route);
        let service_time =
            current.service_time + (service_time as f64 - current.service_time) * PROFILE_GAIN;
        let response_bytes =
            current.response_bytes + (response_bytes - current.response_bytes) * PROFILE_GAIN;
        let profile = RouteProfile { service_time, response_bytes, sampled_at: now };
        self.profiles.insert(route.name.clone(), profile);
    }

    /// Forgets the averages of `route` if a call with `deadline` would be refused for them and they have
    /// not been renewed for a while: refused calls bring no samples.
    pub fn forget_hopeless(&mut self, now: Micros, route: &Route, deadline: Micros) {
        let Some(profile) = self.profiles.get(&route.name) else { return };
        let hopeless = now + profile.service_time as Micros > deadline;
        if hopeless && now > profile.sampled_at + PROFILE_TTL {
            self.profiles.remove(&route.name);
        }
    }

    /// Returns the averages of `route`, or initial values if there are none.
    pub fn profile(&self, route: &Route) -> RouteProfile {
        let service_time = INITIAL_SERVICE_TIME.min(route.target as f64 / 2.0);
        let response_bytes = INITIAL_RESPONSE_BYTES;
        let initial = RouteProfile { service_time, response_bytes, sampled_at: 0 };
        self.profiles.get(&route.name).copied().unwrap_or(initial)
    }
}
