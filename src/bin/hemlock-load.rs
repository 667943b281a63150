//! hemlock-load.

fn main() {}
