//! `bbvctl`, the operators' command line: checks catalogues and reads the pages and logs of nodes.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.split_first() {
        Some((name, rest)) if name == "audit" => cmd::audit::run(rest),
        Some((name, rest)) if name == "check" => cmd::check::run(rest),
        Some((name, rest)) if name == "diff" => cmd::diff::run(rest),
        Some((name, rest)) if name == "reconcile" => cmd::reconcile::run(rest),
        Some((name, rest)) if name == "status" => cmd::status::run(rest),
        Some((name, rest)) if name == "why" => cmd::why::run(rest),
        Some((name, _)) if name == "--help" || name == "-h" => cmd::help(),
        _ => cmd::usage(),
    }
}
