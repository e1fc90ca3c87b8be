//! Short silent outages of the whole store beside versions that add routes, one of them invalid, and
//! connections between zones that go silent.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::bursts::{Action, Step, moment};

/// Longest time from a version to the outage that follows.
const LEAD_MS: u64 = 200;
/// Range of the length of an outage.
const LENGTH_MS: std::ops::RangeInclusive<u64> = 300..=3_300;
/// Number of versions that each series adds after the outage, and the time in which they come.
const LATER_VERSIONS: usize = 4;
const LATER_MS: u64 = 6_000;
/// Time after which a version that is invalid is replaced by a valid one.
const INVALID_TIME: Duration = Duration::from_millis(300);
/// Time for which connections between zones are silent.
const CUT_TIME: Duration = Duration::from_millis(1_500);
/// Smallest time between the starts of two series.
pub const MIN_PAUSE: Duration = Duration::from_secs(9);

/// Draws a series that starts at `start`, in which versions add up to `routes` routes.
pub fn draw(rng: &mut SmallRng, routes: usize, start: Duration) -> Vec<Step> {
    let lead = start + Duration::from_millis(LEAD_MS);
    let outage = lead + moment(rng, LEAD_MS);
    let end = outage + Duration::from_millis(rng.random_range(LENGTH_MS));
    let mut steps = vec![
        Step { at: lead, action: Action::Resize(rng.random_range(0..=routes)) },
        Step { at: outage, action: Action::Outage(true) },
        Step { at: end, action: Action::Outage(false) },
    ];
    for _ in 0..LATER_VERSIONS {
        let action = Action::Resize(rng.random_range(0..=routes));
        steps.push(Step { at: end + moment(rng, LATER_MS), action });
    }
    let invalid = end + moment(rng, LATER_MS);
    steps.push(Step { at: invalid, action: Action::PublishInvalid });
    steps.push(Step { at: invalid + INVALID_TIME, action: Action::Publish });
    let cut = start + moment(rng, LATER_MS);
    steps.push(Step { at: cut, action: Action::CutZone(true) });
    steps.push(Step { at: cut + CUT_TIME, action: Action::CutZone(false) });
    steps
}
