//! Trials.

fn main() {}
