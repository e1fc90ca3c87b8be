//! Bodies in pieces of sizes that are drawn, from one byte up.

use std::time::Duration;

use bbv_stand::endless::Endless;
use bbv_stand::upstream::Behaviour;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::bursts::{Action, Step};
use crate::faults::Fault;

/// Largest piece, as a power of two.
const MAX_SIZE_BITS: u32 = 14;
/// Time for which an upstream answers with bodies in pieces that do not end.
const FLOOD_TIME: Duration = Duration::from_millis(2_500);
/// Smallest time between the starts of two such floods.
pub const MIN_PAUSE: Duration = Duration::from_secs(4);

/// Draws the size of a piece; each power of two is as likely as the next.
pub fn draw_size(rng: &mut SmallRng) -> usize {
    let least = 1 << rng.random_range(0..=MAX_SIZE_BITS);
    rng.random_range(least..2 * least)
}

/// Draws a flood of pieces of one size at the upstream of one of `nodes` nodes, which starts at `start`.
pub fn draw_flood(rng: &mut SmallRng, nodes: usize, start: Duration) -> Vec<Step> {
    let node = rng.random_range(0..nodes);
    let flood = Behaviour::Endless(Endless::Pieces(draw_size(rng)));
    let step =
        |at, behaviour| Step { at, action: Action::Inject(node, Fault::Upstream(behaviour)) };
    vec![step(start, flood), step(start + FLOOD_TIME, Behaviour::Answers)]
}
