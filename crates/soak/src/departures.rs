//! Nodes that are cut off from the store for longer than entries last, and upstreams that leave without a
//! word right after.

use std::time::Duration;

use bbv_stand::proxy::Mode;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::bursts::{Action, Step, moment};
use crate::faults::Fault;

/// Range of the length of a cut.
const LENGTH_MS: std::ops::RangeInclusive<u64> = 4_600..=5_500;
/// Longest time from the end of a cut to a departure.
const DELAY_MS: u64 = 1_200;
/// Upstreams that leave after a cut.
const DEPARTURES: usize = 3;
/// Time after which they are ready again.
const AWAY: Duration = Duration::from_millis(4_500);
/// Smallest time between the starts of two cuts.
pub const MIN_PAUSE: Duration = Duration::from_secs(11);

/// Draws a cut of one node or of all `nodes` that starts at `start`, and the departures after it.
pub fn draw(rng: &mut SmallRng, nodes: usize, start: Duration) -> Vec<Step> {
    let end = start + Duration::from_millis(rng.random_range(LENGTH_MS));
    let single = rng.random::<bool>().then(|| rng.random_range(0..nodes));
    let cut = |mode: Mode| match single {
        Some(node) => Action::Inject(node, Fault::StoreLink(mode)),
        None => Action::Outage(mode == Mode::Silent),
    };
    let mut steps = vec![
        Step { at: start, action: cut(Mode::Silent) },
        Step { at: end, action: cut(Mode::Pass) },
    ];
    for _ in 0..DEPARTURES {
        let (node, at) = (rng.random_range(0..nodes), end + moment(rng, DELAY_MS));
        steps.push(Step { at, action: Action::Remove(node) });
        steps.push(Step { at: at + AWAY, action: Action::Return(node) });
    }
    steps
}
