//! A request that crashes endpoints in the middle of the answer is never refused.
#[path = "../stand-3/common.rs"]
mod common;
#[path = "../stand-3/poison.rs"]
mod poison;

use std::time::Duration;

use common::{Action, is_troubled};

fn main() {
    let case = poison::Case {
        number: "11",
        bad: || is_troubled().then_some(Action::CrashMidway(Duration::from_millis(20))),
        played_s: 50.0,
    };
    std::process::exit(case.play());
}
