//! Builds the program that the tests run.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use serde_json::Value;

/// Builds `bbv-mesh` and returns its path, since Cargo sets `CARGO_BIN_EXE_*` only for the
/// programs of the package under test. Cargo's messages name the path, which depends on its
/// configuration and on `CARGO_TARGET_DIR`.
pub fn build() -> PathBuf {
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
