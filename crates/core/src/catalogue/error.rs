//! Errors in the YAML files and documents that bbv-node, bbv-mesh and the operators' tools load;
//! they come up when a configuration is checked or loaded, not per request.

use std::fmt;

use serde::Serialize;

/// One error with its location.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ConfigError {
    /// Line number from 1, or 0 if the line is not known.
    pub line: usize,
    /// Path of the field, such as `entries[2].share_pct`.
    pub path: String,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.path, self.message)
    }
}

/// All errors of one file, in order of line.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl ConfigErrors {
    /// Creates a list of a single error.
    pub fn one(line: usize, path: &str, message: impl Into<String>) -> Self {
        ConfigErrors(vec![ConfigError { line, path: path.to_owned(), message: message.into() }])
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "; " };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}
