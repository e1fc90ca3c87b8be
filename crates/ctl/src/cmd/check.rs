//! `bbvctl check`: validates a catalogue and prints all of its errors.

use std::process::ExitCode;

use bbv_ctl::fetch;
use bbv_ctl::output::{self, CommandStatus};
use eyre::Result;
use getopts::Matches;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::run_command(args, |count| count == 1, check)
}

fn check(matches: &Matches) -> Result<CommandStatus> {
    let path = &matches.free[0];
    let result = fetch::catalogue(path)?;
    let errors = result.as_ref().err().cloned().unwrap_or_default();
    if matches.opt_present("json") {
        output::json(&errors);
    } else if let Ok(catalogue) = &result {
        let (entries, services) = (catalogue.entries.len(), catalogue.services.len());
        println!("{path}: ok, {services} services, {entries} entries");
    } else {
        errors.0.iter().for_each(|error| println!("{path}: {error}"));
    }
    Ok(if result.is_ok() { CommandStatus::Success } else { CommandStatus::ProblemsFound })
}
