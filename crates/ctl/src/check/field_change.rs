//! Field that differs between two configurations.

use serde::Serialize;

/// Field of a part of a configuration, with its values in both.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: &'static str,
    /// Value in the configuration in force.
    pub old: String,
    /// Value in the new configuration.
    pub new: String,
}
