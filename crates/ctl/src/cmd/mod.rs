//! Subcommands.

pub mod audit;
pub mod check;
pub mod diff;
pub mod reconcile;
pub mod status;
pub mod why;

use std::process::ExitCode;

use bbv_ctl::output::Verdict;
use getopts::{Matches, Options};

const USAGE: &str = "\
bbvctl: reads catalogues and nodes for operators; it writes nothing

usage:
  bbvctl check FILE            reads a catalogue and names every fault
  bbvctl diff OLD NEW          names the documents that differ
  bbvctl status NODE...        shows where each revision is in force
  bbvctl audit NODE            shows the audit trail (--since N: from line N on)
  bbvctl reconcile STATEMENT...  compares what both sides counted
  bbvctl why ID LOG...         tells why a request ended as it did

NODE is the operators' address of a node, such as 10.0.0.7:8081.
STATEMENT is such an address or a file with a node's statement.
LOG is a file with the log of one node.
--json prints one line of JSON.

exit codes: 0 good, 1 faults, differences, gaps or nodes behind, 2 bad usage,
3 a file or node could not be read
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

/// Parses flags and runs a subcommand.
pub fn with(
    args: &[String],
    count: impl Fn(usize) -> bool,
    act: impl FnOnce(&Matches) -> eyre::Result<Verdict>,
) -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "print the usage");
    options.optflag("", "json", "print JSON");
    options.optopt("", "since", "first line", "N");
    let matches = match options.parse(args) {
        Ok(matches) if matches.opt_present("help") => return help(),
        Ok(matches) if count(matches.free.len()) => matches,
        Ok(_) => return usage(),
        Err(error) => {
            eprintln!("bbvctl: {error}");
            return usage();
        }
    };
    match act(&matches) {
        Ok(verdict) => verdict.into(),
        Err(error) => {
            eprintln!("bbvctl: {error:#}");
            ExitCode::from(3)
        }
    }
}
