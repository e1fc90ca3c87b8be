//! Subcommands.

pub mod check;
pub mod run;

use std::process::ExitCode;

const USAGE: &str = "\
bbv-node: the process beside each upstream

usage:
  bbv-node run SETTINGS     runs a node until SIGTERM or SIGINT
  bbv-node check SETTINGS   reads settings and names every fault

exit codes: 0 done, 1 failed, 2 bad usage
";

/// Prints the usage.
pub fn help() -> ExitCode {
    print!("{USAGE}");
    ExitCode::SUCCESS
}

/// Prints the usage as an error.
pub fn usage() -> ExitCode {
    eprint!("{USAGE}");
    ExitCode::from(2)
}

/// Reports the result of a subcommand.
pub fn report(result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bbv-node: {error:#}");
            ExitCode::FAILURE
        }
    }
}
