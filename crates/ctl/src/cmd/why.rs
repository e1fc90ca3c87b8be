//! `bbvctl why`: explains the outcome of a request from the logs of several nodes.

use std::process::ExitCode;

use bbv_ctl::explain::{self, LogLine};
use bbv_ctl::output::{self, CommandStatus};
use eyre::{Result, WrapErr};
use getopts::Matches;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::run_command(args, |count| count >= 2, why)
}

fn why(matches: &Matches) -> Result<CommandStatus> {
    let (id, files) = (&matches.free[0], &matches.free[1..]);
    let mut lines = Vec::new();
    for file in files {
        let bytes = std::fs::read(file).wrap_err_with(|| format!("could not read {file}"))?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(|line| LogLine::parse(file, line)));
    }
    let Some(explanation) = explain::explain(id, &lines) else {
        eprintln!("bbvctl: no log line in {} has request id {id}", files.join(", "));
        return Ok(CommandStatus::ProblemsFound);
    };
    if matches.opt_present("json") {
        output::json(&explanation);
        return Ok(CommandStatus::Success);
    }
    explanation.context.iter().for_each(|line| print_line("before", line));
    explanation.lines.iter().for_each(|line| print_line("request", line));
    println!("cause: {}", explanation.cause);
    Ok(CommandStatus::Success)
}

fn print_line(label: &str, line: &LogLine) {
    let values: Vec<String> =
        line.values.iter().map(|(key, value)| format!("{key}={value}")).collect();
    println!("{label} ts_ms={} {} {} {}", line.ts_ms, line.file, line.event, values.join(" "));
}
