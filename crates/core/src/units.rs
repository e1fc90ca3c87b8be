//! Units shared by all parts.

/// Microseconds, as a duration or as a time since the process started.
pub type Micros = u64;

/// Position of a change in the platform's totally ordered history.
pub type Revision = u64;

/// One millisecond.
pub const MS: Micros = 1_000;

/// One second.
pub const SEC: Micros = 1_000_000;
