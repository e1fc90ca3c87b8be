//! `bbvctl audit`: prints the audit trail of a node.

use std::process::ExitCode;

use bbv_ctl::fetch;
use bbv_ctl::output::{self, CommandStatus};
use eyre::{Result, WrapErr};
use getopts::Matches;
use serde::{Deserialize, Serialize};

#[derive(Deserialize, Serialize)]
struct AuditLine {
    serial: u64,
    at: u64,
    event: String,
    subject: String,
    cause: String,
    revision: u64,
    delay_ms: Option<u64>,
}

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::run_command(args, |count| count == 1, audit)
}

fn audit(matches: &Matches) -> Result<CommandStatus> {
    let since = matches.opt_str("since").unwrap_or_else(|| "0".to_owned());
    let since: u64 = since.parse().wrap_err_with(|| format!("could not parse --since {since}"))?;
    let lines: Vec<AuditLine> = fetch::page(&matches.free[0], &format!("audit?since={since}"))?;
    for line in &lines {
        if matches.opt_present("json") {
            output::json(line);
            continue;
        }
        let AuditLine { serial, at, event, subject, cause, revision, delay_ms } = line;
        let delay = delay_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string());
        let at = *at as f64 / 1e6;
        println!(
            "{serial} at_s={at:.3} event={event} subject={subject} revision={revision} \
             delay_ms={delay} cause={cause:?}"
        );
    }
    Ok(CommandStatus::Success)
}
