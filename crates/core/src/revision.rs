//! Positions in the history of a store that may come back from an older copy.
//!
//! Such a store gives revision numbers out again, in a new era. A [`Revision`] holds the era in its
//! upper 16 bits and the store's number in the others, so that every position of an era is above
//! those of the eras before. In era 0 a position is the store's number.

use crate::units::Revision;

/// Bits of the number within an era.
const NUMBER_BITS: u32 = 48;
/// Largest number within an era.
pub const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// Returns the position of revision `number` of `era`, or `None` if the number is too large.
///
/// ```
/// use bbv_core::revision::position;
/// assert_eq!(position(0, 7), Some(7));
/// assert!(position(2, 1) > position(1, 9));
/// assert_eq!(position(0, u64::MAX), None);
/// ```
pub fn position(era: u16, number: u64) -> Option<Revision> {
    (number <= MAX_NUMBER).then_some(u64::from(era) << NUMBER_BITS | number)
}

/// Returns the era of a position.
///
/// ```
/// use bbv_core::revision::{era, position};
/// assert_eq!(position(3, 7).map(era), Some(3));
/// ```
pub fn era(revision: Revision) -> u16 {
    (revision >> NUMBER_BITS) as u16
}

/// Returns the store's number of a position.
///
/// ```
/// use bbv_core::revision::{number, position};
/// assert_eq!(position(3, 7).map(number), Some(7));
/// ```
pub fn number(revision: Revision) -> u64 {
    revision & MAX_NUMBER
}

/// Returns whether `revision` is of a later era than `known`, the position that a node knew before;
/// 0 if it knew none.
///
/// ```
/// use bbv_core::revision::begins_era;
/// assert!(begins_era(9, 1 << 48));
/// assert!(!begins_era(0, 1 << 48) && !begins_era(9, 10));
/// ```
pub fn begins_era(known: Revision, revision: Revision) -> bool {
    known > 0 && era(revision) > era(known)
}
