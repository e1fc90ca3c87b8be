//! Drills in which the store is away for a moment, comes back from an older copy, and gets what it has
//! lost written again.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::bursts::{Action, Step};

/// Range of the age of the copy when the store goes away.
const AGE_MS: std::ops::RangeInclusive<u64> = 200..=3_000;
/// Range of the time for which the store is away.
const AWAY_MS: std::ops::RangeInclusive<u64> = 100..=800;
/// Range of the time after which what was lost is written again.
const LOST_MS: std::ops::RangeInclusive<u64> = 0..=1_500;
/// Smallest time between the starts of two drills.
pub const MIN_PAUSE: Duration = Duration::from_secs(8);

/// Draws a drill whose copy is made at `start`.
pub fn draw(rng: &mut SmallRng, start: Duration) -> Vec<Step> {
    let mut after = |from: Duration, range| from + Duration::from_millis(rng.random_range(range));
    let away = after(start, AGE_MS);
    let back = after(away, AWAY_MS);
    let again = after(back, LOST_MS);
    let steps = [
        (start, Action::Copy),
        (away, Action::Outage(true)),
        (back, Action::Restore),
        (again, Action::WriteAgain),
    ];
    steps.map(|(at, action)| Step { at, action }).to_vec()
}
