//! Subcommands of `bbv-trial` and the command-line parsing that they share.

pub mod capacity;
pub mod demo;
pub mod load;
pub mod run;
pub mod stand;

use std::process::ExitCode;

use getopts::{Matches, Options};

const USAGE: &str = "\
bbv-trial: stand-ins, load and trials

usage:
  bbv-trial capacity
      measures memory and time at four sizes and fits their slopes
  bbv-trial demo [--seconds N] [--seed N] [--json]
      runs real nodes on loopback under load, with an embedded catalogue
  bbv-trial stand --catalogue FILE --folder DIR [--nodes N] [--port N] [--median-us N]
      runs stand-ins, and writes settings and certificates for real nodes
  bbv-trial load --url URL [--direct URL] [--path PATH] [--rate N | --open N]
      [--seconds N] [--once]
      sends calls to a node and, with --direct, also to its upstream
  bbv-trial run FILE [--seed N] [--seeds N] [--policy NAME] [--json]
      runs a trial in virtual time, with --seeds for several seeds in turn

exit codes: 0 success, 1 failure, 2 invalid usage
";

/// Prints the usage to standard output.
pub fn help() -> ExitCode {
    print!("{USAGE}");
    ExitCode::SUCCESS
}

/// Prints the usage to standard error and returns the exit code for invalid usage.
pub fn usage() -> ExitCode {
    eprint!("{USAGE}");
    ExitCode::from(2)
}

/// Parses flags; if they are invalid, prints the error and the usage.
pub fn parse(options: &Options, args: &[String]) -> Result<Matches, ExitCode> {
    options.parse(args).map_err(|error| {
        eprintln!("bbv-trial: {error}");
        usage()
    })
}

/// Returns the whole number given for a flag, or `default`.
pub fn number(matches: &Matches, name: &str, default: u64) -> eyre::Result<u64> {
    let Some(text) = matches.opt_str(name) else { return Ok(default) };
    text.parse().map_err(|_| eyre::eyre!("could not parse --{name}: {text} is not a whole number"))
}

/// Prints the error of a subcommand, if any, and returns its exit code.
pub fn report(result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bbv-trial: {error:#}");
            ExitCode::FAILURE
        }
    }
}
