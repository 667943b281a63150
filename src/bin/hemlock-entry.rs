//! hemlock-entry.

fn main() {}
