//! Checks a configuration of bbv-mesh before it is published, and compares it with the one in force.
//!
//! All findings are pure functions of the configuration as it was written.

mod change;
mod change_kind;
mod compare;
mod errors;
mod field_change;
mod finding;
mod format;
mod report;
mod warnings;

pub use change::Change;
pub use change_kind::ChangeKind;
pub use compare::changes;
pub use errors::errors;
pub use field_change::FieldChange;
pub use finding::Finding;
pub use report::Report;
pub use warnings::warnings;
