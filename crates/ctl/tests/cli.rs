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
    let cases: [(&str, &[&str]); 26] = [
        ("check_good", &["check", "../../../../examples/serimas.yaml"]),
        ("check_bad", &["check", "bad.yaml"]),
        ("check_bad_json", &["check", "--json", "bad.yaml"]),
        ("check_missing", &["check", "missing.yaml"]),
        ("check_mesh_good", &["check", "mesh-good.json"]),
        ("check_mesh_good_json", &["check", "--json", "mesh-good.json"]),
        ("check_mesh_errors", &["check", "mesh-errors.json"]),
        ("check_mesh_errors_json", &["check", "--json", "mesh-errors.json"]),
        ("check_mesh_warnings", &["check", "mesh-warnings.json"]),
        ("check_mesh_keyless", &["check", "mesh-keyless.json"]),
        ("check_mesh_faults", &["check", "mesh-faults.json"]),
        ("check_mesh_broken", &["check", "mesh-broken.json"]),
        ("check_mesh_string", &["check", "mesh-string.json"]),
        ("check_against", &["check", "mesh-new.json", "--against", "mesh-good.json"]),
        (
            "check_against_json",
            &["check", "--json", "mesh-new.json", "--against", "mesh-good.json"],
        ),
        ("check_against_newer", &["check", "mesh-good.json", "--against", "mesh-new.json"]),
        ("check_against_same", &["check", "mesh-good.json", "--against", "mesh-good.json"]),
        ("check_against_catalogue", &["check", "old.yaml", "--against", "mesh-good.json"]),
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

/// Whoever sees the output of a check must not learn a key from it. Keys come into it by messages
/// about shared keys, by differences of organisations, and by errors of decoding, which quote values.
#[test]
fn check_prints_no_key_in_full() {
    let files = [
        "mesh-good.json",
        "mesh-new.json",
        "mesh-errors.json",
        "mesh-warnings.json",
        "mesh-faults.json",
        "mesh-string.json",
    ];
    let keys = ["-key-", "secret-key", "secret-rank", "short\"", "bbbb key"];
    for (file, other) in files.iter().flat_map(|file| files.map(|other| (file, other))) {
        for json in [&["--json"][..], &[]] {
            let args = [&["check", file, "--against", other][..], json].concat();
            let output = bbvctl(&args);
            let found = keys.iter().find(|key| output.contains(**key));
            assert_eq!(found, None, "{args:?}: {output}");
        }
    }
}
