//! Subcommands of `bbv-mesh` and its usage text.

pub mod check;
pub mod run;

use bbv_cli::Program;

/// The program.
pub const PROGRAM: Program = Program {
    name: "bbv-mesh",
    usage: "\
bbv-mesh: load balancer process that runs beside each upstream of a mesh

usage:
  bbv-mesh run SETTINGS     run until SIGTERM; check changed settings on SIGHUP
  bbv-mesh check SETTINGS   validate settings and list every fault

exit codes: 0 done, 1 failed, 2 bad usage
",
};
