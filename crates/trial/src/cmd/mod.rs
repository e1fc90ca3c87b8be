//! Subcommands of `bbv-trial` and its usage text.

pub mod capacity;
pub mod demo;
pub mod load;
pub mod run;
pub mod stand;

use bbv_cli::Program;

/// The program.
pub const PROGRAM: Program = Program {
    name: "bbv-trial",
    usage: "\
bbv-trial: stand-ins, load and trials

usage:
  bbv-trial capacity
      measures memory and time at four sizes and fits their slopes
  bbv-trial demo [--seconds N] [--seed N] [--json]
      runs real nodes on loopback under load, with an embedded catalogue
  bbv-trial stand --catalogue FILE --folder DIR [--nodes N] [--port N] [--median-us N]
      runs stand-ins, and writes settings and certificates for real nodes
  bbv-trial load --url URL [--direct URL] [--path PATH] [--rate N | --open N]
      [--seconds N] [--once]
      sends calls to a node and, with --direct, also to its upstream
  bbv-trial run FILE [--seed N] [--seeds N] [--policy NAME] [--json]
      runs a trial in virtual time, with --seeds for several seeds in turn

exit codes: 0 success, 1 failure, 2 invalid usage
",
};
