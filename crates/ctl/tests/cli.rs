//! Snapshot tests of the output and exit codes of `bbvctl` for files.

use std::path::{Path, PathBuf};
use std::process::Command;

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

/// Runs `bbvctl` in the directory of the test files; returns its exit code, stdout and stderr.
fn bbvctl(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_bbvctl"))
        .args(args)
        .current_dir(path("tests/files"))
        .output()
        .expect("bbvctl runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().unwrap_or(-1);
    format!("exit {code}\n{}{}", text(&output.stdout), text(&output.stderr))
}

#[test]
fn output_and_exit_codes_match_snapshots() {
    let cases: [(&str, &[&str]); 12] = [
        ("check_good", &["check", "../../../../examples/serimas.yaml"]),
        ("check_bad", &["check", "bad.yaml"]),
        ("check_bad_json", &["check", "--json", "bad.yaml"]),
        ("check_missing", &["check", "missing.yaml"]),
        ("diff", &["diff", "old.yaml", "new.yaml"]),
        ("diff_same", &["diff", "old.yaml", "old.yaml"]),
        ("reconcile", &["reconcile", "a.json", "b.json"]),
        ("usage", &["mend", "everything"]),
        ("why", &["why", "a1", "n0.log", "n1.log"]),
        ("why_json", &["why", "--json", "a1", "n0.log", "n1.log"]),
        ("why_unknown", &["why", "a2", "n0.log"]),
        ("help_of_subcommand", &["reconcile", "--help"]),
    ];
    for (name, args) in cases {
        insta::assert_snapshot!(name, bbvctl(args));
    }
}
