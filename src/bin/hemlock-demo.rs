//! Runs a whole cell in one process from one file and prints what happened.

fn main() {}
