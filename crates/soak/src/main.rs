//! `bbv-soak`: runs `bbv-mesh` nodes under seeded faults and checks their guarantees from outside.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bbv_cli::{Program, number};
use bbv_soak::history::MAX_ROUTES;
use bbv_soak::memory::MEMORY_MB;
use bbv_soak::run::{RunOptions, run};
use eyre::{Result, WrapErr, eyre};
use getopts::Options;

const PROGRAM: Program = Program {
    name: "bbv-soak",
    usage: "\
bbv-soak: runs bbv-mesh nodes under seeded faults and checks their guarantees from outside

usage: bbv-soak --program PATH [--seed N] [--seeds N] [--seconds N] [--nodes N] [--routes N]
    [--zones N] [--site] [--no-drills] [--no-cuts] [--no-crashes] [--memory-mb N]
    [--folder PATH]

exit codes: 0 all guarantees held, 1 one was violated or a run failed, 2 bad usage
",
};

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "print the usage");
    options.optopt("", "program", "path of the bbv-mesh program", "PATH");
    options.optopt("", "seed", "first seed", "N");
    options.optopt("", "seeds", "number of seeds", "N");
    options.optopt("", "seconds", "time with faults of each run", "N");
    options.optopt("", "nodes", "number of nodes of each run", "N");
    options.optopt("", "routes", "largest number of routes that configurations add", "N");
    options.optopt("", "zones", "number of zones, up to 5", "N");
    options.optflag("", "no-drills", "the store never comes back from an older copy");
    options.optflag("", "no-cuts", "no upstream leaves right after a cut from the store");
    options.optflag("", "no-crashes", "no request ends the upstreams that run it");
    options.optflag("", "site", "links like a deployment's, and outages of the whole store");
    options.optopt("", "memory-mb", "memory that a process may take", "N");
    options.optopt("", "folder", "folder for settings and logs", "PATH");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let matches = match PROGRAM.parse(&options, &args) {
        Ok(matches) => matches,
        Err(code) => return code,
    };
    if matches.opt_present("help") {
        return PROGRAM.help();
    }
    match run_seeds(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => PROGRAM.report(Err(error)),
    }
}

fn run_seeds(matches: &getopts::Matches) -> Result<bool> {
    let program = matches.opt_str("program").ok_or_else(|| eyre!("option --program is missing"))?;
    let folder = matches.opt_str("folder").unwrap_or_else(|| "target/soak".to_owned());
    let first_seed = number(matches, "seed", 1)?;
    let mut passed = true;
    for seed in first_seed..first_seed + number(matches, "seeds", 1)? {
        let options = RunOptions {
            seed,
            nodes: number(matches, "nodes", 4)? as usize,
            routes: number(matches, "routes", MAX_ROUTES as u64)? as usize,
            zones: number(matches, "zones", 2)? as usize,
            site: matches.opt_present("site"),
            drills: !matches.opt_present("no-drills"),
            cuts: !matches.opt_present("no-cuts"),
            crashes: !matches.opt_present("no-crashes"),
            duration: Duration::from_secs(number(matches, "seconds", 12)?),
            memory: number(matches, "memory-mb", MEMORY_MB)? << 20,
            program: PathBuf::from(&program),
            folder: PathBuf::from(&folder).join(seed.to_string()),
        };
        let runtime = tokio::runtime::Runtime::new().wrap_err("could not start the runtime")?;
        match runtime.block_on(run(&options)) {
            Ok(report) => {
                println!("seed={seed} {report}");
                passed &= report.violations.is_empty();
            }
            Err(error) => {
                println!("seed={seed} failed={error:#?}");
                passed = false;
            }
        }
    }
    Ok(passed)
}
