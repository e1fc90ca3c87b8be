//! Units of time and revision, used throughout bbv-mesh and bbv-node.

/// Microseconds, as a duration or as the time since the process started.
pub type Micros = u64;

/// Revision number of a change in the platform's totally ordered history.
pub type Revision = u64;

/// Microseconds in one millisecond.
pub const MS: Micros = 1_000;

/// Microseconds in one second.
pub const SEC: Micros = 1_000_000;
