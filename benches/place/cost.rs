//! Decision cost by the number of workers, with a task ending for each that is placed.

use std::io::{self, Write};
use std::time::Instant;

use hdrhistogram::Histogram;
use hemlockrock::configs::place::Policy;
use hemlockrock::place::message::{Attempt, End};
use hemlockrock::place::spec::{JobSpec, Resources};
use hemlockrock::place::Event;

use super::cell::{Sizes, Zone, GIB};

const DECISIONS: usize = 20_000;

/// Tasks that run beforehand for each 2,300 workers.
const TASKS_AT_FULL_SIZE: usize = 22_000;

/// A size of which some ten fill a worker.
fn modest(sizes: &mut Sizes) -> Resources {
    let size = sizes.next();
    Resources::new(size.cpu_millis.min(4_000), size.memory_bytes.min(8 * GIB), size.accelerators)
}

fn measure(workers: usize, policy: Policy, waiting: usize) -> (Histogram<u64>, f64, usize) {
    let mut zone = Zone::new(workers, policy, 1);
    let mut sizes = Sizes::new(7);
    let wanted = TASKS_AT_FULL_SIZE * workers / 2_300;
    let mut running: Vec<Attempt> = Vec::new();
    while running.len() < wanted {
        let size = modest(&mut sizes);
        let started = zone.submit(JobSpec::new("range", 1).with_resources(size));
        for attempt in &started {
            zone.step(Event::Confirmed { attempt: *attempt });
        }
        running.extend(started);
    }
    for _ in 0..waiting {
        // Work that fits nowhere yet, of many sizes.
        let size = sizes.next();
        let size = Resources::new(24_000 + size.cpu_millis / 4, size.memory_bytes, 0);
        zone.submit(JobSpec::new("range", 1).with_resources(size));
    }
    let mut histogram = Histogram::new(3).expect("a histogram of three digits");
    let (mut placed, mut spent_ns) = (0_u64, 0_u64);
    for _ in 0..DECISIONS {
        zone.now_ms += 1;
        let index = (sizes.unit() * 1e9) as usize % running.len();
        let ended = running.swap_remove(index);
        zone.out.clear();
        let began = Instant::now();
        zone.step(Event::Ended { attempt: ended, end: End::Finished });
        let ended_ns = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
        running.extend(zone.started());
        let spec = JobSpec::new("range", 1).with_resources(modest(&mut sizes));
        let began = Instant::now();
        let started = zone.submit(spec);
        let took_ns = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
        let took_ns = if waiting > 0 { took_ns + ended_ns } else { took_ns };
        histogram.record(took_ns).expect("within bounds");
        spent_ns += took_ns;
        placed += started.len() as u64;
        running.extend(started);
    }
    #[allow(clippy::cast_precision_loss, reason = "a rate needs no more")]
    let rate = placed as f64 * 1e9 / spent_ns as f64;
    (histogram, rate, running.len())
}

pub(crate) fn run(out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "cost: {DECISIONS} decisions, one thread; a task ends before each")?;
    writeln!(out, "policy     workers  running  p50_us  p99_us  max_us  placements_per_s")?;
    let policies = [Policy::FirstFit, Policy::BestFit, Policy::Full].map(|policy| (policy, 0));
    // The last row has ten thousand waiting jobs; the step of the end counts there as well.
    for (policy, waiting) in policies.into_iter().chain([(Policy::Full, 10_000)]) {
        for workers in [50, 500, 2_300] {
            let (histogram, rate, running) = measure(workers, policy, waiting);
            #[allow(clippy::cast_precision_loss, reason = "a time needs no more")]
            let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
            let name = format!("{policy:?}");
            writeln!(
                out,
                "{name:<9}  {workers:>7}  {running:>7}  {:>6.1}  {:>6.1}  {:>6.1}  {rate:>9.0}",
                at(0.5),
                at(0.99),
                at(1.0)
            )?;
        }
    }
    Ok(())
}
