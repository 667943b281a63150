//! Cost of other steps: ticks, worker reports, explanations, urgent tasks, gangs and the
//! cancellation of a large job.

use std::io::{self, Write};
use std::time::Instant;

use hemlockrock::configs::place::Policy;
use hemlockrock::inventory::WorkerKey;
use hemlockrock::place::message::{Attempt, AttemptReport, AttemptState, WorkerReport};
use hemlockrock::place::spec::{JobKind, JobSpec, Priority, Resources};
use hemlockrock::place::{Action, Event};

use super::cell::{Zone, GIB};

/// Numbers of workers in the measured zones.
const WORKER_COUNTS: [usize; 3] = [50, 500, 2_300];

/// Tasks that run on each worker before the measurement.
const TASKS_PER_WORKER: usize = 10;

const REPEATS: u32 = 200;

/// A zone whose workers are full of preemptible tasks, and a report from each worker.
fn busy_zone(workers: usize) -> (Zone, Vec<(WorkerKey, WorkerReport)>) {
    let mut zone = Zone::new(workers, Policy::Full, 1);
    let size = Resources::new(3_200, 6 * GIB, 0);
    let tasks = u32::try_from(workers * TASKS_PER_WORKER).unwrap_or(u32::MAX);
    zone.submit(JobSpec::new("range", tasks).with_resources(size).with_stoppable());
    while zone.placer.has_work(zone.now_ms) {
        zone.step(Event::Tick);
    }
    let barrier = Attempt { epoch: 1, counter: u64::MAX };
    let report = WorkerReport { token_ms: 1, barrier, attempts: Vec::new() };
    let keys = zone.placer.inventory().workers().map(|(key, _)| (key, report.clone()));
    let mut reports: Vec<(WorkerKey, WorkerReport)> = keys.collect();
    for action in std::mem::take(&mut zone.out) {
        let Action::Start { worker, attempt, task, reserved, .. } = action else { continue };
        zone.step(Event::Confirmed { attempt });
        let state = AttemptState::Running;
        let item = AttemptReport { task, attempt, state, reserved, usage: reserved, age_ms: 0 };
        if let Some((_, report)) = reports.iter_mut().find(|(key, _)| *key == worker) {
            report.attempts.push(item);
        }
    }
    (zone, reports)
}

/// Mean time of `repeats` calls of `work`, in microseconds.
fn mean_us(repeats: u32, mut work: impl FnMut()) -> f64 {
    let began = Instant::now();
    (0..repeats).for_each(|_| work());
    began.elapsed().as_secs_f64() * 1e6 / f64::from(repeats)
}

pub(crate) fn run(out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "steps: mean time in microseconds, {TASKS_PER_WORKER} tasks on each worker")?;
    writeln!(out, "workers  tick  report_of_10  explain  urgent  gang_64  cancel_10000")?;
    for workers in WORKER_COUNTS {
        let (mut zone, reports) = busy_zone(workers);
        let tick = mean_us(REPEATS, || {
            zone.now_ms += 100;
            zone.out.clear();
            zone.step(Event::Tick);
        });
        let mut next = reports.iter().cycle().cloned();
        let reported = mean_us(REPEATS, || {
            let Some((worker, report)) = next.next() else { return };
            zone.step(Event::Report { worker, report });
        });
        zone.submit(JobSpec::new("range", 1).with_resources(Resources::new(32_000, GIB, 0)));
        let explain = mean_us(REPEATS, || {
            std::hint::black_box(zone.placer.explain("j2", zone.now_ms));
        });
        let size = Resources::new(3_200, GIB, 0);
        let urgent = mean_us(20, || {
            let spec = JobSpec::new("judges", 1).with_resources(size);
            zone.submit(spec.with_priority(Priority::Urgent));
        });
        let mut idle = Zone::new(workers, Policy::Full, 1);
        let gang = mean_us(5, || {
            idle.submit(JobSpec::new("range", 64).with_kind(JobKind::Gang));
        });
        let mut wave = Zone::new(workers, Policy::Full, 1);
        wave.submit(JobSpec::new("range", 10_000));
        while wave.placer.has_work(wave.now_ms) {
            wave.step(Event::Tick);
        }
        let cancel = mean_us(1, || wave.step(Event::Cancel { job_id: "j1".into() }));
        writeln!(
            out,
            "{workers:>7}  {tick:>4.0}  {reported:>12.1}  {explain:>7.0}  {urgent:>6.0}  {gang:>7.0}  {cancel:>12.0}"
        )?;
    }
    Ok(())
}
