//! Budgets that bound extra messages and extra load.

use crate::units::{Micros, SEC};

/// Token bucket that refills at a constant rate.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Micros,
}

impl Bucket {
    /// Creates a full bucket of `burst` tokens refilled at `rate` tokens per second.
    ///
    /// ```
    /// let mut bucket = bbv_core::budget::Bucket::new(10.0, 1.0);
    /// assert!(bucket.take(0, 1.0));
    /// assert!(!bucket.take(50_000, 1.0));
    /// assert!(bucket.take(150_000, 1.0));
    /// ```
    pub fn new(rate: f64, burst: f64) -> Self {
        Bucket { rate, burst, tokens: burst, filled: 0 }
    }

    /// Takes `amount` tokens, or none and returns false.
    ///
    /// ```
    /// assert!(!bbv_core::budget::Bucket::new(1.0, 1.0).take(0, 2.0));
    /// ```
    pub fn take(&mut self, now: Micros, amount: f64) -> bool {
        let passed = now.saturating_sub(self.filled) as f64 / SEC as f64;
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.filled = self.filled.max(now);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}

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
