//! Faults found in YAML files.

use std::fmt;

use serde::Serialize;

/// One fault with its place.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fault {
    /// Line, counted from 1, or 0 when the place is not known.
    pub line: usize,
    /// Path of the field, such as `entries[2].share_pct`.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.path, self.message)
    }
}

/// All faults of one file, in order of line.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Faults with a single member.
    pub fn one(line: usize, path: &str, message: impl Into<String>) -> Self {
        Faults(vec![Fault { line, path: path.to_owned(), message: message.into() }])
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.0.iter().enumerate() {
            let end = if at == 0 { "" } else { "; " };
            write!(f, "{end}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
