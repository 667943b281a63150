//! Packing density: share of the scarcest resource in use when the first task of a mixed stream
//! finds no worker.

use std::io::{self, Write};

use hemlockrock::configs::place::Policy;
use hemlockrock::place::spec::JobSpec;

use super::cell::{TaskSizes, Zone};

const WORKERS: usize = 210;

/// Memory factor and largest processor request, in millicores, of the task sizes. The factors make
/// processor time, both resources or memory scarce; the largest request is half a worker or a whole
/// one.
const MIXES: [(f64, f64); 6] = [
    (0.6, 16_000.0),
    (0.77, 16_000.0),
    (1.0, 16_000.0),
    (0.6, 32_000.0),
    (0.77, 32_000.0),
    (1.0, 32_000.0),
];

const POLICIES: [Policy; 3] = [Policy::FirstFit, Policy::BestFit, Policy::Full];

/// Used share of the scarcest resource when the first task fits on no worker.
#[allow(clippy::cast_precision_loss, reason = "the precision suffices for a share")]
fn fill(policy: Policy, seed: u64, (memory_factor, largest_millis): (f64, f64)) -> f64 {
    let mut zone = Zone::new(WORKERS, policy, seed);
    let mut sizes = TaskSizes::with_mix(seed, memory_factor, largest_millis);
    loop {
        let spec = JobSpec::new("range", 1).with_resources(sizes.next());
        if zone.submit(spec).is_empty() {
            break;
        }
    }
    let stats = zone.placer.stats();
    let (used, capacity) = (stats.reserved, stats.capacity);
    let cpu = used.cpu_millis as f64 / capacity.cpu_millis as f64;
    let memory = used.memory_bytes as f64 / capacity.memory_bytes as f64;
    cpu.max(memory)
}

pub(crate) fn run(out: &mut impl Write, seeds: u64) -> io::Result<()> {
    writeln!(out, "packing: {WORKERS} workers, scarcest resource used at the first refusal")?;
    writeln!(out, "each cell is the mean of the mixes {MIXES:?}")?;
    writeln!(out, "seed  first_fit  best_fit    full  (full by mix)")?;
    let mut sums = [0.0; 3];
    for seed in 1..=seeds {
        let parts = POLICIES.map(|policy| MIXES.map(|mix| fill(policy, seed, mix)));
        #[allow(clippy::cast_precision_loss, reason = "there are few mixes")]
        let means = parts.map(|parts| parts.iter().sum::<f64>() / MIXES.len() as f64);
        for (sum, mean) in sums.iter_mut().zip(means) {
            *sum += mean;
        }
        let [first, best, full] = means;
        let by_mix = parts[2].map(|part| format!("{part:.3}")).join(" ");
        writeln!(out, "{seed:>4}  {first:>9.4}  {best:>8.4}  {full:.4}  {by_mix}")?;
    }
    #[allow(clippy::cast_precision_loss, reason = "the precision suffices for a mean")]
    let [first, best, full] = sums.map(|sum| sum / seeds as f64);
    writeln!(out, "mean  {first:>9.4}  {best:>8.4}  {full:.4}")
}
