//! Rendezvous hashing: every node ranks the same candidates for a key in the same order.
//!
//! bbv-node ranks VMs with it to choose successors, the platform's readers and the targets
//! in the subset of an ingress; bbv-mesh ranks the platform's readers. It spreads that load evenly
//! without coordination between nodes.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Returns the weight of a candidate for a key, which is the same on every node and platform.
///
/// ```
/// use bbv_core::rendezvous::weight;
/// assert_eq!(weight(b"key", 7), weight(b"key", 7));
/// assert_ne!(weight(b"key", 7), weight(b"key", 8));
/// ```
pub fn weight(key: &[u8], candidate: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6262_7600, candidate);
    hasher.write(key);
    hasher.finish()
}

/// Returns the `count` candidates with the highest weights for `key`, highest first.
///
/// ```
/// use bbv_core::rendezvous::top;
/// let all: Vec<u64> = (0..100).collect();
/// assert_eq!(top(b"zone-a", &all, 2).len(), 2);
/// ```
pub fn top(key: &[u8], candidates: &[u64], count: usize) -> Vec<u64> {
    let mut weighted: Vec<(u64, u64)> = candidates.iter().map(|&c| (weight(key, c), c)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, candidate)| candidate).collect()
}
