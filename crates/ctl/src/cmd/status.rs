//! `bbvctl status`: prints the state of nodes and marks those on which the newest revision is not
//! yet in force.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use bbv_ctl::fetch;
use bbv_ctl::output::{self, CommandStatus};
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
struct NodeReport {
    address: String,
    status: Option<Status>,
    error: Option<String>,
    behind: bool,
}

/// Time within which a published revision must be in force on every node.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::run_command(args, |count| count > 0, status)
}

fn fetch_all(addresses: &[String]) -> Vec<NodeReport> {
    let fetch_report = |address: &String| {
        let result = fetch::page::<Status>(address, "status");
        let error = result.as_ref().err().map(|error| format!("{error:#}"));
        NodeReport { address: address.clone(), status: result.ok(), error, behind: false }
    };
    addresses.iter().map(fetch_report).collect()
}

fn newest_revision(reports: &[NodeReport]) -> u64 {
    reports.iter().filter_map(|report| Some(report.status.as_ref()?.revision)).max().unwrap_or(0)
}

fn mark_behind(reports: &mut [NodeReport], revision: u64) {
    for report in reports {
        report.behind = report.status.as_ref().is_some_and(|status| status.revision < revision);
    }
}

fn status(matches: &Matches) -> Result<CommandStatus> {
    let mut reports = fetch_all(&matches.free);
    let revision = newest_revision(&reports);
    mark_behind(&mut reports, revision);
    if reports.iter().any(|report| report.behind) {
        // The newest revision may have been published only moments ago.
        sleep(IN_FORCE_WITHIN);
        reports = fetch_all(&matches.free);
        mark_behind(&mut reports, revision);
    }
    if matches.opt_present("json") {
        output::json(&reports);
    } else {
        reports.iter().for_each(print);
    }
    let problems = reports.iter().any(|report| report.behind || report.status.is_none());
    Ok(if problems { CommandStatus::ProblemsFound } else { CommandStatus::Success })
}

fn print(report: &NodeReport) {
    let address = &report.address;
    let Some(status) = &report.status else {
        let error = report.error.as_deref().unwrap_or_default();
        println!("{address} error={error:?}");
        return;
    };
    let Status { node, zone, service, state, upstream, closed, revision, isolated, .. } = status;
    let closed = closed.as_deref().unwrap_or("-");
    let behind = report.behind;
    println!(
        "{address} node={node} zone={zone} service={service} state={state} upstream={upstream} \
         closed={closed} revision={revision} behind={behind} isolated={isolated}"
    );
}
