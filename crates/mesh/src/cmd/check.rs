//! `bbv-mesh check`: validates a settings file and lists every fault.

use std::process::ExitCode;

use bbv_mesh::settings::Settings;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let [path] = args else { return super::PROGRAM.reject() };
    super::PROGRAM
        .report(Settings::load(path).map(|settings| println!("{path}: ok, {}", settings.node)))
}
