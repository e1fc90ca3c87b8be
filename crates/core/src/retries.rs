//! One node's part of a budget of retries that a whole fleet keeps without agreement.
//!
//! Each first attempt earns a share of a retry. What is earned fades within the fleet's window,
//! so that no node, however many there are, keeps a retry for requests that came long ago.

use crate::units::{Micros, SEC};

/// Bound on the retries to one service, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries per first attempt in any window.
    pub ratio: f64,
    /// Further retries in any window.
    pub slack: f64,
    /// Length of the window.
    pub window: Micros,
}

/// Part of the bound that retries use; the rest is for calls that a retried run makes again,
/// which count as retries too and cannot be told from others.
const USE: f64 = 0.5;
/// Part of the window in which what was earned loses half of its worth.
const HALF_LIFE: f64 = 0.25;

/// Budget of one node for retries to one service.
#[derive(Clone, Debug)]
pub struct Retries {
    bound: Bound,
    tokens: f64,
    at: Micros,
}

impl Retries {
    /// Creates an empty budget.
    ///
    /// ```
    /// use bbv_core::retries::{Bound, Retries};
    /// let bound = Bound { ratio: 1.0, slack: 10.0, window: 10_000_000 };
    /// let mut retries = Retries::new(bound);
    /// assert!(!retries.spend(0));
    /// retries.earn(0, 5);
    /// retries.earn(0, 5);
    /// assert!(retries.spend(0));
    /// ```
    pub fn new(bound: Bound) -> Self {
        Retries { bound, tokens: 0.0, at: 0 }
    }

    /// Records a first attempt in a fleet of `nodes` nodes.
    ///
    /// ```
    /// use bbv_core::retries::{Bound, Retries};
    /// let bound = Bound { ratio: 0.2, slack: 10.0, window: 10_000_000 };
    /// Retries::new(bound).earn(0, 5);
    /// ```
    pub fn earn(&mut self, now: Micros, nodes: usize) {
        self.fade(now);
        let most = (self.bound.slack * USE / nodes.max(1) as f64).max(1.0);
        self.tokens = (self.tokens + self.bound.ratio * USE).min(most);
    }

    /// Takes one retry from the budget, or returns false.
    ///
    /// ```
    /// use bbv_core::retries::{Bound, Retries};
    /// let bound = Bound { ratio: 0.2, slack: 10.0, window: 10_000_000 };
    /// assert!(!Retries::new(bound).spend(0));
    /// ```
    pub fn spend(&mut self, now: Micros) -> bool {
        self.fade(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn fade(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64;
        let half_life = (self.bound.window as f64 * HALF_LIFE).max(1.0);
        self.tokens *= (-passed / half_life).exp2();
        self.at = self.at.max(now);
    }
}

impl Default for Bound {
    /// A tenth of the first attempts, and ten more, in any ten seconds.
    fn default() -> Self {
        Bound { ratio: 0.1, slack: 10.0, window: 10 * SEC }
    }
}
