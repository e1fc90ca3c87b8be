//! `bbv-trial run` runs a trial file in virtual time and prints its report.

use std::path::Path;
use std::process::ExitCode;

use bbv_trial::plan::Plan;
use bbv_trial::policy::Policy;
use bbv_trial::report::Report;
use bbv_trial::simulation;
use eyre::{Result, WrapErr, eyre};
use getopts::{Matches, Options};

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "first seed", "N");
    options.optopt("", "seeds", "number of seeds", "N");
    options.optopt("", "policy", "balancing policy", "NAME");
    options.optflag("", "json", "print JSON");
    let matches = match super::PROGRAM.parse(&options, args) {
        Ok(matches) => matches,
        Err(code) => return code,
    };
    super::PROGRAM.report(run_all(&matches))
}

fn run_all(matches: &Matches) -> Result<()> {
    let [path] = &matches.free[..] else {
        return Err(eyre!("could not start: expected one trial file"));
    };
    let plan = load_plan(path)?;
    let policy = matches.opt_str("policy").unwrap_or_else(|| "bluebellvale".to_owned());
    let policy = Policy::parse(&policy).map_err(|error| eyre!(error))?;
    let first = bbv_cli::number(matches, "seed", 1)?;
    let count = bbv_cli::number(matches, "seeds", 1)?;
    for seed in first..first + count {
        let report = simulation::run(&plan, policy, seed);
        if matches.opt_present("json") {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            print(&report);
        }
    }
    Ok(())
}

fn load_plan(path: &str) -> Result<Plan> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("could not read {path}"))?;
    let folder = Path::new(path).parent().unwrap_or(Path::new("."));
    let read = |name: &str| {
        let path = folder.join(name);
        std::fs::read_to_string(&path)
            .map_err(|error| format!("could not read {}: {error}", path.display()))
    };
    Plan::parse(&text, read).map_err(|errors| eyre!("could not parse trial file {path}: {errors}"))
}

fn print(report: &Report) {
    let value = serde_json::to_value(report).expect("a report can be encoded as JSON");
    let map = value.as_object().expect("a report is a JSON object");
    for (name, value) in map {
        println!("{name:<26} {value}");
    }
}
