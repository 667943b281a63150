//! Benchmarks of the placement state machine: cost of decisions and other steps, packing density,
//! wait times of gangs, and memory use.
//!
//! Usage: `cargo bench --bench place -- cost|steps|packing|gangs|memory [seeds]`. Without a name,
//! all of them run. `seeds` is the number of seeds for packing and gangs, by default 10.

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
    let benchmark = arguments.first().map_or("all", String::as_str);
    let seeds = arguments.get(1).and_then(|text| text.parse().ok()).unwrap_or(10);
    let mut out = std::io::stdout().lock();
    if matches!(benchmark, "cost" | "all") {
        place::cost::run(&mut out)?;
    }
    if matches!(benchmark, "steps" | "all") {
        place::steps::run(&mut out)?;
    }
    if matches!(benchmark, "packing" | "all") {
        place::packing::run(&mut out, seeds)?;
    }
    if matches!(benchmark, "gangs" | "all") {
        place::gangs::run(&mut out, seeds)?;
    }
    if matches!(benchmark, "memory" | "all") {
        place::memory::run(&mut out)?;
    }
    out.flush()
}
