//! Short runs with fixed seeds, among them every seed that has failed before.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use bbv_soak::run::{RunOptions, run};
use serde_json::Value;

/// Builds `bbv-mesh` and returns its path, since Cargo sets `CARGO_BIN_EXE_*` only for the
/// programs of the package under test. Cargo's messages name the path, which depends on its
/// configuration and on `CARGO_TARGET_DIR`.
fn build_program() -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let output = Command::new(cargo)
        .args(["build", "--quiet", "--package", "bbv-mesh", "--message-format", "json"])
        .current_dir(&folder)
        .stderr(Stdio::inherit())
        .output()
        .expect("could not run cargo");
    assert!(output.status.success());
    let messages = String::from_utf8(output.stdout).expect("cargo's messages are not UTF-8");
    let executable = |line: &str| {
        let message: Value = serde_json::from_str(line).ok()?;
        let is_program = message["target"]["name"] == "bbv-mesh";
        message["executable"].as_str().filter(|_| is_program).map(PathBuf::from)
    };
    messages.lines().find_map(executable).expect("cargo did not name the program")
}

/// Runs `seed` for `duration`, with configurations that add up to `routes` routes, and checks that
/// no guarantee is violated.
fn check_seed(program: &Path, seed: u64, duration: Duration, routes: usize) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{seed}-{routes}"));
    let program = program.to_owned();
    let options = RunOptions { seed, nodes: 4, routes, duration, program, folder };
    let runtime = tokio::runtime::Runtime::new().expect("could not start the runtime");
    let report = runtime.block_on(run(&options)).expect("could not finish the run");
    assert!(report.violations.is_empty(), "seed {seed}: {report}");
}

#[test]
fn guarantees_hold_under_seeded_faults() {
    let program = build_program();
    // 102 and 115: SIGHUP arrived before the process had installed its handler and ended it.
    for seed in [1, 2, 102, 115] {
        check_seed(&program, seed, Duration::from_secs(6), 0);
    }
}

/// A node is paused right after its start, before it has installed its SIGHUP handler, and gets
/// SIGHUP while it is paused. Its supervisor has to ignore SIGHUP when it starts the program, or
/// the default action ends the node once it continues.
#[test]
fn guarantees_hold_under_seeded_faults_seed_900() {
    check_seed(&build_program(), 900, Duration::from_secs(8), 0);
}

/// Configurations follow in quick succession and upstreams leave, while two nodes stay calm and one
/// of them is behind a slow link.
#[test]
fn changes_are_in_force_in_time_under_seeded_faults() {
    check_seed(&build_program(), 1, Duration::from_secs(8), 1);
}
