//! Subcommands.

pub mod check;
pub mod run;

use std::process::ExitCode;

const USAGE: &str = "\
bbv-mesh: the process beside each upstream of a mesh

usage:
  bbv-mesh run SETTINGS     runs until SIGTERM; reads the settings again on SIGHUP
  bbv-mesh check SETTINGS   reads settings and names every fault

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
            eprintln!("bbv-mesh: {error:#}");
            ExitCode::FAILURE
        }
    }
}
