//! Catalogue files.

fn main() {}
