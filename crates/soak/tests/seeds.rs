//! Short runs with fixed seeds, among them every seed that has failed before.

mod program;

use std::path::Path;
use std::time::Duration;

use bbv_soak::memory::MEMORY_MB;
use bbv_soak::run::{RunOptions, run};

/// Memory of a process with few callers, in megabytes: 12 for responses, 16 for the rest of the process, and
/// 4 for requests and connections.
const BUDGETED_MB: u64 = 32;

/// Returns a run of `seed` with four nodes in two zones for `seconds`, with configurations that add up to
/// `routes` routes.
fn options(program: &Path, seed: u64, seconds: u64, routes: usize) -> RunOptions {
    RunOptions {
        seed,
        nodes: 4,
        zones: 2,
        site: false,
        drills: false,
        cuts: false,
        crashes: false,
        routes,
        memory: MEMORY_MB << 20,
        duration: Duration::from_secs(seconds),
        program: program.to_owned(),
        folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{seed}-{routes}")),
    }
}

/// Checks that a run violates no guarantee.
fn check(options: &RunOptions) {
    let runtime = tokio::runtime::Runtime::new().expect("could not start the runtime");
    let report = runtime.block_on(run(options)).expect("could not finish the run");
    assert!(report.violations.is_empty(), "seed {}: {report}", options.seed);
}

#[test]
fn guarantees_hold_under_seeded_faults() {
    let program = program::build();
    // 102 and 115: SIGHUP arrived before the process had installed its handler and ended it.
    for seed in [1, 2, 102, 115] {
        check(&options(&program, seed, 6, 0));
    }
}

/// A node is paused right after its start, before it has installed its SIGHUP handler, and gets
/// SIGHUP while it is paused. Its supervisor has to ignore SIGHUP when it starts the program, or
/// the default action ends the node once it continues.
#[test]
fn guarantees_hold_under_seeded_faults_seed_900() {
    check(&options(&program::build(), 900, 8, 0));
}

/// Watches are cut, connections to the store go silent and its history is forgotten, while upstreams leave.
#[test]
fn changes_are_in_force_in_time_around_faults_of_the_store() {
    check(&options(&program::build(), 34_003, 14, 200));
}

/// Versions add routes around short silent outages of the whole store, in a fleet with three zones and links
/// of its own; readers whose calls were lost in one heard of nothing for 26.5 s.
#[test]
fn added_routes_are_served_after_silent_outages() {
    let small = options(&program::build(), 37_202, 14, 200);
    check(&RunOptions { nodes: 10, zones: 3, site: true, ..small });
}

/// Configurations follow in quick succession and upstreams leave, while two nodes stay calm and one
/// of them is behind a slow link.
#[test]
fn changes_are_in_force_in_time_under_seeded_faults() {
    check(&options(&program::build(), 1, 8, 1));
}

/// The store is away for a moment and comes back from older copies, whose lost changes are written again.
#[test]
fn guarantees_hold_when_the_store_comes_back_from_older_copies() {
    let drilled = options(&program::build(), 40_007, 14, 200);
    check(&RunOptions { drills: true, ..drilled });
}

/// Upstreams answer with bodies without end in pieces of sizes that are drawn; each piece kept the buffer
/// that it had been read into, and a process exceeded its memory.
#[test]
fn processes_stay_within_their_memory_when_bodies_come_in_pieces() {
    let run = options(&program::build(), 46_004, 10, 200);
    check(&RunOptions { memory: BUDGETED_MB << 20, ..run });
}

/// Upstreams leave right after nodes, or all, were cut off from the store; they were kept beyond the bound.
#[test]
fn upstreams_that_leave_right_after_a_cut_are_not_used() {
    let cut = options(&program::build(), 52_010, 24, 0);
    check(&RunOptions { nodes: 10, zones: 3, site: true, cuts: true, ..cut });
}

/// A request ends the upstreams that run it in the middle of the answer; it was never refused.
#[test]
fn request_that_ends_upstreams_is_refused_in_time() {
    let crash = options(&program::build(), 52_030, 12, 0);
    check(&RunOptions { nodes: 5, site: true, crashes: true, ..crash });
}
