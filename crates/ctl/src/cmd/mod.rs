//! Usage text, option parsing and the subcommands of `bbvctl`.

pub mod audit;
pub mod check;
pub mod diff;
pub mod reconcile;
pub mod status;
pub mod why;

use std::process::ExitCode;

use bbv_ctl::output::CommandStatus;
use getopts::{Matches, Options};

const USAGE: &str = "\
bbvctl: check catalogues and configurations, and inspect nodes; changes nothing

usage:
  bbvctl check FILE            validate a catalogue, or a configuration of the mesh, and list all errors
                               (--against FILE: list what differs from the version in force)
  bbvctl diff OLD NEW          list the documents that differ
  bbvctl status NODE...        show where each revision is in force
  bbvctl audit NODE            show the audit trail (--since N: from line N on)
  bbvctl reconcile STATEMENT...  compare the records of both sides of each attempt
  bbvctl why ID LOG...         explain the outcome of a request

NODE is the operators' address of a node, such as 10.0.0.7:8081.
STATEMENT is such an address or a file with a node's statement.
LOG is a file with the log of one node.
--json prints one line of JSON.

exit codes: 0 success, 1 errors, differences, gaps or nodes behind, 2 invalid usage,
3 a file or node could not be read
";

/// Prints the usage to stdout.
pub fn help() -> ExitCode {
    print!("{USAGE}");
    ExitCode::SUCCESS
}

/// Prints the usage to stderr and returns the exit code for invalid usage.
pub fn usage() -> ExitCode {
    eprint!("{USAGE}");
    ExitCode::from(2)
}

/// Parses the options of a subcommand and runs it; `accepts_count` checks the number of its free
/// arguments.
pub fn run_command(
    args: &[String],
    accepts_count: impl Fn(usize) -> bool,
    command: impl FnOnce(&Matches) -> eyre::Result<CommandStatus>,
) -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "print the usage");
    options.optflag("", "json", "print JSON");
    options.optopt("", "against", "configuration in force", "FILE");
    options.optopt("", "since", "first line", "N");
    let matches = match options.parse(args) {
        Ok(matches) if matches.opt_present("help") => return help(),
        Ok(matches) if accepts_count(matches.free.len()) => matches,
        Ok(_) => return usage(),
        Err(error) => {
            eprintln!("bbvctl: {error}");
            return usage();
        }
    };
    match command(&matches) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("bbvctl: {error:#}");
            ExitCode::from(3)
        }
    }
}
