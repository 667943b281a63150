//! hemlock-standin.

fn main() {}
