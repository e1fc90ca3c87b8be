//! Token budgets that bound retries, hedged attempts, probes and load notices.
//!
//! bbv-node uses them; they matter while upstreams fail or are slow, when retries would
//! otherwise multiply the load.

/// Budget for extra attempts or messages, in proportion to first attempts.
///
/// Each first attempt earns `ratio` tokens and each extra attempt spends one, so extra
/// attempts never exceed `burst + ratio * first attempts`.
#[derive(Clone, Debug)]
pub struct TokenBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl TokenBudget {
    /// Creates an empty budget that earns `ratio` per first attempt, up to `burst`.
    ///
    /// ```
    /// let mut budget = bbv_core::token_budget::TokenBudget::new(0.5, 2.0);
    /// assert!(!budget.spend());
    /// budget.earn();
    /// budget.earn();
    /// assert!(budget.spend());
    /// ```
    pub fn new(ratio: f64, burst: f64) -> Self {
        TokenBudget { ratio, burst, tokens: 0.0 }
    }

    /// Records a first attempt.
    ///
    /// ```
    /// bbv_core::token_budget::TokenBudget::new(0.1, 2.0).earn();
    /// ```
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes the token of one extra attempt; returns false if there is none.
    ///
    /// ```
    /// assert!(!bbv_core::token_budget::TokenBudget::new(0.1, 2.0).spend());
    /// ```
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
