//! `bbvctl reconcile`: compares the records of both sides of each attempt.

use std::process::ExitCode;

use bbv_core::reconciliation::{Reconciliation, Statement, reconcile};
use bbv_ctl::fetch;
use bbv_ctl::output::{self, CommandStatus};
use eyre::Result;
use getopts::Matches;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::run_command(args, |count| count > 0, compare)
}

fn compare(matches: &Matches) -> Result<CommandStatus> {
    let read = |source: &String| fetch::json::<Statement>(source, "statement");
    let statements: Vec<Statement> = matches.free.iter().map(read).collect::<Result<_>>()?;
    let report = reconcile(&statements);
    if matches.opt_present("json") {
        output::json(&report);
    } else {
        print(&report);
    }
    let consistent = report.differing.is_empty() && report.gaps.is_empty();
    Ok(if consistent { CommandStatus::Success } else { CommandStatus::ProblemsFound })
}

fn print(report: &Reconciliation) {
    println!("agreed={} settled={}", report.agreed, report.settled);
    for total in &report.counts {
        let count = &total.count;
        println!(
            "entry={} owner={} window={} answered={} refused={} cancelled={} unknown={}",
            total.entry,
            total.owner,
            total.window,
            count.answered,
            count.refused,
            count.cancelled,
            count.unknown
        );
    }
    for difference in &report.differing {
        let text =
            |mark: Option<_>| mark.map_or_else(|| "-".to_owned(), |mark| format!("{mark:?}"));
        let (ingress, gate) = (text(difference.ingress), text(difference.gate));
        println!(
            "differs attempt={} entry={} ingress={ingress} gate={gate}",
            difference.attempt, difference.entry
        );
    }
    for gap in &report.gaps {
        println!("gap node={} one_sided={} no_rows={}", gap.node, gap.one_sided, gap.no_rows);
    }
}
