//! `bbvctl why`: tells why a request ended as it did, from the logs of several nodes.

use std::process::ExitCode;

use bbv_ctl::output::{self, Verdict};
use bbv_ctl::story::{self, Line};
use eyre::{Result, WrapErr};
use getopts::Matches;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::with(args, |count| count >= 2, why)
}

fn why(matches: &Matches) -> Result<Verdict> {
    let (id, files) = (&matches.free[0], &matches.free[1..]);
    let mut lines = Vec::new();
    for file in files {
        let bytes = std::fs::read(file).wrap_err_with(|| format!("could not read {file}"))?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(|line| Line::parse(file, line)));
    }
    let Some(story) = story::tell(id, &lines) else {
        eprintln!("bbvctl: no line of {} names request {id}", files.join(", "));
        return Ok(Verdict::Bad);
    };
    if matches.opt_present("json") {
        output::json(&story);
        return Ok(Verdict::Good);
    }
    story.context.iter().for_each(|line| show("before", line));
    story.lines.iter().for_each(|line| show("request", line));
    println!("cause: {}", story.cause);
    Ok(Verdict::Good)
}

fn show(part: &str, line: &Line) {
    let values: Vec<String> =
        line.values.iter().map(|(key, value)| format!("{key}={value}")).collect();
    println!("{part} ts_ms={} {} {} {}", line.ts_ms, line.file, line.event, values.join(" "));
}
