//! `bbv-node`: load balancer process that runs beside each upstream.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.split_first() {
        Some((name, rest)) if name == "run" => cmd::run::run(rest),
        Some((name, rest)) if name == "check" => cmd::check::run(rest),
        Some((name, _)) if name == "--help" || name == "-h" => cmd::PROGRAM.help(),
        _ => cmd::PROGRAM.reject(),
    }
}
