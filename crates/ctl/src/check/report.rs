//! Result of a check.

use bbv_platform::Draft;
use serde::Serialize;

use crate::check::{self, Change, Finding};

/// All findings about a configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Reasons not to publish it.
    pub errors: Vec<Finding>,
    /// What the operator may not have meant.
    pub warnings: Vec<Finding>,
    /// Differences from the configuration in force.
    pub changes: Vec<Change>,
}

impl Report {
    /// Checks a configuration, also against the one in force if there is one.
    ///
    /// ```
    /// let text = r#"{"version":1,"resources":[]}"#;
    /// let draft = bbv_platform::Draft::decode(text).expect("the text is valid");
    /// assert!(bbv_ctl::check::Report::new(&draft, None).errors.is_empty());
    /// assert_eq!(bbv_ctl::check::Report::new(&draft, Some(&draft)).errors.len(), 1);
    /// ```
    pub fn new(draft: &Draft, in_force: Option<&Draft>) -> Self {
        let mut errors = check::errors(draft);
        if let Some(old) = in_force.filter(|old| draft.version <= old.version) {
            let message =
                format!("{} is not above {}, which is in force", draft.version, old.version);
            errors.push(Finding::new("version", message));
        }
        let changes = in_force.map(|old| check::changes(old, draft)).unwrap_or_default();
        Report { errors, warnings: check::warnings(draft), changes }
    }
}
