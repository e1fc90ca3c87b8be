//! Budgets that bound extra messages and extra load.

/// Budget for extra work as a share of first attempts.
///
/// Each first attempt earns a share of a token and each extra attempt spends one,
/// so extra attempts never exceed `burst + share * first attempts`.
#[derive(Clone, Debug)]
pub struct Share {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl Share {
    /// Creates an empty budget that earns `share` per first attempt, up to `burst`.
    ///
    /// ```
    /// let mut budget = bbv_core::budget::Share::new(0.5, 2.0);
    /// assert!(!budget.spend());
    /// budget.earn();
    /// budget.earn();
    /// assert!(budget.spend());
    /// ```
    pub fn new(share: f64, burst: f64) -> Self {
        Share { share, burst, tokens: 0.0 }
    }

    /// Records a first attempt.
    ///
    /// ```
    /// bbv_core::budget::Share::new(0.1, 2.0).earn();
    /// ```
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one extra attempt from the budget, or returns false.
    ///
    /// ```
    /// assert!(!bbv_core::budget::Share::new(0.1, 2.0).spend());
    /// ```
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
