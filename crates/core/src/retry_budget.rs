//! Retry budget of one bbv-mesh node, sized so that the retries of the whole fleet stay within
//! a limit without coordination. It matters when a service fails for all nodes at once.
//!
//! Each first attempt earns part of a retry. Earned retries decay within the window of the
//! limit, so that no node, however many there are, spends retries that old requests earned.

use crate::units::{Micros, SEC};

/// Limit on the retries to one service, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per first attempt in any window.
    pub ratio: f64,
    /// Additional retries in any window.
    pub burst: f64,
    /// Length of the window.
    pub window: Micros,
}

/// Share of the limit that the budget hands out. The rest is for calls that a retried run
/// repeats: they count as retries too but cannot be recognised.
const USABLE_SHARE: f64 = 0.5;
/// Half-life of earned retries, as a share of the window.
const HALF_LIFE: f64 = 0.25;

/// Retry budget of one node for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    tokens: f64,
    updated_at: Micros,
}

impl RetryBudget {
    /// Creates an empty budget.
    ///
    /// ```
    /// use bbv_core::retry_budget::{RetryBudget, RetryLimit};
    /// let limit = RetryLimit { ratio: 1.0, burst: 10.0, window: 10_000_000 };
    /// let mut budget = RetryBudget::new(limit);
    /// assert!(!budget.spend(0));
    /// budget.earn(0, 5);
    /// budget.earn(0, 5);
    /// assert!(budget.spend(0));
    /// ```
    pub fn new(limit: RetryLimit) -> Self {
        RetryBudget { limit, tokens: 0.0, updated_at: 0 }
    }

    /// Records a first attempt in a fleet of `nodes` nodes.
    ///
    /// ```
    /// use bbv_core::retry_budget::{RetryBudget, RetryLimit};
    /// let limit = RetryLimit { ratio: 0.2, burst: 10.0, window: 10_000_000 };
    /// RetryBudget::new(limit).earn(0, 5);
    /// ```
    pub fn earn(&mut self, now: Micros, nodes: usize) {
        self.decay(now);
        let max = (self.limit.burst * USABLE_SHARE / nodes.max(1) as f64).max(1.0);
        self.tokens = (self.tokens + self.limit.ratio * USABLE_SHARE).min(max);
    }

    /// Takes one retry from the budget, or returns false if it has none left.
    ///
    /// ```
    /// use bbv_core::retry_budget::{RetryBudget, RetryLimit};
    /// let limit = RetryLimit { ratio: 0.2, burst: 10.0, window: 10_000_000 };
    /// assert!(!RetryBudget::new(limit).spend(0));
    /// ```
    pub fn spend(&mut self, now: Micros) -> bool {
        self.decay(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn decay(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let half_life = (self.limit.window as f64 * HALF_LIFE).max(1.0);
        self.tokens *= (-elapsed / half_life).exp2();
        self.updated_at = self.updated_at.max(now);
    }
}

impl Default for RetryLimit {
    /// A tenth of the first attempts plus ten, in any ten seconds.
    fn default() -> Self {
        RetryLimit { ratio: 0.1, burst: 10.0, window: 10 * SEC }
    }
}
