//! `bbv-node check`: validates a settings file and lists every fault.

use std::process::ExitCode;

use bbv_node::settings::Settings;
use eyre::{Result, WrapErr, eyre};

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let [path] = args else { return super::PROGRAM.reject() };
    super::PROGRAM.report(load(path).map(|settings| println!("{path}: ok, {}", settings.vm)))
}

/// Reads the settings at `path`.
pub fn load(path: &str) -> Result<Settings> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("could not read {path}"))?;
    Settings::parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults.0.iter().map(|fault| format!("{path}: {fault}")).collect();
        eyre!("could not use {path}\n{}", lines.join("\n"))
    })
}
