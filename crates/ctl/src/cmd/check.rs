//! `bbvctl check`: validates a catalogue, or a configuration of bbv-mesh, and prints all of its errors.

use std::process::ExitCode;

use bbv_core::catalogue::Catalogue;
use bbv_ctl::check::{Finding, Report};
use bbv_ctl::fetch;
use bbv_ctl::output::{self, CommandStatus};
use bbv_platform::{Draft, ResourceFault};
use eyre::{Result, bail, eyre};
use getopts::Matches;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    super::run_command(args, |count| count == 1, check)
}

fn check(matches: &Matches) -> Result<CommandStatus> {
    let path = &matches.free[0];
    let text = fetch::text(path)?;
    let (is_json, in_force) = (matches.opt_present("json"), matches.opt_str("against"));
    if Draft::is_meant(&text) {
        return check_configuration(path, &text, in_force, is_json);
    }
    if in_force.is_some() {
        bail!("could not compare {path}: it is no configuration of the mesh");
    }
    Ok(check_catalogue(path, &text, is_json))
}

fn check_catalogue(path: &str, text: &str, is_json: bool) -> CommandStatus {
    let result = Catalogue::parse(text);
    let errors = result.as_ref().err().cloned().unwrap_or_default();
    if is_json {
        output::json(&errors);
    } else if let Ok(catalogue) = &result {
        let (entries, services) = (catalogue.entries.len(), catalogue.services.len());
        println!("{path}: ok, {services} services, {entries} entries");
    } else {
        errors.0.iter().for_each(|error| println!("{path}: {error}"));
    }
    if result.is_ok() { CommandStatus::Success } else { CommandStatus::ProblemsFound }
}

fn check_configuration(
    path: &str,
    text: &str,
    in_force: Option<String>,
    is_json: bool,
) -> Result<CommandStatus> {
    let in_force = in_force.as_deref().map(read_draft).transpose()?;
    let draft = Draft::decode(text);
    let report = match &draft {
        Ok(draft) => Report::new(draft, in_force.as_ref()),
        Err(faults) => undecodable(faults),
    };
    if is_json {
        output::json(&report);
    } else {
        print_report(path, &report);
    }
    if !report.errors.is_empty() {
        return Ok(CommandStatus::ProblemsFound);
    }
    if let (Ok(draft), false) = (&draft, is_json) {
        let (routes, services) = (draft.routes.len(), draft.services.len());
        let organisations = draft.organisations.len();
        let version = draft.version;
        println!(
            "{path}: ok, version {version}, {routes} routes, {services} services, {organisations} organisations"
        );
    }
    Ok(CommandStatus::Success)
}

fn read_draft(path: &str) -> Result<Draft> {
    Draft::decode(&fetch::text(path)?).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ResourceFault::to_string).collect();
        eyre!("could not decode configuration {path}: {}", faults.join("; "))
    })
}

fn undecodable(faults: &[ResourceFault]) -> Report {
    let finding = |fault: &ResourceFault| {
        let subject = format!("{} {}", fault.kind, fault.name);
        let subject = if subject.trim().is_empty() { "configuration" } else { subject.trim() };
        let field =
            if fault.field.is_empty() { String::new() } else { format!("{}: ", fault.field) };
        Finding::new(subject, field + &fault.message)
    };
    Report { errors: faults.iter().map(finding).collect(), ..Report::default() }
}

fn print_report(path: &str, report: &Report) {
    report.errors.iter().for_each(|finding| println!("{path}: error: {finding}"));
    report.warnings.iter().for_each(|finding| println!("{path}: warning: {finding}"));
    report.changes.iter().for_each(|change| println!("{change}"));
}
