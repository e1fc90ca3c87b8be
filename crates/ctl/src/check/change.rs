//! Part that differs between two configurations.

use std::fmt;

use serde::Serialize;

use crate::check::{ChangeKind, FieldChange};

/// Route, service, organisation or limits by which two configurations differ.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// How it differs.
    pub kind: ChangeKind,
    /// Part that is meant, such as `route r`.
    pub subject: String,
    /// Fields that differ; none of a part that was added or removed.
    pub fields: Vec<FieldChange>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.subject)?;
        for FieldChange { field, old, new } in &self.fields {
            write!(f, "\n  {field}: {old} -> {new}")?;
        }
        Ok(())
    }
}
