//! JSON output and exit codes of the subcommands.

use std::process::ExitCode;

use serde::Serialize;

/// Result of a subcommand that ran to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandStatus {
    /// No problem was found.
    Success,
    /// Errors, differences, gaps or nodes that are behind were found.
    ProblemsFound,
}

impl From<CommandStatus> for ExitCode {
    fn from(status: CommandStatus) -> Self {
        match status {
            CommandStatus::Success => ExitCode::SUCCESS,
            CommandStatus::ProblemsFound => ExitCode::from(1),
        }
    }
}

/// Prints a value as one line of JSON.
pub fn json(value: &impl Serialize) {
    println!("{}", serde_json::to_string(value).expect("the value serializes to JSON"));
}

/// Returns a quantile of sorted values, or zero if there are none.
///
/// ```
/// assert_eq!(bbv_ctl::output::quantile(&[1, 2, 3, 4], 0.5), 3);
/// ```
pub fn quantile(sorted: &[u64], quantile: f64) -> u64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}
