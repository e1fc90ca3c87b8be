//! Output as text or JSON, and exit codes.

use std::process::ExitCode;

use serde::Serialize;

/// How a subcommand ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Everything is as it should be.
    Good,
    /// It ran, and something is not as it should be.
    Bad,
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Good => ExitCode::SUCCESS,
            Verdict::Bad => ExitCode::from(1),
        }
    }
}

/// Prints a value as one line of JSON.
pub fn json(value: &impl Serialize) {
    println!("{}", serde_json::to_string(value).expect("results are encoded as JSON"));
}

/// Quantile of sorted values, or zero without any.
///
/// ```
/// assert_eq!(bbv_ctl::output::quantile(&[1, 2, 3, 4], 0.5), 3);
/// ```
pub fn quantile(sorted: &[u64], quantile: f64) -> u64 {
    let at = (sorted.len() as f64 * quantile) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}
