//! Packing: a mixed stream with a heavy tail until the first refusal.

use std::io::{self, Write};

use hemlockrock::configs::place::Policy;
use hemlockrock::place::spec::{JobSpec, Resources};

use super::cell::{Sizes, Zone};

const WORKERS: usize = 210;

/// Used part of the scarcest resource when the first task found no room.
#[allow(clippy::cast_precision_loss, reason = "a share needs no more")]
fn fill(policy: Policy, seed: u64, workers: usize) -> [f64; 3] {
    let mut zone = Zone::new(workers, policy, seed);
    let mut sizes = Sizes::new(seed);
    loop {
        let size = sizes.next();
        let spec = JobSpec::new("range", 1).with_resources(size);
        if zone.submit(spec).is_empty() {
            break;
        }
    }
    let stats = zone.placer.stats();
    let (used, capacity): (Resources, Resources) = (stats.reserved, stats.capacity);
    [
        used.cpu_millis as f64 / capacity.cpu_millis as f64,
        used.memory_bytes as f64 / capacity.memory_bytes as f64,
        f64::from(used.accelerators) / f64::from(capacity.accelerators.max(1)),
    ]
}

pub(crate) fn run(out: &mut impl Write, seeds: u64) -> io::Result<()> {
    writeln!(out, "packing: {WORKERS} workers, scarcest resource used at the first refusal")?;
    writeln!(out, "seed  first_fit  best_fit  full   (full: cpu memory accelerators)")?;
    let mut sums = [0.0; 3];
    for seed in 1..=seeds {
        let parts = [Policy::FirstFit, Policy::BestFit, Policy::Full]
            .map(|policy| fill(policy, seed, WORKERS));
        let scarcest = parts.map(|part| part.iter().copied().fold(0.0, f64::max));
        for (sum, part) in sums.iter_mut().zip(scarcest) {
            *sum += part;
        }
        let [first, best, full] = scarcest;
        let [cpu, memory, accelerators] = parts[2];
        writeln!(
            out,
            "{seed:>4}  {first:>9.4}  {best:>8.4}  {full:.4}  {cpu:.3} {memory:.3} {accelerators:.3}"
        )?;
    }
    #[allow(clippy::cast_precision_loss, reason = "a mean needs no more")]
    let [first, best, full] = sums.map(|sum| sum / seeds as f64);
    writeln!(out, "mean  {first:>9.4}  {best:>8.4}  {full:.4}")
}
