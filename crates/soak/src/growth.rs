//! Series of configurations that add and remove many routes, with upstreams that leave meanwhile.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::bursts::{Action, Step, moment};

/// Time between the first and the last configuration of a series.
const SPAN_MS: u64 = 900;
/// Largest number of configurations of a series.
const MAX_STEPS: usize = 4;
/// Probability that a configuration has the largest number of routes.
const MAX_PROBABILITY: f64 = 0.4;
/// Time for which an upstream is out of use, longer than the bound for its last request.
const LEAVING_TIME: Duration = Duration::from_millis(4_500);
/// Smallest time between the starts of two series, which the slowest link needs to carry one.
pub const MIN_PAUSE: Duration = Duration::from_secs(4);

/// Draws a series that starts at `start` among `nodes` nodes, with up to `routes` added routes.
pub fn draw(rng: &mut SmallRng, nodes: usize, routes: usize, start: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(2..=MAX_STEPS) {
        let largest = rng.random_bool(MAX_PROBABILITY);
        let count = if largest { routes } else { rng.random_range(0..=routes) };
        steps.push(Step { at: start + moment(rng, SPAN_MS), action: Action::Resize(count) });
    }
    let (node, at) = (rng.random_range(0..nodes), start + moment(rng, SPAN_MS));
    steps.push(Step { at, action: Action::Leave(node) });
    steps.push(Step { at: at + LEAVING_TIME, action: Action::Return(node) });
    steps
}
