//! Finding about one part of a configuration.

use std::fmt;

use serde::Serialize;

/// What is wrong with one part of a configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Part that is meant, such as `route r`.
    pub subject: String,
    /// What is wrong with it.
    pub message: String,
}

impl Finding {
    /// Creates a finding.
    ///
    /// ```
    /// let finding = bbv_ctl::check::Finding::new("route r", "has an empty host");
    /// assert_eq!(finding.to_string(), "route r: has an empty host");
    /// ```
    pub fn new(subject: impl Into<String>, message: impl Into<String>) -> Self {
        Finding { subject: subject.into(), message: message.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.message)
    }
}
