//! Demand for an upstream by rank, as its gate in bbv-mesh sees it. It says how much room more
//! urgent requests will need when there is too little.

use crate::units::{MS, Micros, SEC};

/// Ranks that are told apart; less urgent ones count as the last of them.
pub const RANKS: usize = 32;
/// Time over which demand is averaged.
const WINDOW: Micros = SEC;
/// Least time over which demand is averaged after the first request; a few requests say little.
const MIN_SPAN: Micros = 500 * MS;

/// Number and work of the requests of one rank, decayed.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    requests: f64,
    work: f64,
}

/// Requests that arrived for an upstream, by rank, as an exponential moving average.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    ranks: [Sums; RANKS],
    started_at: Option<Micros>,
    updated_at: Micros,
}

/// Index of `rank` among the ranks that are told apart.
pub(crate) fn slot(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

impl Demand {
    /// Records a request that stands for `weight` requests of `rank`, each with `service_time`.
    ///
    /// ```
    /// let mut demand = bbv_core::demand::Demand::default();
    /// demand.record(0, 1, 4.0, 20_000);
    /// assert!(demand.requests(0)[1] > 3.9);
    /// ```
    pub fn record(&mut self, now: Micros, rank: u8, weight: f64, service_time: Micros) {
        let keep = self.decay(now);
        for sums in &mut self.ranks {
            sums.requests *= keep;
            sums.work *= keep;
        }
        self.started_at.get_or_insert(now);
        self.updated_at = self.updated_at.max(now);
        let sums = &mut self.ranks[slot(rank)];
        sums.requests += weight;
        sums.work += weight * service_time as f64;
    }

    fn decay(&self, now: Micros) -> f64 {
        (-(now.saturating_sub(self.updated_at) as f64) / WINDOW as f64).exp()
    }

    /// Factor that turns decayed sums into a rate per second.
    fn rate_factor(&self, now: Micros) -> f64 {
        let Some(started) = self.started_at else { return 0.0 };
        let span = now.saturating_sub(started).max(MIN_SPAN) as f64 / WINDOW as f64;
        // Sums that are younger than the window hold only a part of it.
        self.decay(now) / (1.0 - (-span).exp()) * (SEC as f64 / WINDOW as f64)
    }

    /// Requests per second, by rank.
    ///
    /// ```
    /// use bbv_core::demand::{Demand, RANKS};
    /// assert_eq!(Demand::default().requests(0), [0.0; RANKS]);
    /// ```
    pub fn requests(&self, now: Micros) -> [f64; RANKS] {
        let factor = self.rate_factor(now);
        self.ranks.map(|sums| sums.requests * factor)
    }

    /// Work per second in microseconds at normal speed, by rank.
    ///
    /// ```
    /// use bbv_core::demand::{Demand, RANKS};
    /// assert_eq!(Demand::default().work(0), [0.0; RANKS]);
    /// ```
    pub fn work(&self, now: Micros) -> [f64; RANKS] {
        let factor = self.rate_factor(now);
        self.ranks.map(|sums| sums.work * factor)
    }

    /// Requests per second of ranks that are more urgent than `rank`.
    ///
    /// ```
    /// assert_eq!(bbv_core::demand::Demand::default().above(0, 2), 0.0);
    /// ```
    pub fn above(&self, now: Micros, rank: u8) -> f64 {
        self.requests(now)[..slot(rank)].iter().sum()
    }
}
