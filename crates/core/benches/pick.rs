//! Cost of a pick.

fn main() {}
