//! Subcommands of `bbv-node` and its usage text.

pub mod check;
pub mod run;

use bbv_cli::Program;

/// The program.
pub const PROGRAM: Program = Program {
    name: "bbv-node",
    usage: "\
bbv-node: load balancer process that runs beside each upstream

usage:
  bbv-node run SETTINGS     run until SIGTERM or SIGINT
  bbv-node check SETTINGS   validate settings and list every fault

exit codes: 0 done, 1 failed, 2 bad usage
",
};
