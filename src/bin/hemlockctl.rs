//! hemlockctl.

fn main() {}
