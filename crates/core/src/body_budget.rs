//! Bounds the memory that bodies take in a bbv-mesh node.
//!
//! It matters when upstreams or peers send without end: the bodies that have grown large fail, and
//! the small ones of other requests still get through, within some memory beyond the budget.
//!
//! What counts is the memory that is allocated for a body, not only the bytes that have arrived.

use std::fmt;

/// Bytes that a body may hold although large ones have used up the budget.
const SMALL_BODY: usize = 16 * 1_024;
/// Bytes that such bodies may take beyond the limit, at most as much as the limit.
const SMALL_BODIES: usize = 8 << 20;
/// Smallest and largest part that is allocated for a body before its bytes arrive.
const MIN_PART: usize = 1_024;
const MAX_PART: usize = 32 * 1_024;

/// Returns the size of the next part to allocate for a body that holds `held` bytes, `arrived` more
/// have arrived of, and `announced` are known to come in all.
///
/// Parts grow with the body, so that at most half of what is held is still empty.
///
/// ```
/// use bbv_core::body_budget::part_bytes;
/// assert_eq!(part_bytes(0, 700, 700), 700, "a body in one piece fits exactly");
/// assert_eq!(part_bytes(0, 1, 1_000_000), 1_024);
/// assert_eq!(part_bytes(8_192, 1, 1_000_000), 8_192);
/// assert_eq!(part_bytes(800_000, 1, 200), 200);
/// assert_eq!(part_bytes(800_000, 1, 0), 32_768, "more may come of a body without a length");
/// assert_eq!(part_bytes(12_000, 1, 0), 4_384, "a small body stays small");
/// ```
pub fn part_bytes(held: usize, arrived: usize, announced: usize) -> usize {
    let usual = held.clamp(MIN_PART, MAX_PART);
    let size = if announced > 0 { usual.min(announced) } else { usual };
    let small = SMALL_BODY.saturating_sub(held);
    let size = if arrived <= small { size.min(small) } else { size };
    size.max(arrived.min(MAX_PART))
}

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

    /// Lets a body that holds `held` bytes grow by `more`. Small bodies may take some memory beyond the
    /// limit, 8 MiB at most.
    ///
    /// ```
    /// let mut budget = bbv_core::body_budget::BodyBudget::new(1 << 20);
    /// assert!(budget.grow(0, 900_000).is_ok());
    /// assert!(budget.grow(900_000, 200_000).is_err(), "the budget is used up");
    /// assert!(budget.grow(0, 9).is_ok(), "a small body is let through");
    /// let mut small = (0..).take_while(|_| budget.grow(0, 16_384).is_ok());
    /// assert_eq!(small.by_ref().count(), 73, "small bodies are bounded too");
    /// ```
    pub fn grow(&mut self, held: usize, more: usize) -> Result<(), BodyTooLarge> {
        let bytes = held.saturating_add(more);
        let beyond = if bytes > SMALL_BODY { 0 } else { SMALL_BODIES.min(self.limit) };
        let limit = self.limit.saturating_add(beyond);
        if bytes > self.limit || self.held.saturating_add(more) > limit {
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
