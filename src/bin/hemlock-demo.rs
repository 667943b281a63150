//! hemlock-demo.

fn main() {}
