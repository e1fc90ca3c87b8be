//! Sends and receives UDP notices, with which nodes share their load, liveness, revision and
//! crashes of upstreams.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bbv_core::distance::Distance;
use bbv_core::freshness::FRESH_TIME;
use bbv_core::id::Vm;
use bbv_core::placement::LoadReport;
use bbv_core::poison::{Crash, Suspicion};
use bbv_core::revision::begins_era;
use bbv_core::room::Room;
use bbv_core::route::Name;
use bbv_core::units::{MS, Micros, Revision};
use bbv_core::view::{Effect, Topic};
use rand::seq::{IteratorRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::datagram::Datagram;
use crate::event::{self, Event};
use crate::message::Known;
use crate::node::{Node, RECENT_INGRESS_TTL};
use crate::state::State;
use crate::verdict::Verdict;

/// Interval at which queued requests and due notices are checked.
const TICK_INTERVAL: Micros = 10 * MS;
/// Heartbeat interval of notices to nodes that sent requests recently.
const HEARTBEAT: Micros = 200 * MS;
/// Heartbeat interval of notices to nodes of other zones that sent requests recently. Traffic
/// between zones costs more, and state that changes many times a second is out of date on arrival.
const CROSS_ZONE_HEARTBEAT: Micros = 1_000 * MS;
/// Interval of notices to a random node of the region, which spread new revisions, and to few nodes of
/// other regions.
const GOSSIP_INTERVAL: Micros = 1_000 * MS;
/// Bytes after a notice whose receiver is asked for a notice; nodes that do not know them ignore them.
const ASKS: [u8; 1] = [1];
/// Most verdicts in one notice.
const MAX_VERDICTS: usize = 32;
/// Size of the receive buffer; no node sends a larger notice.
const MAX_NOTICE_BYTES: usize = 1_400;

/// State of a node, sent to other nodes over UDP.
///
/// The postcard encoding depends on the order of the fields.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct Notice {
    instance: String,
    stopping: bool,
    reads: bool,
    /// Known revision of upstreams.
    revision: Revision,
    /// Known revision of the routing and of zones.
    control: Revision,
    running: u32,
    queued: u32,
    limit: u32,
    speed_pct: u32,
    /// Expected remaining time of the slow period.
    slow_remaining: Micros,
    backlog: Micros,
    closed: bool,
    cold: bool,
    /// Sum of the shares of all ranks that there is room for, in percent.
    room_pct: u16,
    /// Time until more room is expected, in milliseconds.
    lack_ms: u16,
    /// What is known of requests that were open when an upstream crashed.
    verdicts: Vec<Verdict>,
    /// Age of what the node knows of upstreams.
    upstreams_age: Option<Micros>,
    /// Age of what it knows of the routing and of zones.
    control_age: Option<Micros>,
    /// How long the store has not answered the node's zone, if the node's own calls fail.
    failing: Option<Micros>,
}

impl From<&Notice> for LoadReport {
    fn from(notice: &Notice) -> Self {
        LoadReport {
            running: notice.running,
            queued: notice.queued,
            limit: notice.limit,
            speed_pct: notice.speed_pct,
            slow_remaining: notice.slow_remaining,
            backlog: notice.backlog,
            closed: notice.closed,
            cold: notice.cold,
            room: Room { level_pct: notice.room_pct, lack_ms: notice.lack_ms },
        }
        .clamped()
    }
}

/// Number of nodes that are notified of a new revision at once.
const ANNOUNCE_FANOUT: usize = 6;
/// Number of nodes of other zones that are notified of a new routing at once, since the readers of a
/// zone may be behind links that are too slow to read a large one from the store in time.
const REMOTE_FANOUT: usize = 2;
/// Step of the speed, in percent, from which a change is sent at once.
const SPEED_STEP: u32 = 20;

/// State whose change is sent at once rather than with the next heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct UrgentState {
    /// Service time in percent of normal, in steps of [`SPEED_STEP`].
    speed: u32,
    closed: bool,
    cold: bool,
    queueing: bool,
    stopping: bool,
}

/// Tracks when the next notice is due.
#[derive(Default)]
struct NoticeSchedule {
    last_state: Option<UrgentState>,
    sent_at: Micros,
}

impl NoticeSchedule {
    /// Returns whether a notice is due and if so, records it as sent.
    fn take_due(&mut self, now: Micros, urgent_state: UrgentState, period: Micros) -> bool {
        if self.last_state == Some(urgent_state) && now < self.sent_at + period {
            return false;
        }
        self.last_state = Some(urgent_state);
        self.sent_at = now;
        true
    }

    /// Returns whether a notice is due since the state has changed and if so, records it as sent.
    fn take_changed(&mut self, now: Micros, urgent_state: UrgentState) -> bool {
        self.last_state != Some(urgent_state) && self.take_due(now, urgent_state, 0)
    }
}

/// Returns the VM id that corresponds to an address.
pub(crate) fn vm_of(ip: IpAddr) -> Vm {
    match ip {
        IpAddr::V4(ip) => Vm(u32::from(ip)),
        IpAddr::V6(ip) => Vm(u128::from(ip) as u32),
    }
}

impl Node {
    fn build_notice(&self, verdicts: &[Verdict]) -> Notice {
        let now = self.now();
        let state = self.lock();
        let failing = state.has_failed_calls().then(|| state.outage.lasted(now)).flatten();
        let report = state.load_report(now);
        let instance = state.local.instance.as_deref().unwrap_or_default().to_owned();
        Notice {
            instance,
            stopping: self.leaving(),
            reads: state.reads_store(),
            revision: state.view.through,
            control: state.view.control,
            running: report.running,
            queued: report.queued,
            limit: report.limit,
            speed_pct: report.speed_pct,
            slow_remaining: report.slow_remaining,
            backlog: report.backlog,
            closed: report.closed,
            cold: report.cold,
            room_pct: report.room.level_pct,
            lack_ms: report.room.lack_ms,
            verdicts: verdicts.to_vec(),
            upstreams_age: state.age(now, Topic::Upstreams),
            control_age: state.age(now, Topic::Control),
            failing,
        }
    }

    /// Sends notices for the lifetime of the process.
    pub(crate) async fn send_notices(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut ticks = self.timer.every(TICK_INTERVAL);
        let mut same_zone = NoticeSchedule::default();
        let mut cross_zone = NoticeSchedule::default();
        let mut cross_region = NoticeSchedule::default();
        let mut reader_notices = NoticeSchedule::default();
        let mut announced = [0; Topic::ALL.len()];
        let mut gossiped_at: Micros = 0;
        loop {
            let now = ticks.next().await.now;
            self.record_tick();
            self.ask_owing_nodes(&socket, now);
            self.poll_admission();
            self.expire_entries(now);
            let report = self.lock().load_report(now);
            self.log_room(now, report.room);
            let (closed, stopping) = (report.closed, self.leaving());
            let urgent_state = UrgentState {
                speed: report.speed_pct / SPEED_STEP,
                closed,
                cold: report.cold,
                queueing: report.backlog > 0,
                stopping,
            };
            let urgent_cross_zone = UrgentState { closed, stopping, ..UrgentState::default() };
            self.announce_revisions(&socket, now, &mut reader_notices, &mut announced);
            if same_zone.take_due(now, urgent_state, HEARTBEAT) {
                self.send_to(&socket, &self.recent_senders(now, Distance::Zone), &[]);
            }
            if cross_zone.take_due(now, urgent_cross_zone, CROSS_ZONE_HEARTBEAT) {
                self.send_to(&socket, &self.recent_senders(now, Distance::Region), &[]);
            }
            // Replies carry the load to other regions.
            if cross_region.take_changed(now, urgent_cross_zone) {
                self.send_to(&socket, &self.recent_senders(now, Distance::Remote), &[]);
            }
            if now >= gossiped_at + GOSSIP_INTERVAL {
                gossiped_at = now;
                let mut peers = self.remote_region_peers();
                peers.extend(self.random_peer());
                self.send_to(&socket, &peers, &[]);
                self.ask_silent_peers(&socket, now);
            }
        }
    }

    /// Records a tick, which shows pauses of this process, and decides which regions are out of reach.
    fn record_tick(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.pauses.record_tick(now);
        let paused = state.pauses.spans(now, now);
        state.decide_regions(&self.settings, now, paused);
    }

    fn expire_entries(&self, now: Micros) {
        let (expired, ended) = {
            let mut state = self.lock();
            (state.view.expire(now), state.view.end_holds(now))
        };
        let (zones, returned): (Vec<_>, Vec<_>) =
            ended.into_iter().partition(|effect| matches!(effect, Effect::Zone(..)));
        let expired = expired.into_iter().map(Effect::UpstreamExpired);
        let effects: Vec<_> = expired.chain(returned).collect();
        self.view_changed("lapse", Topic::Upstreams, &effects);
        self.view_changed("lapse", Topic::Control, &zones);
    }

    /// Returns the nodes at `distance` that sent requests recently.
    fn recent_senders(&self, now: Micros, distance: Distance) -> Vec<IpAddr> {
        let mut state = self.lock();
        state.recent_ingresses.retain(|_, at| now < *at + RECENT_INGRESS_TTL);
        let own = self.settings.peers.ip();
        // A node that is not listed is taken to be in another zone of the region.
        let distance_of =
            |ip: &IpAddr| state.distance(&self.settings, *ip).unwrap_or(Distance::Region);
        let wanted = |ip: &IpAddr| *ip != own && distance_of(ip) == distance;
        state.recent_ingresses.keys().copied().filter(wanted).collect()
    }

    /// Announces a new revision to a few nodes, so that it reaches all of them in a few hops and they
    /// pull from different nodes. A reader also sends heartbeats to the whole zone, and tells it of
    /// failed calls.
    fn announce_revisions(
        &self,
        socket: &UdpSocket,
        now: Micros,
        reader_notices: &mut NoticeSchedule,
        announced: &mut [Revision; Topic::ALL.len()],
    ) {
        let known = Topic::ALL.map(|topic| self.revision(topic));
        if known != *announced {
            let [_, control] = std::mem::replace(announced, known);
            let mut peers = self.zone_peers();
            peers.shuffle(&mut self.lock().rng);
            peers.truncate(ANNOUNCE_FANOUT);
            if known[1] != control {
                peers.extend(self.remote_peers(REMOTE_FANOUT));
                peers.extend(self.remote_region_peers());
            }
            self.send_to(socket, &peers, &[]);
        }
        let failed = self.lock().readers.take_unannounced();
        let due =
            self.reads_store() && reader_notices.take_due(now, UrgentState::default(), HEARTBEAT);
        if failed || due {
            self.send_to(socket, &self.heartbeat_peers(), &[]);
        }
    }

    /// Returns the other nodes of this zone, with those whose upstreams are no longer listed.
    fn heartbeat_peers(&self) -> Vec<IpAddr> {
        let mut peers = self.zone_peers();
        peers.extend(self.lock().unlisted.keys());
        peers
    }

    /// Returns the other nodes of this zone.
    pub(crate) fn zone_peers(&self) -> Vec<IpAddr> {
        let state = self.lock();
        let own = self.settings.peers.ip();
        let zone = self.settings.zone.as_str();
        let vms = state.index.vms().filter(|(ip, vm_zone)| &***vm_zone == zone && *ip != own);
        vms.map(|(ip, _)| ip).collect()
    }

    /// Returns up to `count` random nodes of other zones of the region.
    fn remote_peers(&self, count: usize) -> Vec<IpAddr> {
        let mut state = self.lock();
        let state = &mut *state;
        let is_near = |zone: &Name| self.settings.distance(zone) == Distance::Region;
        let remote = state.index.vms().filter(|(_, zone)| is_near(zone));
        remote.map(|(ip, _)| ip).choose_multiple(&mut state.rng, count)
    }

    /// Returns a random node, of this region if there is one.
    pub(crate) fn random_peer(&self) -> Option<IpAddr> {
        let mut state = self.lock();
        let state = &mut *state;
        let own = self.settings.peers.ip();
        let others = state.index.vms().filter(|(ip, _)| *ip != own);
        let is_remote = |zone: &Name| self.settings.distance(zone) == Distance::Remote;
        let (remote, near): (Vec<_>, Vec<_>) = others.partition(|(_, zone)| is_remote(zone));
        let peers = if near.is_empty() { remote } else { near };
        peers.into_iter().map(|(ip, _)| ip).choose(&mut state.rng)
    }

    /// Returns a random node of another region.
    pub(crate) fn random_remote_peer(&self) -> Option<IpAddr> {
        let mut state = self.lock();
        let state = &mut *state;
        let is_remote = |zone: &Name| self.settings.distance(zone) == Distance::Remote;
        let remote = state.index.vms().filter(|(_, zone)| is_remote(zone));
        remote.map(|(ip, _)| ip).choose(&mut state.rng)
    }

    /// Asks nodes of other regions whose requests run for long for a notice.
    fn ask_owing_nodes(&self, socket: &UdpSocket, now: Micros) {
        let owing = self.lock().region_watch.take_questions(now);
        if !owing.is_empty() {
            self.send_notice(socket, &owing, &self.build_notice(&[]), &ASKS);
        }
    }

    /// Asks nodes of other regions that do not respond for a notice.
    fn ask_silent_peers(&self, socket: &UdpSocket, now: Micros) {
        let silent = self.silent_peers(now);
        if !silent.is_empty() {
            self.send_notice(socket, &silent, &self.build_notice(&[]), &ASKS);
        }
    }

    fn send_to(&self, socket: &UdpSocket, to: &[IpAddr], verdicts: &[Verdict]) {
        if to.is_empty() {
            return;
        }
        self.send_notice(socket, to, &self.build_notice(verdicts), &[]);
    }

    fn send_notice(&self, socket: &UdpSocket, to: &[IpAddr], notice: &Notice, end: &[u8]) {
        let Ok(mut bytes) = postcard::to_stdvec(notice) else { return };
        bytes.extend_from_slice(end);
        for ip in to {
            let addr = SocketAddr::new(*ip, self.settings.notices.port());
            self.metrics.notices.inc();
            // Losses are tolerated because a later notice replaces a lost one.
            if let Err(error) = socket.try_send_to(&bytes, addr) {
                event::debug(Event::NoticeFailed, &[("to", &addr), ("why", &error)]);
            }
        }
    }

    /// Tells the other nodes of this service what is known of requests that were open in a crash.
    pub(crate) fn tell_verdicts(&self, verdicts: &[Verdict]) {
        let Some(socket) = self.notice_socket.get() else { return };
        let peers: Vec<IpAddr> = {
            let state = self.lock();
            let own = self.settings.peers.ip();
            let ips = state.index.usable(&self.settings.service).iter().map(|(_, up)| up.addr.ip());
            ips.filter(|ip| *ip != own).collect()
        };
        verdicts.chunks(MAX_VERDICTS).for_each(|some| self.send_to(socket, &peers, some));
    }

    /// Receives notices for the lifetime of the process.
    pub(crate) async fn receive_notices(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut bytes = [0_u8; MAX_NOTICE_BYTES];
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((len, from)) => {
                    if let Err(error) = self.apply_received(&socket, from.ip(), &bytes[..len]) {
                        event::warn(Event::NoticeFailed, &[("from", &from), ("why", &error)]);
                    }
                }
                Err(error) => {
                    event::warn(Event::NoticeFailed, &[("why", &error)]);
                    self.timer.sleep(TICK_INTERVAL).await;
                }
            }
        }
    }

    /// Decodes and applies a notice or another datagram.
    fn apply_received(
        self: &Arc<Self>,
        socket: &UdpSocket,
        from: IpAddr,
        bytes: &[u8],
    ) -> Result<(), postcard::Error> {
        if let Some(datagram) = Datagram::decode(bytes) {
            self.apply_datagram(socket, from, datagram?);
            return Ok(());
        }
        let (notice, end) = postcard::take_from_bytes::<Notice>(bytes)?;
        self.apply_notice(from, &notice);
        if end == ASKS {
            self.send_to(socket, &[from], &[]);
        }
        Ok(())
    }

    fn apply_notice(self: &Arc<Self>, from: IpAddr, notice: &Notice) {
        let now = self.now();
        {
            let mut state = self.lock();
            state.record_region_message(&self.settings, from);
            let peer = state.peers.entry(from).or_default();
            peer.record_message();
            peer.stopping = notice.stopping;
            // A notice shows that the peer is alive, so connections to it are retried at once.
            let returned = std::mem::take(&mut peer.connect_failures) > 0;
            if let Some(age) = notice.upstreams_age.filter(|age| *age <= FRESH_TIME) {
                let at = now.saturating_sub(age);
                state.record_answer(&self.settings, at, at);
            }
            if state.is_in_zone(from, &self.settings.zone) {
                state.apply_zone_notice(now, u64::from(vm_of(from).0), notice);
            }
            if let Some(stats) = state.upstream_stats.get_mut(notice.instance.as_str()) {
                stats.record_report(now, LoadReport::from(notice));
                if returned {
                    stats.stop_avoiding();
                }
            }
            state.confirm_known(now, notice);
        }
        let known = self.apply_verdicts(now, &notice.verdicts);
        if let (false, Some(socket)) = (known.is_empty(), self.notice_socket.get()) {
            self.send_to(socket, &[from], &known);
        }
        let known = Known { upstreams: notice.revision, control: notice.control };
        self.pull_newer(from, known);
    }

    /// Applies what a node tells of requests that were open in a crash. Returns what it does not know, as it
    /// may have started since.
    fn apply_verdicts(&self, now: Micros, verdicts: &[Verdict]) -> Vec<Verdict> {
        let mut state = self.lock();
        let mut unknown = Vec::new();
        for verdict in verdicts {
            match *verdict {
                Verdict::Suspect(Crash { fingerprint, .. })
                    if state.suspects.suspicion(now, fingerprint) == Suspicion::Poison =>
                {
                    unknown.extend(Verdict::of(&state.suspects.crashes(fingerprint)));
                }
                Verdict::Suspect(crash) => {
                    state.suspects.suspect(now, crash);
                }
                Verdict::Poison(fingerprint, vms) => state.suspects.refuse(now, fingerprint, vms),
                Verdict::Clear(fingerprint) => {
                    state.suspects.clear(now, fingerprint);
                }
            }
        }
        unknown
    }

    /// Pulls changes from the node at `from`, which knows `known`, if this node lacks them.
    fn pull_newer(self: &Arc<Self>, from: IpAddr, known: Known) {
        let behind = {
            let mut state = self.lock();
            let (now, own) = (self.now(), state.known());
            [
                state.upstreams.announce(now, from, known.upstreams, own.upstreams),
                state.control.announce(now, from, known.control, own.control),
            ]
        };
        for (topic, behind) in Topic::ALL.into_iter().zip(behind) {
            if behind {
                let node = Arc::clone(self);
                tokio::spawn(async move { node.pull_changes(topic).await });
            }
        }
    }

    /// Applies what the node at `from` knows, as told with a request or response. Nodes of other
    /// zones are not asked for changes at once, since traffic between zones costs more.
    pub(crate) fn learn_known(self: &Arc<Self>, from: IpAddr, known: Known) {
        let in_zone = {
            let mut state = self.lock();
            let own = state.known();
            if known.upstreams <= own.upstreams && known.control <= own.control {
                return;
            }
            let now = self.now();
            state.upstreams.lag.announce(now, known.upstreams, own.upstreams);
            state.control.lag.announce(now, known.control, own.control);
            state.is_in_zone(from, &self.settings.zone)
        };
        if in_zone {
            self.pull_newer(from, known);
        }
    }
}

impl State {
    /// Applies what `notice` of node `other` of this zone tells of calls to the store.
    fn apply_zone_notice(&mut self, now: Micros, other: u64, notice: &Notice) {
        self.readers.record_heartbeat(now, other, notice.reads && !notice.stopping);
        if let Some(lasted) = notice.failing
            && !self.reads_store()
        {
            self.readers.record_peer_failure(now, other);
            self.outage.record_failure(now.saturating_sub(lasted));
        }
    }

    /// Confirms what this node knows by what `notice` tells, if its sender knows no more. A sender that
    /// knows an older era cannot tell what the store has written since.
    fn confirm_known(&mut self, now: Micros, notice: &Notice) {
        let own = self.known();
        let confirms = |told, known| told <= known && !begins_era(told, known);
        if confirms(notice.revision, own.upstreams) {
            self.upstreams.freshness.confirm(now, notice.upstreams_age);
            // A reader knows what the store knows.
            self.upstreams.confirmed |= notice.reads && own.upstreams > 0;
        }
        if confirms(notice.control, own.control) {
            self.control.freshness.confirm(now, notice.control_age);
            self.control.confirmed |= notice.reads && self.view.routing.is_some();
        }
    }
}
