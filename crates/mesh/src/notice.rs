//! Notices over UDP: load, liveness, revision and crashes.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bbv_core::id::Vm;
use bbv_core::placement::LoadReport;
use bbv_core::poison::Crash;
use bbv_core::units::{MS, Micros, Revision};
use rand::seq::{IteratorRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::event::{self, Event};
use crate::node::{Node, RECENT_INGRESS_TTL};

/// Interval at which waiting requests and the need for a notice are looked at.
const TICK: Micros = 10 * MS;
/// Longest time between two notices to a node that sent requests.
const HEARTBEAT: Micros = 200 * MS;
/// Longest time between two notices to a node of another zone that sent requests; the way
/// there costs more, and what changes many times a second is over when it arrives.
const FAR_HEARTBEAT: Micros = 1_000 * MS;
/// Interval of notices to a random node, which spread revisions.
const GOSSIP: Micros = 1_000 * MS;
/// Largest notice; a larger one is not sent by any node.
const NOTICE_MAX: usize = 1_400;

/// One notice.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct Notice {
    instance: String,
    stopping: bool,
    reads: bool,
    revision: Revision,
    running: u32,
    queued: u32,
    limit: u32,
    speed_pct: u32,
    spell: Micros,
    backlog: Micros,
    closed: bool,
    cold: bool,
    crash: Option<Crash>,
}

impl From<&Notice> for LoadReport {
    fn from(notice: &Notice) -> Self {
        LoadReport {
            running: notice.running,
            queued: notice.queued,
            limit: notice.limit,
            speed_pct: notice.speed_pct,
            slow_remaining: notice.spell,
            backlog: notice.backlog,
            closed: notice.closed,
            cold: notice.cold,
        }
    }
}

/// Nodes that a node tells of a revision that it has just learned.
const FAN_OUT: usize = 6;
/// Change of speed, in percent, that is worth a notice.
const SPEED_STEP: u32 = 20;

/// What a notice tells that cannot wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Urgent {
    /// Time that work takes, in steps of [`SPEED_STEP`].
    speed: u32,
    closed: bool,
    cold: bool,
    crowded: bool,
    stopping: bool,
}

/// When the next notice is due.
#[derive(Default)]
struct Due {
    sent: Option<Urgent>,
    at: Micros,
}

impl Due {
    fn due(&mut self, now: Micros, urgent: Urgent, period: Micros) -> bool {
        if self.sent == Some(urgent) && now < self.at + period {
            return false;
        }
        self.sent = Some(urgent);
        self.at = now;
        true
    }
}

/// Number of a VM among the fleet, from its address.
pub(crate) fn vm_of(ip: IpAddr) -> Vm {
    match ip {
        IpAddr::V4(ip) => Vm(u32::from(ip)),
        IpAddr::V6(ip) => Vm(u128::from(ip) as u32),
    }
}

impl Node {
    fn notice(&self, crash: Option<Crash>) -> Notice {
        let now = self.now();
        let reads = self.reads_store();
        let state = self.lock();
        let report = state.load_report(now);
        let instance = state.local.instance.as_deref().unwrap_or_default().to_owned();
        Notice {
            instance,
            stopping: self.leaving(),
            reads,
            revision: state.view.through,
            running: report.running,
            queued: report.queued,
            limit: report.limit,
            speed_pct: report.speed_pct,
            spell: report.slow_remaining,
            backlog: report.backlog,
            closed: report.closed,
            cold: report.cold,
            crash,
        }
    }

    /// Sends notices for as long as the process runs.
    pub(crate) async fn send_notices(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut ticks = self.timer.every(TICK);
        let mut near = Due::default();
        let mut far = Due::default();
        let mut reading = Due::default();
        let mut announced: Revision = 0;
        let mut gossiped: Micros = 0;
        loop {
            let now = ticks.next().await.now;
            self.poll_admission();
            self.expire(now);
            let report = self.lock().load_report(now);
            let (closed, stopping) = (report.closed, self.leaving());
            let urgent = Urgent {
                speed: report.speed_pct / SPEED_STEP,
                closed,
                cold: report.cold,
                crowded: report.backlog > 0,
                stopping,
            };
            let urgent_far = Urgent { closed, stopping, ..Urgent::default() };
            self.announce_revision(&socket, now, &mut reading, &mut announced);
            if near.due(now, urgent, HEARTBEAT) {
                self.send_to(&socket, &self.recent(now, true), None);
            }
            if far.due(now, urgent_far, FAR_HEARTBEAT) {
                self.send_to(&socket, &self.recent(now, false), None);
            }
            if now >= gossiped + GOSSIP {
                gossiped = now;
                let random = self.random_peer();
                self.send_to(&socket, random.as_slice(), None);
            }
        }
    }

    fn expire(&self, now: Micros) {
        let due = self.lock().view.expire(now);
        let applied: Vec<_> =
            due.into_iter().map(bbv_core::view::Effect::UpstreamRemoved).collect();
        self.view_changed("lapse", &applied);
    }

    /// Nodes that sent requests lately, in this zone or in others.
    fn recent(&self, now: Micros, near: bool) -> Vec<IpAddr> {
        let mut state = self.lock();
        state.recent_ingresses.retain(|_, at| now < *at + RECENT_INGRESS_TTL);
        let own = self.settings.peers.ip();
        let zone = self.settings.zone.as_str();
        let wanted = |ip: &IpAddr| *ip != own && state.is_in_zone(*ip, zone) == near;
        state.recent_ingresses.keys().copied().filter(wanted).collect()
    }

    /// Tells a few nodes of this zone of a new revision, so that all learn it in a few steps
    /// and ask different nodes for it; a reader also tells all of them that it reads.
    fn announce_revision(
        &self,
        socket: &UdpSocket,
        now: Micros,
        reading: &mut Due,
        announced: &mut Revision,
    ) {
        let revision = self.revision();
        if revision > *announced {
            *announced = revision;
            let mut peers = self.zone_peers();
            peers.shuffle(&mut self.lock().rng);
            peers.truncate(FAN_OUT);
            self.send_to(socket, &peers, None);
        }
        if self.reads_store() && reading.due(now, Urgent::default(), HEARTBEAT) {
            self.send_to(socket, &self.zone_peers(), None);
        }
    }

    /// Nodes of this zone.
    fn zone_peers(&self) -> Vec<IpAddr> {
        let state = self.lock();
        let own = self.settings.peers.ip();
        let zone = self.settings.zone.as_str();
        let here = state.index.vms().filter(|(ip, known)| &***known == zone && *ip != own);
        here.map(|(ip, _)| ip).collect()
    }

    fn random_peer(&self) -> Option<IpAddr> {
        let mut state = self.lock();
        let state = &mut *state;
        let own = self.settings.peers.ip();
        let ips = state.index.vms().map(|(ip, _)| ip).filter(|ip| *ip != own);
        ips.choose(&mut state.rng)
    }

    fn send_to(&self, socket: &UdpSocket, to: &[IpAddr], crash: Option<Crash>) {
        if to.is_empty() {
            return;
        }
        let notice = self.notice(crash);
        let Ok(bytes) = postcard::to_stdvec(&notice) else { return };
        for ip in to {
            let addr = SocketAddr::new(*ip, self.settings.notices.port());
            self.metrics.notices.inc();
            // A notice that is lost is followed by another one.
            if let Err(error) = socket.try_send_to(&bytes, addr) {
                event::debug(Event::NoticeFailed, &[("to", &addr), ("why", &error)]);
            }
        }
    }

    /// Tells the nodes of this service of a crash.
    pub(crate) fn notify_crash(&self, socket: &UdpSocket, crash: Crash) {
        let peers: Vec<IpAddr> = {
            let state = self.lock();
            let own = self.settings.peers.ip();
            let ips = state.index.usable(&self.settings.service).iter().map(|(_, up)| up.addr.ip());
            ips.filter(|ip| *ip != own).collect()
        };
        self.send_to(socket, &peers, Some(crash));
    }

    /// Receives notices for as long as the process runs.
    pub(crate) async fn receive_notices(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut bytes = [0_u8; NOTICE_MAX];
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((len, from)) => match postcard::from_bytes::<Notice>(&bytes[..len]) {
                    Ok(notice) => self.heard(from.ip(), &notice),
                    Err(error) => {
                        event::warn(Event::NoticeFailed, &[("from", &from), ("why", &error)]);
                    }
                },
                Err(error) => {
                    event::warn(Event::NoticeFailed, &[("why", &error)]);
                    self.timer.sleep(TICK).await;
                }
            }
        }
    }

    fn heard(self: &Arc<Self>, from: IpAddr, notice: &Notice) {
        let now = self.now();
        let behind = {
            let mut state = self.lock();
            let peer = state.peers.entry(from).or_default();
            peer.last_seen = now;
            peer.stopping = notice.stopping;
            // It lives, so that a connection may be tried again at once.
            let returned = std::mem::take(&mut peer.connect_failures) > 0;
            if state.is_in_zone(from, &self.settings.zone) {
                let reads = notice.reads && !notice.stopping;
                state.readers.record_heartbeat(now, u64::from(vm_of(from).0), reads);
            }
            if let Some(target) = state.upstream_stats.get_mut(notice.instance.as_str()) {
                target.record_report(now, LoadReport::from(notice));
                if returned {
                    target.stop_avoiding();
                }
            }
            if let Some(crash) = notice.crash {
                state.suspects.record_crash(now, crash);
            }
            let newer = notice.revision > state.view.through;
            if newer {
                state.newer_peers.insert(from, notice.revision);
            }
            let behind = newer && !state.pulling;
            state.pulling |= behind;
            behind
        };
        if behind {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.pull().await });
        }
    }
}
