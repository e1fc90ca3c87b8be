//! Subcommands of `bbv-node` and what they share: usage text and exit codes.

pub mod check;
pub mod run;

use std::process::ExitCode;

const USAGE: &str = "\
bbv-node: load balancer process that runs beside each upstream

usage:
  bbv-node run SETTINGS     run until SIGTERM or SIGINT
  bbv-node check SETTINGS   validate settings and list every fault

exit codes: 0 done, 1 failed, 2 bad usage
";

/// Prints the usage to standard output.
pub fn help() -> ExitCode {
    print!("{USAGE}");
    ExitCode::SUCCESS
}

/// Prints the usage to standard error and returns exit code 2.
pub fn usage() -> ExitCode {
    eprint!("{USAGE}");
    ExitCode::from(2)
}

/// Prints the error of a subcommand, if any, and returns its exit code.
pub fn report(result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bbv-node: {error:#}");
            ExitCode::FAILURE
        }
    }
}
