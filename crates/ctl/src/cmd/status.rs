//! `bbvctl status`: shows where each revision is in force.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use bbv_ctl::fetch;
use bbv_ctl::output::{self, Verdict};
use eyre::Result;
use getopts::Matches;
use serde::{Deserialize, Serialize};

#[derive(Clone, Deserialize, Serialize)]
struct Status {
    node: String,
    zone: String,
    service: String,
    state: String,
    upstream: String,
    closed: Option<String>,
    revision: u64,
    unreachable: f64,
    isolated: bool,
}

#[derive(Serialize)]
struct Seen {
    address: String,
    status: Option<Status>,
    error: Option<String>,
    behind: bool,
}

/// A revision must be in force everywhere within this time.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::with(args, |count| count > 0, status)
}

fn ask(addresses: &[String]) -> Vec<Seen> {
    let ask = |address: &String| {
        let result = fetch::page::<Status>(address, "status");
        let error = result.as_ref().err().map(|error| format!("{error:#}"));
        Seen { address: address.clone(), status: result.ok(), error, behind: false }
    };
    addresses.iter().map(ask).collect()
}

fn highest(seen: &[Seen]) -> u64 {
    seen.iter().filter_map(|seen| Some(seen.status.as_ref()?.revision)).max().unwrap_or(0)
}

fn mark_behind(seen: &mut [Seen], revision: u64) {
    for one in seen {
        one.behind = one.status.as_ref().is_some_and(|status| status.revision < revision);
    }
}

fn status(matches: &Matches) -> Result<Verdict> {
    let mut seen = ask(&matches.free);
    let revision = highest(&seen);
    mark_behind(&mut seen, revision);
    if seen.iter().any(|seen| seen.behind) {
        // The newest revision may have been published just now.
        sleep(IN_FORCE_WITHIN);
        seen = ask(&matches.free);
        mark_behind(&mut seen, revision);
    }
    if matches.opt_present("json") {
        output::json(&seen);
    } else {
        seen.iter().for_each(print);
    }
    let bad = seen.iter().any(|seen| seen.behind || seen.status.is_none());
    Ok(if bad { Verdict::Bad } else { Verdict::Good })
}

fn print(seen: &Seen) {
    let address = &seen.address;
    let Some(status) = &seen.status else {
        let error = seen.error.as_deref().unwrap_or_default();
        println!("{address} error={error:?}");
        return;
    };
    let Status { node, zone, service, state, upstream, closed, revision, isolated, .. } = status;
    let closed = closed.as_deref().unwrap_or("-");
    let behind = seen.behind;
    println!(
        "{address} node={node} zone={zone} service={service} state={state} upstream={upstream} \
         closed={closed} revision={revision} behind={behind} isolated={isolated}"
    );
}
