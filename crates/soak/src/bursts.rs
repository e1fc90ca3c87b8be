//! Bursts of faults: several nodes at once, several faults in a row at one node, and changes of
//! the configuration while nodes stop and start.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::faults::Fault;

/// What a step of a burst does.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Injects a fault at the node with this number.
    Inject(usize, Fault),
    /// Publishes a new version of the routing.
    Publish,
    /// Publishes a version that adds this number of routes.
    Resize(usize),
    /// Publishes that the upstream of the node with this number leaves.
    Leave(usize),
    /// Removes the entry of the upstream of the node with this number, which serves on.
    Remove(usize),
    /// Publishes that the upstream of the node with this number is ready again.
    Return(usize),
    /// Cuts the connections to the store of the node with this number, or of all nodes.
    Cut(Option<usize>),
    /// Silences the open connections to the store.
    Silence,
    /// Publishes a version of the routing that is invalid and has a route of its own.
    PublishInvalid,
    /// The store is silent for all nodes from now on, or answers again.
    Outage(bool),
    /// Connections from other zones into the last one are silent from now on, or no longer are.
    CutZone(bool),
    /// Watches hear nothing from now on, or as before.
    Mute(bool),
    /// The store forgets its history and cuts all watches, which hear of changes again.
    Forget,
    /// The store is copied.
    Copy,
    /// The store comes back from the copy, and answers again.
    Restore,
    /// What the store has lost is written again.
    WriteAgain,
}

/// Step of a burst.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Time since the start of the run.
    pub at: Duration,
    /// What it does.
    pub action: Action,
}

/// Time between the first and the last step of a burst, without the ends of its faults.
const SPAN_MS: u64 = 400;
/// Longest time after which a burst ends the pauses and refusals that it has started.
const LASTING_MS: u64 = 1_500;
/// Largest number of steps that a burst has at one node, and of its changes of the configuration.
const MAX_STEPS: usize = 8;

/// Draws a burst that starts at `start` among `nodes` nodes.
pub fn draw(rng: &mut SmallRng, nodes: usize, start: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    match rng.random_range(0..3) {
        0 => add_many_nodes(rng, &mut steps, nodes),
        1 => add_one_node(rng, &mut steps, nodes),
        _ => {
            add_many_nodes(rng, &mut steps, nodes);
            for _ in 0..rng.random_range(2..=MAX_STEPS) {
                steps.push(Step { at: moment(rng, SPAN_MS), action: Action::Publish });
            }
        }
    }
    steps.iter_mut().for_each(|step| step.at += start);
    steps
}

/// Adds one fault at two or more nodes, all at the same moment or within the span of a burst.
fn add_many_nodes(rng: &mut SmallRng, steps: &mut Vec<Step>, nodes: usize) {
    let fault = draw_fault(rng);
    let span = if rng.random() { 0 } else { SPAN_MS };
    let first = rng.random_range(0..nodes);
    for offset in 0..rng.random_range(2.min(nodes)..=nodes) {
        let at = moment(rng, span);
        add_fault(rng, steps, at, (first + offset) % nodes, fault);
    }
}

/// Adds several faults at one node.
fn add_one_node(rng: &mut SmallRng, steps: &mut Vec<Step>, nodes: usize) {
    let node = rng.random_range(0..nodes);
    for _ in 0..rng.random_range(2..=MAX_STEPS) {
        let (at, fault) = (moment(rng, SPAN_MS), draw_fault(rng));
        add_fault(rng, steps, at, node, fault);
    }
}

/// Adds `fault`, and its end if it lasts.
fn add_fault(rng: &mut SmallRng, steps: &mut Vec<Step>, at: Duration, node: usize, fault: Fault) {
    steps.push(Step { at, action: Action::Inject(node, fault) });
    let end = match fault {
        Fault::Pause => Fault::Pause,
        Fault::Refuse(_) => Fault::Refuse(false),
        _ => return,
    };
    let at = at + moment(rng, LASTING_MS);
    steps.push(Step { at, action: Action::Inject(node, end) });
}

fn draw_fault(rng: &mut SmallRng) -> Fault {
    match rng.random_range(0..5) {
        0 => Fault::Pause,
        1 => Fault::Kill,
        2 => Fault::Restart,
        3 => Fault::Reload,
        _ => Fault::Refuse(true),
    }
}

/// Draws a time of up to `span_ms` milliseconds.
pub fn moment(rng: &mut SmallRng, span_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..=span_ms))
}
