//! `bbvctl reconcile`: compares what both sides of each attempt counted.

use std::process::ExitCode;

use bbv_core::reconciliation::{Reconciliation, Statement, reconcile};
use bbv_ctl::fetch;
use bbv_ctl::output::{self, Verdict};
use eyre::Result;
use getopts::Matches;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::with(args, |count| count > 0, compare)
}

fn compare(matches: &Matches) -> Result<Verdict> {
    let read = |name: &String| fetch::json::<Statement>(name, "statement");
    let statements: Vec<Statement> = matches.free.iter().map(read).collect::<Result<_>>()?;
    let report = reconcile(&statements);
    if matches.opt_present("json") {
        output::json(&report);
    } else {
        print(&report);
    }
    let good = report.differing.is_empty() && report.gaps.is_empty();
    Ok(if good { Verdict::Good } else { Verdict::Bad })
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
    for one in &report.differing {
        let mark = |mark: Option<_>| mark.map_or_else(|| "-".to_owned(), |m| format!("{m:?}"));
        let (ingress, gate) = (mark(one.ingress), mark(one.gate));
        println!(
            "differs attempt={} entry={} ingress={ingress} gate={gate}",
            one.attempt, one.entry
        );
    }
    for gap in &report.gaps {
        println!("gap node={} one_sided={} no_rows={}", gap.node, gap.one_sided, gap.no_rows);
    }
}
