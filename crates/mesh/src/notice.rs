//! Notices over UDP: load, liveness, revision and crashes.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bbv_core::id::Vm;
use bbv_core::place::Report;
use bbv_core::suspect::Crash;
use bbv_core::units::{MS, Micros, Revision};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::node::{Node, RECENT};

/// Interval at which waiting requests and the need for a notice are looked at.
const TICK: Micros = 10 * MS;
/// Longest time between two notices to a node that sent requests.
const HEARTBEAT: Micros = 200 * MS;
/// Interval of notices to a random node, which spread revisions.
const GOSSIP: Micros = 500 * MS;
/// Largest notice; a larger one is not sent by any node.
const NOTICE_MAX: usize = 1_400;

/// One notice.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct Notice {
    instance: String,
    incarnation: u64,
    stopping: bool,
    revision: Revision,
    running: u32,
    queued: u32,
    limit: u32,
    speed_pct: u32,
    backlog: Micros,
    closed: bool,
    cold: bool,
    crash: Option<Crash>,
}

impl From<&Notice> for Report {
    fn from(notice: &Notice) -> Self {
        Report {
            running: notice.running,
            queued: notice.queued,
            limit: notice.limit,
            speed_pct: notice.speed_pct,
            backlog: notice.backlog,
            closed: notice.closed,
            cold: notice.cold,
        }
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
        let state = self.lock();
        let report = state.report(now);
        let instance = state.own.instance.as_deref().unwrap_or_default().to_owned();
        Notice {
            instance,
            incarnation: self.incarnation,
            stopping: self.stopping(),
            revision: state.view.through,
            running: report.running,
            queued: report.queued,
            limit: report.limit,
            speed_pct: report.speed_pct,
            backlog: report.backlog,
            closed: report.closed,
            cold: report.cold,
            crash,
        }
    }

    /// Sends notices for as long as the process runs.
    pub(crate) async fn send_notices(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut ticks = self.timer.every(TICK);
        let mut last = (0, false, false, false, false);
        let mut sent: Micros = 0;
        let mut gossiped: Micros = 0;
        loop {
            let now = ticks.next().await.now;
            self.pump();
            self.expire(now);
            let report = self.lock().report(now);
            let full = report.backlog > 0;
            let key = (report.speed_pct / 20, report.closed, report.cold, full, self.stopping());
            if key != last || now >= sent + HEARTBEAT {
                last = key;
                sent = now;
                let recent = self.recent(now);
                self.send_to(&socket, &recent, None);
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
        let applied: Vec<_> = due.into_iter().map(bbv_core::view::Applied::Unlisted).collect();
        self.viewed("lapse", &applied);
    }

    fn recent(&self, now: Micros) -> Vec<IpAddr> {
        let mut state = self.lock();
        state.recent.retain(|_, at| now < *at + RECENT);
        let own = self.settings.peers.ip();
        state.recent.keys().copied().filter(|ip| *ip != own).collect()
    }

    fn random_peer(&self) -> Option<IpAddr> {
        let mut state = self.lock();
        let state = &mut *state;
        let own = self.settings.peers.ip();
        let ips = state.view.upstreams.values().map(|up| up.addr.ip()).filter(|ip| *ip != own);
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
                log::debug!("event=notice-unsent to={addr} error={error:?}");
            }
        }
    }

    /// Tells the nodes of this service of a crash.
    pub(crate) fn tell_crash(&self, socket: &UdpSocket, crash: Crash) {
        let peers: Vec<IpAddr> = {
            let state = self.lock();
            let own = self.settings.peers.ip();
            let ips = state.view.usable(&self.settings.service).map(|(_, up)| up.addr.ip());
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
                    Err(error) => log::warn!("event=notice-malformed from={from} error={error:?}"),
                },
                Err(error) => {
                    log::warn!("event=notice-not-received error={error:?}");
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
            peer.heard = now;
            peer.stopping = notice.stopping;
            peer.incarnation = notice.incarnation;
            if let Some(target) = state.targets.get_mut(notice.instance.as_str()) {
                target.learn(now, Report::from(notice));
            }
            if let Some(crash) = notice.crash {
                state.suspects.report(now, crash);
            }
            let behind = notice.revision > state.view.through && !state.pulling;
            state.pulling |= behind;
            behind
        };
        if behind {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.pull(from).await });
        }
    }
}
