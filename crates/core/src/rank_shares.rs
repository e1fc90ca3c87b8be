//! Keeps the least urgent ranks of bbv-mesh from being shut out by lasting overload: it compares how
//! often requests of each rank have been served over many seconds.

use crate::demand::RANKS;
use crate::units::{Micros, SEC};

/// Time over which requests count.
const WINDOW: Micros = 20 * SEC;
/// Share of all requests' chance to be served below which a rank counts as shut out.
const LEAST_SHARE: f64 = 0.3;
/// Requests of a rank that are known at least before it can count as shut out.
const MIN_REQUESTS: f64 = 10.0;
/// Time from the first request in which no rank counts as shut out: a short lack of room, as after a
/// loss of power, is borne by the least urgent.
const GRACE: Micros = 10 * SEC;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: f64,
    served: f64,
}

/// Requests that were asked for and served, by rank, as decayed sums.
#[derive(Clone, Debug, Default)]
pub struct RankShares {
    ranks: [Counts; RANKS],
    started_at: Option<Micros>,
    updated_at: Micros,
}

impl RankShares {
    /// Records a request that has ended.
    ///
    /// ```
    /// bbv_core::rank_shares::RankShares::default().record(0, 2, true);
    /// ```
    pub fn record(&mut self, now: Micros, rank: u8, served: bool) {
        let keep = self.decay(now);
        for counts in &mut self.ranks {
            counts.asked *= keep;
            counts.served *= keep;
        }
        self.started_at.get_or_insert(now);
        self.updated_at = self.updated_at.max(now);
        let counts = &mut self.ranks[usize::from(rank).min(RANKS - 1)];
        counts.asked += 1.0;
        counts.served += f64::from(u8::from(served));
    }

    fn decay(&self, now: Micros) -> f64 {
        (-(now.saturating_sub(self.updated_at) as f64) / WINDOW as f64).exp()
    }

    /// Returns whether `rank` is served far less often than all requests.
    ///
    /// ```
    /// assert!(!bbv_core::rank_shares::RankShares::default().is_shut_out(0, 2));
    /// ```
    pub fn is_shut_out(&self, now: Micros, rank: u8) -> bool {
        let counts = self.ranks[usize::from(rank).min(RANKS - 1)];
        if self.started_at.is_none_or(|started| now < started + GRACE) {
            return false;
        }
        if counts.asked * self.decay(now) < MIN_REQUESTS {
            return false;
        }
        let sum = |part: fn(&Counts) -> f64| self.ranks.iter().map(part).sum::<f64>();
        let all = sum(|counts| counts.served) / sum(|counts| counts.asked);
        counts.served / counts.asked < LEAST_SHARE * all
    }
}
