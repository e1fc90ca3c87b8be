//! Faults of the store and of the connections to it, with upstreams that leave around them.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::bursts::{Action, Step, moment};

/// Time from a cut to the departure that follows.
const CUT_GAP_MS: u64 = 60;
/// Time for which watches hear nothing before the history is dropped.
const MUTE_TIME: Duration = Duration::from_secs(1);
/// Time around the start of that within which upstreams leave.
const MUTE_SPAN_MS: u64 = 400;
/// Longest time from the silence of connections to the change that follows.
const SILENCE_SPAN_MS: u64 = 4_000;
/// Time for which an upstream is away, longer than the bound for its last request.
const AWAY_TIME: Duration = Duration::from_millis(5_500);
/// Smallest time between the starts of two faults: the returns of the one come before the other.
pub const MIN_PAUSE: Duration = Duration::from_secs(7);

/// Draws a fault that starts at `start` among `nodes` nodes.
pub fn draw(rng: &mut SmallRng, nodes: usize, start: Duration) -> Vec<Step> {
    let first = rng.random_range(0..nodes);
    let mut steps = match rng.random_range(0..4) {
        0 => vec![Step { at: Duration::ZERO, action: Action::Cut(Some(first)) }],
        1 => draw_cut(rng, first),
        2 => draw_silence(rng, first),
        _ => draw_forgotten(rng, nodes, first),
    };
    steps.iter_mut().for_each(|step| step.at += start);
    steps
}

/// All watches are cut, and an upstream leaves just after it.
fn draw_cut(rng: &mut SmallRng, node: usize) -> Vec<Step> {
    let mut steps = vec![Step { at: Duration::ZERO, action: Action::Cut(None) }];
    add_absence(&mut steps, moment(rng, CUT_GAP_MS), node);
    steps
}

/// The connections to the store that are open go silent, and changes follow.
fn draw_silence(rng: &mut SmallRng, node: usize) -> Vec<Step> {
    let mut steps = vec![Step { at: Duration::ZERO, action: Action::Silence }];
    steps.push(Step { at: moment(rng, SILENCE_SPAN_MS), action: Action::Publish });
    add_absence(&mut steps, moment(rng, SILENCE_SPAN_MS), node);
    steps
}

/// Watches hear nothing for a while, in which upstreams leave, and the history is forgotten.
fn draw_forgotten(rng: &mut SmallRng, nodes: usize, first: usize) -> Vec<Step> {
    let start = Duration::from_millis(MUTE_SPAN_MS);
    let mut steps = vec![
        Step { at: start, action: Action::Mute(true) },
        Step { at: start + MUTE_TIME, action: Action::Forget },
    ];
    // At least half of the upstreams stay.
    for offset in 0..(nodes / 2).max(1) {
        add_absence(&mut steps, moment(rng, 2 * MUTE_SPAN_MS), (first + offset) % nodes);
    }
    steps
}

fn add_absence(steps: &mut Vec<Step>, at: Duration, node: usize) {
    steps.push(Step { at, action: Action::Remove(node) });
    steps.push(Step { at: at + AWAY_TIME, action: Action::Return(node) });
}
