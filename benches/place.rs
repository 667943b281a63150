//! Cost of placement decisions, packing, and waits of gangs.
//!
//! `cargo bench --bench place -- cost|steps|packing|gangs|memory [seeds]`

mod place {
    pub(crate) mod cell;
    pub(crate) mod cost;
    pub(crate) mod gangs;
    pub(crate) mod memory;
    pub(crate) mod packing;
    pub(crate) mod steps;
}

use std::io::Write as _;

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let which = arguments.first().map_or("all", String::as_str);
    let seeds = arguments.get(1).and_then(|text| text.parse().ok()).unwrap_or(10);
    let mut out = std::io::stdout().lock();
    if matches!(which, "cost" | "all") {
        place::cost::run(&mut out)?;
    }
    if matches!(which, "steps" | "all") {
        place::steps::run(&mut out)?;
    }
    if matches!(which, "packing" | "all") {
        place::packing::run(&mut out, seeds)?;
    }
    if matches!(which, "gangs" | "all") {
        place::gangs::run(&mut out, seeds)?;
    }
    if matches!(which, "memory" | "all") {
        place::memory::run(&mut out)?;
    }
    out.flush()
}
