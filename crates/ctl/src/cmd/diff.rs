//! `bbvctl diff`: prints the documents that differ between two catalogues.

use std::process::ExitCode;

use bbv_ctl::fetch;
use bbv_ctl::output::{self, CommandStatus};
use eyre::{Result, eyre};
use getopts::Matches;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::run_command(args, |count| count == 2, diff)
}

fn diff(matches: &Matches) -> Result<CommandStatus> {
    let load = |path: &String| {
        fetch::catalogue(path)?
            .map_err(|errors| eyre!("could not parse catalogue {path}: {errors}"))
    };
    let changes = load(&matches.free[0])?.diff(&load(&matches.free[1])?);
    if matches.opt_present("json") {
        output::json(&changes);
    } else {
        for change in &changes {
            let text =
                |document: &Option<String>| document.clone().unwrap_or_else(|| "-".to_owned());
            println!("{}\n  old {}\n  new {}", change.key, text(&change.old), text(&change.new));
        }
    }
    Ok(if changes.is_empty() { CommandStatus::Success } else { CommandStatus::ProblemsFound })
}
