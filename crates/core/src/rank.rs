//! Rendezvous hashing: every node ranks the same candidates in the same order.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Weight of a candidate for a key; equal on every node and platform.
///
/// ```
/// use bbv_core::rank::weight;
/// assert_eq!(weight(b"key", 7), weight(b"key", 7));
/// assert_ne!(weight(b"key", 7), weight(b"key", 8));
/// ```
pub fn weight(key: &[u8], candidate: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6262_7600, candidate);
    hasher.write(key);
    hasher.finish()
}

/// Returns the `count` candidates of greatest weight for `key`, greatest first.
///
/// ```
/// use bbv_core::rank::top;
/// let all: Vec<u64> = (0..100).collect();
/// assert_eq!(top(b"zone-a", &all, 2).len(), 2);
/// ```
pub fn top(key: &[u8], candidates: &[u64], count: usize) -> Vec<u64> {
    let mut weighed: Vec<(u64, u64)> = candidates.iter().map(|&c| (weight(key, c), c)).collect();
    weighed.sort_unstable_by(|a, b| b.cmp(a));
    weighed.truncate(count);
    weighed.into_iter().map(|(_, candidate)| candidate).collect()
}
