//! Bounds the memory that the bodies of responses take in a bbv-mesh node.
//!
//! It matters when upstreams or peers send without end: the bodies that have grown large fail, and
//! the small ones of other requests still get through.

use std::fmt;

/// Bytes that a body may always hold, whatever the other bodies hold.
const SMALL_BODY: usize = 16 * 1_024;

/// A body that may not grow further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyTooLarge {
    /// Bytes that the body would hold.
    pub bytes: u64,
    /// Bytes that all bodies together may hold.
    pub limit: usize,
}

impl fmt::Display for BodyTooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "body of {} bytes does not fit, all bodies may take {}", self.bytes, self.limit)
    }
}

impl std::error::Error for BodyTooLarge {}

/// Bytes that the bodies in a node hold, and the limit on them.
#[derive(Clone, Copy, Debug)]
pub struct BodyBudget {
    limit: usize,
    held: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes for all bodies together.
    ///
    /// ```
    /// assert_eq!(bbv_core::body_budget::BodyBudget::new(9).held(), 0);
    /// ```
    pub fn new(limit: usize) -> Self {
        BodyBudget { limit, held: 0 }
    }

    /// Returns the bytes that all bodies hold.
    ///
    /// ```
    /// assert_eq!(bbv_core::body_budget::BodyBudget::new(9).held(), 0);
    /// ```
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the limit on the bytes that all bodies hold.
    ///
    /// ```
    /// assert_eq!(bbv_core::body_budget::BodyBudget::new(9).limit(), 9);
    /// ```
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Checks the announced length of a body before any of it is read.
    ///
    /// ```
    /// let budget = bbv_core::body_budget::BodyBudget::new(9);
    /// assert!(budget.check_length(9).is_ok());
    /// assert!(budget.check_length(u64::MAX).is_err());
    /// ```
    pub fn check_length(&self, bytes: u64) -> Result<(), BodyTooLarge> {
        if bytes <= self.limit as u64 {
            return Ok(());
        }
        Err(BodyTooLarge { bytes, limit: self.limit })
    }

    /// Lets a body that holds `held` bytes grow by `more`.
    ///
    /// ```
    /// let mut budget = bbv_core::body_budget::BodyBudget::new(1 << 20);
    /// assert!(budget.grow(0, 900_000).is_ok());
    /// assert!(budget.grow(900_000, 200_000).is_err(), "the budget is used up");
    /// assert!(budget.grow(0, 9).is_ok(), "a small body is always let through");
    /// ```
    pub fn grow(&mut self, held: usize, more: usize) -> Result<(), BodyTooLarge> {
        let bytes = held.saturating_add(more);
        let fits = self.held.saturating_add(more) <= self.limit;
        if bytes > self.limit || (bytes > SMALL_BODY && !fits) {
            return Err(BodyTooLarge { bytes: bytes as u64, limit: self.limit });
        }
        self.held = self.held.saturating_add(more);
        Ok(())
    }

    /// Returns the bytes of a body that is no longer held.
    ///
    /// ```
    /// bbv_core::body_budget::BodyBudget::new(9).release(0);
    /// ```
    pub fn release(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }
}
