//! `bbv-node check`: reads settings and reports every error.

use std::process::ExitCode;

use bbv_node::settings::Settings;
use eyre::{Result, WrapErr, eyre};

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let [path] = args else { return super::usage() };
    super::report(load(path).map(|settings| println!("{path}: ok, {}", settings.vm)))
}

/// Reads the settings at `path`.
pub fn load(path: &str) -> Result<Settings> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("could not read {path}"))?;
    Settings::parse(&text).map_err(|errors| {
        let lines: Vec<String> = errors.0.iter().map(|error| format!("{path}: {error}")).collect();
        eyre!("could not use the settings in {path}\n{}", lines.join("\n"))
    })
}
