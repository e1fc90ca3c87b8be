//! `bbv-trial` runs stand-ins, load generation and trials for bluebellvale.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.split_first() {
        Some((name, rest)) if name == "capacity" => cmd::capacity::run(rest),
        Some((name, rest)) if name == "demo" => cmd::demo::run(rest),
        Some((name, rest)) if name == "load" => cmd::load::run(rest),
        Some((name, rest)) if name == "stand" => cmd::stand::run(rest),
        Some((name, rest)) if name == "run" => cmd::run::run(rest),
        Some((name, _)) if name == "--help" || name == "-h" => cmd::PROGRAM.help(),
        _ => cmd::PROGRAM.reject(),
    }
}
