//! How a part of a configuration differs from the one in force.

use std::fmt;

use serde::Serialize;

/// How a part of a configuration differs from the one in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new configuration has it.
    Added,
    /// Both have it, with different fields.
    Changed,
    /// Only the configuration in force has it.
    Removed,
}

impl fmt::Display for ChangeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ChangeKind::Added => "added",
            ChangeKind::Changed => "changed",
            ChangeKind::Removed => "removed",
        })
    }
}
