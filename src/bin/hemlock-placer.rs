//! hemlock-placer.

fn main() {}
