//! Room of an upstream by rank, as its gate reports it to the ingresses of bbv-mesh.
//!
//! It matters when callers ask for more than the upstreams of a service can run.

use crate::demand::slot;
use crate::units::{MS, Micros};

/// Level in percent from which every rank has room.
const FULL_LEVEL: u16 = 10_000;
/// Percent of one rank.
const RANK_PCT: u16 = 100;
/// Longest time in a report.
const MAX_LACK_MS: u16 = 10_000;

/// Order in which requests get room: by rank, and calls of requests that run before new requests of
/// the same rank, since refusing a call wastes the work of its request.
///
/// ```
/// use bbv_core::room::urgency;
/// assert!(urgency(1, true) < urgency(1, false));
/// assert!(urgency(0, false) < urgency(1, true));
/// ```
pub fn urgency(rank: u8, call: bool) -> u8 {
    rank.saturating_mul(2).saturating_add(u8::from(!call))
}

/// Share of the demand of each rank that an upstream has room for, and how long it lacks room for
/// the rest.
///
/// Ranks are filled in order, so one level says it all: with 140 there is room for all requests of
/// rank 0, for 40% of those of rank 1 and for none of rank 2.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Room {
    /// Sum of the shares of all ranks, in percent.
    pub level_pct: u16,
    /// Time until more room is expected, in milliseconds.
    pub lack_ms: u16,
}

impl Default for Room {
    fn default() -> Self {
        Room { level_pct: FULL_LEVEL, lack_ms: 0 }
    }
}

impl Room {
    /// Creates the room of an upstream that has `capacity` for the demand of `ranks`, in order of
    /// rank and in any common unit, and expects more after `lack`.
    ///
    /// ```
    /// use bbv_core::room::Room;
    /// let room = Room::new(14.0, &[10.0, 10.0, 5.0], 2_000_000);
    /// assert_eq!((room.level_pct, room.lack_ms), (140, 2_000));
    /// assert_eq!(Room::new(30.0, &[10.0, 10.0, 5.0], 0), Room::default());
    /// ```
    pub fn new(capacity: f64, ranks: &[f64], lack: Micros) -> Self {
        let mut left = capacity.max(0.0);
        for (rank, demand) in ranks.iter().enumerate() {
            if *demand > left {
                let level = (rank as f64 + left / demand) * f64::from(RANK_PCT);
                let lack_ms = (lack / MS).min(u64::from(MAX_LACK_MS)) as u16;
                return Room { level_pct: (level as u16).min(FULL_LEVEL), lack_ms };
            }
            left -= demand;
        }
        Room::default()
    }

    /// Returns the room with every value in the range that can occur.
    ///
    /// ```
    /// use bbv_core::room::Room;
    /// let room = Room { level_pct: u16::MAX, lack_ms: u16::MAX };
    /// assert_eq!(room.clamped().lack_ms, 10_000);
    /// ```
    pub fn clamped(self) -> Self {
        Room { level_pct: self.level_pct.min(FULL_LEVEL), lack_ms: self.lack_ms.min(MAX_LACK_MS) }
    }

    /// Number of ranks that there is room for in full.
    ///
    /// ```
    /// use bbv_core::room::Room;
    /// assert_eq!(Room { level_pct: 140, lack_ms: 0 }.ranks(), 1);
    /// ```
    pub fn ranks(self) -> u16 {
        self.level_pct / RANK_PCT
    }

    /// Share of the requests of `rank` that there is room for, from 0 to 1.
    ///
    /// ```
    /// use bbv_core::room::Room;
    /// assert_eq!(Room { level_pct: 140, lack_ms: 0 }.share(1), 0.4);
    /// assert_eq!(Room::default().share(200), 1.0);
    /// ```
    pub fn share(self, rank: u8) -> f64 {
        if self.level_pct >= FULL_LEVEL {
            return 1.0;
        }
        let below = slot(rank) as u16 * RANK_PCT;
        f64::from(self.level_pct.saturating_sub(below).min(RANK_PCT)) / f64::from(RANK_PCT)
    }
}
