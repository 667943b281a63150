//! Cost of a placement decision by policy and number of workers. Before each decision one task
//! ends.

use std::io::{self, Write};
use std::time::Instant;

use hdrhistogram::Histogram;
use hemlockrock::configs::place::Policy;
use hemlockrock::place::message::{Attempt, End};
use hemlockrock::place::spec::{JobSpec, Resources};
use hemlockrock::place::Event;

use super::cell::{TaskSizes, Zone, GIB};

const DECISIONS: usize = 20_000;

/// Tasks that run before the measurement in a zone of 2,300 workers; fewer in proportion in smaller
/// zones.
const TASKS_PER_2300_WORKERS: usize = 22_000;

/// A task size of which about ten fill a worker.
fn small_task(sizes: &mut TaskSizes) -> Resources {
    let size = sizes.next();
    Resources::new(size.cpu_millis.min(4_000), size.memory_bytes.min(8 * GIB), size.accelerators)
}

/// Times of the decisions in nanoseconds, placements per second, and tasks that run at the end.
fn measure(workers: usize, policy: Policy, waiting: usize) -> (Histogram<u64>, f64, usize) {
    let mut zone = Zone::new(workers, policy, 1);
    let mut sizes = TaskSizes::new(7);
    let wanted = TASKS_PER_2300_WORKERS * workers / 2_300;
    let mut running: Vec<Attempt> = Vec::new();
    while running.len() < wanted {
        let size = small_task(&mut sizes);
        let started = zone.submit(JobSpec::new("range", 1).with_resources(size));
        for attempt in &started {
            zone.step(Event::Confirmed { attempt: *attempt });
        }
        running.extend(started);
    }
    for _ in 0..waiting {
        // Tasks of many sizes that fit on no worker yet.
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
        let spec = JobSpec::new("range", 1).with_resources(small_task(&mut sizes));
        let began = Instant::now();
        let started = zone.submit(spec);
        let took_ns = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
        let took_ns = if waiting > 0 { took_ns + ended_ns } else { took_ns };
        histogram.record(took_ns).expect("within bounds");
        spent_ns += took_ns;
        placed += started.len() as u64;
        running.extend(started);
    }
    #[allow(clippy::cast_precision_loss, reason = "the precision suffices for a rate")]
    let rate = placed as f64 * 1e9 / spent_ns as f64;
    (histogram, rate, running.len())
}

pub(crate) fn run(out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "cost: {DECISIONS} decisions, one thread; a task ends before each")?;
    writeln!(out, "policy     workers  running  p50_us  p99_us  max_us  placements_per_s")?;
    let policies = [Policy::FirstFit, Policy::BestFit, Policy::Full].map(|policy| (policy, 0));
    // The last rows have 10,000 waiting jobs. They include the time of the step in which the task
    // ends, as that step places waiting tasks.
    for (policy, waiting) in policies.into_iter().chain([(Policy::Full, 10_000)]) {
        for workers in [50, 500, 2_300] {
            let (histogram, rate, running) = measure(workers, policy, waiting);
            #[allow(clippy::cast_precision_loss, reason = "the precision suffices for a time")]
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
