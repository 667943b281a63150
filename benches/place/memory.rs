//! Memory use of the placer per worker, task and team, measured as growth of the resident memory.

use std::io::{self, Write};

use hemlockrock::configs::place::Policy;
use hemlockrock::place::spec::{JobSpec, Resources};

use super::cell::Zone;

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Growth of the resident memory since `before`, in bytes for each of `count` items.
fn growth_per_item(before: u64, count: usize) -> u64 {
    resident_bytes().saturating_sub(before) / count as u64
}

pub(crate) fn run(out: &mut impl Write) -> io::Result<()> {
    const WORKERS: usize = 20_000;
    const TASKS: u32 = 90_000;
    const JOBS: usize = 30_000;
    let before = resident_bytes();
    let mut zone = Zone::new(WORKERS, Policy::Full, 1);
    writeln!(
        out,
        "memory: bytes for each worker (declaration included) {}",
        growth_per_item(before, WORKERS)
    )?;
    let before = resident_bytes();
    let size = Resources::new(100, 100 << 20, 0);
    zone.submit(JobSpec::new("range", TASKS).with_resources(size));
    while zone.placer.has_work(zone.now_ms) {
        zone.out.clear();
        zone.step(hemlockrock::place::Event::Tick);
    }
    writeln!(
        out,
        "memory: bytes for each placed task {}",
        growth_per_item(before, TASKS as usize)
    )?;
    zone.out = Vec::new();
    let before = resident_bytes();
    for job in 0..JOBS {
        zone.submit(JobSpec::new(format!("team-{job}"), 1).with_resources(size));
    }
    let bytes = growth_per_item(before, JOBS);
    writeln!(out, "memory: bytes for each job of one placed task and a team of its own {bytes}")
}
