//! Faults drawn from a seed, and their injection into the nodes of a fleet.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bbv_stand::fleet::Fleet;
use bbv_stand::process::{Process, Signal};
use bbv_stand::proxy::{MODES, Mode, Proxy};
use bbv_stand::upstream::Behaviour;
use eyre::{Result, WrapErr, bail};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::calm::Disturbances;

/// Fault at one node.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process is paused, or continues if it is paused.
    Pause,
    /// The process is killed and restarted.
    Kill,
    /// The process gets SIGTERM and is restarted once it has ended.
    Restart,
    /// The process gets SIGHUP and reloads its settings.
    Reload,
    /// The store starts or stops refusing the node.
    Refuse(bool),
    /// The proxy in front of the store changes its mode.
    StoreLink(Mode),
    /// The proxy in front of the upstream changes its mode.
    UpstreamLink(Mode),
    /// The upstream changes its behaviour.
    Upstream(Behaviour),
    /// The upstream is cold for a limited time.
    Cold,
}

/// Process of a node, with the proxies through which it reaches the store and its upstream.
pub struct Node {
    /// Process of the node, which faults pause, signal and restart.
    pub process: Process,
    /// Id of the process.
    pub id: Arc<AtomicU32>,
    /// Whether the process was killed since it took more memory than it may.
    pub killed: Arc<AtomicBool>,
    /// Proxy in front of the store.
    pub store_proxy: Proxy,
    /// Proxy in front of the upstream.
    pub upstream_proxy: Proxy,
    /// Proxies in front of the node and of the nodes of other zones, if its zone is behind such.
    pub peer_proxies: Vec<Proxy>,
    /// Whether the store is silent for all nodes.
    pub outage: Arc<AtomicBool>,
    /// Whether the process was stopped or killed and has not been restarted yet.
    pub stopping: bool,
    /// Whether the process is paused.
    pub paused: bool,
    /// Number that changes whenever the process ends or starts.
    pub generation: Arc<AtomicU64>,
    /// Whether the store refuses the node.
    pub refused: Arc<AtomicBool>,
    /// Whether watches of the store hear nothing.
    pub muted: Arc<AtomicBool>,
    /// Times at which faults disturb the node.
    pub disturbances: Arc<Disturbances>,
}

impl Node {
    /// Records whether faults disturb the node at present.
    pub fn record_disturbed(&self) {
        let proxies = [&self.store_proxy, &self.upstream_proxy].into_iter();
        let harmed =
            proxies.chain(&self.peer_proxies).any(|proxy| *proxy.mode.lock() != Mode::Pass);
        let refused = [&self.refused, &self.muted, &self.outage];
        let refused = refused.iter().any(|it| it.load(Ordering::Relaxed));
        self.disturbances.set(self.paused || self.stopping || refused || harmed);
    }

    /// Silences the open connections to the store, which counts as a reset of the node's connections.
    pub fn silence_store(&self) {
        self.store_proxy.silence_open();
        self.disturbances.set(true);
        self.record_disturbed();
    }
}

/// Time for which [`Fault::Cold`] makes an upstream cold.
const COLD_DURATION: Duration = Duration::from_secs(2);

const BEHAVIOURS: [Behaviour; 9] = [
    Behaviour::Answers,
    Behaviour::Hangs,
    Behaviour::LosesAnswer,
    Behaviour::Rejects,
    Behaviour::Truncates,
    Behaviour::AnswersTwice,
    Behaviour::Crosses,
    Behaviour::Unsigned,
    Behaviour::Crashes,
];

impl Fault {
    /// Draws a fault.
    pub fn draw(rng: &mut SmallRng) -> Self {
        match rng.random_range(0..9) {
            0 => Fault::Pause,
            1 => Fault::Kill,
            2 => Fault::Restart,
            3 => Fault::Reload,
            4 => Fault::Refuse(rng.random()),
            5 => Fault::StoreLink(MODES[rng.random_range(0..MODES.len())]),
            6 => Fault::UpstreamLink(MODES[rng.random_range(0..MODES.len())]),
            _ => Fault::Upstream(BEHAVIOURS[rng.random_range(0..BEHAVIOURS.len())]),
        }
    }

    /// Returns whether the node or one of its links is disturbed from this fault on.
    pub fn disturbs(self) -> bool {
        match self {
            Fault::Pause | Fault::Kill | Fault::Restart => true,
            Fault::Refuse(refuse) => refuse,
            Fault::StoreLink(mode) | Fault::UpstreamLink(mode) => mode != Mode::Pass,
            Fault::Reload | Fault::Upstream(_) | Fault::Cold => false,
        }
    }

    /// Injects the fault at node `index`.
    pub fn inject(self, fleet: &Fleet, index: usize, node: &mut Node) -> Result<()> {
        let member = &fleet.members[index];
        if self.disturbs() {
            node.disturbances.set(true);
        }
        match self {
            Fault::Pause if node.paused => {
                node.paused = false;
                signal(node, Signal::Cont)?;
            }
            Fault::Pause => {
                node.paused = true;
                signal(node, Signal::Stop)?;
            }
            Fault::Kill => {
                node.generation.fetch_add(1, Ordering::SeqCst);
                signal(node, Signal::Kill)?;
                node.paused = false;
                node.stopping = true;
            }
            Fault::Restart => {
                node.stopping = true;
                signal(node, Signal::Term)?;
            }
            Fault::Reload => signal(node, Signal::Hup)?,
            Fault::Refuse(refuse) => node.refused.store(refuse, Ordering::Relaxed),
            Fault::StoreLink(mode) => *node.store_proxy.mode.lock() = mode,
            Fault::UpstreamLink(mode) => *node.upstream_proxy.mode.lock() = mode,
            Fault::Upstream(behaviour) => member.upstream.set_behaviour(behaviour),
            Fault::Cold => member.upstream.turn_cold(COLD_DURATION),
        }
        node.record_disturbed();
        Ok(())
    }
}

fn signal(node: &mut Node, signal: Signal) -> Result<()> {
    if node.process.ended() {
        return Ok(());
    }
    node.process.signal(signal).wrap_err("could not send a signal to a node")
}

/// Restarts the processes that have ended after a stop or kill; fails if one ended on its own.
pub fn restart_ended(nodes: &mut [Node]) -> Result<()> {
    for (index, node) in nodes.iter_mut().enumerate() {
        if !node.stopping && node.killed.load(Ordering::SeqCst) {
            node.generation.fetch_add(1, Ordering::SeqCst);
            node.disturbances.set(true);
            node.paused = false;
            node.stopping = true;
        }
        if !node.stopping {
            if let Some(status) = node.process.status() {
                bail!("node {index} ended unexpectedly: {status}");
            }
            continue;
        }
        if node.process.ended() {
            node.generation.fetch_add(1, Ordering::SeqCst);
            node.process.restart().wrap_err("could not restart a node")?;
            node.id.store(node.process.id(), Ordering::SeqCst);
            node.killed.store(false, Ordering::SeqCst);
            node.stopping = false;
            node.record_disturbed();
        }
    }
    Ok(())
}

/// Ends all faults and waits until the processes that were stopped are restarted.
pub async fn clear(fleet: &Fleet, nodes: &mut [Node]) -> Result<()> {
    for (member, node) in fleet.members.iter().zip(nodes.iter_mut()) {
        node.refused.store(false, Ordering::Relaxed);
        member.upstream.set_behaviour(Behaviour::Answers);
        *node.store_proxy.mode.lock() = Mode::Pass;
        *node.upstream_proxy.mode.lock() = Mode::Pass;
        if node.paused {
            node.paused = false;
            signal(node, Signal::Cont)?;
        }
        node.record_disturbed();
    }
    while nodes.iter().any(|node| node.stopping) {
        restart_ended(nodes)?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}
