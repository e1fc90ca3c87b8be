//! Subcommands.

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
      measures slopes of memory and time over four sizes
  bbv-trial demo [--seconds N] [--seed N] [--json]
      runs real nodes on loopback under a load, on an embedded default
  bbv-trial stand --catalogue FILE --folder DIR [--nodes N] [--port N] [--median-us N]
      runs stand-ins, and writes settings and certificates for real nodes
  bbv-trial load --url URL [--direct URL] [--path PATH] [--rate N | --open N]
      [--seconds N] [--once]
      offers calls to a node, beside direct calls to its upstream
  bbv-trial run FILE [--seed N] [--seeds N] [--policy NAME] [--json]
      runs a trial in virtual time; --seeds runs that many seeds in turn

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

/// Parses flags, or prints what is wrong with them.
pub fn parse(options: &Options, args: &[String]) -> Result<Matches, ExitCode> {
    options.parse(args).map_err(|error| {
        eprintln!("bbv-trial: {error}");
        usage()
    })
}

/// Reads a whole number from a flag.
pub fn number(matches: &Matches, name: &str, default: u64) -> eyre::Result<u64> {
    let Some(text) = matches.opt_str(name) else { return Ok(default) };
    text.parse().map_err(|_| eyre::eyre!("could not read --{name}: {text} is not a whole number"))
}

/// Reports the result of a subcommand.
pub fn report(result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bbv-trial: {error:#}");
            ExitCode::FAILURE
        }
    }
}
