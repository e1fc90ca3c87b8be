//! `bbvctl check`: reads a catalogue and names every fault.

use std::process::ExitCode;

use bbv_ctl::fetch;
use bbv_ctl::output::{self, Verdict};
use eyre::Result;
use getopts::Matches;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::with(args, |count| count == 1, check)
}

fn check(matches: &Matches) -> Result<Verdict> {
    let path = &matches.free[0];
    let result = fetch::catalogue(path)?;
    let faults = result.as_ref().err().cloned().unwrap_or_default();
    if matches.opt_present("json") {
        output::json(&faults);
    } else if let Ok(catalogue) = &result {
        let (entries, services) = (catalogue.entries.len(), catalogue.services.len());
        println!("{path}: ok, {services} services, {entries} entries");
    } else {
        faults.0.iter().for_each(|fault| println!("{path}: {fault}"));
    }
    Ok(if result.is_ok() { Verdict::Good } else { Verdict::Bad })
}
