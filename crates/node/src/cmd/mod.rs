//! Subcommands of `bbv-node`, and their usage and exit codes.

pub mod check;
pub mod run;

use std::process::ExitCode;

const USAGE: &str = "\
bbv-node: runs a node beside an upstream

usage:
  bbv-node run SETTINGS     runs a node until SIGTERM or SIGINT
  bbv-node check SETTINGS   reads settings and reports every error

exit codes: 0 done, 1 failed, 2 bad usage
";

/// Prints the usage to standard output.
pub fn help() -> ExitCode {
    print!("{USAGE}");
    ExitCode::SUCCESS
}

/// Prints the usage to standard error.
pub fn usage() -> ExitCode {
    eprint!("{USAGE}");
    ExitCode::from(2)
}

/// Prints the error of a subcommand, if any, and returns the exit code.
pub fn report(result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bbv-node: {error:#}");
            ExitCode::FAILURE
        }
    }
}
