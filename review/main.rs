//! Scripts of the review: each starts a small fleet with stand-ins, disturbs it, and checks one rule.
//!
//! Usage: `stand CASE RECORD`. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod client;
mod cuts;
mod endpoint;
mod fleet;
mod forgets;
mod http;
mod poison;
mod record;
mod silence;
mod store;

use std::path::Path;

use crate::fleet::Fleet;

/// Result of a case.
pub struct Verdict {
    /// What broke the rule.
    pub breaks: Vec<String>,
    pub summary: String,
}

/// Returns whether the case is to be run with its disruption.
pub fn is_disturbed() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = args.as_slice() else { fleet::cannot_run("usage: stand CASE RECORD") };
    let (fleet, verdict) = match case.as_str() {
        "cuts" => cuts::run(),
        "forgets" => forgets::run(),
        "poison" => poison::run(),
        "silence" => silence::run(),
        _ => fleet::cannot_run("no such case"),
    };
    finish(&fleet, &verdict, Path::new(path));
}

/// Writes the record, prints the result and exits.
fn finish(fleet: &Fleet, verdict: &Verdict, path: &Path) -> ! {
    fleet.record.write(path);
    println!("{}", verdict.summary);
    for line in verdict.breaks.iter().take(5) {
        println!("  {line}");
    }
    println!("{}", if verdict.breaks.is_empty() { "held" } else { "broken" });
    std::process::exit(i32::from(!verdict.breaks.is_empty()));
}
