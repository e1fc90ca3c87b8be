//! `bbvctl diff`: names the documents that differ between two catalogues.

use std::process::ExitCode;

use bbv_ctl::fetch;
use bbv_ctl::output::{self, Verdict};
use eyre::{Result, eyre};
use getopts::Matches;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::with(args, |count| count == 2, diff)
}

fn diff(matches: &Matches) -> Result<Verdict> {
    let load = |path: &String| {
        fetch::catalogue(path)?.map_err(|faults| eyre!("could not use {path}: {faults}"))
    };
    let changes = load(&matches.free[0])?.diff(&load(&matches.free[1])?);
    if matches.opt_present("json") {
        output::json(&changes);
    } else {
        for change in &changes {
            let text = |doc: &Option<String>| doc.clone().unwrap_or_else(|| "-".to_owned());
            println!("{}\n  old {}\n  new {}", change.key, text(&change.old), text(&change.new));
        }
    }
    Ok(if changes.is_empty() { Verdict::Good } else { Verdict::Bad })
}
