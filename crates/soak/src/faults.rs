//! Faults that a seed draws, and how they are injected.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bbv_stand::fleet::Fleet;
use bbv_stand::process::{Process, Signal};
use bbv_stand::upstream::Behaviour;
use eyre::{Result, WrapErr, bail};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::proxy::{MODES, Mode, Proxy};

/// One fault at one node.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process is paused and goes on later.
    Pause,
    /// The process is killed and started again.
    Kill,
    /// The process is told to stop and is started again when it has ended.
    Restart,
    /// The process is told to read its settings again.
    Reload,
    /// The store refuses the node, or serves it again.
    Refuse(bool),
    /// The way to the store changes.
    StoreLink(Mode),
    /// The way to the upstream changes.
    UpstreamLink(Mode),
    /// The upstream changes its habit.
    Upstream(Behaviour),
    /// The upstream is cold for a while.
    Cold,
}

/// One node with the ways around it.
pub struct Node {
    /// Process.
    pub process: Process,
    /// Proxy in front of the store.
    pub store: Proxy,
    /// Proxy in front of the upstream.
    pub upstream: Proxy,
    /// Whether the process was told to stop and is not yet started again.
    pub stopping: bool,
    /// Whether the process is paused.
    pub paused: bool,
    /// Number that changes whenever the process ends or starts.
    pub starts: Arc<AtomicU64>,
}

/// Time for which an upstream is cold.
const COLD: Duration = Duration::from_secs(2);
/// Time in which a process that was started has begun to handle signals.
const STARTING: Duration = Duration::from_millis(50);

const HABITS: [Behaviour; 9] = [
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
            _ => Fault::Upstream(HABITS[rng.random_range(0..HABITS.len())]),
        }
    }

    /// Injects the fault at node `at`.
    pub fn inject(self, fleet: &Fleet, at: usize, node: &mut Node) -> Result<()> {
        let member = &fleet.members[at];
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
                node.starts.fetch_add(1, Ordering::SeqCst);
                signal(node, Signal::Kill)?;
                node.paused = false;
                node.stopping = true;
            }
            Fault::Restart => {
                node.stopping = true;
                signal(node, Signal::Term)?;
            }
            // Before a program has begun, a signal that it handles still ends it.
            Fault::Reload if node.process.uptime() < STARTING => {}
            Fault::Reload => signal(node, Signal::Hup)?,
            Fault::Refuse(refuse) => member.listener.refuse.store(refuse, Ordering::Relaxed),
            Fault::StoreLink(mode) => *node.store.mode.lock() = mode,
            Fault::UpstreamLink(mode) => *node.upstream.mode.lock() = mode,
            Fault::Upstream(habit) => member.upstream.set_behaviour(habit),
            Fault::Cold => member.upstream.turn_cold(COLD),
        }
        Ok(())
    }
}

fn signal(node: &mut Node, signal: Signal) -> Result<()> {
    if node.process.ended() {
        return Ok(());
    }
    node.process.signal(signal).wrap_err("could not send a signal to a node")
}

/// Starts processes again that have ended as they were told; fails on one that ended by itself.
pub fn revive(nodes: &mut [Node]) -> Result<()> {
    for (at, node) in nodes.iter_mut().enumerate() {
        if !node.stopping {
            if let Some(status) = node.process.status() {
                bail!("node {at} ended by itself: {status}");
            }
            continue;
        }
        if node.process.ended() {
            node.starts.fetch_add(1, Ordering::SeqCst);
            node.process.restart().wrap_err("could not start a node again")?;
            node.stopping = false;
        }
    }
    Ok(())
}

/// Ends every fault.
pub async fn heal(fleet: &Fleet, nodes: &mut [Node]) -> Result<()> {
    for (member, node) in fleet.members.iter().zip(nodes.iter_mut()) {
        member.listener.refuse.store(false, Ordering::Relaxed);
        member.upstream.set_behaviour(Behaviour::Answers);
        *node.store.mode.lock() = Mode::Pass;
        *node.upstream.mode.lock() = Mode::Pass;
        if node.paused {
            node.paused = false;
            signal(node, Signal::Cont)?;
        }
    }
    while nodes.iter().any(|node| node.stopping) {
        revive(nodes)?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}
