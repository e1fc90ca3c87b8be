//! `bbv-soak`: runs real nodes under seeded faults and checks the promises from outside.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bbv_soak::run::{Plan, play};
use eyre::{Result, WrapErr, eyre};
use getopts::Options;

const USAGE: &str = "\
bbv-soak: runs real nodes under seeded faults and checks the promises from outside

usage: bbv-soak --program PATH [--seed N] [--seeds N] [--seconds N] [--nodes N] [--folder PATH]

exit codes: 0 every promise held, 1 one was broken or a run failed, 2 bad usage
";

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "print the usage");
    options.optopt("", "program", "program of a node", "PATH");
    options.optopt("", "seed", "first seed", "N");
    options.optopt("", "seeds", "number of seeds", "N");
    options.optopt("", "seconds", "length of a run", "N");
    options.optopt("", "nodes", "nodes of a run", "N");
    options.optopt("", "folder", "where settings and logs go", "PATH");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("bbv-soak: {error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    match run(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("bbv-soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn number(matches: &getopts::Matches, name: &str, usual: u64) -> Result<u64> {
    let text = matches.opt_str(name);
    let Some(text) = text else { return Ok(usual) };
    text.parse().wrap_err_with(|| format!("could not read --{name} {text}"))
}

fn run(matches: &getopts::Matches) -> Result<bool> {
    let program = matches.opt_str("program").ok_or_else(|| eyre!("--program is missing"))?;
    let folder = matches.opt_str("folder").unwrap_or_else(|| "target/soak".to_owned());
    let first = number(matches, "seed", 1)?;
    let mut good = true;
    for seed in first..first + number(matches, "seeds", 1)? {
        let plan = Plan {
            seed,
            nodes: number(matches, "nodes", 4)? as usize,
            length: Duration::from_secs(number(matches, "seconds", 12)?),
            program: PathBuf::from(&program),
            folder: PathBuf::from(&folder).join(seed.to_string()),
        };
        let runtime = tokio::runtime::Runtime::new().wrap_err("could not start the runtime")?;
        match runtime.block_on(play(&plan)) {
            Ok(report) => {
                println!("seed={seed} {report}");
                good &= report.broken.is_empty();
            }
            Err(error) => {
                println!("seed={seed} failed={error:#?}");
                good = false;
            }
        }
    }
    Ok(good)
}
