//! Token bucket of one share of a quota, for bbv-mesh.
//!
//! Requests of an organisation take one token each. Under any load a bucket gives out at most its
//! rate times a window plus its capacity in any such window, whatever restarts do, since it starts empty.

use crate::organisation::Quota;
use crate::units::{Micros, SEC};

/// Tokens that a bucket holds beyond its share of the burst. Requests take whole tokens, so the fractions
/// that a split leaves in each bucket would be lost otherwise, and a low rate could pay for no request.
const ROUNDING_TOKENS: f64 = 2.0;
/// Such tokens of all shares together, as long as there is one a share.
const MAX_ROUNDING_TOKENS: f64 = 6.0;

/// Returns the tokens that each of `shares` buckets holds beyond its share of the burst.
///
/// ```
/// assert_eq!([1, 3, 6, 14].map(bbv_core::bucket::rounding), [2.0, 2.0, 1.0, 1.0]);
/// ```
pub fn rounding(shares: usize) -> f64 {
    (MAX_ROUNDING_TOKENS / shares.max(1) as f64).clamp(1.0, ROUNDING_TOKENS)
}

/// Tokens of one share of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    /// Tokens that are added per second.
    rate: f64,
    capacity: f64,
    tokens: f64,
    updated_at: Micros,
}

impl Bucket {
    /// Creates an empty bucket for one of `shares` equal shares of `quota`, which gets tokens from `now` on;
    /// `now` may lie ahead.
    ///
    /// ```
    /// use bbv_core::{bucket::Bucket, organisation::Quota};
    /// let mut bucket = Bucket::new(0, Quota { rate: 4.0, burst: 8.0 }, 2);
    /// assert!(!bucket.take(0) && bucket.take(500_000));
    /// ```
    pub fn new(now: Micros, quota: Quota, shares: usize) -> Self {
        let mut bucket = Bucket { rate: 0.0, capacity: 0.0, tokens: 0.0, updated_at: now };
        bucket.set_quota(now, quota, shares);
        bucket
    }

    /// Changes the quota; tokens beyond a lower capacity are lost.
    ///
    /// ```
    /// use bbv_core::{bucket::Bucket, organisation::Quota};
    /// let mut bucket = Bucket::new(0, Quota { rate: 9.0, burst: 9.0 }, 1);
    /// bucket.set_quota(1_000_000, Quota { rate: 0.0, burst: 0.0 }, 1);
    /// assert!(bucket.take(1_000_000) && bucket.take(1_000_000) && !bucket.take(9_000_000));
    /// ```
    pub fn set_quota(&mut self, now: Micros, quota: Quota, shares: usize) {
        self.refill(now);
        let rounding = rounding(shares);
        let shares = shares.max(1) as f64;
        self.rate = quota.rate / shares;
        self.capacity = quota.burst / shares + rounding;
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / SEC as f64;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
    }

    /// Takes one token; returns whether there was one.
    ///
    /// ```
    /// use bbv_core::{bucket::Bucket, organisation::Quota};
    /// assert!(!Bucket::new(0, Quota { rate: 1.0, burst: 1.0 }, 1).take(999_999));
    /// ```
    pub fn take(&mut self, now: Micros) -> bool {
        self.refill(now);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    /// Returns the time until the bucket holds a token.
    ///
    /// ```
    /// use bbv_core::{bucket::Bucket, organisation::Quota};
    /// assert_eq!(Bucket::new(0, Quota { rate: 2.0, burst: 1.0 }, 1).wait(0), 500_000);
    /// ```
    pub fn wait(&mut self, now: Micros) -> Micros {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        let idle = self.updated_at.saturating_sub(now);
        // A conversion to an integer saturates, also for a rate of zero.
        idle.saturating_add((missing / self.rate * SEC as f64).ceil() as Micros)
    }
}
