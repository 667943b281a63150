//! Runs one stand-in of an outside system, for tests.

fn main() {}
